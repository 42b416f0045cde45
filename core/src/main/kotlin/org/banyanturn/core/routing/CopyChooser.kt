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
 * @property workFactor how long work takes at the target, relative to normal, or `null` if it has never reported that.
 * @property usualWorkFactor the work factor without short changes, or `null` if it equals [workFactor].
 * @property runningRequests number of requests that run or wait at the target.
 * @property promptMillis prefill time of the request's prompt at normal speed, in milliseconds.
 * @property holdMillis time in which the request's output is generated at normal speed, in milliseconds.
 */
public data class ReadyTarget(
    val targetId: TargetId,
    val zoneDelayMillis: Double,
    val freeBatchSlots: Int,
    val cachedPromptMillis: Double = 0.0,
    val queuedPromptMillis: Double = 0.0,
    val state: CircuitState = CircuitState.CLOSED,
    val workFactor: Double? = null,
    val usualWorkFactor: Double? = null,
    val runningRequests: Int = 0,
    val promptMillis: Double = 0.0,
    val holdMillis: Double = 0.0,
)

/**
 * Settings of a [CopyChooser].
 *
 * @property queuedRequestMillis wait for each request that is queued before a new one, in milliseconds.
 * @property batchedRequestMillis delay of the first token by each request in the batch, in milliseconds.
 * @property toleranceMillis targets whose expected times are within this of the best get equal numbers of requests.
 * @property probeFraction fraction of the requests, from 0 to 1, that may be sent as probes to half-open targets.
 * @property speedValidMillis time after which a short change of a target's speed is expected to end, in milliseconds.
 */
public data class CopyChooserSettings(
    val queuedRequestMillis: Double = 200.0,
    val batchedRequestMillis: Double = 2.0,
    val toleranceMillis: Double = 4.0,
    val probeFraction: Double = 0.05,
    val speedValidMillis: Double = 300.0,
)

/** Chooses the target for a request among those with a loaded copy. */
public interface CopyChooser {
    /**
     * Returns the target with the shortest expected time, or `null` if no target accepts requests.
     *
     * The expected time is that to the first token; if targets report their speed, the mean of the times to the first
     * token and to completion.
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

    private fun choose(targets: List<ReadyTarget>, draw: Double): ReadyTarget? =
        when {
            targets.isEmpty() -> null
            targets.any { it.workFactor != null } -> betterOfTwo(targets, draw)
            else -> nearlyBest(targets, draw)
        }

    private fun nearlyBest(targets: List<ReadyTarget>, draw: Double): ReadyTarget {
        val minMillis = targets.minOf(::firstTokenMillis)
        val candidates = targets.filter { firstTokenMillis(it) <= minMillis + settings.toleranceMillis }
        return candidates[(draw * candidates.size).toInt().coerceIn(candidates.indices)]
    }

    /**
     * Returns the better of two random targets.
     *
     * The best of all would be chosen by every VM that sees the same old reports. If most slots are in use, even the
     * better of two by expected time is chosen too often, so that then the numbers of requests decide.
     */
    private fun betterOfTwo(targets: List<ReadyTarget>, draw: Double): ReadyTarget {
        if (targets.size == 1) return targets.first()
        val (index, indexDraw) = drawIndex(targets.size, draw)
        val (offset, offsetDraw) = drawIndex(targets.size - 1, indexDraw)
        val first = targets[index]
        val second = targets[(index + 1 + offset) % targets.size]
        val crowding = ((targets.sumOf(::usageOf) / targets.size - MAX_FREE_USAGE) / CROWDING_RANGE).coerceIn(0.0, 1.0)
        val isCrowded = offsetDraw < crowding
        return if (isCrowded) lessLoaded(first, second, targets.size, offsetDraw / crowding) else faster(first, second)
    }

    /** Returns the index that [draw] selects among [size], and a random number that doesn't depend on the index. */
    private fun drawIndex(size: Int, draw: Double): Pair<Int, Double> {
        val index = (draw * size).toInt().coerceIn(0, size - 1)
        return index to draw * size - index
    }

    private fun faster(first: ReadyTarget, second: ReadyTarget): ReadyTarget =
        if (unevenMillis(second) < unevenMillis(first)) second else first

    /** Returns the target with fewer requests unless it is much slower; some requests go to the first one anyway. */
    private fun lessLoaded(first: ReadyTarget, second: ReadyTarget, size: Int, draw: Double): ReadyTarget {
        val firstMillis = unevenMillis(first)
        val secondMillis = unevenMillis(second)
        return when {
            secondMillis * MUCH_SLOWER_FACTOR < firstMillis -> second
            firstMillis * MUCH_SLOWER_FACTOR < secondMillis || draw < 1.0 / size -> first
            else -> if (second.runningRequests < first.runningRequests) second else first
        }
    }

    private fun usageOf(target: ReadyTarget): Double {
        val slots = target.runningRequests + target.freeBatchSlots
        return if (slots > 0) (target.runningRequests.toDouble() / slots).coerceAtMost(1.0) else 0.0
    }

    private fun firstTokenMillis(target: ReadyTarget): Double {
        val queuedRequests = (1 - target.freeBatchSlots).coerceAtLeast(0)
        return target.zoneDelayMillis + target.queuedPromptMillis - target.cachedPromptMillis -
            target.freeBatchSlots.coerceAtLeast(0) * settings.batchedRequestMillis +
            queuedRequests * settings.queuedRequestMillis
    }

    /** Returns the mean of the expected times to the first token and to completion at the target's current speed. */
    private fun unevenMillis(target: ReadyTarget): Double {
        val queuedRequests = (1 - target.freeBatchSlots).coerceAtLeast(0)
        val firstMillis = target.promptMillis - target.cachedPromptMillis +
            target.runningRequests * settings.batchedRequestMillis + queuedRequests * queuedMillis(target)
        val completionMillis = firstMillis + target.holdMillis
        return target.zoneDelayMillis + target.queuedPromptMillis + fullBatchMillis(target) +
            (durationMillis(firstMillis, target) + durationMillis(completionMillis, target)) / 2
    }

    /** Returns the duration of work that takes [workMillis] at normal speed; the speed soon returns to usual. */
    private fun durationMillis(workMillis: Double, target: ReadyTarget): Double {
        val workFactor = target.workFactor ?: return workMillis
        val currentMillis = workMillis * workFactor
        if (currentMillis <= settings.speedValidMillis) return currentMillis
        val remainingMillis = workMillis - settings.speedValidMillis / workFactor
        return settings.speedValidMillis + remainingMillis * (target.usualWorkFactor ?: workFactor)
    }

    /** Returns the expected wait in case that requests of other VMs have filled the batch since the last report. */
    private fun fullBatchMillis(target: ReadyTarget): Double {
        val usage = usageOf(target)
        return FULL_BATCH_WEIGHT * target.holdMillis * usage * usage * usage
    }

    /** Returns the time in which one queued request starts at a full target at normal speed. */
    private fun queuedMillis(target: ReadyTarget): Double {
        val slots = target.runningRequests + target.freeBatchSlots
        return if (slots > 0 && target.holdMillis > 0) target.holdMillis / slots else settings.queuedRequestMillis
    }

    private companion object {
        /** Mean usage of the slots from which targets count as crowded, and the range in which all do. */
        const val MAX_FREE_USAGE = 0.7
        const val CROWDING_RANGE = 0.1
        const val MUCH_SLOWER_FACTOR = 2.0

        /**
         * Weight of the risk that the batch is full.
         *
         * With 0.5 the requests waited 50 % longer at engines than with the better of two by requests, at 60 % usage.
         */
        const val FULL_BATCH_WEIGHT = 2.0
    }
}
