package org.banyanturn.core.placement

import org.banyanturn.core.state.CopyKey
import org.banyanturn.core.state.FleetState

/** What an engine's owner learns or is asked. */
public sealed interface EngineOwnerEvent {
    /** This VM should own the engine. */
    public data object OwnershipRequested : EngineOwnerEvent

    /**
     * The log was read.
     *
     * @property state the state folded from all records that were read.
     * @property requestSentMillis when the read was asked for.
     * @property isAtHead whether the read reached the end that the log had when it answered; only then is the lease
     * renewed.
     */
    public data class LogRead(
        val state: FleetState,
        val requestSentMillis: Long,
        val isAtHead: Boolean,
    ) : EngineOwnerEvent

    /** Requests wait for [copy], the last of them until [deadlineMillis]. */
    public data class LoadRequested(
        val copy: CopyKey,
        val memoryMebibytes: Long,
        val deadlineMillis: Long,
    ) : EngineOwnerEvent

    /** The memory of [copy] is wanted for something else, or the copy is idle. */
    public data class UnloadRequested(val copy: CopyKey) : EngineOwnerEvent

    /** An order has ended; a call that timed out ends as [OrderOutcome.UNCONFIRMED]. */
    public data class OrderAnswered(val orderId: OrderId, val outcome: OrderOutcome) : EngineOwnerEvent

    /** The engine has reported. */
    public data class SnapshotReceived(val snapshot: EngineSnapshot) : EngineOwnerEvent

    /** This VM is leaving: no further order is to be sent. */
    public data object HandoverRequested : EngineOwnerEvent

    /** Time has passed; sent several times a second. */
    public data object Tick : EngineOwnerEvent
}
