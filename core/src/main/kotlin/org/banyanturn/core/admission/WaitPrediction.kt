package org.banyanturn.core.admission

import kotlin.math.ceil
import kotlin.math.max

private const val MILLIS_PER_SECOND = 1_000.0

/**
 * What a VM knows of one copy of a model, or of one target of a plain service.
 *
 * @property slots requests that it runs at once at full speed.
 * @property reportedRequests requests that ran or waited there when it last reported.
 * @property sentSinceReport requests that this VM has sent there since that report was made.
 * @property costPerSecond cost units that it finishes in a second with all slots in use.
 * @property readyAfterMillis how long its load will still take; 0 if it is ready.
 * @property reportAgeMillis how old its last report is.
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

    /** Requests that may be there: a report that lags never hides what was sent after it. */
    val assumedRequests: Int
        get() = reportedRequests + sentSinceReport

    /** Whether a request would run at once. */
    val hasFreeSlot: Boolean
        get() = readyAfterMillis <= 0 && assumedRequests < slots
}

/**
 * Returns how many milliseconds pass until a request with [costAhead] before it starts on one of [copies], or `null` if
 * there is no copy and none is being loaded.
 *
 * @param averageCost average cost of the requests that the copies run.
 */
public fun predictWaitMillisOrNull(copies: List<CopyLoad>, costAhead: Double, averageCost: Double): Long? {
    if (copies.isEmpty()) return null
    val freeSlots = copies.sumOf { if (it.hasFreeSlot) it.slots - it.assumedRequests else 0 }
    if (freeSlots > 0 && costAhead < freeSlots * averageCost) return 0
    val queuedCost = copies.sumOf { max(0, it.assumedRequests - it.slots + 1) } * averageCost
    return millisToFinish(copies, costAhead + queuedCost)
}

/** Returns when the copies, each from when it is ready, have finished [cost] units together. */
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
