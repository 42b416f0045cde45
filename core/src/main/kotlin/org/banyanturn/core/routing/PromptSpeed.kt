package org.banyanturn.core.routing

/**
 * Estimates how long engines take to read a prompt token, from how long first parts of answers took; not safe for use
 * by several threads.
 *
 * Of the short and of the long prompts the quick answers are followed, since those waited for nothing else; the time
 * that the longer ones take beyond the shorter ones is that of their further tokens.
 */
public class PromptSpeed {
    private val short = QuickAnswers()
    private val long = QuickAnswers()
    private var meanTokens = 0.0
    private var count = 0

    /** Notes that the first part of an answer came [firstPartMillis] after a prompt of [promptTokens] was sent. */
    public fun record(promptTokens: Long, firstPartMillis: Long) {
        if (promptTokens <= 0) return
        count++
        meanTokens += (promptTokens - meanTokens) / count.coerceAtMost(AVERAGED)
        val size = if (promptTokens < meanTokens) short else long
        size.record(promptTokens.toDouble(), firstPartMillis.toDouble())
    }

    /** Returns the milliseconds that an engine takes for one prompt token, or `null` while too little is known. */
    public fun millisPerTokenOrNull(): Double? {
        if (short.count < LEAST_ANSWERS || long.count < LEAST_ANSWERS) return null
        val slope = (long.millis - short.millis) / (long.tokens - short.tokens)
        return slope.takeIf { it > 0 && it.isFinite() }
    }

    private companion object {
        const val AVERAGED = 50
        const val LEAST_ANSWERS = 5
    }
}

/** Follows the quicker of the answers to prompts of about one size. */
private class QuickAnswers {
    var count = 0
        private set
    var tokens = 0.0
        private set
    var millis = 0.0
        private set

    fun record(promptTokens: Double, firstPartMillis: Double) {
        count++
        if (count == 1) {
            tokens = promptTokens
            millis = firstPartMillis
            return
        }
        tokens += MEAN_WEIGHT * (promptTokens - tokens)
        millis += (if (firstPartMillis < millis) QUICK_WEIGHT else SLOW_WEIGHT) * (firstPartMillis - millis)
    }

    private companion object {
        const val MEAN_WEIGHT = 0.05
        const val QUICK_WEIGHT = 0.2
        const val SLOW_WEIGHT = 0.02
    }
}
