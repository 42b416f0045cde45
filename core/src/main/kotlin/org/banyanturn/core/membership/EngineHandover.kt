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
 * Times of the handover of engines between owners.
 *
 * @property leaseMillis time for which an owner may send orders after its last confirmation from the log that it is the
 * owner, in milliseconds.
 * @property maxOrderDelayMillis maximum time for which an order may be in flight, in milliseconds.
 */
public data class HandoverPolicy(val leaseMillis: Long = 10_000, val maxOrderDelayMillis: Long = 5_000)

/** A claim of the engine [targetId], which has no live owner; [expectedVersion] is its last fencing number. */
public data class EngineTakeover(val targetId: TargetId, val expectedVersion: Long)

/**
 * Decides which engines a VM takes over and when it may send them orders. Immutable.
 *
 * The successor of an owner that left gracefully may send orders at once. Otherwise, if the engine does not check
 * fencing numbers, the successor waits for the old lease plus the maximum order delay, counted from when it read its
 * own ownership record.
 */
public class EngineHandover private constructor(
    private val self: Incarnation,
    private val policy: HandoverPolicy,
    private val ownedEngines: PersistentMap<TargetId, OwnedEngine>,
    private val confirmedAtMillis: Long?,
) {
    /** Creates the handover of the incarnation [self], which owns no engine yet. */
    public constructor(self: Incarnation, policy: HandoverPolicy) : this(self, policy, persistentHashMapOf(), null)

    /** Returns the handover after the records of the log up to [state] were applied. */
    public fun observe(state: FleetState, nowMillis: Long): EngineHandover {
        val ownedBySelf = state.owners.values.filter { it.incarnation == self }
        val owned = ownedBySelf.associate { owner ->
            val known = ownedEngines[owner.targetId]?.takeIf { it.owner == owner }
            owner.targetId to (known ?: OwnedEngine(owner, nowMillis))
        }
        val engines = persistentHashMapOf<TargetId, OwnedEngine>().puttingAll(owned)
        return EngineHandover(self, policy, engines, confirmedAtMillis)
    }

    /**
     * Returns the handover after a read of the log (and not of a peer) reached its end.
     *
     * @param startedAtMillis time at which the read was sent; the read includes every change of owner up to this time.
     */
    public fun afterReadToEnd(startedAtMillis: Long): EngineHandover =
        EngineHandover(self, policy, ownedEngines, maxOf(confirmedAtMillis ?: startedAtMillis, startedAtMillis))

    /** Returns the fencing number for an order to [targetId] at [nowMillis], or `null` if no order may be sent now. */
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

    /**
     * Returns whether the wait for the previous owners is over for all owned engines, so that this VM can leave
     * gracefully once its own orders have completed.
     */
    public fun hasWaitedOutAllPredecessors(nowMillis: Long): Boolean =
        ownedEngines.values.all { hasWaitedOutPredecessor(it, nowMillis) }
}

private data class OwnedEngine(val owner: EngineOwner, val sinceMillis: Long)

/**
 * Returns the engines that [self] takes over: those whose owner has left, is gone or is suspected, and whose next
 * owner among the live VMs is [self].
 *
 * Engines stay with a live owner, so that the failure of a VM moves only the engines of that VM.
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

/**
 * Returns the next owner of [targetId], or `null` if there is none: a live VM of the engine's zone, else of its region,
 * else any live VM.
 */
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
 * Returns the owners whose engines [self] takes over if they fail, as the watched peers of [heartbeatPeers].
 *
 * Takes time proportional to the number of engines times the number of VMs in a zone, so it should be called only when
 * the owners or members change.
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
