package org.banyanturn.core.membership

import kotlinx.collections.immutable.PersistentMap
import kotlinx.collections.immutable.persistentHashMapOf
import org.banyanturn.core.Incarnation
import org.banyanturn.core.VmId
import org.banyanturn.core.ZoneId
import org.banyanturn.core.state.PeerOffset

/**
 * When a silent peer is suspected.
 *
 * @property minSuspicionMillis the shortest time without progress after which a peer is suspected.
 * @property missedIntervals how many of a peer's usual intervals between signs of progress must pass as well.
 * @property tickMillis the longest time between two events; a longer gap means that this VM was paused itself.
 */
public data class MembershipPolicy(
    val minSuspicionMillis: Long = 5_000,
    val missedIntervals: Int = 4,
    val tickMillis: Long = 2_000,
)

/** How a VM does, as far as this VM knows. */
public enum class VmStatus {
    /** The VM takes work. */
    LIVE,

    /** The VM has made no progress for long; it may work on behind a partition. */
    SUSPECT,

    /** The VM takes no new work. */
    LEAVING,

    /** This incarnation has ended for good. */
    GONE,
}

/** A VM as this VM sees it; [incarnation] is `null` until the VM was heard of other than by the platform's list. */
public data class MemberVm(
    val vmId: VmId,
    val zoneId: ZoneId,
    val incarnation: Incarnation?,
    val status: VmStatus,
    val nextOffset: Long,
)

/**
 * Decides which VMs are live from the platform's lagging list, the log, heartbeats and this VM's own calls.
 *
 * An incarnation that is gone stays gone; a higher one of the same VM is live again. Suspicion is by missed progress
 * over several of the peer's own intervals, and time in which this VM was paused itself does not count.
 */
public class Membership private constructor(
    private val selfId: VmId,
    private val policy: MembershipPolicy,
    private val evidence: PersistentMap<VmId, VmEvidence>,
    private val lastEventMillis: Long,
    private val pausedMillis: Long,
) {
    /** Returns the membership as the VM [selfId] sees it at its start at [nowMillis]: empty. */
    public constructor(selfId: VmId, policy: MembershipPolicy, nowMillis: Long) :
        this(selfId, policy, persistentHashMapOf(), nowMillis, 0)

    /** Returns the membership after [event]. */
    public fun onEvent(event: MembershipEvent, nowMillis: Long): Membership {
        val gapMillis = nowMillis - lastEventMillis
        val paused = pausedMillis + if (gapMillis > policy.tickMillis) gapMillis else 0
        val activeMillis = nowMillis - paused
        val updated = when (event) {
            is MembershipEvent.VmsListed -> withFinalStatuses(listed(event.vms), activeMillis)

            is MembershipEvent.HeartbeatReceived -> heard(event, activeMillis)

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
            val withFinalStatus = vm.withFinalStatus(policy, activeMillis)
            if (withFinalStatus == vm) all else all.putting(vmId, withFinalStatus)
        }

    private fun listed(vms: List<ListedVm>): PersistentMap<VmId, VmEvidence> {
        val listedIds = vms.mapTo(mutableSetOf(), ListedVm::vmId)
        val missing = evidence.filter { (vmId, known) -> known.listed != null && vmId !in listedIds }
        val withMissing = missing.entries.fold(evidence) { known, (vmId, vm) ->
            known.putting(vmId, vm.listed(vm.zoneId, ListedStatus.GONE))
        }
        return vms.fold(withMissing) { known, vm ->
            known.putting(vm.vmId, (known[vm.vmId] ?: VmEvidence(vm.zoneId)).listed(vm.zoneId, vm.status))
        }
    }

    private fun heard(event: MembershipEvent.HeartbeatReceived, activeMillis: Long): PersistentMap<VmId, VmEvidence> {
        val vmId = event.incarnation.vmId
        val known = evidence[vmId]?.withFinalStatus(policy, activeMillis) ?: VmEvidence(event.zoneId)
        return evidence.putting(vmId, known.heard(event, activeMillis))
    }

    private fun afterCallSucceeded(vmId: VmId, activeMillis: Long): PersistentMap<VmId, VmEvidence> {
        val known = evidence[vmId]?.withFinalStatus(policy, activeMillis) ?: return evidence
        return evidence.putting(vmId, known.withProgress(activeMillis))
    }

    /** Returns how [vmId] does, or `null` if nothing is known of it. */
    public fun statusOrNull(vmId: VmId, nowMillis: Long): VmStatus? =
        evidence[vmId]?.status(policy, nowMillis - pausedMillis)

    /** Returns the VMs that are not gone, this one included if it was heard of, in the order of their ids. */
    public fun members(nowMillis: Long): List<MemberVm> =
        evidence.entries
            .map { (vmId, vm) ->
                val status = vm.status(policy, nowMillis - pausedMillis)
                MemberVm(vmId, vm.zoneId, vm.incarnation, status, vm.nextOffset)
            }
            .filter { it.status != VmStatus.GONE }
            .sortedBy { it.vmId.value }

    /** Returns the incarnations that have ended for good, in the order of their ids. */
    public fun goneIncarnations(nowMillis: Long): List<Incarnation> =
        evidence.values
            .filter { it.status(policy, nowMillis - pausedMillis) == VmStatus.GONE }
            .mapNotNull(VmEvidence::incarnation)
            .sortedBy { it.vmId.value }

    /** Returns the peers with their log offsets, those of [zoneId] first, suspected ones left out. */
    public fun peerOffsets(zoneId: ZoneId, nowMillis: Long): List<PeerOffset> =
        members(nowMillis)
            .filter { it.vmId != selfId && it.status != VmStatus.SUSPECT }
            .sortedByDescending { it.zoneId == zoneId }
            .map { PeerOffset(it.vmId, it.nextOffset) }
}
