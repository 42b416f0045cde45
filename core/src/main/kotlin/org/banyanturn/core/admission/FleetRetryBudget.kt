package org.banyanturn.core.admission

import kotlin.math.max

/**
 * The limit of retries to a service, where a retry is any attempt after the first one of a request.
 *
 * @property ratio retries per request within [windowMillis].
 * @property slack additional retries within [windowMillis], over all VMs together.
 * @property windowMillis length of the sliding window, in milliseconds.
 */
public data class FleetRetryLimit(val ratio: Double, val slack: Double, val windowMillis: Long)

/** Fraction of the limit that is used, because the sliding windows of the VMs are not aligned. */
private const val USED_FRACTION = 0.7

/**
 * One VM's share of the retries that a service may get. The VMs do not need to communicate for it.
 *
 * Load pattern: a service fails partially and every VM retries the failed requests, or clients retry immediately and
 * often. Each VM may retry [FleetRetryLimit.ratio] times the number of requests that it has received itself, plus an
 * equal share of the slack.
 */
public class FleetRetryBudget(private val limit: FleetRetryLimit) {
    private val requests = SlidingWindowCounter(limit.windowMillis)
    private val retries = SlidingWindowCounter(limit.windowMillis)

    /** Counts a request for the service. */
    public fun recordRequest(nowMillis: Long): Unit = requests.add(nowMillis)

    /** Takes one retry from the budget and returns whether there was one left, where [vmCount] VMs share the slack. */
    public fun tryTake(vmCount: Int, nowMillis: Long): Boolean {
        val allowed = USED_FRACTION * (limit.ratio * requests.countAt(nowMillis) + limit.slack / max(1, vmCount))
        if (retries.countAt(nowMillis) + 1 > allowed) return false
        retries.add(nowMillis)
        return true
    }
}

/** Counts the events of the last [windowMillis]. */
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
