package org.banyanturn.core.placement

import kotlin.math.ln
import kotlin.math.pow

/**
 * An immutable histogram of the idle gaps between requests for a model, with exponentially decaying weights.
 *
 * The [GapHistogram.BUCKETS] buckets are spaced evenly on a logarithmic scale, four per doubling, from one second to
 * about three days.
 */
public class GapHistogram internal constructor(internal val weights: FloatArray) {
    /** The sum of all weights, which is the effective number of recorded gaps. */
    public val totalWeight: Double = weights.sumOf(Float::toDouble)

    /** Returns the histogram with a gap of [gapMillis] added; the weights of earlier gaps decay by one step. */
    public fun record(gapMillis: Long): GapHistogram {
        require(gapMillis >= 0) { "gapMillis is $gapMillis, less than 0" }
        val updated = FloatArray(BUCKETS) { weights[it] * DECAY }
        updated[bucketOf(gapMillis)] += 1f
        return GapHistogram(updated)
    }

    public companion object {
        /** The number of buckets. */
        public const val BUCKETS: Int = 72

        private const val DECAY = 0.97f
    }
}

/** Returns an empty histogram. */
public fun gapHistogramOf(): GapHistogram = GapHistogram(FloatArray(GapHistogram.BUCKETS))

private const val BUCKETS_PER_DOUBLING = 4
private const val SHORTEST_GAP_MILLIS = 1_000.0

private fun bucketOf(gapMillis: Long): Int {
    val doublings = ln(gapMillis.coerceAtLeast(1) / SHORTEST_GAP_MILLIS) / ln(2.0)
    return (doublings * BUCKETS_PER_DOUBLING).toInt().coerceIn(0, GapHistogram.BUCKETS - 1)
}

private val lowerBoundsMillis = DoubleArray(GapHistogram.BUCKETS + 2) { bucket ->
    if (bucket == 0) 0.0 else SHORTEST_GAP_MILLIS * 2.0.pow(bucket.toDouble() / BUCKETS_PER_DOUBLING)
}

/** Returns the lower bound of [bucket] in milliseconds. */
internal fun lowerBoundMillis(bucket: Int): Double = lowerBoundsMillis[bucket]

/** Returns the midpoint of [bucket] in milliseconds. */
internal fun middleMillis(bucket: Int): Double = (lowerBoundMillis(bucket) + lowerBoundMillis(bucket + 1)) / 2
