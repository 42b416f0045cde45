package org.banyanturn.entry.peers

import io.netty.channel.EventLoopGroup
import org.banyanturn.core.Incarnation
import org.banyanturn.core.VmId
import org.banyanturn.core.isIdentifier
import org.banyanturn.entry.follow.Ownership
import org.banyanturn.entry.follow.Peer
import org.banyanturn.entry.requests.FleetView
import org.banyanturn.platform.hosted.VmBoot

/** Talks to the other VMs. */
internal class PeerDesk(
    group: EventLoopGroup,
    boot: VmBoot,
    private val self: Peer,
    private val ownership: Ownership,
    private val allotments: AllotmentExchange,
    private val view: FleetView,
) {
    private val socket = PeerSocket(group, boot.address, boot.peerPort, ::onDatagram)

    /** Sends what is due; called every few milliseconds. */
    fun sendDue() {
        allotments.dueReports().forEach { (peer, reports) -> send(peer.host, reports = reports) }
    }

    private fun onDatagram(datagram: PeerDatagram, senderHost: String) {
        if (!isIdentifier(datagram.vmId)) return
        val from = Incarnation(VmId(datagram.vmId), datagram.incarnation)
        if (datagram.grants.isNotEmpty()) allotments.onGrants(datagram.grants)
        val grants = allotments.answer(from, datagram.reports)
        if (grants.isNotEmpty()) send(senderHost, grants = grants)
    }

    private fun send(
        host: String,
        reports: List<AllotmentReportMessage> = emptyList(),
        grants: List<AllotmentGrantMessage> = emptyList(),
    ) {
        val datagram = PeerDatagram(
            vmId = self.incarnation.vmId.value,
            incarnation = self.incarnation.number,
            catalogVersion = view.catalog?.version ?: -1,
            reports = reports,
            grants = grants,
        )
        socket.send(host, datagram)
    }
}
