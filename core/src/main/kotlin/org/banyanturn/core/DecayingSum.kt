package org.banyanturn.core

import kotlin.math.exp

/**
 * A sum whose terms lose weight exponentially with time.
 *
 * @param averagingMillis time after which a term has lost all but 1/e of its weight.
 */
internal class DecayingSum(private val averagingMillis: Double) {
    private var sum = 0.0
    private var updatedAtMillis = 0L

    /** Adds [amount] at [nowMillis]. */
    fun add(amount: Double, nowMillis: Long) {
        decay(nowMillis)
        sum += amount
    }

    /** Returns the average of what is added in a millisecond, at [nowMillis]. */
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
