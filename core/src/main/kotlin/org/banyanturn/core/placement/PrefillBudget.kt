package org.banyanturn.core.placement

import kotlin.math.pow
import kotlin.math.sqrt

/**
 * The speed of prefill on the engines, and the maximum gap that callers accept between two events of a stream.
 *
 * An engine interleaves the prefill of new prompts with decoding for its running requests. A few prompts that arrive
 * together therefore cause gaps above the limit in all streams of the engine, long before its slots are occupied.
 *
 * @property millisPerToken the prefill time per prompt token.
 * @property maxGapMillis the maximum gap between two events of a stream that callers accept.
 */
public data class PrefillBudget(val millisPerToken: Double, val maxGapMillis: Long) {
    init {
        require(millisPerToken > 0) { "millisPerToken is $millisPerToken, not more than 0" }
        require(maxGapMillis > 0) { "maxGapMillis is $maxGapMillis, not more than 0" }
    }

    /**
     * Returns the maximum fraction of its time, from 0 to 1, that an engine may spend on prefill so that the prompts
     * that arrive within [maxGapMillis] rarely take longer than this.
     *
     * Prompts are assumed to arrive independently, with a standard deviation of their length equal to the mean.
     *
     * @param meanTokens the mean number of tokens per prompt.
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
        /** The fraction of a gap that is available for prefill; decoding takes the rest. */
        const val USABLE_FRACTION = 0.9

        /** The number of standard deviations above the mean prefill time that must still fit into one gap. */
        const val DEVIATIONS = 2.0
    }
}
