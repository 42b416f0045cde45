package org.banyanturn.core.state

import com.github.michaelbull.result.Ok

/** The key of the claimed copy. */
internal val ClaimCopy.copyKey: CopyKey get() = CopyKey(targetId, modelId, adapterId, version)

/** The key of the confirmed copy. */
internal val ConfirmCopy.copyKey: CopyKey get() = CopyKey(targetId, modelId, adapterId, version)

/** The key of the released copy. */
internal val ReleaseCopy.copyKey: CopyKey get() = CopyKey(targetId, modelId, adapterId, version)

internal fun FleetState.claimCopy(change: ClaimCopy, offset: Long): FoldResult {
    val key = change.copyKey
    val target = targets[change.targetId] ?: return reject(RejectionReason.NOT_FOUND)
    val declaredVersion = declaredVersionOrNull(key) ?: return reject(RejectionReason.NOT_FOUND)
    val memoryMebibytes = declaredMebibytesOf(key)
    return when {
        !isOwner(change.targetId, change.incarnation) -> reject(RejectionReason.NOT_OWNER)

        !isCurrent(change.incarnation) -> reject(RejectionReason.STALE_INCARNATION)

        key in copies -> reject(RejectionReason.ALREADY_EXISTS)

        change.version != declaredVersion -> reject(RejectionReason.VERSION_CONFLICT)

        !isBelowCopyLimit(key) -> reject(RejectionReason.NO_COPY_LEFT)

        reservedMebibytesOn(change.targetId) + memoryMebibytes > target.memoryMebibytes ->
            reject(RejectionReason.NO_MEMORY_LEFT)

        else -> Ok(withCopy(Copy(key, isReady = false, version = offset, memoryMebibytes)))
    }
}

private fun FleetState.declaredVersionOrNull(key: CopyKey): String? {
    val model = models[key.modelId] ?: return null
    val adapterId = key.adapterId ?: return model.declaredVersion
    return adapters[adapterId]?.takeIf { it.modelId == key.modelId }?.declaredVersion
}

/**
 * Returns whether one more copy of the model may be claimed; copies of older versions count until they are released.
 *
 * Copies of adapters are not limited.
 */
private fun FleetState.isBelowCopyLimit(key: CopyKey): Boolean {
    val model = models[key.modelId] ?: return false
    return key.adapterId != null || copyKeysByModel[key.modelId].orEmpty().size < model.copies
}

internal fun FleetState.confirmCopy(change: ConfirmCopy, offset: Long): FoldResult {
    val copy = copies[change.copyKey] ?: return reject(RejectionReason.NOT_FOUND)
    if (!isOwner(change.targetId, change.incarnation)) return reject(RejectionReason.NOT_OWNER)
    return Ok(copy(copies = copies.putting(copy.key, copy.copy(isReady = true, version = offset))))
}

internal fun FleetState.releaseCopy(change: ReleaseCopy): FoldResult {
    val copy = copies[change.copyKey] ?: return reject(RejectionReason.NOT_FOUND)
    if (!isOwner(change.targetId, change.incarnation)) return reject(RejectionReason.NOT_OWNER)
    return Ok(withoutCopy(copy))
}
