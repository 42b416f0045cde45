package org.banyanturn.entry.requests

import org.banyanturn.core.MemberId
import org.banyanturn.core.TargetId
import org.banyanturn.core.placement.CopyName
import org.banyanturn.core.queueing.FairQueue
import org.banyanturn.core.queueing.QueuedRequest
import org.banyanturn.core.queueing.StartTerms
import org.banyanturn.core.serving.KnownTarget
import org.banyanturn.core.serving.ServiceName
import org.banyanturn.daemon.ProcessClock

/** Represents a request that waits for a target. */
internal interface WaitingRequest {
    /** What the request requires of a target. */
    val requirements: TargetRequirements

    /** What decides when the request is started while requests of several ranks wait. */
    val startTerms: StartTerms

    /** Called when the request has been removed from the queue to be sent to [target]. */
    fun onTarget(target: KnownTarget)

    /**
     * Called when the request has been removed from the queue without a target.
     *
     * @param expectedInMillis the time until a target is expected, or `null` if that is not known.
     */
    fun onNoTarget(expectedInMillis: Long? = null)
}

/** Identifies the queue of the requests that wait for one copy, or for a service without copies. */
private data class QueueKey(val service: ServiceName, val copy: CopyName?)

/**
 * Holds the requests that wait for a target and schedules them fairly between members; used on the event loop only.
 *
 * The requests of a service whose routes have several ranks compete in one order. Those of any other service wait in
 * one queue for each copy.
 */
