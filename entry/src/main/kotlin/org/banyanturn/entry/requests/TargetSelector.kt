package org.banyanturn.entry.requests

import org.banyanturn.core.TargetId
import org.banyanturn.core.mixedHash
import org.banyanturn.core.placement.CopyName
import org.banyanturn.core.routing.AffinitySpread
import org.banyanturn.core.routing.CircuitState
import org.banyanturn.core.routing.CopyChooser
import org.banyanturn.core.routing.CopyChooserSettings
import org.banyanturn.core.routing.ReadyTarget
import org.banyanturn.core.routing.copyChooserOf
import org.banyanturn.core.serving.KnownTarget
import org.banyanturn.core.serving.ServiceName
import org.banyanturn.core.stableHash
import org.banyanturn.daemon.ProcessClock
import org.banyanturn.entry.turns.ColdTargetCoordinator
import kotlin.random.Random

/**
 * Represents what a request requires of a target.
 *
 * @property copy the copy that an engine must hold, or `null` for a plain service.
 * @property affinityKey requests with the same key prefer the same targets.
 * @property avoidedTargetIds targets that are selected only if there is no other.
 * @property holdMillis how long the request is expected to occupy a slot of the target.
 * @property generationMillis part of [holdMillis] after the first event.
 * @property promptTokens tokens of the prompt, or 0 if they are not stated.
 * @property maxOutputTokens the most tokens that may be generated, or `null` if they are not stated.
 */
internal class TargetRequirements(
    val service: ServiceName,
    val copy: CopyName?,
    val affinityKey: String,
    val avoidedTargetIds: Set<TargetId>,
    val holdMillis: Long,
    val generationMillis: Long = 0,
    val promptTokens: Long = 0,
    val maxOutputTokens: Long? = null,
) {
    /** The most tokens of a target's memory that the request takes, or `null` if they are not stated. */
    val tokens: Long?
        get() = maxOutputTokens?.let { promptTokens + it }
}

/** Represents the result of selecting a target for a request. */
internal sealed interface TargetSelection {
    /** The request may be sent to [target]. */
    class Selected(val target: KnownTarget) : TargetSelection

    /** All targets that could serve the request are at capacity. */
    data object AllBusy : TargetSelection

    /** All targets with capacity that could serve the request lack the memory for it at present. */
    data object MemoryFull : TargetSelection

    /** Targets of the service take requests, but none holds the copy; [modelHolders] hold the copy's model. */
    class CopyMissing(val modelHolders: List<KnownTarget>) : TargetSelection

    /** All targets that could serve the request are in a quiet period; the first period ends in [quietMillis]. */
    class AllQuiet(val quietMillis: Long) : TargetSelection

    /** No target of the service takes requests. */
    data object NoTarget : TargetSelection
}

/** Round-trip delay to a target in another availability zone. */
private const val CROSS_ZONE_DELAY_MILLIS = 8.0

/** Prompt processing time saved at the target that requests with the same prefix prefer. */
private const val CACHED_PREFIX_MILLIS = 2.0

