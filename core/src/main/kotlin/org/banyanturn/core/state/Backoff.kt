package org.banyanturn.core.state

import java.util.SplittableRandom

/**
 * Represents exponential backoff with jitter: delays before retries whose upper bound doubles up to a maximum.
 *
 * @property initialMillis maximum delay before the first retry.
 * @property maxMillis maximum delay before any retry.
 */
public data class Backoff(val initialMillis: Long, val maxMillis: Long) {
    init {
        require(initialMillis > 0) { "initialMillis must be positive, was $initialMillis" }
        require(maxMillis >= initialMillis) { "maxMillis must be at least initialMillis, was $maxMillis" }
    }

    /**
     * Returns the delay in milliseconds after [failures] consecutive failures, which must be at least 1.
     *
     * The delay is between half the bound and the bound, and the same for the same [failures] and [seed].
     */
    public fun delayMillis(failures: Int, seed: Long): Long {
        require(failures >= 1) { "failures must be at least 1, was $failures" }
        val doublings = (failures - 1).coerceAtMost(MAX_DOUBLINGS)
        val boundMillis = (initialMillis shl doublings).coerceIn(initialMillis, maxMillis)
        return SplittableRandom(seed + failures).nextLong(boundMillis / 2, boundMillis + 1)
    }

    private companion object {
        const val MAX_DOUBLINGS = 20
    }
}
