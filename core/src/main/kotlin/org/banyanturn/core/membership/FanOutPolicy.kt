package org.banyanturn.core.membership

import org.banyanturn.core.VmId

/**
 * How many peers a VM exchanges heartbeats with in each round: those of its zone first, then of its region's other
 * zones, then of other regions, so that the bytes a second do not grow with the number of VMs.
 *
 * @property intervalMillis time from one round to the next.
 * @property watchedPeers how many peers more may be added because this VM stands in for them.
 */
public data class FanOutPolicy(
    val intervalMillis: Long = 2_500,
    val zonePeers: Int = 2,
    val regionPeers: Int = 1,
    val remotePeers: Int = 1,
    val watchedPeers: Int = 2,
)

/**
 * Returns the peers to exchange heartbeats with in [round], without doubles.
 *
 * Round by round the distance to the chosen peers doubles, so that news reach all n VMs of a group
 * in about log2(n) rounds, and every peer that lives is met in turn.
 *
 * @param members the VMs that are not gone; suspected ones are met as well, to learn of their recovery.
 * @param watched peers whose work this VM takes over if they fail; they are met in every round.
 */
public fun FanOutPolicy.heartbeatPeers(
    self: MemberVm,
    members: List<MemberVm>,
    topology: Topology,
    round: Long,
    watched: List<VmId> = emptyList(),
): List<MemberVm> {
    val others = members.filter { it.vmId != self.vmId }
    val regionId = topology.regionOf(self.zoneId)
    val inZone = others.filter { it.zoneId == self.zoneId }
    val inRegion = others.filter { it.zoneId != self.zoneId && topology.regionOf(it.zoneId) == regionId }
    val remote = others.filter { topology.regionOf(it.zoneId) != regionId }
    val watchedMembers = others.filter { it.vmId in watched }
    val chosen = peersAtDoublingDistances(self.vmId, inZone, round, zonePeers) +
        peersAtDoublingDistances(self.vmId, inRegion, round, regionPeers) +
        peersAtDoublingDistances(self.vmId, remote, round, remotePeers) +
        watchedMembers.rotated(round * watchedPeers).take(watchedPeers)
    return chosen.distinctBy(MemberVm::vmId)
}

/** Returns [count] of [peers], counted from the place after [selfId] in the order of ids, at distances that double. */
private fun peersAtDoublingDistances(selfId: VmId, peers: List<MemberVm>, round: Long, count: Int): List<MemberVm> {
    val start = peers.count { it.vmId.value < selfId.value }
    val ring = peers.sortedBy { it.vmId.value }.rotated(start.toLong())
    val doublings = DISTANCE_BITS.coerceAtMost(Int.SIZE_BITS - ring.size.countLeadingZeroBits()).coerceAtLeast(1)
    return (0 until minOf(count, ring.size)).map { index ->
        val step = round * count + index
        val distance = (1L shl (step % doublings).toInt()) - 1
        val shift = step / doublings
        ring[((distance + shift) % ring.size).toInt()]
    }
}

private const val DISTANCE_BITS = 30

private fun <T> List<T>.rotated(by: Long): List<T> {
    if (isEmpty()) return this
    val start = (by % size).toInt()
    return drop(start) + take(start)
}
