package org.banyanturn.core.routing

import kotlin.math.abs

/**
 * Estimates the prefill time of engines per prompt token from the time to the first part of their answers. Not
 * thread-safe.
 *
 * The estimate is the slope of a quantile regression line through the latest samples. Unlike with least squares, the
 * distance of outliers has no effect: neither how long answers were queued at their engine, nor how early answers came
 * whose prompts were in the engine's prefix cache.
 */
public class PrefillSpeedEstimator {
    private val samples = ArrayDeque<FirstPartSample>()
    private var samplesSinceEstimate = 0
    private var millisPerToken: Double? = null

    /** Records that the first part of an answer arrived [firstPartMillis] after a prompt of [promptTokens] was sent. */
    public fun record(promptTokens: Long, firstPartMillis: Long) {
        if (promptTokens <= 0) return
        samples += FirstPartSample(promptTokens.toDouble(), firstPartMillis.toDouble())
        if (samples.size > MAX_SAMPLES) samples.removeFirst()
        samplesSinceEstimate++
        if (samples.size < MIN_SAMPLES || samplesSinceEstimate < SAMPLES_PER_ESTIMATE) return
        samplesSinceEstimate = 0
        millisPerToken = bestLineOrNull()?.millisPerToken ?: millisPerToken
    }

    /** Returns the estimated prefill time per prompt token, in milliseconds, or `null` if there are too few samples. */
    public fun millisPerTokenOrNull(): Double? = millisPerToken

    /** Tries the lines through every two samples: one of them is optimal for quantile regression. */
    private fun bestLineOrNull(): LatencyLine? =
        samples.indices
            .flatMap { first -> (0 until first).mapNotNull { lineOrNull(samples[first], samples[it]) } }
            .minByOrNull { line -> samples.sumOf(line::loss) }

    private fun lineOrNull(one: FirstPartSample, other: FirstPartSample): LatencyLine? {
        if (abs(one.tokens - other.tokens) < MIN_TOKEN_DIFFERENCE) return null
        val slope = (one.millis - other.millis) / (one.tokens - other.tokens)
        return if (slope > 0) LatencyLine(one.millis - slope * one.tokens, slope) else null
    }

    private companion object {
        const val MAX_SAMPLES = 60
        const val MIN_SAMPLES = 12
        const val SAMPLES_PER_ESTIMATE = 6
        const val MIN_TOKEN_DIFFERENCE = 200
    }
}

private class FirstPartSample(val tokens: Double, val millis: Double)

private class LatencyLine(private val fixedMillis: Double, val millisPerToken: Double) {
    /** Returns the quantile loss of [sample]; the best line has the fraction [QUANTILE] of the samples below it. */
    fun loss(sample: FirstPartSample): Double {
        val residualMillis = sample.millis - fixedMillis - millisPerToken * sample.tokens
        return if (residualMillis > 0) residualMillis * QUANTILE else -residualMillis * (1 - QUANTILE)
    }

    private companion object {
        const val QUANTILE = 0.5
    }
}
