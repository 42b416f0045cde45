package org.banyanturn.core.admission

import kotlin.math.exp
import kotlin.math.sqrt

/**
 * Measures at which rate one target takes requests from a queue while requests wait for it. Not thread-safe.
 *
 * The time during which no request waits for the target is not counted: then its rate is not known.
 */
private class TargetStartRate(private val decayMillis: Double) {
    private var started = 0.0
    private var busyMillis = 0.0
    private var wasWaitedFor = false
    private var updatedAtMillis = 0L
    private var startedAtMillis = 0L
    private var idleSinceMillis = 0L

    fun observe(isWaitedFor: Boolean, nowMillis: Long) {
        val elapsedMillis = (nowMillis - updatedAtMillis).coerceAtLeast(0)
        updatedAtMillis = nowMillis
        if (wasWaitedFor) {
            val factor = exp(-elapsedMillis / decayMillis)
            started *= factor
            busyMillis = busyMillis * factor + elapsedMillis
        }
        if (isWaitedFor || wasWaitedFor) idleSinceMillis = nowMillis
        wasWaitedFor = isWaitedFor
    }

    fun isForgotten(nowMillis: Long): Boolean = !wasWaitedFor && nowMillis - idleSinceMillis > FORGET_MILLIS

    fun recordStarted(nowMillis: Long) {
        startedAtMillis = nowMillis
        if (wasWaitedFor) started++
    }

    /** Returns the highest plausible rate, two standard deviations above the measured one. */
    fun highestPerSecondOrNull(nowMillis: Long): Double? {
        if (started < MIN_STARTED || busyMillis < MIN_BUSY_MILLIS) return null
        val isStalled = nowMillis - startedAtMillis > STALLED_INTERVALS * busyMillis / started
        if (isStalled) return null
        return (started + 2 * sqrt(started)) * MILLIS_PER_SECOND / busyMillis
    }

    private companion object {
        /** How long the rate of a target for which no request waits is kept. */
        const val FORGET_MILLIS = 60_000L

        /** With fewer starts the standard deviation exceeds half of the rate, which says too little. */
        const val MIN_STARTED = 4.0
        const val MIN_BUSY_MILLIS = 500.0

        /** A target without a start for so many mean intervals has stalled, and its rate afterwards isn't known. */
        const val STALLED_INTERVALS = 5
        const val MILLIS_PER_SECOND = 1_000.0
    }
}

/**
 * Predicts how long requests wait from the rates at which targets took requests while requests waited for them. Not
 * thread-safe.
 *
 * The prediction is a lower bound: it assumes the highest plausible rate of each target and that all requests at the
 * targets are about to end. It is absent while a target has too few starts.
 *
 * @param decayMillis time constant with which earlier starts lose their weight, in milliseconds.
 */
public class StartRates<K : Any>(private val decayMillis: Double = DEFAULT_DECAY_MILLIS) {
    private val rates = HashMap<K, TargetStartRate>()

    /** Records that requests wait at [nowMillis] for exactly the targets [waitedFor]. */
    public fun observe(waitedFor: Set<K>, nowMillis: Long) {
        waitedFor.forEach { rates.getOrPut(it) { TargetStartRate(decayMillis) } }
        rates.forEach { (target, rate) -> rate.observe(target in waitedFor, nowMillis) }
        rates.values.removeIf { it.isForgotten(nowMillis) }
    }

    /** Records that a request that had waited was started at [target]. */
    public fun recordStarted(target: K, nowMillis: Long) {
        rates[target]?.recordStarted(nowMillis)
    }

    /**
     * Returns the least time, in milliseconds, after which a request with [aheadCount] requests ahead starts on one of
     * [targets], or `null` if that is not known.
     */
    public fun waitMillisOrNull(targets: Set<K>, aheadCount: Int, nowMillis: Long): Long? {
        val loads = targets.map { target ->
            val perSecond = rates[target]?.highestPerSecondOrNull(nowMillis) ?: return null
            CopyLoad(slots = 1, reportedRequests = 0, sentSinceReport = 0, costPerSecond = perSecond)
        }
        return predictWaitMillisOrNull(loads, aheadCount.toDouble(), averageCost = 1.0)
    }

    private companion object {
        const val DEFAULT_DECAY_MILLIS = 10_000.0
    }
}
