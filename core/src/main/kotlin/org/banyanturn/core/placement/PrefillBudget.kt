package org.banyanturn.core.placement

import kotlin.math.pow
import kotlin.math.sqrt

/**
 * How fast engines read prompts, and the longest pause that callers allow between two events of a stream.
 *
 * Load pattern: an engine reads prompts between the tokens of all that it runs, so a few prompts that arrive together
 * break the pauses of all its streams, long before its slots are taken.
 *
 * @property millisPerToken time in which an engine reads one prompt token.
 * @property maxGapMillis the longest pause that callers still take for on time.
 */
public data class PrefillBudget(val millisPerToken: Double, val maxGapMillis: Long) {
    init {
        require(millisPerToken > 0) { "millisPerToken is $millisPerToken, not more than 0" }
        require(maxGapMillis > 0) { "longestPauseMillis is $maxGapMillis, not more than 0" }
    }

    /**
     * Returns the part of its time, from 0 to 1, that an engine may read prompts of [meanTokens] tokens on average so
     * that the prompts of one pause seldom take longer than the pause.
     *
     * Prompts are taken to arrive independently, with sizes that spread as far as their mean.
     */
    public fun maxPrefillFraction(meanTokens: Double): Double {
        val promptMillis = meanTokens * millisPerToken
        val usableMillis = maxGapMillis * USABLE_FRACTION
        if (promptMillis <= 0) return USABLE_FRACTION
        val spread = DEVIATIONS * sqrt(2 * promptMillis * maxGapMillis)
        val root = (sqrt(spread.pow(2) + 4 * maxGapMillis * usableMillis) - spread) / (2 * maxGapMillis)
        return root.pow(2)
    }

    private companion object {
        /** The rest of a pause goes into the tokens themselves. */
        const val USABLE_FRACTION = 0.9

        /** Standard deviations of the prompts' time within one pause that must fit into it. */
        const val DEVIATIONS = 2.0
    }
}
