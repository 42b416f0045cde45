package org.banyanturn.entry.requests

/** Averages of how long requests of one route take at their targets. */
internal class RouteLatencies {
    private var averageFirstPartMillis: Double? = null
    private var averageWholeAnswerMillis: Double? = null

    /** Notes how long the first part and the whole of an answer took. */
    fun record(firstPartMillis: Long, wholeAnswerMillis: Long) {
        averageFirstPartMillis = average(averageFirstPartMillis, firstPartMillis)
        averageWholeAnswerMillis = average(averageWholeAnswerMillis, wholeAnswerMillis)
    }

    /** Returns how long a whole answer takes on average, in milliseconds. */
    fun wholeAnswerMillis(): Long = (averageWholeAnswerMillis ?: DEFAULT_MILLIS).toLong()

    /** Returns how long the first part of an answer takes on average, in milliseconds. */
    fun firstPartMillis(): Long = (averageFirstPartMillis ?: DEFAULT_MILLIS).toLong()

    private fun average(known: Double?, sample: Long): Double =
        if (known == null) sample.toDouble() else known + WEIGHT * (sample - known)

    private companion object {
        const val WEIGHT = 0.05
        const val DEFAULT_MILLIS = 100.0
    }
}
