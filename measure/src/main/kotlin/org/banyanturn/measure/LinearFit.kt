package org.banyanturn.measure

import kotlin.math.abs

/** One measured value at a size. */
internal data class SizedValue(val size: Int, val value: Double)

/**
 * The straight line through measured values by least squares.
 *
 * @property errorPercent the largest distance of a value from the line, in percent of the largest value.
 */
internal data class LinearFit(val slope: Double, val intercept: Double, val errorPercent: Double)

/** Returns the value of the line at [size]. */
internal fun LinearFit.valueAt(size: Int): Double = intercept + slope * size

/** Returns the line that fits these values best; there must be at least three of different sizes. */
internal fun List<SizedValue>.fitLine(): LinearFit {
    require(distinctBy { it.size }.size >= MIN_SIZES) { "a fit takes values at $MIN_SIZES sizes or more" }
    val meanSize = sumOf { it.size.toDouble() } / size
    val meanValue = sumOf { it.value } / size
    val slope = sumOf { (it.size - meanSize) * (it.value - meanValue) } /
        sumOf { (it.size - meanSize) * (it.size - meanSize) }
    val intercept = meanValue - slope * meanSize
    val largest = maxOf { abs(it.value) }
    val error = maxOf { abs(it.value - (intercept + slope * it.size)) }
    return LinearFit(slope, intercept, if (largest == 0.0) 0.0 else PERCENT * error / largest)
}

private const val MIN_SIZES = 3
private const val PERCENT = 100.0
