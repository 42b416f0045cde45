package org.banyanturn.core.routing

import kotlin.math.abs
import kotlin.math.exp
import kotlin.math.ln

/**
 * An estimate of how long work takes at a target, relative to normal. Immutable.
 *
 * A target's speed may change several times a second, while a VM hears from each target of a large fleet only once in
 * some seconds. The latest report therefore counts for its deviation from the target's usual speed, and that deviation
 * is forgotten within a second; the usual speed, an average over many reports, is forgotten within minutes. Averages
 * are formed of logarithms, since speeds are ratios.
 *
 * @property recent logarithm of the work factor in the latest reports.
 * @property usual average logarithm of the reported work factors.
 * @property shown average logarithm of the work factors that responses have shown.
 */
public class TargetSpeed private constructor(
    private val recent: Double,
    private val usual: Double,
    private val reportCount: Int,
    private val reportedAtMillis: Long,
    private val shown: Double,
    private val shownCount: Int,
    private val shownAtMillis: Long,
) {
    /** Whether the target has reported a speed. */
    public val hasReported: Boolean
        get() = reportCount > 0

    /** Returns the speed after a report at [atMillis] that work takes [workPercent] of the normal time. */
    public fun reported(workPercent: Int, atMillis: Long): TargetSpeed {
        if (workPercent <= 0 || (hasReported && atMillis < reportedAtMillis)) return this
        val value = ln(workPercent / NORMAL_PERCENT)
        val elapsedMillis = if (hasReported) atMillis - reportedAtMillis else Long.MAX_VALUE
        val recentWeight = maxOf(MIN_RECENT_WEIGHT, 1 - exp(-elapsedMillis / RECENT_MILLIS))
        return TargetSpeed(
            recent + recentWeight * (value - recent),
            usual + averageWeight(reportCount, elapsedMillis) * (value - usual),
            reportCount + 1,
            atMillis,
            shown,
            shownCount,
            shownAtMillis,
        )
    }

    /** Returns the speed after a response has shown at [atMillis] that work takes [workFactor] of the normal time. */
    public fun responded(workFactor: Double, atMillis: Long): TargetSpeed {
        if (!workFactor.isFinite() || workFactor <= 0) return this
        if (shownCount > 0 && atMillis < shownAtMillis) return this
        val value = ln(workFactor)
        val elapsedMillis = if (shownCount > 0) atMillis - shownAtMillis else Long.MAX_VALUE
        val average = shown + averageWeight(shownCount, elapsedMillis) * (value - shown)
        return TargetSpeed(recent, usual, reportCount, reportedAtMillis, average, shownCount + 1, atMillis)
    }

    /** Returns the estimated duration of work at [nowMillis], relative to normal; 1 if no speed was ever reported. */
    public fun workFactorAt(nowMillis: Long): Double {
        if (!hasReported) return 1.0
        val ageMillis = (nowMillis - reportedAtMillis).coerceAtLeast(0)
        val deviation = (recent - usual) * exp(-ageMillis / DEVIATION_MILLIS)
        return exp(settledAt(nowMillis) + deviation)
    }

    /** Returns the usual duration of work, relative to normal, without short changes. */
    public fun usualWorkFactorAt(nowMillis: Long): Double = if (hasReported) exp(settledAt(nowMillis)) else 1.0

    /** Returns the usual speed, corrected by responses; it is forgotten after a long time without either. */
    private fun settledAt(nowMillis: Long): Double {
        val latestMillis = if (shownCount > 0) maxOf(reportedAtMillis, shownAtMillis) else reportedAtMillis
        val silentMillis = (nowMillis - latestMillis - USUAL_VALID_MILLIS).coerceAtLeast(0)
        return (usual + correction()) * exp(-silentMillis / USUAL_DECAY_MILLIS)
    }

    /**
     * Returns by how much reports are wrong, judged by responses.
     *
     * Responses depend on the model and the length of the batch too, so that only a large difference counts.
     */
    private fun correction(): Double {
        val difference = shown - usual
        val trust = ((abs(difference) - TOLERATED_DIFFERENCE) / TOLERATED_DIFFERENCE).coerceIn(0.0, 1.0)
        return difference * trust * shownCount / (shownCount + MIN_RESPONSES)
    }

    /** Returns the weight of a new value; the average starts with one normal value, and recent values count most. */
    private fun averageWeight(count: Int, elapsedMillis: Long): Double =
        maxOf(1.0 / (count + 2), minOf(MAX_AVERAGE_WEIGHT, 1 - exp(-elapsedMillis / AVERAGING_MILLIS)))

    internal companion object {
        const val NORMAL_PERCENT = 100.0

        /** Weight of a report that directly follows another, which limits the effect of a single wrong one. */
        const val MIN_RECENT_WEIGHT = 0.6
        const val RECENT_MILLIS = 100.0

        /** Short slowdowns last for about 600 ms. */
        const val DEVIATION_MILLIS = 500.0
        const val AVERAGING_MILLIS = 4_000.0
        const val MAX_AVERAGE_WEIGHT = 0.15

        /** After this time without a report or response, the usual speed is gradually forgotten. */
        const val USUAL_VALID_MILLIS = 10_000L
        const val USUAL_DECAY_MILLIS = 30_000.0

        /** A factor of 1.5, above the differences between models. */
        val TOLERATED_DIFFERENCE = ln(1.5)
        const val MIN_RESPONSES = 1.0

        val UNKNOWN = TargetSpeed(0.0, 0.0, 0, 0, 0.0, 0, 0)
    }
}

/** Returns the speed of a target of which nothing is known. */
public fun targetSpeedOf(): TargetSpeed = TargetSpeed.UNKNOWN
