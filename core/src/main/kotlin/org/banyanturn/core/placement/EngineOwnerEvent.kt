package org.banyanturn.core.placement

import org.banyanturn.core.state.CopyKey
import org.banyanturn.core.state.FleetState

/** An input of an [EngineOwnerMachine]. */
public sealed interface EngineOwnerEvent {
    /** This VM is assigned to own the engine. */
    public data object OwnershipRequested : EngineOwnerEvent

    /**
     * The log was read.
     *
     * @property state the state folded from all records read so far.
     * @property requestSentMillis the time at which the read request was sent.
     * @property isAtHead whether the read reached the head of the log as of its response; only then is the lease
     * renewed.
     */
    public data class LogRead(
        val state: FleetState,
        val requestSentMillis: Long,
        val isAtHead: Boolean,
    ) : EngineOwnerEvent

    /** Requests wait for [copy], until [deadlineMillis] at the latest. */
    public data class LoadRequested(
        val copy: CopyKey,
        val memoryMebibytes: Long,
        val deadlineMillis: Long,
    ) : EngineOwnerEvent

    /** The memory of [copy] is needed for another copy, or the copy is idle. */
    public data class UnloadRequested(val copy: CopyKey) : EngineOwnerEvent

    /** An order has completed; a call that timed out completes as [OrderOutcome.UNCONFIRMED]. */
    public data class OrderAnswered(val orderId: OrderId, val outcome: OrderOutcome) : EngineOwnerEvent

    /** The engine has sent a report. */
    public data class SnapshotReceived(val snapshot: EngineSnapshot) : EngineOwnerEvent

    /** This VM is leaving and must not send further orders. */
    public data object HandoverRequested : EngineOwnerEvent

    /** Time has passed; fired several times per second. */
    public data object Tick : EngineOwnerEvent
}
