package org.banyanturn.entry.follow

import kotlin.random.Random

/**
 * Pauses between tries of a call to a store that fails: doubled with each failure in a row, and spread, so that many
 * VMs do not try together.
 */
internal class RetryBackoff(
    private val random: Random,
    private val firstMillis: Long = 200,
    private val maxMillis: Long = 800,
) {
    private var failures = 0

    /** Returns how long to pause after one more failure, in milliseconds. */
    fun nextMillis(): Long {
        val limitMillis = minOf(firstMillis shl failures.coerceAtMost(MAX_DOUBLINGS), maxMillis)
        failures++
        return limitMillis / 2 + random.nextLong(firstMillis)
    }

    /** Begins anew after a success. */
    fun reset() {
        failures = 0
    }

    private companion object {
        const val MAX_DOUBLINGS = 8
    }
}
