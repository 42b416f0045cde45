package org.banyanturn.core.limits

import kotlin.math.max
import kotlin.math.min

/**
 * A member's rate limit, and the parts of it that may be used while the use by others isn't known.
 *
 * In any 8 s all VMs together may exceed the limit by a tenth of it and 7,400 cost units. The parts below are chosen so
 * that the ones that can apply in the same 8 s stay within that.
 */
internal data class BucketLimit(val ratePerSecond: Double, val burst: Double) {
    /**
     * Level from which a new collector starts, whatever was used before.
     *
     * Its predecessor has granted at most the rate up to the time of the takeover and the burst, so that the use in any
     * period exceeds the limit by this level at most.
     */
    val takeoverLevel: Double
        get() = min(burst, 0.6 * ratePerSecond + 0.07 * burst + min(0.4 * burst, 5_000.0))

    /** Cost units that a VM which has just started may use before a collector answers; not reported as unused. */
    fun startTokens(vmCount: Int): Double =
        min((1 - RESTART_UNUSED_BURST_FRACTION) * burst, 0.2 * ratePerSecond + 0.03 * burst + 2_500) / max(1, vmCount)

    /** Cost of the largest request that a VM which has just started admits before a collector answers. */
    fun maxStartCost(vmCount: Int): Double = min(2.5 * burst, 30_000.0) / max(1, vmCount)

    /** Cost units by which an isolated VM may exceed its full bucket with a large request. */
    fun isolatedDebt(vmCount: Int): Double =
        min(ISOLATED_FRACTION * burst, 0.2 * ratePerSecond + 0.025 * burst + 1_500) / max(1, vmCount)

    /** Size of the bucket of an isolated VM. */
    fun isolatedCapacity(vmCount: Int): Double = ISOLATED_FRACTION * burst / max(1, vmCount)
}
