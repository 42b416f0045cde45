@file:OptIn(ExperimentalSerializationApi::class)

package org.banyanturn.entry.turns

import kotlinx.serialization.ExperimentalSerializationApi
import kotlinx.serialization.Serializable
import kotlinx.serialization.protobuf.ProtoNumber

/** Represents the kind of a [TurnMessage]; [number] is its encoding in datagrams. */
internal enum class TurnStep(val number: Int) {
    /** A VM requests a turn for a prompt. */
    REQUESTED(1),

    /** The prompt has to wait. */
    QUEUED(2),

    /** The prompt may be sent now. */
    GRANTED(3),

    /** The prompt was processed or won't be sent. */
    ENDED(4),
}

/**
 * Represents a message between two VMs about the turn [number] of the requesting VM.
 *
 * @property stepNumber the number of a [TurnStep].
 * @property promptTokens length of the prompt in tokens; set in [TurnStep.REQUESTED] only.
 * @property waitMillis how long the prompt may wait at most; set in [TurnStep.REQUESTED] only.
 * @property backlogMillis how long the engine takes to process all prompts ahead of this one; set in answers only.
 * @property memberId the member whose request sends the prompt; set in [TurnStep.REQUESTED] only.
 * @property rank priority of the request, or [UNKNOWN_RANK]; set in [TurnStep.REQUESTED] only, if the routes of the
 * service have several ranks.
 * @property onTimeInMillis time within which the prompt must be sent for the response to be on time; set with [rank].
 * @property workMillis estimated time for which the request occupies the engine; set with [rank].
 */
@Serializable
internal class TurnMessage(
    @ProtoNumber(1) val number: Long,
    @ProtoNumber(2) val stepNumber: Int,
    @ProtoNumber(3) val targetId: String = "",
    @ProtoNumber(4) val promptTokens: Long = 0,
    @ProtoNumber(5) val waitMillis: Long = 0,
    @ProtoNumber(6) val backlogMillis: Long = 0,
    @ProtoNumber(7) val memberId: String = "",
    @ProtoNumber(8) val rank: Int = UNKNOWN_RANK,
    @ProtoNumber(9) val onTimeInMillis: Long = 0,
    @ProtoNumber(10) val workMillis: Long = 0,
) {
    /** The kind of this message, or `null` if a newer VM sent a kind that this version does not know. */
    val step: TurnStep?
        get() = TurnStep.entries.firstOrNull { it.number == stepNumber }

    companion object {
        /** The rank in messages that state none, such as those of VMs that run an older version. */
        const val UNKNOWN_RANK = -1
    }
}
