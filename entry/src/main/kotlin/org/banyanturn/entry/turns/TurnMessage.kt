@file:OptIn(ExperimentalSerializationApi::class)

package org.banyanturn.entry.turns

import kotlinx.serialization.ExperimentalSerializationApi
import kotlinx.serialization.Serializable
import kotlinx.serialization.protobuf.ProtoNumber

/** What is said of a turn; the numbers are those in datagrams. */
internal enum class TurnStep(val number: Int) {
    /** A VM asks when it may send a prompt. */
    REQUESTED(1),

    /** It has to wait. */
    QUEUED(2),

    /** It may send the prompt now. */
    GRANTED(3),

    /** The prompt was read, or won't be sent. */
    ENDED(4),
}

/**
 * What one VM tells another about the turn [number] of the VM that asked.
 *
 * @property stepNumber the number of a [TurnStep].
 * @property waitMillis how long the prompt may wait at most; with [TurnStep.REQUESTED] only, as are tokens and member.
 * @property backlogMillis how long the engine takes for all prompts before this one; in answers only.
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
) {
    /** What is said, or `null` if a newer VM says something that is not known here. */
    val step: TurnStep?
        get() = TurnStep.entries.firstOrNull { it.number == stepNumber }
}
