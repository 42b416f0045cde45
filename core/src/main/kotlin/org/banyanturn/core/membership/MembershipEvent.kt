package org.banyanturn.core.membership

import org.banyanturn.core.Incarnation
import org.banyanturn.core.VmId
import org.banyanturn.core.ZoneId
import org.banyanturn.core.state.Vm

/** What the platform's list says of a VM. */
public enum class ListedStatus {
    /** The VM runs. */
    LIVE,

    /** The VM is about to be taken away. */
    LEAVING,

    /** The VM is gone. */
    GONE,
}

/** A VM as it stands in the platform's list. */
public data class ListedVm(val vmId: VmId, val zoneId: ZoneId, val status: ListedStatus)

/** Evidence of which VMs there are and how they do. */
public sealed interface MembershipEvent {
    /** The platform's list, whole; a VM that stood in it before and is missing now is gone. */
    public data class VmsListed(val vms: List<ListedVm>) : MembershipEvent

    /**
     * A heartbeat of a peer, or its reply to one.
     *
     * @property progress a number that rises with each turn of the peer's main loop, so that a peer whose loop is
     * stuck is noticed although its connections answer.
     * @property nextOffset offset up to which the peer has folded the log.
     * @property isDraining whether the peer takes no new work.
     */
    public data class HeartbeatReceived(
        val incarnation: Incarnation,
        val zoneId: ZoneId,
        val progress: Long,
        val nextOffset: Long,
        val isDraining: Boolean,
    ) : MembershipEvent

    /** A peer did what it was asked, which shows as well as a heartbeat that it works. */
    public data class CallSucceeded(val vmId: VmId) : MembershipEvent

    /** The VMs of the folded state: who joined, is draining or has left by a record of the log. */
    public data class VmsFolded(val vms: List<Vm>) : MembershipEvent

    /** Nothing happened; to be given at least every [MembershipPolicy.tickMillis]. */
    public data object Tick : MembershipEvent
}
