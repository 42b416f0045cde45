package org.banyanturn.core.admission

import org.banyanturn.core.MemberId
import java.util.concurrent.ConcurrentHashMap
import kotlin.math.min

/**
 * Limits each member's retries to a fraction of its first attempts, so that retries cannot amplify an overload.
 * Thread-safe.
 */
public interface RetryBudget {
    /** Counts a first attempt of [memberId]. */
    public fun recordFirstAttempt(memberId: MemberId)

    /** Returns whether [memberId] may retry now; if so, the retry is deducted from its budget. */
    public fun tryRetry(memberId: MemberId): Boolean
}

/**
 * Returns a budget in which every first attempt earns [retriesPerAttempt] retries and a member can save up to
 * [maxSavedRetries]; a new member starts with [maxSavedRetries].
 *
 * @throws IllegalArgumentException if [retriesPerAttempt] is not from 0 to 1, or [maxSavedRetries] is less than 1.
 */
public fun RetryBudget(retriesPerAttempt: Double = 0.1, maxSavedRetries: Double = 10.0): RetryBudget {
    require(retriesPerAttempt in 0.0..1.0) { "retriesPerAttempt must be from 0 to 1, was $retriesPerAttempt" }
    require(maxSavedRetries >= 1) { "maxSavedRetries must be at least 1, was $maxSavedRetries" }
    return MemberRetryBudget(retriesPerAttempt, maxSavedRetries)
}

private class MemberRetryBudget(
    private val retriesPerAttempt: Double,
    private val maxSavedRetries: Double,
) : RetryBudget {
    private val savedRetries = ConcurrentHashMap<MemberId, Double>()

    override fun recordFirstAttempt(memberId: MemberId) {
        savedRetries.compute(memberId) { _, saved ->
            min(maxSavedRetries, (saved ?: maxSavedRetries) + retriesPerAttempt)
        }
    }

    override fun tryRetry(memberId: MemberId): Boolean {
        var isAllowed = false
        savedRetries.compute(memberId) { _, saved ->
            val available = saved ?: maxSavedRetries
            isAllowed = available >= 1
            if (isAllowed) available - 1 else available
        }
        return isAllowed
    }
}
