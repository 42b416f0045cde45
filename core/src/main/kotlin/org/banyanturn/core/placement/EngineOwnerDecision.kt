package org.banyanturn.core.placement

import org.banyanturn.core.state.CopyKey
import org.banyanturn.core.state.LogEntry

/** What an engine's owner is to do next. */
public sealed interface EngineOwnerDecision {
    /** Append [entry] to the log; a repeat with the same record id is harmless. */
    public data class Append(val entry: LogEntry) : EngineOwnerDecision

    /** Order the engine to load [copy], unless the time is past [sendDeadlineMillis] right before sending. */
    public data class SendLoad(
        val orderId: OrderId,
        val copy: CopyKey,
        val memoryMebibytes: Long,
        val fencingNumber: Long,
        val sendDeadlineMillis: Long,
    ) : EngineOwnerDecision

    /** Order the engine to unload [copy], unless the time is past [sendDeadlineMillis] right before sending. */
    public data class SendUnload(
        val orderId: OrderId,
        val copy: CopyKey,
        val fencingNumber: Long,
        val sendDeadlineMillis: Long,
    ) : EngineOwnerDecision

    /** [copy] may take requests; all that wait for it can go on. */
    public data class CopyReady(val copy: CopyKey) : EngineOwnerDecision

    /** [copy] must get no further requests: it is gone or about to go. */
    public data class CopyUnavailable(val copy: CopyKey) : EngineOwnerDecision

    /** [copy] won't be loaded here now: requests that wait go elsewhere, or are refused with [retryAfterMillis]. */
    public data class RefuseLoad(
        val copy: CopyKey,
        val reason: LoadRefusalReason,
        val retryAfterMillis: Long,
    ) : EngineOwnerDecision
}

/** Why an engine's owner does not load a copy now. */
public enum class LoadRefusalReason {
    /** This VM does not own the engine. */
    NOT_OWNER,

    /** This VM is leaving. */
    HANDING_OVER,

    /** The lease has lapsed, and the engine does not check fencing numbers. */
    LEASE_LAPSED,

    /** The copy has no claim, and the log could not be read lately, so none can be had. */
    LOG_UNREACHABLE,

    /** The engine's memory is reserved by other copies. */
    NO_MEMORY_LEFT,

    /** All copies that were decided are claimed. */
    NO_COPY_LEFT,

    /** The claim was rejected for another reason, such as an unknown model. */
    CLAIM_REJECTED,

    /** The copy is being unloaded or its claim is being given up. */
    UNLOADING,

    /** The engine refused the load or lost the copy. */
    LOAD_FAILED,

    /** The load's answer did not come in time. */
    LOAD_UNCONFIRMED,

    /** The copy can't be ready before the deadline. */
    DEADLINE_UNREACHABLE,
}
