package org.banyanturn.core.membership

import kotlinx.collections.immutable.PersistentMap
import kotlinx.collections.immutable.persistentHashMapOf
import org.banyanturn.core.Incarnation
import org.banyanturn.core.TargetId
import org.banyanturn.core.VmId
import org.banyanturn.core.ZoneId
import org.banyanturn.core.state.EngineOwner
import org.banyanturn.core.state.FleetState
import org.banyanturn.core.state.NO_VERSION
import org.banyanturn.core.state.TargetKind
import org.banyanturn.core.state.isCurrent

/**
 * How long engines wait between owners.
 *
 * @property leaseMillis how long an owner may order after it last saw from the log that it is the owner.
 * @property maxOrderDelayMillis the longest time that an order may be under way.
 */
public data class HandoverPolicy(val leaseMillis: Long = 10_000, val maxOrderDelayMillis: Long = 5_000)

/** An ownership record to append: [targetId] has no live owner, and [expectedVersion] is its last fencing number. */
public data class EngineTakeover(val targetId: TargetId, val expectedVersion: Long)

/**
 * Decides which engines a VM takes over and when it may give them orders.
 *
 * An owner that left gracefully is followed at once. After any other the successor of an engine that ignores fencing
 * numbers waits out the old lease and the longest order delay, counted from when it read its own record.
 */
public class EngineHandover private constructor(
    private val self: Incarnation,
    private val policy: HandoverPolicy,
    private val ownedEngines: PersistentMap<TargetId, OwnedEngine>,
    private val confirmedAtMillis: Long?,
) {
    /** Returns the handover of the incarnation [self], which owns no engine yet. */
    public constructor(self: Incarnation, policy: HandoverPolicy) : this(self, policy, persistentHashMapOf(), null)

    /** Returns the handover after [state] was folded. */
    public fun observe(state: FleetState, nowMillis: Long): EngineHandover {
        val ownersOfSelf = state.owners.values.filter { it.incarnation == self }
        val owned = ownersOfSelf.associate { owner ->
            val known = ownedEngines[owner.targetId]?.takeIf { it.owner == owner }
            owner.targetId to (known ?: OwnedEngine(owner, nowMillis))
        }
        val engines = persistentHashMapOf<TargetId, OwnedEngine>().puttingAll(owned)
        return EngineHandover(self, policy, engines, confirmedAtMillis)
    }

    /**
     * Returns the handover after a read of the log itself reached its end.
     *
     * @param startedAtMillis when the read was sent: whoever took an engine over by then would have been seen.
     */
    public fun afterReadToEnd(startedAtMillis: Long): EngineHandover =
        EngineHandover(self, policy, ownedEngines, maxOf(confirmedAtMillis ?: startedAtMillis, startedAtMillis))

    /** Returns the fencing number for an order to [targetId] at [nowMillis], or `null` if none may be given now. */
    public fun fencingNumberOrNull(state: FleetState, targetId: TargetId, nowMillis: Long): Long? {
        val engine = ownedEngines[targetId] ?: return null
        val target = state.targets[targetId] ?: return null
        if (state.owners[targetId] != engine.owner) return null
        val maySendOrders = target.checksFencing || (hasLease(nowMillis) && hasWaitedOutPredecessor(engine, nowMillis))
        return engine.owner.fencingNumber.takeIf { maySendOrders }
    }

    private fun hasLease(nowMillis: Long): Boolean =
        confirmedAtMillis != null && nowMillis - confirmedAtMillis < policy.leaseMillis

    private fun hasWaitedOutPredecessor(engine: OwnedEngine, nowMillis: Long): Boolean =
        !engine.owner.mustWait ||
            nowMillis - engine.sinceMillis >= policy.leaseMillis + policy.maxOrderDelayMillis

    /** Returns whether no predecessor has to be waited for, so that leaving now is graceful if no own order is open. */
    public fun hasWaitedOutAllPredecessors(nowMillis: Long): Boolean = ownedEngines.values.all { hasWaitedOutPredecessor(it, nowMillis) }
}

private data class OwnedEngine(val owner: EngineOwner, val sinceMillis: Long)

/**
 * Returns the engines that [self] takes over: those whose owner has left, is gone or is suspected, and whose next
 * owner among the live VMs is [self].
 *
 * Engines stay with an owner that lives, so a failed VM moves only its own share.
 */
public fun engineTakeovers(
    state: FleetState,
    members: List<MemberVm>,
    topology: Topology,
    self: Incarnation,
): List<EngineTakeover> {
    val workingIds = members
        .filter { it.status == VmStatus.LIVE || it.status == VmStatus.LEAVING }
        .mapTo(mutableSetOf(), MemberVm::vmId)
    return state.targets.values
        .filter { it.kind == TargetKind.ENGINE && !state.hasWorkingOwner(it.targetId, workingIds) }
        .filter { engine -> nextOwnerOrNull(engine.targetId, engine.zoneId, members, topology) == self.vmId }
        .map { EngineTakeover(it.targetId, state.owners[it.targetId]?.fencingNumber ?: NO_VERSION) }
        .sortedBy { it.targetId.value }
}

private fun FleetState.hasWorkingOwner(targetId: TargetId, workingIds: Set<VmId>): Boolean {
    val owner = owners[targetId] ?: return false
    return isCurrent(owner.incarnation) && owner.incarnation.vmId in workingIds
}

/** Returns the VM that owns [targetId] next: a live one of the engine's zone, else of its region, else any. */
public fun nextOwnerOrNull(
    targetId: TargetId,
    zoneId: ZoneId,
    members: List<MemberVm>,
    topology: Topology,
    excluded: VmId? = null,
): VmId? {
    val live = members.filter { it.status == VmStatus.LIVE && it.vmId != excluded }
    val inZone = live.filter { it.zoneId == zoneId }
    val inRegion = live.filter { topology.regionOf(it.zoneId) == topology.regionOf(zoneId) }
    val candidates = inZone.ifEmpty { inRegion.ifEmpty { live } }
    return rendezvousOwnerOrNull("engine/$targetId", candidates.map(MemberVm::vmId))
}

/**
 * Returns the owners whose engines [self] takes over if they fail, to be met in every round of heartbeats.
 *
 * It takes time in proportion to engines times VMs of a zone: call it when the owners or members change.
 */
public fun watchedOwners(
    state: FleetState,
    members: List<MemberVm>,
    topology: Topology,
    self: Incarnation,
): List<VmId> =
    state.owners.values
        .filter { it.incarnation.vmId != self.vmId }
        .mapNotNull { owner ->
            val engine = state.targets[owner.targetId] ?: return@mapNotNull null
            val ownerId = owner.incarnation.vmId
            ownerId.takeIf { nextOwnerOrNull(engine.targetId, engine.zoneId, members, topology, it) == self.vmId }
        }
        .distinct()
        .sortedBy { it.value }
