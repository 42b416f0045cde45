package org.banyanturn.core.admission

import kotlin.math.max

/**
 * How many repeats a service may get beyond the first arrival of each request.
 *
 * @property ratio repeats for each request, over [windowMillis].
 * @property slack repeats besides, over all VMs together.
 */
public data class FleetRetryLimit(val ratio: Double, val slack: Double, val windowMillis: Long)

/** Part of the limit that is used, since VMs count in windows that begin at different moments. */
private const val USED_FRACTION = 0.7

/**
 * One VM's part of the repeats that a service may get; the VMs need not talk to each other.
 *
 * Load pattern: a service fails in part and every VM repeats what failed, or clients repeat at once and often. Each VM
 * spends [FleetRetryLimit.ratio] of the requests that it has taken itself, and an equal part of the slack.
 */
public class FleetRetryBudget(private val limit: FleetRetryLimit) {
    private val requests = SlidingWindowCounter(limit.windowMillis)
    private val retries = SlidingWindowCounter(limit.windowMillis)

    /** Counts a request for the service. */
    public fun recordRequest(nowMillis: Long): Unit = requests.add(nowMillis)

    /** Takes one repeat and returns whether there was one left, where [vmCount] VMs share the slack. */
    public fun tryTake(vmCount: Int, nowMillis: Long): Boolean {
        val allowed = USED_FRACTION * (limit.ratio * requests.countAt(nowMillis) + limit.slack / max(1, vmCount))
        if (retries.countAt(nowMillis) + 1 > allowed) return false
        retries.add(nowMillis)
        return true
    }
}

/** Counts events of the last [windowMillis]. */
private class SlidingWindowCounter(private val windowMillis: Long) {
    private val timesMillis = ArrayDeque<Long>()

    fun add(nowMillis: Long) {
        timesMillis.addLast(nowMillis)
    }

    fun countAt(nowMillis: Long): Int {
        while (timesMillis.isNotEmpty() && nowMillis - timesMillis.first() >= windowMillis) timesMillis.removeFirst()
        return timesMillis.size
    }
}
