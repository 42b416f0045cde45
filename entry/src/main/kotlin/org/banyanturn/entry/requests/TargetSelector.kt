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
import kotlin.random.Random

/**
 * What a request needs of a target.
 *
 * @property affinityKey requests with the same key go to the same targets first.
 * @property holdMillis how long the request is expected to take a slot there.
 */
internal class TargetRequirements(
    val service: ServiceName,
    val copy: CopyName?,
    val affinityKey: String,
    val avoidedTargetIds: Set<TargetId>,
    val holdMillis: Long,
)

/** Where a request may go now. */
internal sealed interface TargetSelection {
    /** It may go to [target]. */
    class Send(val target: KnownTarget) : TargetSelection

    /** All targets that could serve it are full. */
    data object Busy : TargetSelection

    /** Targets of the service take requests, but none holds the copy; [modelHolders] hold its model. */
    class CopyMissing(val modelHolders: List<KnownTarget>) : TargetSelection

    /** All targets that could serve it want no requests of this VM; the first takes them in [remainingMillis]. */
    class Quiet(val remainingMillis: Long) : TargetSelection

    /** No target of the service takes requests. */
    data object NoTarget : TargetSelection
}

/** Delay between availability zones, there and back, which a target in this VM's own zone saves. */
private const val CROSS_ZONE_DELAY_MILLIS = 8.0

/** Prompt processing that is saved at the target where requests with the same beginning go first. */
private const val CACHED_PREFIX_MILLIS = 2.0

/** Chooses the target of each attempt from what this VM knows. */
internal class TargetSelector(
    private val view: FleetView,
    private val clock: ProcessClock,
    private val random: Random,
    private val vmCount: () -> Int,
    private val engineChooser: CopyChooser = copyChooserOf(CopyChooserSettings(batchedRequestMillis = 1.0)),
    private val serviceChooser: CopyChooser = copyChooserOf(CopyChooserSettings(batchedRequestMillis = 4.0)),
) {
    private val affinitySpread = AffinitySpread()

    /** Notes that a request with [requirements] has arrived. */
    fun recordArrival(
        requirements: TargetRequirements,
    ): Unit = affinitySpread.record(requirements.affinityKey, clock.nowMillis())

    /** Returns where a request with [requirements] may go now. */
    fun select(requirements: TargetRequirements): TargetSelection {
        val usable = view.usableTargets(requirements.service)
        if (usable.isEmpty()) return TargetSelection.NoTarget
        val copy = requirements.copy
        val holders = if (copy == null) usable else usable.filter { view.holds(it, copy) }
        if (holders.isEmpty()) return TargetSelection.CopyMissing(modelHolders(usable, requirements))
        val accepting = holders.filter { view.remainingQuietMillis(it) == 0L }
        if (accepting.isEmpty()) return TargetSelection.Quiet(holders.minOf(view::remainingQuietMillis))
        val untried = accepting.filterNot { it.entry.targetId in requirements.avoidedTargetIds }.ifEmpty { accepting }
        return chooseFrom(untried, requirements)
    }

    /** Returns whether the previously selected target [targetId] may still receive a request with [requirements]. */
    fun isStillEligible(targetId: TargetId, requirements: TargetRequirements): Boolean {
        val target = view.directory.targets[targetId] ?: return false
        val isThere = requirements.copy == null || view.holds(target, requirements.copy)
        return isThere && view.isUsable(targetId) && view.remainingQuietMillis(target) == 0L
    }

    /** Returns the targets that hold the model that [requirements] asks for. */
    fun modelHolders(requirements: TargetRequirements): List<KnownTarget> =
        modelHolders(view.usableTargets(requirements.service), requirements)

    private fun modelHolders(usable: List<KnownTarget>, requirements: TargetRequirements): List<KnownTarget> {
        val model = requirements.copy?.model ?: return emptyList()
        return usable.filter { view.holds(it, model) }
    }

    private fun chooseFrom(targets: List<KnownTarget>, requirements: TargetRequirements): TargetSelection {
        val nowMillis = clock.nowMillis()
        val preferred = if (requirements.copy == null) null else preferredTargetOrNull(targets, requirements, nowMillis)
        val candidates = targets.map { target ->
            val state = view.stateOf(target)
            ReadyTarget(
                targetId = target.entry.targetId,
                zoneDelayMillis = if (target.entry.zoneId == view.zoneId) 0.0 else CROSS_ZONE_DELAY_MILLIS,
                freeBatchSlots = state.load.freeBatchSlotsAt(nowMillis),
                cachedPromptMillis = if (target === preferred) CACHED_PREFIX_MILLIS else 0.0,
                queuedPromptMillis = if (requirements.copy ==
                    null
                ) {
                    0.0
                } else {
                    state.promptBacklogMillis(nowMillis).toDouble()
                },
                state = state.breaker.stateAt(nowMillis),
            )
        }
        val available = candidates.filter {
            it.state != CircuitState.OPEN
        }.ifEmpty { candidates.map { it.copy(state = CircuitState.CLOSED) } }
        val withCapacity = available.filter { it.freeBatchSlots > 0 }
        if (withCapacity.isEmpty()) return TargetSelection.Busy
        val chooser = if (requirements.copy == null) serviceChooser else engineChooser
        val chosen = chooser.chooseOrNull(withCapacity, random.nextDouble()) ?: return TargetSelection.Busy
        return TargetSelection.Send(targets.first { it.entry.targetId == chosen.targetId })
    }

    /**
     * Returns one of the targets to which every VM sends requests with this key first, by rendezvous hashing.
     *
     * There are as many of them as it takes for the requests with this key.
     */
    private fun preferredTargetOrNull(
        targets: List<KnownTarget>,
        requirements: TargetRequirements,
        nowMillis: Long,
    ): KnownTarget? {
        val slots = targets.minOfOrNull { it.entry.slots } ?: return null
        val hash = stableHash(requirements.affinityKey)
        val targetCount = affinitySpread.targetCountFor(requirements.affinityKey, vmCount(), requirements.holdMillis, slots, nowMillis)
        if (targetCount == 1) return targets.maxByOrNull { mixedHash(hash, view.stateOf(it).hash) }
        val first = targets.sortedByDescending { mixedHash(hash, view.stateOf(it).hash) }.take(targetCount)
        return first[random.nextInt(first.size)]
    }
}
