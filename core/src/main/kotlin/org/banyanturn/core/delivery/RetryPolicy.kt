package org.banyanturn.core.delivery

import org.banyanturn.core.MemberId
import kotlin.random.Random

/** A limit on the attempts that a member's requests may cost beyond the first. */
public fun interface RetryBudget {
    /** Takes one attempt from the budget of [memberId] and returns whether there was one left. */
    public fun tryTake(memberId: MemberId?, nowMillis: Long): Boolean
}

/** Returns a budget that never runs out. */
public fun unlimitedRetryBudget(): RetryBudget = RetryBudget { _, _ -> true }

/**
 * The bounds of retrying one request.
 *
 * @property maxAttempts most attempts of a request that left for a target, the first included.
 * @property maxUnsentAttempts most attempts of which no byte left, such as failed connections; they cost no budget.
 * @property baseBackoffMillis upper bound of the wait before the second attempt.
 * @property maxBackoffMillis upper bound of any wait.
 * @property unresolvedRetryAfterMillis when a caller is told to ask again for an outcome that is unknown.
 */
public data class RetryPolicy(
    val maxAttempts: Int = 6,
    val maxUnsentAttempts: Int = 6,
    val baseBackoffMillis: Long = 20,
    val maxBackoffMillis: Long = 500,
    val unresolvedRetryAfterMillis: Long = 2_000,
) {
    init {
        require(maxAttempts >= 1) { "maxAttempts is at least 1, got $maxAttempts" }
        require(maxUnsentAttempts >= 1) { "maxUnsentAttempts is at least 1, got $maxUnsentAttempts" }
        require(baseBackoffMillis in 1..maxBackoffMillis) { "baseBackoffMillis is in 1..$maxBackoffMillis" }
    }
}

private const val MAX_BACKOFF_DOUBLINGS = 20

/**
 * Returns the wait in milliseconds before the attempt that follows [failedAttempts] failed ones.
 *
 * The wait is drawn evenly from zero to an upper bound that doubles with each failure (full jitter).
 */
public fun RetryPolicy.backoffMillis(failedAttempts: Int, random: Random): Long {
    val doublings = (failedAttempts - 1).coerceIn(0, MAX_BACKOFF_DOUBLINGS)
    val boundMillis = (baseBackoffMillis shl doublings).coerceAtMost(maxBackoffMillis)
    return random.nextLong(boundMillis + 1)
}

internal fun RetryPolicy.retryAfterMillis(outcome: RequestOutcome): Long =
    if (outcome == RequestOutcome.NOT_RUN) maxBackoffMillis else unresolvedRetryAfterMillis
