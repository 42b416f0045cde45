package org.banyanturn.core.limits

import kotlin.math.ceil
import kotlin.math.max
import kotlin.math.min

private const val MILLIS_PER_SECOND = 1_000.0
private const val MAX_REFILL_MILLIS = 10_000L

/**
 * The part of a member's limit that a VM uses while the member's collector doesn't answer.
 *
 * It is empty while the collector answers, so that parts saved up by many VMs can't be used beside the collector's
 * grants.
 */
internal class IsolatedBucket(private val collectorTimeoutMillis: Long) {
    /** Cost units that may be used; below 0 after a request that exceeded them. */
    var tokens = 0.0
        private set

    /** Total cost units that the VM has saved up while it was isolated, and that the collector may grant instead. */
    var surrenderedCost = 0.0
        private set
    private var refilledAtMillis = 0L
    private var isIsolated = false
    private var isStarting = false

    /** Provides the tokens of a VM that has just started. */
    fun fillAtStart(limit: BucketLimit, vmCount: Int) {
        isStarting = true
        tokens = limit.startTokens(vmCount)
    }

    /** Adds the tokens of the time since the last refill, if no report was answered since [unansweredSinceMillis]. */
    fun refill(limit: BucketLimit, vmCount: Int, unansweredSinceMillis: Long?, nowMillis: Long) {
        isIsolated = unansweredSinceMillis != null && nowMillis - unansweredSinceMillis >= collectorTimeoutMillis
        if (unansweredSinceMillis == null || !isIsolated) return
        val fromMillis = max(refilledAtMillis, unansweredSinceMillis + collectorTimeoutMillis)
        if (nowMillis <= fromMillis) return
        val refilled = ISOLATED_FRACTION / max(1, vmCount) * limit.ratePerSecond * (nowMillis - fromMillis)
        tokens = max(tokens, min(limit.isolatedCapacity(vmCount), tokens + refilled / MILLIS_PER_SECOND))
        refilledAtMillis = nowMillis
    }

    /** Applies a changed limit. */
    fun shrink(limit: BucketLimit, vmCount: Int) {
        tokens = min(tokens, limit.isolatedCapacity(vmCount))
    }

    /** Debits [cost] if the VM is isolated or has just started and has the tokens for it. */
    fun tryDebit(cost: Double, limit: BucketLimit, vmCount: Int): Boolean {
        val isUsable = isIsolated || isStarting
        if (!isUsable || !isAffordable(cost, limit, vmCount)) return false
        isStarting = isStarting && tokens >= cost
        tokens -= cost
        return true
    }

    /** Returns after how many milliseconds without an answer the tokens suffice for [cost]; 10 s if they never do. */
    fun millisUntil(cost: Double, limit: BucketLimit, vmCount: Int): Long {
        val maxCost = limit.isolatedCapacity(vmCount) + limit.isolatedDebt(vmCount)
        val ratePerSecond = ISOLATED_FRACTION / max(1, vmCount) * limit.ratePerSecond
        if (!isIsolated || cost > maxCost || ratePerSecond <= 0) return MAX_REFILL_MILLIS
        val missing = min(cost, limit.isolatedCapacity(vmCount)) - tokens
        return ceil(missing / ratePerSecond * MILLIS_PER_SECOND).coerceIn(0.0, MAX_REFILL_MILLIS.toDouble()).toLong()
    }

    private fun isAffordable(cost: Double, limit: BucketLimit, vmCount: Int): Boolean {
        if (tokens >= cost) return true
        if (isStarting) return cost <= limit.maxStartCost(vmCount)
        val capacity = limit.isolatedCapacity(vmCount)
        return tokens >= capacity && cost <= capacity + limit.isolatedDebt(vmCount)
    }

    /**
     * Drops the tokens, since the collector answers.
     *
     * Those that the VM saved up while it was isolated are added to [surrenderedCost].
     */
    fun empty() {
        if (isIsolated) surrenderedCost += max(0.0, tokens)
        tokens = 0.0
        isStarting = false
        isIsolated = false
    }
}
