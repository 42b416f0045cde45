package org.banyanturn.core

import kotlin.math.exp

/**
 * A sum whose terms decay exponentially over time. Not thread-safe.
 *
 * @param averagingMillis time constant of the decay: the time in which the weight of a term drops to 1/e, in
 * milliseconds.
 */
internal class DecayingSum(private val averagingMillis: Double) {
    private var sum = 0.0
    private var updatedAtMillis = 0L

    /** Adds [amount] at [nowMillis]. */
    fun add(amount: Double, nowMillis: Long) {
        decay(nowMillis)
        sum += amount
    }

    /** Returns the average amount added per millisecond, as of [nowMillis]. */
    fun ratePerMillisAt(nowMillis: Long): Double {
        decay(nowMillis)
        return sum / averagingMillis
    }

    private fun decay(nowMillis: Long) {
        if (nowMillis <= updatedAtMillis) return
        sum *= exp(-(nowMillis - updatedAtMillis) / averagingMillis)
        updatedAtMillis = nowMillis
    }
}
