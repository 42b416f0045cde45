package org.banyanturn.entry.follow

import kotlin.random.Random

/**
 * Computes the delays between retries of a call to the store: doubled with each failure in a row up to a maximum, and
 * randomized so that many VMs do not retry at the same time.
 */
internal class RetryBackoff(
    private val random: Random,
    private val firstMillis: Long = 200,
    private val maxMillis: Long = 800,
) {
    private var failures = 0

    /** Records a failure and returns the delay before the next attempt, in milliseconds. */
    fun nextDelayMillis(): Long {
        val limitMillis = minOf(firstMillis shl failures.coerceAtMost(MAX_DOUBLINGS), maxMillis)
        failures++
        return limitMillis / 2 + random.nextLong(firstMillis)
    }

    /** Resets the delays after a success. */
    fun reset() {
        failures = 0
    }

    private companion object {
        const val MAX_DOUBLINGS = 8
    }
}
