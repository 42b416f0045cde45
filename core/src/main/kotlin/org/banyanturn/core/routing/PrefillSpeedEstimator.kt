package org.banyanturn.core.routing

import kotlin.math.abs

/**
 * Estimates how long engines take to read a prompt token, from how long first parts of answers took; not safe for use
 * by several threads.
 *
 * The estimate is the slope of the line that leaves a certain part of the latest answers below it. So neither the
 * answers that waited for others at their engine count by how long they waited, nor those whose prompts the engine had
 * kept from before by how quick they were.
 */
public class PrefillSpeedEstimator {
    private val samples = ArrayDeque<FirstPartSample>()
    private var samplesSinceEstimate = 0
    private var millisPerToken: Double? = null

    /** Notes that the first part of an answer came [firstPartMillis] after a prompt of [promptTokens] was sent. */
    public fun record(promptTokens: Long, firstPartMillis: Long) {
        if (promptTokens <= 0) return
        samples += FirstPartSample(promptTokens.toDouble(), firstPartMillis.toDouble())
        if (samples.size > MAX_SAMPLES) samples.removeFirst()
        samplesSinceEstimate++
        if (samples.size < MIN_SAMPLES || samplesSinceEstimate < SAMPLES_PER_ESTIMATE) return
        samplesSinceEstimate = 0
        millisPerToken = bestLineOrNull()?.millisPerToken ?: millisPerToken
    }

    /** Returns the milliseconds that an engine takes for one prompt token, or `null` while too little is known. */
    public fun millisPerTokenOrNull(): Double? = millisPerToken

    /** A line that fits best passes through two of the answers, so those lines are tried. */
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
    /** Returns how badly [sample] fits the line; it fits best if [QUANTILE] of all answers lie below it. */
    fun loss(sample: FirstPartSample): Double {
        val residualMillis = sample.millis - fixedMillis - millisPerToken * sample.tokens
        return if (residualMillis > 0) residualMillis * QUANTILE else -residualMillis * (1 - QUANTILE)
    }

    private companion object {
        const val QUANTILE = 0.5
    }
}
