package org.banyanturn.core.state

import kotlinx.serialization.Serializable

/** Represents the result of folding a record, which is the same on every VM. */
public sealed interface Verdict {
    /** Offset of the record. */
    public val offset: Long

    /** The change is applied from [offset] on. */
    public data class Accepted(override val offset: Long) : Verdict

    /** The change has no effect because of [reason]. */
    public data class Rejected(override val offset: Long, val reason: RejectionReason) : Verdict
}

/** The reason for which a record was rejected. */
@Serializable
public enum class RejectionReason {
    /** An item that the change refers to does not exist. */
    NOT_FOUND,

    /** The item exists already, or the checkpoint is not newer than the announced one. */
    ALREADY_EXISTS,

    /** The item does not have the expected version, or a claim is not for the declared version. */
    VERSION_CONFLICT,

    /** A value is out of range. */
    INVALID_VALUE,

    /** The incarnation is not the owner of the engine or the home of a partition. */
    NOT_OWNER,

    /** The maximum number of copies of the model is claimed. */
    NO_COPY_LEFT,

    /** The memory of the engine is too small for its claims. */
    NO_MEMORY_LEFT,

    /** The incarnation is not the current one: it has left, or an incarnation that is at least as new has joined. */
    STALE_INCARNATION,
}
