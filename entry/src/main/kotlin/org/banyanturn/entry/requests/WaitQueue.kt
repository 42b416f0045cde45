package org.banyanturn.entry.requests

import org.banyanturn.core.MemberId
import org.banyanturn.core.placement.CopyName
import org.banyanturn.core.queueing.FairQueue
import org.banyanturn.core.queueing.QueuedRequest
import org.banyanturn.core.serving.KnownTarget
import org.banyanturn.core.serving.ServiceName
import org.banyanturn.daemon.ProcessClock

/** A request that waits for a target. */
internal interface WaitingRequest {
    /** What it needs of a target. */
    val requirements: TargetRequirements

    /** Goes on at [target]. */
    fun onTarget(target: KnownTarget)

    /** Has waited as long as made sense. */
    fun onNoTarget()
}

/** The copies or services that requests wait for, one queue for each. */
private data class QueueKey(val service: ServiceName, val copy: CopyName?)

/** Requests that wait for a target, with fair turns between members; used on the event loop only. */
internal class WaitQueue(private val targetSelector: TargetSelector, private val clock: ProcessClock) {
    private val queues = LinkedHashMap<QueueKey, FairQueue>()
    private val requests = HashMap<String, WaitingRequest>()
    private var isDispatching = false
    private var dispatchedAtMillis = 0L

    /** Called when requests wait for a copy that no engine holds. */
    var onCopyMissing: (TargetRequirements) -> Unit = {}

    /** How many requests wait. */
    val size: Int
        get() = requests.size

    /** Returns how many requests wait for what [requirements] asks for. */
    fun waitingCount(requirements: TargetRequirements): Int = queues[keyOf(requirements)]?.size ?: 0

    /** Lets [request] wait until [startByMillis]. */
    fun enqueue(id: String, memberId: MemberId, request: WaitingRequest, startByMillis: Long) {
        val queue = queues.getOrPut(keyOf(request.requirements)) { FairQueue() }
        if (queue.offer(QueuedRequest(id, memberId, cost = 1.0, deadlineMillis = startByMillis))) requests[id] = request
    }

    /** Ends the wait of a request that is given up. */
    fun remove(id: String) {
        val request = requests.remove(id) ?: return
        queues[keyOf(request.requirements)]?.removeOrNull(id)
    }

    /** Returns the need of a request that waits for [copy], or `null` if none does. */
    fun requirementsOrNull(copy: CopyName): TargetRequirements? {
        val queue = queues.entries.firstOrNull { it.key.copy == copy }?.value ?: return null
        return queue.toList().firstNotNullOfOrNull { requests[it.requestId] }?.requirements
    }

    /** Ends the waits of all requests that wait for what [requirements] asks for. */
    fun refuse(requirements: TargetRequirements) {
        val queue = queues[keyOf(requirements)] ?: return
        queue.toList().forEach { refuse(queue, it) }
    }

    /** Ends the waits for [copy] that would be over by [atMillis], when it is expected. */
    fun refuseExpiringBefore(copy: CopyName, atMillis: Long) {
        queues.filterKeys { it.copy == copy }.values.forEach { refuseExpiringBefore(it, atMillis) }
    }

    private fun refuseExpiringBefore(queue: FairQueue, atMillis: Long) {
        queue.toList().filter { it.deadlineMillis < atMillis }.forEach { refuse(queue, it) }
    }

    private fun refuse(queue: FairQueue, queued: QueuedRequest) {
        queue.removeOrNull(queued.requestId)
        requests.remove(queued.requestId)?.onNoTarget()
    }

    /** Ends all waits. */
    fun refuseAll() {
        requests.values.map { it.requirements }.forEach(::refuse)
    }

    /** Ends the waits that are over, and looks at the others now and then; called every few milliseconds. */
    fun expire() {
        if (requests.isEmpty()) return
        val nowMillis = clock.nowMillis()
        if (nowMillis - dispatchedAtMillis >= DISPATCH_INTERVAL_MILLIS) return dispatch()
        queues.values.toList().forEach { queue -> expire(queue, nowMillis) }
    }

    private fun expire(queue: FairQueue, nowMillis: Long) {
        queue.expire(nowMillis).forEach { requests.remove(it.requestId)?.onNoTarget() }
    }

    /** Gives targets to the requests whose turn it is, and ends the waits that are over. */
    fun dispatch() {
        if (isDispatching || requests.isEmpty()) return
        isDispatching = true
        try {
            val nowMillis = clock.nowMillis()
            dispatchedAtMillis = nowMillis
            queues.values.toList().forEach { queue -> dispatchQueue(queue, nowMillis) }
            queues.values.removeIf { it.size == 0 }
        } finally {
            isDispatching = false
        }
    }

    private fun dispatchQueue(queue: FairQueue, nowMillis: Long) {
        expire(queue, nowMillis)
        val first = queue.toList().firstOrNull() ?: return
        val requirements = requests[first.requestId]?.requirements ?: return
        val selection = targetSelector.select(requirements)
        if (selection is TargetSelection.CopyMissing) return onCopyMissing(requirements)
        if (selection is TargetSelection.Quiet) return refuseExpiringBefore(queue, nowMillis + selection.remainingMillis)
        while (queue.size > 0 && targetSelector.select(requirements) is TargetSelection.Send) {
            val request = queue.pollOrNull(nowMillis)?.let { requests.remove(it.requestId) } ?: break
            when (val selection = targetSelector.select(request.requirements)) {
                is TargetSelection.Send -> request.onTarget(selection.target)
                else -> request.onNoTarget()
            }
        }
        expire(queue, nowMillis)
    }

    private fun keyOf(requirements: TargetRequirements): QueueKey = QueueKey(requirements.service, requirements.copy)

    private companion object {
        /** Rooms that open by time alone, such as a trusted target, are noticed within this time. */
        const val DISPATCH_INTERVAL_MILLIS = 100L
    }
}
