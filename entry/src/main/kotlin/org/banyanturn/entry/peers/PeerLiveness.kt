package org.banyanturn.entry.peers

import org.banyanturn.core.Incarnation
import org.banyanturn.core.VmId
import org.banyanturn.core.limits.SharingPeer
import org.banyanturn.core.limits.SharingVms
import org.banyanturn.daemon.ProcessClock
import org.banyanturn.entry.follow.Ownership
import org.banyanturn.entry.follow.Peer

/**
 * Intervals and timeouts of the liveness tracking between VMs.
 *
 * @property heartbeatMillis interval between the heartbeats of a VM.
 * @property silenceTimeoutMillis time without a datagram from a VM after which it counts as isolated.
 * @property retentionMillis how long a VM is remembered that the group no longer lists and that sends nothing; it may
 * still be running, isolated from the store.
 */
internal data class LivenessSettings(
    val heartbeatMillis: Long = 1_000,
    val silenceTimeoutMillis: Long = 2_600,
    val retentionMillis: Long = 20_000,
)

/** Tracks the known VMs and when a datagram from each of them was last received. */
internal class PeerLiveness(
    private val ownership: Ownership,
    private val self: Peer,
    private val clock: ProcessClock,
    private val settings: LivenessSettings = LivenessSettings(),
) {
    private val known = HashMap<VmId, KnownPeer>()
    private var collectingSinceMillis: Long? = null

    /** Records that a datagram from [from] was received, and whether its membership in the group is valid. */
    fun onReceived(from: Incarnation, isInGroup: Boolean) {
        val nowMillis = clock.nowMillis()
        val peer = known[from.vmId]
        if (peer == null || peer.incarnation.number < from.number) {
            known[from.vmId] = KnownPeer(from, nowMillis, nowMillis)
        }
        val sender = known.getValue(from.vmId)
        sender.receivedAtMillis = nowMillis
        sender.isInGroup = isInGroup
    }

    /**
     * Adds the VMs that the group lists now, and removes those that were not listed and sent nothing for
     * [LivenessSettings.retentionMillis]; called about once a second.
     */
    fun refresh() {
        val nowMillis = clock.nowMillis()
        ownership.peers.forEach { peer ->
            val existing = known[peer.incarnation.vmId]
            if (existing == null || existing.incarnation.number < peer.incarnation.number) {
                known[peer.incarnation.vmId] = KnownPeer(peer.incarnation, nowMillis, nowMillis)
            } else {
                existing.listedAtMillis = nowMillis
            }
        }
        known.values.removeIf { nowMillis - maxOf(it.listedAtMillis, it.receivedAtMillis) > settings.retentionMillis }
    }

    /** Removes the VM [from], which has announced its shutdown. */
    fun onLeft(from: Incarnation) {
        if (known[from.vmId]?.incarnation == from) known -= from.vmId
    }

    /** Sets whether this VM collects the usage of any member; all VMs send heartbeats to a collector. */
    fun setCollecting(isCollecting: Boolean) {
        collectingSinceMillis = if (isCollecting) collectingSinceMillis ?: clock.nowMillis() else null
    }

    /**
     * Returns the VMs that share the members' limits.
     *
     * The silence of a VM counts at the earliest from the moment at which this VM became a collector, since other VMs
     * had no reason to send heartbeats to it before. While it collects nothing, all VMs count as responsive.
     */
    fun sharingVms(): SharingVms {
        val nowMillis = clock.nowMillis()
        val baselineMillis = collectingSinceMillis ?: nowMillis
        val others = known.values.filter { it.incarnation.vmId != self.incarnation.vmId }
        return SharingVms(
            others.map {
                val isResponsive =
                    nowMillis - maxOf(it.receivedAtMillis, baselineMillis) <= settings.silenceTimeoutMillis
                SharingPeer(it.incarnation, isResponsive, it.isInGroup)
            },
        )
    }
}

private class KnownPeer(val incarnation: Incarnation, var listedAtMillis: Long, var receivedAtMillis: Long) {
    var isInGroup = true
}
