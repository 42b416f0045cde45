package org.banyanturn.entry.requests

import org.banyanturn.core.TargetId
import org.banyanturn.core.admission.StartRates
import org.banyanturn.core.placement.CopyName
import org.banyanturn.core.queueing.StartOrder
import org.banyanturn.core.queueing.StartTerms
import org.banyanturn.core.serving.KnownTarget
import org.banyanturn.daemon.ProcessClock

/** Represents a request that waits in a [RankedWaitQueue]. */
internal class RankedRequest(val id: String, val request: WaitingRequest, val terms: StartTerms) {
    val copy: CopyName?
        get() = request.requirements.copy
}

/** Receives what becomes of the requests in a [RankedWaitQueue]. */
internal interface RankedWaitListener {
    /** Called when a request of [rank] starts to wait. */
    fun onWaiting(rank: Int)

    /** Called when a request of [rank] that has waited is started. */
    fun onStarted(rank: Int)

    /** Called when a request of [rank] is refused because it can't be started in time. */
    fun onRefused(rank: Int)

    /** Called when [refused] is refused before its latest start time, since at least [expectedInMillis] are needed. */
    fun onPredictedLate(refused: RankedRequest, aheadCount: Int, expectedInMillis: Long)
}

/**
 * Holds the requests of one service with routes of several ranks that wait for a target, and starts the requests for
 * all its copies in one order; used on the event loop only.
 *
 * @param holdersOf returns the targets on which a request can be started.
 */
