package org.banyanturn.core.placement

/** What an order is to do with a copy. */
public enum class CopyOrderKind {
    /** Load it. */
    LOAD,

    /** Drop it once its runs have finished. */
    UNLOAD,
}

/**
 * An order to the engine; [expectedOrders] makes a copy of it that is carried out late harmless.
 */
public data class CopyOrder(val kind: CopyOrderKind, val copy: CopyName, val expectedOrders: Long)

/** How an order went. */
public enum class CopyOrderResult {
    /** The engine carries it out. */
    ACCEPTED,

    /** What it asks for held already. */
    HELD_ALREADY,

    /** Another order is in progress, or the engine counts its orders otherwise. */
    CONFLICT,

    /** The engine refuses it for good. */
    REJECTED,

    /** No answer came; it may be carried out later. */
    UNKNOWN,
}

/** What a wish for a copy can expect. */
public sealed interface CopyRequestResult {
    /** The engine holds it. */
    public data object Ready : CopyRequestResult

    /** It is expected in [readyInMillis]. */
    public data class Pending(val readyInMillis: Long) : CopyRequestResult

    /** It won't be loaded here now, for [reason]. */
    public data class Declined(val reason: CopyDeclineReason) : CopyRequestResult
}

/** Why a copy won't be loaded at an engine. */
public enum class CopyDeclineReason {
    /** The engine does not have the adapter's model. */
    NO_MODEL,

    /** The engine is busy with an order that takes long. */
    BUSY,

    /** Everything that it holds is in use. */
    NO_ROOM,

    /** The model is unknown or larger than the engine. */
    IMPOSSIBLE,
}
