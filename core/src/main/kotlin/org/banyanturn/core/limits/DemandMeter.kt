package org.banyanturn.core.limits

import org.banyanturn.core.DecayingSum

private const val AVERAGING_TIME_CONSTANT_MILLIS = 1_000.0
private const val MILLIS_PER_SECOND = 1_000.0
private const val COST_SMOOTHING_FACTOR = 0.1

/** Estimates the cost units per second that arrive for one member, as an exponentially weighted moving average. */
internal class DemandMeter {
    private val arrivedCost = DecayingSum(AVERAGING_TIME_CONSTANT_MILLIS)

    /** Average cost of a request, exponentially smoothed. */
    var averageCost = 0.0
        private set

    /** When the last request arrived, or `null` if none has arrived. */
    var lastArrivalMillis: Long? = null
        private set

    /** Records the arrival of a request with [cost]. */
    fun record(cost: Double, nowMillis: Long) {
        arrivedCost.add(cost, nowMillis)
        averageCost =
            if (lastArrivalMillis == null) cost else averageCost + COST_SMOOTHING_FACTOR * (cost - averageCost)
        lastArrivalMillis = nowMillis
    }

    /** Returns the estimate at [nowMillis] in cost units per second. */
    fun ratePerSecond(nowMillis: Long): Double = arrivedCost.ratePerMillisAt(nowMillis) * MILLIS_PER_SECOND
}
