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
    private val answers = ArrayDeque<FirstPart>()
    private var sinceEstimate = 0
    private var millisPerToken: Double? = null

    /** Notes that the first part of an answer came [firstPartMillis] after a prompt of [promptTokens] was sent. */
    public fun record(promptTokens: Long, firstPartMillis: Long) {
        if (promptTokens <= 0) return
        answers += FirstPart(promptTokens.toDouble(), firstPartMillis.toDouble())
        if (answers.size > KEPT_ANSWERS) answers.removeFirst()
        sinceEstimate++
        if (answers.size < LEAST_ANSWERS || sinceEstimate < ANSWERS_PER_ESTIMATE) return
        sinceEstimate = 0
        millisPerToken = bestLineOrNull()?.millisPerToken ?: millisPerToken
    }

    /** Returns the milliseconds that an engine takes for one prompt token, or `null` while too little is known. */
    public fun millisPerTokenOrNull(): Double? = millisPerToken

    /** A line that fits best passes through two of the answers, so those lines are tried. */
    private fun bestLineOrNull(): SpeedLine? =
        answers.indices
            .flatMap { first -> (0 until first).mapNotNull { lineOrNull(answers[first], answers[it]) } }
            .minByOrNull { line -> answers.sumOf(line::misfit) }

    private fun lineOrNull(one: FirstPart, other: FirstPart): SpeedLine? {
        if (abs(one.tokens - other.tokens) < LEAST_TOKENS_APART) return null
        val slope = (one.millis - other.millis) / (one.tokens - other.tokens)
        return if (slope > 0) SpeedLine(one.millis - slope * one.tokens, slope) else null
    }

    private companion object {
        const val KEPT_ANSWERS = 60
        const val LEAST_ANSWERS = 12
        const val ANSWERS_PER_ESTIMATE = 6
        const val LEAST_TOKENS_APART = 200
    }
}

private class FirstPart(val tokens: Double, val millis: Double)

private class SpeedLine(private val fixedMillis: Double, val millisPerToken: Double) {
    /** Returns how badly [answer] fits the line; it fits best if [BELOW_PART] of all answers lie below it. */
    fun misfit(answer: FirstPart): Double {
        val aboveMillis = answer.millis - fixedMillis - millisPerToken * answer.tokens
        return if (aboveMillis > 0) aboveMillis * BELOW_PART else -aboveMillis * (1 - BELOW_PART)
    }

    private companion object {
        const val BELOW_PART = 0.5
    }
}
