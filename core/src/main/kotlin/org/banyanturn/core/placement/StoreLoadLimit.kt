package org.banyanturn.core.placement

import kotlin.math.roundToInt

/**
 * Learns how many loads the weight store serves at full speed. Not thread-safe.
 *
 * The store divides its bandwidth among the running loads. More loads than it serves at full speed end no sooner in
 * total, but each of them ends later, and with enough of them none ends while a request still waits for it. The limit
 * therefore starts low, and grows only with loads that were not slowed down.
 *
 * @param max the limit beyond which the store is assumed to have no bound.
 */
internal class StoreLoadLimit(private val max: Int) {
    private var isBoundKnown = false
    private var fullSpeedLoads = 0

    /** The number of loads that may run at once, or `null` if the store has shown no bound. */
    var limitOrNull: Int? = minOf(INITIAL_LIMIT, max)
        private set

    /**
     * Records a load that has ended.
     *
     * @param loadsAtStart the number of loads that ran when it started, including itself.
     * @param slowdown its duration relative to the duration at full speed.
     */
    fun record(loadsAtStart: Int, slowdown: Double) {
        if (slowdown < MIN_SLOWDOWN) recordFullSpeed(loadsAtStart) else recordSlow(loadsAtStart, slowdown)
    }

    private fun recordFullSpeed(loadsAtStart: Int) {
        val limit = limitOrNull ?: return
        if (loadsAtStart < limit) return
        fullSpeedLoads++
        if (fullSpeedLoads < if (isBoundKnown) limit * LOADS_TO_RAISE else 1) return
        fullSpeedLoads = 0
        limitOrNull = (limit + 1).takeIf { it < max }
    }

    private fun recordSlow(loadsAtStart: Int, slowdown: Double) {
        if (loadsAtStart < 2) return
        isBoundKnown = true
        fullSpeedLoads = 0
        val served = (loadsAtStart / slowdown).roundToInt().coerceAtLeast(1)
        limitOrNull = minOf(limitOrNull ?: max, served)
    }

    private companion object {
        const val INITIAL_LIMIT = 2

        /** The slowdown from which a load counts as slow. */
        const val MIN_SLOWDOWN = 1.3

        /** The number of loads at full speed, per load of the limit, after which a lowered limit is raised again. */
        const val LOADS_TO_RAISE = 2
    }
}
