package org.banyanturn.core.delivery

import org.banyanturn.core.MemberId
import kotlin.random.Random

/** Limits the attempts beyond the first that a member's requests may use. */
public fun interface RetryBudget {
    /** Takes one attempt from the budget of [memberId]; returns `false` if none is left. */
    public fun tryTake(memberId: MemberId?, nowMillis: Long): Boolean
}

/** Returns a budget without a limit. */
public fun unlimitedRetryBudget(): RetryBudget = RetryBudget { _, _ -> true }

/**
 * Limits on the retries of one request.
 *
 * @property maxAttempts maximum number of attempts that were sent to a target, including the first.
 * @property maxUnsentAttempts maximum number of attempts of which no byte was sent, such as failed connections; until
 * an attempt is sent, they use no retry budget.
 * @property baseBackoffMillis upper bound of the wait before the second attempt.
 * @property maxBackoffMillis upper bound of any wait.
 * @property unresolvedRetryAfterMillis time after which a caller is told to retry a request whose outcome is unknown.
 */
public data class RetryPolicy(
    val maxAttempts: Int = 6,
    val maxUnsentAttempts: Int = 6,
    val baseBackoffMillis: Long = 20,
    val maxBackoffMillis: Long = 500,
    val unresolvedRetryAfterMillis: Long = 2_000,
) {
    init {
        require(maxAttempts >= 1) { "maxAttempts must be at least 1, was $maxAttempts" }
        require(maxUnsentAttempts >= 1) { "maxUnsentAttempts must be at least 1, was $maxUnsentAttempts" }
        require(baseBackoffMillis in 1..maxBackoffMillis) { "baseBackoffMillis must be in 1..$maxBackoffMillis" }
    }
}

private const val MAX_BACKOFF_DOUBLINGS = 20

/**
 * Returns the wait in milliseconds before the attempt that follows [failedAttempts] failed attempts.
 *
 * The wait is uniformly distributed between zero and an upper bound that doubles with each failure (full jitter).
 */
public fun RetryPolicy.backoffMillis(failedAttempts: Int, random: Random): Long {
    val doublings = (failedAttempts - 1).coerceIn(0, MAX_BACKOFF_DOUBLINGS)
    val boundMillis = (baseBackoffMillis shl doublings).coerceAtMost(maxBackoffMillis)
    return random.nextLong(boundMillis + 1)
}

internal fun RetryPolicy.retryAfterMillis(outcome: RequestOutcome): Long =
    if (outcome == RequestOutcome.NOT_RUN) maxBackoffMillis else unresolvedRetryAfterMillis
