package org.banyanturn.core.routing

import org.banyanturn.core.TargetId

/**
 * A target that has the wanted copy ready.
 *
 * @property zoneDelayMillis delay to the target's zone, there and back.
 * @property freeBatchSlots how many requests the target can add to its batch at once; see [TargetLoad.freeBatchSlotsAt].
 * @property cachedPromptMillis prompt processing that the target's prefix cache is expected to save.
 * @property queuedPromptMillis how long the target takes for the prompts that wait for their turn there.
 * @property state whether the target takes requests.
 */
public data class ReadyTarget(
    val targetId: TargetId,
    val zoneDelayMillis: Double,
    val freeBatchSlots: Int,
    val cachedPromptMillis: Double = 0.0,
    val queuedPromptMillis: Double = 0.0,
    val state: CircuitState = CircuitState.CLOSED,
)

/**
 * How ready copies are compared.
 *
 * @property queuedRequestMillis how long a request waits for each one before it, once the batch is full.
 * @property batchedRequestMillis how much each request in the batch slows the first token.
 * @property toleranceMillis targets whose expected times differ by less share the requests evenly.
 * @property probeFraction part of the requests, from 0 to 1, that may try a target again that was left alone.
 */
public data class CopyChooserSettings(
    val queuedRequestMillis: Double = 200.0,
    val batchedRequestMillis: Double = 2.0,
    val toleranceMillis: Double = 4.0,
    val probeFraction: Double = 0.05,
)

/** Chooses among targets that have a copy ready. */
public interface CopyChooser {
    /**
     * Returns the target whose first token is expected first, or `null` if none takes requests.
     *
     * @param draw a random number from 0 (inclusive) to 1 (exclusive), which spreads the requests of many routers
     * whose reports lag alike.
     */
    public fun chooseOrNull(targets: List<ReadyTarget>, draw: Double): ReadyTarget?
}

/** Returns the chooser that compares by [settings]. */
public fun copyChooserOf(settings: CopyChooserSettings = CopyChooserSettings()): CopyChooser =
    ExpectedTimeChooser(settings)

private class ExpectedTimeChooser(private val settings: CopyChooserSettings) : CopyChooser {
    override fun chooseOrNull(targets: List<ReadyTarget>, draw: Double): ReadyTarget? {
        val closed = targets.filter { it.state == CircuitState.CLOSED }
        val halfOpen = targets.filter { it.state == CircuitState.HALF_OPEN }
        val isProbe = halfOpen.isNotEmpty() && (closed.isEmpty() || draw < settings.probeFraction)
        return if (isProbe) choose(halfOpen, (draw / settings.probeFraction) % 1) else choose(closed, draw)
    }

    private fun choose(targets: List<ReadyTarget>, draw: Double): ReadyTarget? {
        val minMillis = targets.minOfOrNull(::expectedMillis) ?: return null
        val candidates = targets.filter { expectedMillis(it) <= minMillis + settings.toleranceMillis }
        return candidates[(draw * candidates.size).toInt().coerceIn(candidates.indices)]
    }

    private fun expectedMillis(target: ReadyTarget): Double {
        val queuedRequests = (1 - target.freeBatchSlots).coerceAtLeast(0)
        return target.zoneDelayMillis + target.queuedPromptMillis - target.cachedPromptMillis -
            target.freeBatchSlots.coerceAtLeast(0) * settings.batchedRequestMillis +
            queuedRequests * settings.queuedRequestMillis
    }
}
