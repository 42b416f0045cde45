package org.banyanturn.core.membership

import org.banyanturn.core.VmId

/**
 * The number of peers with which a VM exchanges heartbeats in each round. It is fixed, so that the traffic per VM does
 * not grow with the number of VMs.
 *
 * @property intervalMillis time between two rounds, in milliseconds.
 * @property zonePeers number of peers in the VM's own zone.
 * @property regionPeers number of peers in the other zones of the VM's region.
 * @property remotePeers number of peers in other regions.
 * @property watchedPeers maximum number of additional peers whose engines this VM takes over if they fail.
 */
public data class FanOutPolicy(
    val intervalMillis: Long = 2_500,
    val zonePeers: Int = 2,
    val regionPeers: Int = 1,
    val remotePeers: Int = 1,
    val watchedPeers: Int = 2,
)

/**
 * Returns the peers with which to exchange heartbeats in [round], without duplicates.
 *
 * The distance to the selected peers doubles from round to round, so that an update reaches all n VMs of a group in
 * about log2(n) rounds, and each live peer is selected in turn.
 *
 * @param members the VMs that are not gone; suspected ones are included, so that their recovery is detected.
 * @param watched peers whose engines this VM takes over if they fail; up to [FanOutPolicy.watchedPeers] of them are
 * selected in every round, in rotation.
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

/**
 * Returns [count] of [peers] at doubling distances from [selfId] in the ring of all ids.
 *
 * After a full series of distances the starting point moves on by one, so that every peer is selected eventually.
 */
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
