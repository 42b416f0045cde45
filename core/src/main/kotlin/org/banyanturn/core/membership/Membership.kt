package org.banyanturn.core.membership

import kotlinx.collections.immutable.PersistentMap
import kotlinx.collections.immutable.persistentHashMapOf
import org.banyanturn.core.Incarnation
import org.banyanturn.core.VmId
import org.banyanturn.core.ZoneId
import org.banyanturn.core.state.PeerOffset

/**
 * Settings of failure detection.
 *
 * @property minSuspicionMillis minimum time without progress after which a peer is suspected, in milliseconds.
 * @property missedIntervals number of the peer's mean progress intervals that must have passed as well.
 * @property tickMillis maximum time between two events, in milliseconds; a longer gap means that this VM was paused.
 */
public data class MembershipPolicy(
    val minSuspicionMillis: Long = 5_000,
    val missedIntervals: Int = 4,
    val tickMillis: Long = 2_000,
)

/** The status of a VM as known to this VM. */
public enum class VmStatus {
    /** The VM accepts work. */
    LIVE,

    /** No progress of the VM was observed for too long; it may still be running behind a network partition. */
    SUSPECT,

    /** The VM accepts no new work. */
    LEAVING,

    /** The incarnation has ended permanently. */
    GONE,
}

/**
 * A VM as known to this VM.
 *
 * @property incarnation the latest known incarnation, or `null` if the VM is known from the platform's list only.
 * @property nextOffset offset up to which the VM has read the log.
 */
public data class MemberVm(
    val vmId: VmId,
    val zoneId: ZoneId,
    val incarnation: Incarnation?,
    val status: VmStatus,
    val nextOffset: Long,
)

/**
 * Detects which VMs are live from the platform's list, which may lag, the log, heartbeats and this VM's own calls.
 * Immutable.
 *
 * An incarnation that is gone stays gone; a higher incarnation of the same VM is live again. A peer is suspected after
 * several of its own mean intervals without progress; time in which this VM itself was paused does not count.
 */
public class Membership private constructor(
    private val selfId: VmId,
    private val policy: MembershipPolicy,
    private val evidence: PersistentMap<VmId, VmEvidence>,
    private val lastEventMillis: Long,
    private val pausedMillis: Long,
) {
    /** Creates the empty membership of the VM [selfId], which starts at [nowMillis]. */
    public constructor(selfId: VmId, policy: MembershipPolicy, nowMillis: Long) :
        this(selfId, policy, persistentHashMapOf(), nowMillis, 0)

    /** Returns the membership after [event]. */
    public fun onEvent(event: MembershipEvent, nowMillis: Long): Membership {
        val gapMillis = nowMillis - lastEventMillis
        val paused = pausedMillis + if (gapMillis > policy.tickMillis) gapMillis else 0
        val activeMillis = nowMillis - paused
        val updated = when (event) {
            is MembershipEvent.VmsListed -> withFinalStatuses(afterListing(event.vms), activeMillis)

            is MembershipEvent.HeartbeatReceived -> afterHeartbeat(event, activeMillis)

            is MembershipEvent.CallSucceeded -> afterCallSucceeded(event.vmId, activeMillis)

            is MembershipEvent.VmsFolded -> event.vms.fold(evidence) { known, vm ->
                known.putting(vm.incarnation.vmId, known[vm.incarnation.vmId].withVm(vm))
            }

            is MembershipEvent.Tick -> withFinalStatuses(evidence, activeMillis)
        }
        return Membership(selfId, policy, updated, nowMillis, paused)
    }

    private fun withFinalStatuses(
        known: PersistentMap<VmId, VmEvidence>,
        activeMillis: Long,
    ): PersistentMap<VmId, VmEvidence> =
        known.entries.fold(known) { all, (vmId, vm) ->
            val updated = vm.withFinalStatus(policy, activeMillis)
            if (updated == vm) all else all.putting(vmId, updated)
        }

    private fun afterListing(vms: List<ListedVm>): PersistentMap<VmId, VmEvidence> {
        val listedIds = vms.mapTo(mutableSetOf(), ListedVm::vmId)
        val missing = evidence.filter { (vmId, known) -> known.listed != null && vmId !in listedIds }
        val withMissing = missing.entries.fold(evidence) { known, (vmId, vm) ->
            known.putting(vmId, vm.withListing(vm.zoneId, ListedStatus.GONE))
        }
        return vms.fold(withMissing) { known, vm ->
            known.putting(vm.vmId, (known[vm.vmId] ?: VmEvidence(vm.zoneId)).withListing(vm.zoneId, vm.status))
        }
    }

    private fun afterHeartbeat(
        event: MembershipEvent.HeartbeatReceived,
        activeMillis: Long,
    ): PersistentMap<VmId, VmEvidence> {
        val vmId = event.incarnation.vmId
        val known = evidence[vmId]?.withFinalStatus(policy, activeMillis) ?: VmEvidence(event.zoneId)
        return evidence.putting(vmId, known.withHeartbeat(event, activeMillis))
    }

    private fun afterCallSucceeded(vmId: VmId, activeMillis: Long): PersistentMap<VmId, VmEvidence> {
        val known = evidence[vmId]?.withFinalStatus(policy, activeMillis) ?: return evidence
        return evidence.putting(vmId, known.withProgress(activeMillis))
    }

    /** Returns the status of [vmId], or `null` if the VM is unknown. */
    public fun statusOrNull(vmId: VmId, nowMillis: Long): VmStatus? =
        evidence[vmId]?.status(policy, nowMillis - pausedMillis)

    /** Returns the VMs that are not gone, in the order of their ids; this VM is included if there is evidence of it. */
    public fun members(nowMillis: Long): List<MemberVm> =
        evidence.entries
            .map { (vmId, vm) ->
                val status = vm.status(policy, nowMillis - pausedMillis)
                MemberVm(vmId, vm.zoneId, vm.incarnation, status, vm.nextOffset)
            }
            .filter { it.status != VmStatus.GONE }
            .sortedBy { it.vmId.value }

    /** Returns the incarnations that have ended permanently, in the order of their ids. */
    public fun goneIncarnations(nowMillis: Long): List<Incarnation> =
        evidence.values
            .filter { it.status(policy, nowMillis - pausedMillis) == VmStatus.GONE }
            .mapNotNull(VmEvidence::incarnation)
            .sortedBy { it.vmId.value }

    /** Returns the log offsets of the peers that are not suspected, those of [zoneId] first. */
    public fun peerOffsets(zoneId: ZoneId, nowMillis: Long): List<PeerOffset> =
        members(nowMillis)
            .filter { it.vmId != selfId && it.status != VmStatus.SUSPECT }
            .sortedByDescending { it.zoneId == zoneId }
            .map { PeerOffset(it.vmId, it.nextOffset) }
}
