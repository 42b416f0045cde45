package org.banyanturn.core.membership

import org.banyanturn.core.Incarnation
import org.banyanturn.core.VmId
import org.banyanturn.core.ZoneId
import org.banyanturn.core.state.Vm

/** The status of a VM in the platform's list. */
public enum class ListedStatus {
    /** The VM is running. */
    LIVE,

    /** The VM is about to be removed. */
    LEAVING,

    /** The VM was removed. */
    GONE,
}

/** An entry of the platform's list of VMs. */
public data class ListedVm(val vmId: VmId, val zoneId: ZoneId, val status: ListedStatus)

/** Evidence of the existence and status of VMs, as input of [Membership]. */
public sealed interface MembershipEvent {
    /** The complete list of the platform was read; a VM that was listed before and is missing now counts as gone. */
    public data class VmsListed(val vms: List<ListedVm>) : MembershipEvent

    /**
     * A heartbeat of a peer, or its reply to one, was received.
     *
     * @property progress a number that rises with each iteration of the peer's main loop, so that a peer whose loop
     * hangs is detected even if its connections still answer.
     * @property nextOffset offset up to which the peer has read the log.
     * @property isDraining whether the peer accepts no new work.
     */
    public data class HeartbeatReceived(
        val incarnation: Incarnation,
        val zoneId: ZoneId,
        val progress: Long,
        val nextOffset: Long,
        val isDraining: Boolean,
    ) : MembershipEvent

    /** A call to a peer succeeded, which shows progress as well as a heartbeat does. */
    public data class CallSucceeded(val vmId: VmId) : MembershipEvent

    /** Records of the log were applied; [vms] are the VMs of the resulting state. */
    public data class VmsFolded(val vms: List<Vm>) : MembershipEvent

    /** Time has passed; required at least every [MembershipPolicy.tickMillis]. */
    public data object Tick : MembershipEvent
}