internal class RankedWaitQueue(
    private val targetSelector: TargetSelector,
    private val clock: ProcessClock,
    private val holdersOf: (TargetRequirements) -> Set<TargetId>,
    private val listener: RankedWaitListener,
    private val onCopyMissing: (TargetRequirements) -> Unit,
) {
    private val waiting = LinkedHashMap<String, RankedRequest>()
    private val order = StartOrder()
    private val rates = StartRates<TargetId>()
    private var predictedAtMillis = Long.MIN_VALUE / 2

    /** The number of waiting requests. */
    val size: Int
        get() = waiting.size

    /** Returns the requirements of a request that waits for [copy], or `null` if none does. */
    fun requirementsOrNull(copy: CopyName): TargetRequirements? =
        waiting.values.firstOrNull { it.copy == copy }?.request?.requirements

    /** Returns whether a request for [copy] waits. */
    fun isWaitedFor(copy: CopyName?): Boolean = waiting.values.any { it.copy == copy }

    /** Adds [request] unless a request with the same id waits. */
    fun enqueue(request: RankedRequest) {
        val isFirstForCopy = !isWaitedFor(request.copy)
        if (waiting.putIfAbsent(request.id, request) != null) return
        listener.onWaiting(request.terms.rank)
        if (isFirstForCopy) observeWaiting()
        if (waiting.size <= MAX_PREDICTED_ON_ARRIVAL) refuseUnstartable()
    }

    /** Removes the request [id] without calling it back. */
    fun remove(id: String) {
        val removed = waiting.remove(id) ?: return
        if (!isWaitedFor(removed.copy)) observeWaiting()
    }

    /** Refuses the waiting requests that satisfy [predicate], since a target is expected after [expectedInMillis]. */
    fun refuseIf(expectedInMillis: Long?, predicate: (RankedRequest) -> Boolean) {
        waiting.values.filter(predicate).forEach { refuse(it, expectedInMillis) }
    }

    private fun refuse(refused: RankedRequest, expectedInMillis: Long?) {
        if (refused.id !in waiting) return
        remove(refused.id)
        order.recordLost(refused.terms, clock.nowMillis())
        listener.onRefused(refused.terms.rank)
        refused.request.onNoTarget(expectedInMillis)
    }

    /** Refuses the requests whose latest start time has passed. */
    fun expire() {
        val nowMillis = clock.nowMillis()
        refuseIf(expectedInMillis = null) { it.terms.startByMillis <= nowMillis }
    }

    /** Starts requests while there are targets for them, and refuses those that can't be started in time. */
    fun dispatch() {
        expire()
        startWhilePossible()
        val intervalMillis = maxOf(PREDICTION_INTERVAL_MILLIS, waiting.size.toLong())
        if (waiting.isEmpty() || clock.nowMillis() - predictedAtMillis < intervalMillis) return
        observeWaiting()
        refuseUnstartable()
    }

    private fun startWhilePossible() {
        val nowMillis = clock.nowMillis()
        val withoutTarget = HashSet<CopyName?>()
        while (true) {
            val startable = waiting.values.filterNot { it.copy in withoutTarget }
            val next = order.firstOrNull(startable, nowMillis, RankedRequest::terms) ?: break
            val selection = targetSelector.select(next.request.requirements)
            if (selection is TargetSelection.Selected) {
                start(next, selection.target)
            } else {
                withoutTarget += next.copy
                onNotSelected(next, selection)
            }
        }
    }

    private fun start(started: RankedRequest, target: KnownTarget) {
        rates.recordStarted(target.entry.targetId, clock.nowMillis())
        remove(started.id)
        order.recordStarted(started.terms, clock.nowMillis())
        listener.onStarted(started.terms.rank)
        started.request.onTarget(target)
    }

    private fun onNotSelected(next: RankedRequest, selection: TargetSelection) {
        when (selection) {
            is TargetSelection.CopyMissing -> onCopyMissing(next.request.requirements)

            is TargetSelection.AllQuiet -> {
                val atMillis = clock.nowMillis() + selection.quietMillis
                refuseIf(selection.quietMillis) { it.copy == next.copy && it.terms.startByMillis < atMillis }
            }

            else -> Unit
        }
    }

    /** Counts the request with [terms], which was started or, if not [isStarted], refused without having waited. */
    fun recordUnqueued(terms: StartTerms, isStarted: Boolean) {
        if (isStarted) order.recordStarted(terms, clock.nowMillis()) else order.recordLost(terms, clock.nowMillis())
    }

    private fun observeWaiting(): Unit =
        rates.observe(holdersByCopy().values.flatMapTo(HashSet()) { it }, clock.nowMillis())

    private fun holdersByCopy(): Map<CopyName?, Set<TargetId>> =
        waiting.values.associate { it.copy to it.request.requirements }.mapValues { (_, needed) -> holdersOf(needed) }

    /**
     * Refuses the requests that can't be started before their latest start time even if the targets take requests at
     * the highest plausible rate. Only the requests ahead that need the same targets are counted.
     */
    private fun refuseUnstartable() {
        val nowMillis = clock.nowMillis()
        predictedAtMillis = nowMillis
        if (waiting.size <= 1) return
        val holders = holdersByCopy()
        val counts = order.countsAhead(waiting.values, nowMillis, RankedRequest::terms) { ahead, behind ->
            val possible = holders.getValue(ahead.copy)
            possible.isNotEmpty() && (ahead.copy == behind.copy || holders.getValue(behind.copy).containsAll(possible))
        }
        var refusedCount = 0
        counts.entries.sortedBy { it.value }.forEach { (request, count) ->
            val aheadCount = count - refusedCount
            val waitMillis = rates.waitMillisOrNull(holders.getValue(request.copy), aheadCount, nowMillis)
            if (waitMillis == null || nowMillis + waitMillis <= request.terms.startByMillis) return@forEach
            refusedCount++
            listener.onPredictedLate(request, aheadCount, waitMillis)
            refuse(request, waitMillis)
        }
    }

    private companion object {
        const val PREDICTION_INTERVAL_MILLIS = 100L

        /** A longer queue is predicted at intervals only, since the time for it grows with the square of its size. */
        const val MAX_PREDICTED_ON_ARRIVAL = 200
    }
}
