package org.banyanturn.core.admission

import kotlin.math.ceil
import kotlin.math.max

private const val MILLIS_PER_SECOND = 1_000.0

/**
 * The load of one copy of a model, or of one target of a plain service, as known to this VM.
 *
 * @property slots number of requests that run concurrently at full speed.
 * @property reportedRequests requests that were running or queued there when it last reported.
 * @property sentSinceReport requests that this VM has sent there since that report.
 * @property costPerSecond cost units that are processed per second with all slots in use.
 * @property readyAfterMillis time until the copy is loaded, in milliseconds; 0 if it is ready.
 * @property reportAgeMillis age of the last report, in milliseconds.
 */
public data class CopyLoad(
    val slots: Int,
    val reportedRequests: Int,
    val sentSinceReport: Int,
    val costPerSecond: Double,
    val readyAfterMillis: Long = 0,
    val reportAgeMillis: Long = 0,
) {
    init {
        require(slots > 0) { "slots must be positive, was $slots" }
        require(costPerSecond > 0) { "costPerSecond must be positive, was $costPerSecond" }
    }

    /** The estimated number of requests there, which includes those sent since the last report. */
    val assumedRequests: Int
        get() = reportedRequests + sentSinceReport

    /** Whether a new request would start immediately. */
    val hasFreeSlot: Boolean
        get() = readyAfterMillis <= 0 && assumedRequests < slots
}

/**
 * Returns the predicted time, in milliseconds, until a request with [costAhead] cost units before it starts on one of
 * [copies], or `null` if no copy is loaded or being loaded.
 *
 * @param averageCost average cost of the requests that the copies run, in cost units.
 */
public fun predictWaitMillisOrNull(copies: List<CopyLoad>, costAhead: Double, averageCost: Double): Long? {
    if (copies.isEmpty()) return null
    val freeSlots = copies.sumOf { if (it.hasFreeSlot) it.slots - it.assumedRequests else 0 }
    if (freeSlots > 0 && costAhead < freeSlots * averageCost) return 0
    val queuedCost = copies.sumOf { max(0, it.assumedRequests - it.slots + 1) } * averageCost
    return millisToFinish(copies, costAhead + queuedCost)
}

/** Returns the time, in milliseconds, in which [copies] together process [cost] units; each starts when it is ready. */
private fun millisToFinish(copies: List<CopyLoad>, cost: Double): Long {
    var remaining = cost
    var rate = 0.0
    var atMillis = 0.0
    for (copy in copies.sortedBy { it.readyAfterMillis }) {
        val readyMillis = max(0L, copy.readyAfterMillis).toDouble()
        val finished = rate * (readyMillis - atMillis) / MILLIS_PER_SECOND
        if (rate > 0 && finished >= remaining) break
        remaining -= finished
        atMillis = readyMillis
        rate += copy.costPerSecond
    }
    return ceil(atMillis + remaining / rate * MILLIS_PER_SECOND).toLong()
}
