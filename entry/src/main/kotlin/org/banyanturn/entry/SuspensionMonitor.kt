package org.banyanturn.entry

import kotlin.math.abs

/** A difference between the two clocks beyond which time has passed that the steady one did not count. */
private const val SUSPENSION_MILLIS = 250L

/**
 * Notices that the process was suspended: the time of day moves on meanwhile, and the steady clock does not.
 *
 * A step of the time of day looks the same and is treated the same.
 */
internal class SuspensionMonitor(
    private val steadyMillis: () -> Long,
    private val epochMillis: () -> Long,
) {
    private var offsetMillis = epochMillis() - steadyMillis()

    /** Returns by how much the clocks have moved apart since the last call if that looks like a suspension, else 0. */
    fun takeGapMillis(): Long {
        val current = epochMillis() - steadyMillis()
        val gapMillis = current - offsetMillis
        offsetMillis = current
        return if (abs(gapMillis) >= SUSPENSION_MILLIS) gapMillis else 0
    }
}
