package org.banyanturn.entry.requests

import org.banyanturn.core.TargetId
import org.banyanturn.core.mixedHash
import org.banyanturn.core.placement.CopyName
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

/** What a request needs of a target. */
internal class TargetNeed(
    val service: ServiceName,
    val copy: CopyName?,
    val affinityKey: String,
    val avoided: Set<TargetId>,
)

/** Where a request may go now. */
internal sealed interface Placement {
    /** It may go to [target]. */
    class Send(val target: KnownTarget) : Placement

    /** All targets that could serve it are full. */
    data object Busy : Placement

    /** Targets of the service take requests, but none holds the copy; [modelHolders] hold its model. */
    class CopyMissing(val modelHolders: List<KnownTarget>) : Placement

    /** No target of the service takes requests. */
    data object NoTarget : Placement
}

/** Delay between availability zones, there and back, which a target in this VM's own zone saves. */
private const val ZONE_DELAY_MILLIS = 8.0

/** Prompt processing that is saved at the target where requests with the same beginning go first. */
private const val AFFINITY_MILLIS = 15.0

/** Chooses the target of each attempt from what this VM knows. */
internal class TargetPlacement(
    private val view: FleetView,
    private val clock: ProcessClock,
    private val random: Random,
    private val engineChooser: CopyChooser = copyChooserOf(CopyChooserSettings(batchMillis = 1.0)),
    private val serviceChooser: CopyChooser = copyChooserOf(CopyChooserSettings(batchMillis = 4.0)),
) {
    /** Returns where a request with [need] may go now. */
    fun place(need: TargetNeed): Placement {
        val serving = view.servingTargets(need.service)
        if (serving.isEmpty()) return Placement.NoTarget
        val copy = need.copy
        val holders = if (copy == null) serving else serving.filter { view.holds(it, copy) }
        if (holders.isEmpty()) return Placement.CopyMissing(modelHolders(serving, need))
        val fresh = holders.filterNot { it.entry.targetId in need.avoided }.ifEmpty { holders }
        return choose(fresh, need)
    }

    /** Returns the targets that hold the model that [need] asks for. */
    fun modelHolders(need: TargetNeed): List<KnownTarget> =
        modelHolders(view.servingTargets(need.service), need)

    private fun modelHolders(serving: List<KnownTarget>, need: TargetNeed): List<KnownTarget> {
        val model = need.copy?.model ?: return emptyList()
        return serving.filter { view.holds(it, model) }
    }

    private fun choose(targets: List<KnownTarget>, need: TargetNeed): Placement {
        val nowMillis = clock.nowMillis()
        val favourite = if (need.copy == null) null else favouriteOf(targets, need.affinityKey)
        val ready = targets.map { target ->
            val state = view.stateOf(target)
            ReadyTarget(
                targetId = target.entry.targetId,
                zoneDelayMillis = if (target.entry.zoneId == view.zoneId) 0.0 else ZONE_DELAY_MILLIS,
                batchRoom = state.load.batchRoomAt(nowMillis),
                cachedPromptMillis = if (target === favourite) AFFINITY_MILLIS else 0.0,
                state = state.breaker.stateAt(nowMillis),
            )
        }
        val open = ready.filter {
            it.state != CircuitState.OPEN
        }.ifEmpty { ready.map { it.copy(state = CircuitState.CLOSED) } }
        val withRoom = open.filter { it.batchRoom > 0 }
        if (withRoom.isEmpty()) return Placement.Busy
        val chooser = if (need.copy == null) serviceChooser else engineChooser
        val chosen = chooser.chooseOrNull(withRoom, random.nextDouble()) ?: return Placement.Busy
        return Placement.Send(targets.first { it.entry.targetId == chosen.targetId })
    }

    /** Returns the target at which every VM sends requests with this key first, by rendezvous hashing. */
    private fun favouriteOf(targets: List<KnownTarget>, key: String): KnownTarget? =
        stableHash(key).let { hash -> targets.maxByOrNull { mixedHash(hash, view.stateOf(it).hash) } }
}
