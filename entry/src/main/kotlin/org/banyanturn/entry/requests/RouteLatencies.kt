package org.banyanturn.entry.requests

/** Tracks the average time that targets take for requests of one route. */
internal class RouteLatencies {
    private var averageFirstPartMillis: Double? = null
    private var averageFullResponseMillis: Double? = null

    /** Records how long the first part of a response and the full response took. */
    fun record(firstPartMillis: Long, fullResponseMillis: Long) {
        averageFirstPartMillis = average(averageFirstPartMillis, firstPartMillis)
        averageFullResponseMillis = average(averageFullResponseMillis, fullResponseMillis)
    }

    /** Returns the average time of a full response, in milliseconds. */
    fun fullResponseMillis(): Long = (averageFullResponseMillis ?: DEFAULT_MILLIS).toLong()

    /** Returns the average time until the first part of a response, in milliseconds. */
    fun firstPartMillis(): Long = (averageFirstPartMillis ?: DEFAULT_MILLIS).toLong()

    private fun average(previous: Double?, sample: Long): Double =
        if (previous == null) sample.toDouble() else previous + WEIGHT * (sample - previous)

    private companion object {
        const val WEIGHT = 0.05
        const val DEFAULT_MILLIS = 100.0
    }
}
