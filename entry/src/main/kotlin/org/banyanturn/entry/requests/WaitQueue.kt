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
    fun onWaitOver()
}

/** The copies or services that requests wait for, one queue for each. */
private data class LaneKey(val service: ServiceName, val copy: CopyName?)

/** Requests that wait for a target, with fair turns between members; used on the event loop only. */
internal class WaitQueue(private val targetSelector: TargetSelector, private val clock: ProcessClock) {
    private val lanes = LinkedHashMap<LaneKey, FairQueue>()
    private val requests = HashMap<String, WaitingRequest>()
    private var isServing = false
    private var servedAtMillis = 0L

    /** Called when requests wait for a copy that no engine holds. */
    var onCopyMissing: (TargetRequirements) -> Unit = {}

    /** How many requests wait. */
    val size: Int
        get() = requests.size

    /** Returns how many requests wait for what [requirements] asks for. */
    fun waitingFor(requirements: TargetRequirements): Int = lanes[laneOf(requirements)]?.size ?: 0

    /** Lets [request] wait until [startByMillis]. */
    fun join(id: String, memberId: MemberId, request: WaitingRequest, startByMillis: Long) {
        val lane = lanes.getOrPut(laneOf(request.requirements)) { FairQueue() }
        if (lane.offer(QueuedRequest(id, memberId, cost = 1.0, deadlineMillis = startByMillis))) requests[id] = request
    }

    /** Ends the wait of a request that is given up. */
    fun leave(id: String) {
        val request = requests.remove(id) ?: return
        lanes[laneOf(request.requirements)]?.removeOrNull(id)
    }

    /** Returns the need of a request that waits for [copy], or `null` if none does. */
    fun needOrNull(copy: CopyName): TargetRequirements? {
        val lane = lanes.entries.firstOrNull { it.key.copy == copy }?.value ?: return null
        return lane.toList().firstNotNullOfOrNull { requests[it.requestId] }?.requirements
    }

    /** Ends the waits of all requests that wait for what [requirements] asks for. */
    fun refuse(requirements: TargetRequirements) {
        val lane = lanes[laneOf(requirements)] ?: return
        lane.toList().forEach { refuse(lane, it) }
    }

    /** Ends the waits for [copy] that would be over by [atMillis], when it is expected. */
    fun refuseExpiringBefore(copy: CopyName, atMillis: Long) {
        lanes.filterKeys { it.copy == copy }.values.forEach { refuseExpiringBefore(it, atMillis) }
    }

    private fun refuseExpiringBefore(lane: FairQueue, atMillis: Long) {
        lane.toList().filter { it.deadlineMillis < atMillis }.forEach { refuse(lane, it) }
    }

    private fun refuse(lane: FairQueue, queued: QueuedRequest) {
        lane.removeOrNull(queued.requestId)
        requests.remove(queued.requestId)?.onWaitOver()
    }

    /** Ends all waits. */
    fun refuseAll() {
        requests.values.map { it.requirements }.forEach(::refuse)
    }

    /** Ends the waits that are over, and looks at the others now and then; called every few milliseconds. */
    fun expire() {
        if (requests.isEmpty()) return
        val nowMillis = clock.nowMillis()
        if (nowMillis - servedAtMillis >= SERVE_INTERVAL_MILLIS) return dispatch()
        lanes.values.toList().forEach { lane -> expire(lane, nowMillis) }
    }

    private fun expire(lane: FairQueue, nowMillis: Long) {
        lane.expire(nowMillis).forEach { requests.remove(it.requestId)?.onWaitOver() }
    }

    /** Gives targets to the requests whose turn it is, and ends the waits that are over. */
    fun dispatch() {
        if (isServing || requests.isEmpty()) return
        isServing = true
        try {
            val nowMillis = clock.nowMillis()
            servedAtMillis = nowMillis
            lanes.values.toList().forEach { lane -> serveLane(lane, nowMillis) }
            lanes.values.removeIf { it.size == 0 }
        } finally {
            isServing = false
        }
    }

    private fun serveLane(lane: FairQueue, nowMillis: Long) {
        expire(lane, nowMillis)
        val sample = lane.toList().firstOrNull() ?: return
        val requirements = requests[sample.requestId]?.requirements ?: return
        val placed = targetSelector.select(requirements)
        if (placed is TargetSelection.CopyMissing) return onCopyMissing(requirements)
        if (placed is TargetSelection.Quiet) return refuseExpiringBefore(lane, nowMillis + placed.forMillis)
        while (lane.size > 0 && targetSelector.select(requirements) is TargetSelection.Send) {
            val request = lane.pollOrNull(nowMillis)?.let { requests.remove(it.requestId) } ?: break
            when (val placed = targetSelector.select(request.requirements)) {
                is TargetSelection.Send -> request.onTarget(placed.target)
                else -> request.onWaitOver()
            }
        }
        expire(lane, nowMillis)
    }

    private fun laneOf(requirements: TargetRequirements): LaneKey = LaneKey(requirements.service, requirements.copy)

    private companion object {
        /** Rooms that open by time alone, such as a trusted target, are noticed within this time. */
        const val SERVE_INTERVAL_MILLIS = 100L
    }
}
