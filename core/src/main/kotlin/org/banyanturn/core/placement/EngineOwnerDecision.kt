package org.banyanturn.core.placement

import org.banyanturn.core.state.CopyKey
import org.banyanturn.core.state.LogEntry

/** An action that the owner of an engine has to carry out. */
public sealed interface EngineOwnerDecision {
    /** Append [entry] to the log. Appending is idempotent by record ID. */
    public data class Append(val entry: LogEntry) : EngineOwnerDecision

    /** Order the engine to load [copy]. The order must not be sent after [sendDeadlineMillis]. */
    public data class SendLoad(
        val orderId: OrderId,
        val copy: CopyKey,
        val memoryMebibytes: Long,
        val fencingNumber: Long,
        val sendDeadlineMillis: Long,
    ) : EngineOwnerDecision

    /** Order the engine to unload [copy]. The order must not be sent after [sendDeadlineMillis]. */
    public data class SendUnload(
        val orderId: OrderId,
        val copy: CopyKey,
        val fencingNumber: Long,
        val sendDeadlineMillis: Long,
    ) : EngineOwnerDecision

    /** Send requests to [copy], including all that wait for it. */
    public data class CopyReady(val copy: CopyKey) : EngineOwnerDecision

    /** Send no further requests to [copy], because it is unloaded or about to be. */
    public data class CopyUnavailable(val copy: CopyKey) : EngineOwnerDecision

    /**
     * Stop waiting for [copy], which this engine does not load at present.
     *
     * Waiting requests are sent to another engine, or refused with [retryAfterMillis].
     */
    public data class RefuseLoad(
        val copy: CopyKey,
        val reason: LoadRefusalReason,
        val retryAfterMillis: Long,
    ) : EngineOwnerDecision
}

/** The reason why the owner of an engine refuses to load a copy. */
public enum class LoadRefusalReason {
    /** This VM does not own the engine. */
    NOT_OWNER,

    /** This VM is leaving and hands over its engines. */
    HANDING_OVER,

    /** The lease has expired, and the engine does not check fencing numbers. */
    LEASE_LAPSED,

    /** The copy has no claim, and none can be made because the log could not be read recently. */
    LOG_UNREACHABLE,

    /** The memory of the engine is reserved for other copies. */
    NO_MEMORY_LEFT,

    /** The configured number of copies is already claimed. */
    NO_COPY_LEFT,

    /** The claim was rejected for another reason, such as an unknown model. */
    CLAIM_REJECTED,

    /** The copy is being unloaded, or its claim is being released. */
    UNLOADING,

    /** The engine refused the load or lost the copy. */
    LOAD_FAILED,

    /** No response to the load order arrived in time. */
    LOAD_UNCONFIRMED,

    /** The copy can't be ready before the deadline. */
    DEADLINE_UNREACHABLE,
}
