package org.banyanturn.placer.engines

import org.banyanturn.core.Incarnation
import org.banyanturn.core.TargetId
import org.banyanturn.core.VmId
import org.banyanturn.core.membership.rendezvousOwnerOrNull
import org.banyanturn.core.state.FleetState
import org.banyanturn.core.state.Target
import org.banyanturn.core.state.TargetKind
import org.banyanturn.core.state.Vm

/** Decides which engines this VM should own. */
internal fun interface EngineAssignment {
    /** Returns the engines that this VM owns or should take over. */
    fun enginesToOwn(state: FleetState): Set<TargetId>
}

/**
 * Returns an assignment by rendezvous hashing over the live VMs of an engine's availability zone.
 *
 * A live owner keeps its engine; another VM takes over only once the owner's incarnation has ended. An engine in a
 * zone without live VMs is assigned over all of them.
 */
internal fun rendezvousAssignment(incarnation: Incarnation): EngineAssignment = EngineAssignment { state ->
    val liveVms = state.vms.values.filter(Vm::takesWork)
    state.targets.values
        .filter { it.kind == TargetKind.ENGINE }
        .filter { state.nextOwnerOrNull(it, liveVms) == incarnation.vmId }
        .mapTo(HashSet(), Target::targetId)
}

private fun FleetState.nextOwnerOrNull(engine: Target, liveVms: List<Vm>): VmId? {
    val owner = owners[engine.targetId]?.incarnation
    if (owner != null && isLive(owner)) return owner.vmId
    val sameZone = liveVms.filter { it.zoneId == engine.zoneId }
    val candidates = sameZone.ifEmpty { liveVms }
    return rendezvousOwnerOrNull(engine.targetId.value, candidates.map { it.incarnation.vmId })
}

private fun FleetState.isLive(incarnation: Incarnation): Boolean {
    val vm = vms[incarnation.vmId] ?: return false
    return vm.incarnation == incarnation && vm.takesWork()
}

/** Returns whether this VM gets new work. */
internal fun Vm.takesWork(): Boolean = !hasLeft && !isDraining