internal class WaitQueue(
    private val targetSelector: TargetSelector,
    private val clock: ProcessClock,
    private val view: FleetView,
    private val rankedListener: RankedWaitListener,
) {
    private val queues = LinkedHashMap<QueueKey, FairQueue>()
    private val rankedQueues = LinkedHashMap<ServiceName, RankedWaitQueue>()
    private val requests = HashMap<String, WaitingRequest>()
    private var isDispatching = false
    private var dispatchedAtMillis = 0L

    /** Called when requests wait for a copy that no engine holds. */
    var onCopyMissing: (TargetRequirements) -> Unit = {}

    /** The number of waiting requests. */
    val size: Int
        get() = requests.size + rankedQueues.values.sumOf { it.size }

    /** Returns whether the requests of [service] compete in one order because its routes have several ranks. */
    fun isRanked(service: ServiceName): Boolean = view.catalog?.hasSeveralRanks(service) == true

    /** Returns whether a request with [requirements] must not overtake others that wait for the same copy. */
    fun isOvertaking(requirements: TargetRequirements): Boolean =
        rankedQueues[requirements.service]?.isWaitedFor(requirements.copy) == true

    /** Counts a request with [terms] that was started or, if not [isStarted], refused without having waited. */
    fun recordUnqueued(service: ServiceName, terms: StartTerms, isStarted: Boolean) {
        if (isRanked(service)) rankedQueueOf(service).recordUnqueued(terms, isStarted)
    }

    private fun rankedQueueOf(service: ServiceName): RankedWaitQueue =
        rankedQueues.getOrPut(service) {
            RankedWaitQueue(targetSelector, clock, ::holdersOf, rankedListener) { onCopyMissing(it) }
        }

    private fun holdersOf(requirements: TargetRequirements): Set<TargetId> =
        view.usableTargets(requirements.service)
            .filter { requirements.copy == null || view.holds(it, requirements.copy) }
            .mapTo(LinkedHashSet()) { it.entry.targetId }

    /** Adds [request], which expires at [startByMillis]. */
    fun enqueue(id: String, memberId: MemberId, request: WaitingRequest, startByMillis: Long) {
        val service = request.requirements.service
        if (isRanked(service)) {
            val terms = request.startTerms.copy(startByMillis = startByMillis)
            return rankedQueueOf(service).enqueue(RankedRequest(id, request, terms))
        }
        val queue = queues.getOrPut(keyOf(request.requirements)) { FairQueue() }
        if (queue.offer(QueuedRequest(id, memberId, cost = 1.0, deadlineMillis = startByMillis))) requests[id] = request
    }

    /** Removes the request [id] without calling it back. */
    fun remove(id: String) {
        rankedQueues.values.forEach { it.remove(id) }
        val request = requests.remove(id) ?: return
        queues[keyOf(request.requirements)]?.removeOrNull(id)
    }

    /** Returns the requirements of a request that waits for [copy], or `null` if none does. */
    fun requirementsOrNull(copy: CopyName): TargetRequirements? {
        rankedQueues.values.firstNotNullOfOrNull { it.requirementsOrNull(copy) }?.let { return it }
        val queue = queues.entries.firstOrNull { it.key.copy == copy }?.value ?: return null
        return queue.toList().firstNotNullOfOrNull { requests[it.requestId] }?.requirements
    }

    /** Refuses all requests that wait for the copy or service of [requirements]. */
    fun refuse(requirements: TargetRequirements) {
        rankedQueues[requirements.service]?.refuseIf(expectedInMillis = null) { it.copy == requirements.copy }
        val queue = queues[keyOf(requirements)] ?: return
        queue.toList().forEach { refuse(queue, it) }
    }

    /** Refuses the requests for [copy] that would expire before [atMillis], when the copy is expected. */
    fun refuseExpiringBefore(copy: CopyName, atMillis: Long) {
        rankedQueues.values.forEach { queue ->
            queue.refuseIf(atMillis - clock.nowMillis()) { it.copy == copy && it.terms.startByMillis < atMillis }
        }
        queues.filterKeys { it.copy == copy }.values.forEach { refuseExpiringBefore(it, atMillis) }
    }

    private fun refuseExpiringBefore(queue: FairQueue, atMillis: Long) {
        val expectedInMillis = atMillis - clock.nowMillis()
        queue.toList().filter { it.deadlineMillis < atMillis }.forEach { refuse(queue, it, expectedInMillis) }
    }

    private fun refuse(queue: FairQueue, queued: QueuedRequest, expectedInMillis: Long? = null) {
        queue.removeOrNull(queued.requestId)
        requests.remove(queued.requestId)?.onNoTarget(expectedInMillis)
    }

    /** Refuses all waiting requests. */
    fun refuseAll() {
        rankedQueues.values.forEach { queue -> queue.refuseIf(expectedInMillis = null) { true } }
        requests.values.map { it.requirements }.forEach(::refuse)
    }

    /** Refuses expired requests and dispatches the others at regular intervals; called every few milliseconds. */
    fun expire() {
        if (size == 0) return
        val nowMillis = clock.nowMillis()
        if (nowMillis - dispatchedAtMillis >= DISPATCH_INTERVAL_MILLIS) return dispatch()
        queues.values.toList().forEach { queue -> expire(queue, nowMillis) }
        rankedQueues.values.toList().forEach { it.expire() }
    }

    private fun expire(queue: FairQueue, nowMillis: Long) {
        queue.expire(nowMillis).forEach { requests.remove(it.requestId)?.onNoTarget() }
    }

    /** Dispatches waiting requests to targets in fair order, and refuses expired requests. */
    fun dispatch() {
        if (isDispatching || size == 0) return
        isDispatching = true
        try {
            val nowMillis = clock.nowMillis()
            dispatchedAtMillis = nowMillis
            queues.values.toList().forEach { queue -> dispatchQueue(queue, nowMillis) }
            queues.values.removeIf { it.size == 0 }
            rankedQueues.values.toList().forEach { it.dispatch() }
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
        if (selection is TargetSelection.AllQuiet) return refuseExpiringBefore(queue, nowMillis + selection.quietMillis)
        while (queue.size > 0 && targetSelector.select(requirements) is TargetSelection.Selected) {
            if (!dispatchNext(queue, nowMillis)) break
        }
        expire(queue, nowMillis)
    }

    /** Dispatches the next request, and returns whether another one may follow. */
    private fun dispatchNext(queue: FairQueue, nowMillis: Long): Boolean {
        val queued = queue.pollOrNull(nowMillis) ?: return false
        val request = requests.remove(queued.requestId) ?: return false
        val selection = targetSelector.select(request.requirements)
        when (selection) {
            is TargetSelection.Selected -> request.onTarget(selection.target)
            TargetSelection.MemoryFull -> putBack(queue, queued, request)
            else -> request.onNoTarget()
        }
        return selection !is TargetSelection.MemoryFull
    }

    /**
     * Puts a request back that doesn't fit into the memory of any engine yet.
     *
     * It keeps its turn, so that smaller requests don't overtake it until it expires.
     */
    private fun putBack(queue: FairQueue, queued: QueuedRequest, request: WaitingRequest) {
        queue.offer(queued)
        queue.charge(queued.memberId, queued.priority, -queued.cost)
        requests[queued.requestId] = request
    }

    private fun keyOf(requirements: TargetRequirements): QueueKey = QueueKey(requirements.service, requirements.copy)

    private companion object {
        /**
         * Interval of dispatching without a triggering event.
         *
         * Some capacity becomes available by the passage of time alone, such as a target whose circuit breaker is no
         * longer open.
         */
        const val DISPATCH_INTERVAL_MILLIS = 100L
    }
}
