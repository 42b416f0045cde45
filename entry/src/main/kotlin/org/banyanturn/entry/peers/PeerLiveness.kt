package org.banyanturn.entry.peers

import org.banyanturn.core.Incarnation
import org.banyanturn.core.VmId
import org.banyanturn.core.limits.SharingPeer
import org.banyanturn.core.limits.SharingVms
import org.banyanturn.daemon.ProcessClock
import org.banyanturn.entry.follow.Ownership
import org.banyanturn.entry.follow.Peer

/**
 * Times of the VMs' words to each other.
 *
 * @property heartbeatMillis time between two words of a VM that has nothing else to say.
 * @property silenceMillis silence after which a VM may be cut off.
 * @property rememberedMillis how long a VM that the group has dropped may still run, cut off from the store.
 */
internal data class LivenessSettings(
    val heartbeatMillis: Long = 1_000,
    val silenceMillis: Long = 2_600,
    val rememberedMillis: Long = 20_000,
)

/** Which VMs there are and which of them were heard of lately. */
internal class PeerLiveness(
    private val ownership: Ownership,
    private val self: Peer,
    private val clock: ProcessClock,
    private val settings: LivenessSettings = LivenessSettings(),
) {
    private val known = HashMap<VmId, KnownPeer>()
    private var collectsSinceMillis: Long? = null

    /** Notes that the VM [from] said something, and whether its place in the group is valid. */
    fun onHeard(from: Incarnation, isInGroup: Boolean) {
        val nowMillis = clock.nowMillis()
        val peer = known[from.vmId]
        if (peer == null ||
            peer.incarnation.number < from.number
        ) {
            known[from.vmId] = KnownPeer(from, nowMillis, nowMillis)
        }
        val heard = known.getValue(from.vmId)
        heard.heardAtMillis = nowMillis
        heard.isInGroup = isInGroup
    }

    /** Takes over the VMs that the group names now; called about once a second. */
    fun refresh() {
        val nowMillis = clock.nowMillis()
        ownership.peers.forEach { peer ->
            val before = known[peer.incarnation.vmId]
            if (before == null || before.incarnation.number < peer.incarnation.number) {
                known[peer.incarnation.vmId] = KnownPeer(peer.incarnation, nowMillis, nowMillis)
            } else {
                before.namedAtMillis = nowMillis
            }
        }
        known.values.removeIf { nowMillis - maxOf(it.namedAtMillis, it.heardAtMillis) > settings.rememberedMillis }
    }

    /** Forgets the VM [from], which has said that it leaves. */
    fun onLeft(from: Incarnation) {
        if (known[from.vmId]?.incarnation == from) known -= from.vmId
    }

    /** Notes whether this VM sums up a member's use now, so that all VMs tell it that they run. */
    fun setCollecting(isCollecting: Boolean) {
        collectsSinceMillis = if (isCollecting) collectsSinceMillis ?: clock.nowMillis() else null
    }

    /**
     * Returns the VMs that share the members' limits.
     *
     * A VM that has just begun to collect takes those for heard that had no reason to tell it anything before.
     */
    fun sharingVms(): SharingVms {
        val nowMillis = clock.nowMillis()
        val sinceMillis = collectsSinceMillis ?: nowMillis
        val others = known.values.filter { it.incarnation.vmId != self.incarnation.vmId }
        return SharingVms(
            others.map {
                val isReachable = nowMillis - maxOf(it.heardAtMillis, sinceMillis) <= settings.silenceMillis
                SharingPeer(it.incarnation, isReachable, it.isInGroup)
            },
        )
    }
}

private class KnownPeer(val incarnation: Incarnation, var namedAtMillis: Long, var heardAtMillis: Long) {
    var isInGroup = true
}
