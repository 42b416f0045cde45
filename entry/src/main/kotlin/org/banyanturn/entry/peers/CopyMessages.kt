package org.banyanturn.entry.peers

import org.banyanturn.core.AdapterId
import org.banyanturn.core.ModelId
import org.banyanturn.core.TargetId
import org.banyanturn.core.isIdentifier
import org.banyanturn.core.placement.CopyName
import org.banyanturn.core.placement.StoreLoad
import org.banyanturn.core.serving.ServiceName
import org.banyanturn.entry.copies.CopyAnswer
import org.banyanturn.entry.requests.ArrivedRequests

/** Value of [CopyReplyMessage.readyInMillis] for a declined request. */
internal const val DECLINED = -1L

/** Returns the copy of [modelId] with [adapterId], or `null` if one of them is malformed; it may be without adapter. */
internal fun copyNameOrNull(modelId: String, adapterId: String): CopyName? {
    if (!isIdentifier(modelId) || (adapterId.isNotEmpty() && !isIdentifier(adapterId))) return null
    return CopyName(ModelId(modelId), adapterId.takeIf { it.isNotEmpty() }?.let(::AdapterId))
}

/** Returns the copy of the message, or `null` if a part of the message is malformed. */
internal fun CopyLocationMessage.copyOrNull(): CopyName? =
    if (isIdentifier(targetId)) copyNameOrNull(modelId, adapterId) else null

/** Returns the request with [number] to load the copy on a target in place of [victims]. */
internal fun CopyName.toRequestMessage(number: Long, targetId: TargetId, victims: List<ModelId>): CopyRequestMessage =
    CopyRequestMessage(
        number = number,
        targetId = targetId.value,
        modelId = modelId.value,
        adapterId = adapterId?.value.orEmpty(),
        victims = victims.map { it.value },
    )

/** Returns the message that names the copy on a target. */
internal fun CopyName.toLocationMessage(targetId: TargetId): CopyLocationMessage =
    CopyLocationMessage(targetId.value, modelId.value, adapterId?.value.orEmpty())

/** Returns the message on the callers' requests for the copy. */
internal fun CopyName.toDemandMessage(service: ServiceName, arrived: ArrivedRequests): DemandMessage =
    DemandMessage(service.value, modelId.value, arrived.count, adapterId?.value.orEmpty(), arrived.promptTokens)

/** Returns the message on the load that the engine [targetId] of [service] carries out. */
internal fun StoreLoad.toMessage(service: ServiceName, targetId: TargetId): StoreLoadMessage =
    StoreLoadMessage(service.value, targetId.value, modelId.value, elapsedMillis)

/** Returns the load in the message, or `null` if a part of the message is malformed. */
internal fun StoreLoadMessage.storeLoadOrNull(): StoreLoad? {
    val isValid = isIdentifier(service) && isIdentifier(targetId) && isIdentifier(modelId) && elapsedMillis >= 0
    return if (isValid) StoreLoad(ModelId(modelId), elapsedMillis) else null
}

/** Returns the answer in the reply. */
internal fun CopyReplyMessage.toAnswer(): CopyAnswer =
    CopyAnswer(number, readyInMillis.takeIf { it >= 0 }, targetId.takeIf(::isIdentifier)?.let(::TargetId), reason)

/** Returns the reply with the answer. */
internal fun CopyAnswer.toMessage(): CopyReplyMessage =
    CopyReplyMessage(number, readyInMillis ?: DECLINED, reason, targetId?.value.orEmpty())
