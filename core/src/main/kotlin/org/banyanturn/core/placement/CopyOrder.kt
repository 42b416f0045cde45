package org.banyanturn.core.placement

/** The action that an order applies to a copy. */
public enum class CopyOrderKind {
    /** Loads the copy. */
    LOAD,

    /** Unloads the copy once its running requests have finished. */
    UNLOAD,
}

/**
 * An order to an engine to load or unload a copy.
 *
 * @property expectedOrders the number of orders that the engine must have accepted before this one. The engine rejects
 * the order on a mismatch, so a delayed duplicate has no effect.
 */
public data class CopyOrder(val kind: CopyOrderKind, val copy: CopyName, val expectedOrders: Long)

/** The result of sending an order to an engine. */
public enum class CopyOrderResult {
    /** The engine has accepted the order and carries it out. */
    ACCEPTED,

    /** The engine is already in the requested state. */
    HELD_ALREADY,

    /** Another order is in progress, or the engine has accepted a different number of orders than expected. */
    CONFLICT,

    /** The engine rejects the order; a retry would be rejected too. */
    REJECTED,

    /** No response was received; the engine may still carry the order out. */
    UNKNOWN,
}

/** The result of requesting a copy at an engine. */
public sealed interface CopyRequestResult {
    /** The engine holds the copy. */
    public data object Ready : CopyRequestResult

    /** The copy is expected to be ready in [readyInMillis]. */
    public data class Pending(val readyInMillis: Long) : CopyRequestResult

    /** The engine does not load the copy at present, because of [reason]. */
    public data class Declined(val reason: CopyDeclineReason) : CopyRequestResult
}

/** The reason why a request for a copy at an engine is declined. */
public enum class CopyDeclineReason {
    /** The engine does not hold the model of the requested adapter. */
    NO_MODEL,

    /** The engine loads or is about to load another model, or its state is not known yet. */
    BUSY,

    /** There is not enough memory or no adapter slot left, and the copies on the engine are in use. */
    NO_ROOM,

    /** The model is unknown or larger than the memory of the engine. */
    IMPOSSIBLE,
}
