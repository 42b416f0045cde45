package org.banyanturn.entry.requests

/** Averages of how long requests of one route take at their targets. */
internal class RouteLatency {
    private var firstMillis: Double? = null
    private var wholeMillis: Double? = null

    /** Notes how long the first part and the whole of an answer took. */
    fun record(firstPartMillis: Long, wholeAnswerMillis: Long) {
        firstMillis = average(firstMillis, firstPartMillis)
        wholeMillis = average(wholeMillis, wholeAnswerMillis)
    }

    /** Returns how long a whole answer takes on average, in milliseconds. */
    fun wholeAnswerMillis(): Long = (wholeMillis ?: DEFAULT_MILLIS).toLong()

    /** Returns how long the first part of an answer takes on average, in milliseconds. */
    fun firstPartMillis(): Long = (firstMillis ?: DEFAULT_MILLIS).toLong()

    private fun average(known: Double?, sample: Long): Double =
        if (known == null) sample.toDouble() else known + WEIGHT * (sample - known)

    private companion object {
        const val WEIGHT = 0.05
        const val DEFAULT_MILLIS = 100.0
    }
}
