package org.banyanturn.entry

import kotlin.math.abs

/** Smallest change of the offset between the two clocks that counts as a suspension. */
private const val MIN_SUSPENSION_MILLIS = 250L

/**
 * Detects that the process was suspended: the time of day advances during a suspension, the steady clock does not.
 *
 * A step of the time of day can't be distinguished from a suspension and is treated as one.
 */
internal class SuspensionMonitor(
    private val steadyMillis: () -> Long,
    private val epochMillis: () -> Long,
) {
    private var offsetMillis = epochMillis() - steadyMillis()

    /** Returns the change of the clocks' offset since the last call if it counts as a suspension, otherwise 0. */
    fun takeGapMillis(): Long {
        val currentOffset = epochMillis() - steadyMillis()
        val gapMillis = currentOffset - offsetMillis
        offsetMillis = currentOffset
        return if (abs(gapMillis) >= MIN_SUSPENSION_MILLIS) gapMillis else 0
    }
}
