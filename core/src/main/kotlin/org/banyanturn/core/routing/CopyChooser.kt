package org.banyanturn.core.routing

import org.banyanturn.core.TargetId

/**
 * A target with a loaded copy of the requested model, as a candidate for a request.
 *
 * @property zoneDelayMillis round-trip time to the target's zone, in milliseconds.
 * @property freeBatchSlots number of requests that the target can add to its batch immediately; if negative, its
 * absolute value is the length of the target's queue. See [TargetLoad.freeBatchSlotsAt].
 * @property cachedPromptMillis prefill time that the target's prefix cache is expected to save, in milliseconds.
 * @property queuedPromptMillis prefill time of the prompts that are queued for the target, in milliseconds.
 * @property state the state of the target's circuit breaker.
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
 * Settings of a [CopyChooser].
 *
 * @property queuedRequestMillis wait for each request that is queued before a new one, in milliseconds.
 * @property batchedRequestMillis delay of the first token by each request in the batch, in milliseconds.
 * @property toleranceMillis targets whose expected times are within this of the best get equal numbers of requests.
 * @property probeFraction fraction of the requests, from 0 to 1, that may be sent as probes to half-open targets.
 */
public data class CopyChooserSettings(
    val queuedRequestMillis: Double = 200.0,
    val batchedRequestMillis: Double = 2.0,
    val toleranceMillis: Double = 4.0,
    val probeFraction: Double = 0.05,
)

/** Chooses the target for a request among those with a loaded copy. */
public interface CopyChooser {
    /**
     * Returns the target with the shortest expected time to first token, or `null` if no target accepts requests.
     *
     * @param draw a random number from 0 (inclusive) to 1 (exclusive); it spreads the requests of routers that see the
     * same outdated load reports.
     */
    public fun chooseOrNull(targets: List<ReadyTarget>, draw: Double): ReadyTarget?
}

/** Returns a chooser with the given [settings]. */
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