/** Selects the target of each attempt from what this VM knows of the targets. */
internal class TargetSelector(
    private val view: FleetView,
    private val clock: ProcessClock,
    private val random: Random,
    private val memory: EngineMemoryGuard,
    private val vmCount: () -> Int,
    val coldTargets: ColdTargetCoordinator,
    private val engineChooser: CopyChooser = copyChooserOf(CopyChooserSettings(batchedRequestMillis = 1.0)),
    private val serviceChooser: CopyChooser = copyChooserOf(CopyChooserSettings(batchedRequestMillis = 4.0)),
) {
    private val affinitySpread = AffinitySpread()

    /** Returns the prefill time of a prompt token at normal speed, in milliseconds; 0 if it is not known. */
    var promptMillisPerToken: () -> Double = { 0.0 }

    /** Records that a request with [requirements] has arrived. */
    fun recordArrival(requirements: TargetRequirements): Unit =
        affinitySpread.record(requirements.affinityKey, clock.nowMillis())

    /** Returns the target for a request with [requirements], or why there is none now. */
    fun select(requirements: TargetRequirements): TargetSelection {
        val usable = view.usableTargets(requirements.service)
        if (usable.isEmpty()) return TargetSelection.NoTarget
        val copy = requirements.copy
        val holders = if (copy == null) usable else usable.filter { view.holds(it, copy) }
        if (holders.isEmpty()) return TargetSelection.CopyMissing(modelHolders(usable, requirements))
        val accepting = holders.filter { view.remainingQuietMillis(it) == 0L }
        if (accepting.isEmpty()) return TargetSelection.AllQuiet(holders.minOf(view::remainingQuietMillis))
        val admitted = accepting.filter(coldTargets::admits)
        if (admitted.isEmpty()) return TargetSelection.AllBusy
        val untried = admitted.filterNot { it.entry.targetId in requirements.avoidedTargetIds }.ifEmpty { admitted }
        return chooseFrom(untried, requirements)
    }

    /** Returns whether the previously selected target [targetId] may still receive a request with [requirements]. */
    fun isStillEligible(targetId: TargetId, requirements: TargetRequirements): Boolean {
        val target = view.directory.targets[targetId] ?: return false
        val isThere = requirements.copy == null || view.holds(target, requirements.copy)
        return isThere && view.isUsable(targetId) && view.remainingQuietMillis(target) == 0L &&
            coldTargets.admits(target) &&
            memory.fits(target, requirements)
    }

    /** Returns whether no target of [service] can ever hold a request that takes [tokens]. */
    fun isTooLarge(service: ServiceName, tokens: Long): Boolean = memory.isTooLarge(service, tokens)

    /** Returns the targets that hold the model of the copy in [requirements]. */
    fun modelHolders(requirements: TargetRequirements): List<KnownTarget> =
        modelHolders(view.usableTargets(requirements.service), requirements)

    private fun modelHolders(usable: List<KnownTarget>, requirements: TargetRequirements): List<KnownTarget> {
        val model = requirements.copy?.model ?: return emptyList()
        return usable.filter { view.holds(it, model) }
    }

    private fun chooseFrom(targets: List<KnownTarget>, requirements: TargetRequirements): TargetSelection {
        val nowMillis = clock.nowMillis()
        val preferred = if (requirements.copy == null) null else preferredTargetOrNull(targets, requirements, nowMillis)
        val candidates = targets.map { readyTarget(it, requirements, isPreferred = it === preferred, nowMillis) }
        val available = candidates.filter { it.state != CircuitState.OPEN }
            .ifEmpty { candidates.map { it.copy(state = CircuitState.CLOSED) } }
        val withCapacity = available.filter { it.freeBatchSlots > 0 }
        if (withCapacity.isEmpty()) return TargetSelection.AllBusy
        val targetsById = targets.associateBy { it.entry.targetId }
        val withMemory = withCapacity.filter { memory.fits(targetsById.getValue(it.targetId), requirements) }
        if (withMemory.isEmpty()) return TargetSelection.MemoryFull
        val chooser = if (requirements.copy == null) serviceChooser else engineChooser
        val chosen = chooser.chooseOrNull(withMemory, random.nextDouble()) ?: return TargetSelection.AllBusy
        return TargetSelection.Selected(targetsById.getValue(chosen.targetId))
    }

    private fun readyTarget(
        target: KnownTarget,
        requirements: TargetRequirements,
        isPreferred: Boolean,
        nowMillis: Long,
    ): ReadyTarget {
        val state = view.stateOf(target)
        val isEngine = requirements.copy != null
        return ReadyTarget(
            targetId = target.entry.targetId,
            zoneDelayMillis = if (target.entry.zoneId == view.zoneId) 0.0 else CROSS_ZONE_DELAY_MILLIS,
            freeBatchSlots = state.load.freeBatchSlotsAt(nowMillis),
            cachedPromptMillis = if (isPreferred) CACHED_PREFIX_MILLIS else 0.0,
            queuedPromptMillis = if (isEngine) state.promptBacklogMillis(nowMillis).toDouble() else 0.0,
            state = state.breaker.stateAt(nowMillis),
            workFactor = if (state.speed.hasReported) state.speed.workFactorAt(nowMillis) else null,
            usualWorkFactor = state.speed.usualWorkFactorAt(nowMillis),
            runningRequests = state.load.requestsAt(nowMillis),
            promptMillis = if (isEngine) requirements.promptTokens * promptMillisPerToken() else 0.0,
            holdMillis = (if (isEngine) requirements.generationMillis else requirements.holdMillis).toDouble(),
        )
    }

    /**
     * Returns one of the targets that requests with this affinity key prefer on every VM, by rendezvous hashing.
     *
     * The number of preferred targets follows the rate of requests with the key.
     */
    private fun preferredTargetOrNull(
        targets: List<KnownTarget>,
        requirements: TargetRequirements,
        nowMillis: Long,
    ): KnownTarget? {
        val slots = targets.minOfOrNull { it.entry.slots } ?: return null
        val hash = stableHash(requirements.affinityKey)
        val targetCount =
            affinitySpread.targetCountFor(
                requirements.affinityKey,
                vmCount(),
                requirements.holdMillis,
                slots,
                nowMillis,
            )
        if (targetCount == 1) return targets.maxByOrNull { mixedHash(hash, view.stateOf(it).hash) }
        val preferred = targets.sortedByDescending { mixedHash(hash, view.stateOf(it).hash) }.take(targetCount)
        return preferred[random.nextInt(preferred.size)]
    }
}
