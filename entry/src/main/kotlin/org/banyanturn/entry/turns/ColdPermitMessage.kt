@file:OptIn(ExperimentalSerializationApi::class)

package org.banyanturn.entry.turns

import kotlinx.serialization.ExperimentalSerializationApi
import kotlinx.serialization.Serializable
import kotlinx.serialization.protobuf.ProtoNumber

/** Represents the kind of a [ColdPermitMessage]; [number] is its encoding in datagrams. */
internal enum class ColdPermitStep(val number: Int) {
    /** A VM asks the owner of a cold target for a permit. */
    REQUESTED(1),

    /** One request may be sent to the target. */
    GRANTED(2),

    /** No request may be sent to the target. */
    REFUSED(3),

    /** The target is cold, as one of its responses has stated. */
    COLD(4),
}

/**
 * Represents a message between two VMs about requests to the cold target [targetId].
 *
 * @property stepNumber the number of a [ColdPermitStep].
 * @property number the number of the request for a permit, on the VM that asks.
 * @property millis in [ColdPermitStep.GRANTED] the time until the permit is usable, in [ColdPermitStep.REFUSED] the
 * time until the VM may ask again, and in [ColdPermitStep.COLD] the time for which the target stays cold.
 */
@Serializable
internal class ColdPermitMessage(
    @ProtoNumber(1) val stepNumber: Int,
    @ProtoNumber(2) val targetId: String,
    @ProtoNumber(3) val number: Long = 0,
    @ProtoNumber(4) val millis: Long = 0,
) {
    /** The kind of this message, or `null` if a newer VM sent a kind that this version does not know. */
    val step: ColdPermitStep?
        get() = ColdPermitStep.entries.firstOrNull { it.number == stepNumber }
}
