package org.banyanturn.core.routing

/**
 * Tracks the median of durations in constant memory, with steps proportional to the estimate. Not thread-safe.
 *
 * A few very slow targets don't move the median, so durations can be compared with it.
 */
public class TypicalDuration {
    private var median = 0.0
    private var count = 0

    /** Records a duration and returns it as a multiple of the median, or `null` if too few are known. */
    public fun record(millis: Double): Double? {
        if (!millis.isFinite() || millis <= 0) return null
        if (count++ == 0) median = millis
        val factor = millis / median
        val step = if (count < MIN_COUNT) FIRST_STEP else STEP
        if (factor > 1) median *= 1 + step
        if (factor < 1) median /= 1 + step
        return factor.takeIf { count >= MIN_COUNT }
    }

    private companion object {
        const val MIN_COUNT = 30
        const val FIRST_STEP = 0.15
        const val STEP = 0.01
    }
}
