package org.banyanturn.core.state

import kotlinx.collections.immutable.PersistentSet
import kotlinx.collections.immutable.persistentHashSetOf
import kotlinx.serialization.Serializable
import org.banyanturn.core.AdapterId
import org.banyanturn.core.ModelId
import org.banyanturn.core.TargetId

/** Identifies one copy of a model or adapter version on one engine. */
@Serializable
public data class CopyKey(
    val targetId: TargetId,
    val modelId: ModelId,
    val adapterId: AdapterId?,
    val modelVersion: String,
)

/**
 * Represents a claimed copy.
 *
 * @property isReady whether the owner has confirmed the load.
 * @property memoryMebibytes memory in MiB that the claim reserves, as declared at the time of the claim.
 */
@Serializable
public data class Copy(
    val key: CopyKey,
    val isReady: Boolean,
    val version: Long,
    val memoryMebibytes: Long,
)

/** Represents the claims on one engine and the total memory in MiB that they reserve. */
public data class TargetClaims(
    val keys: PersistentSet<CopyKey> = persistentHashSetOf(),
    val reservedMebibytes: Long = 0,
)

/** Returns the claimed copies of all versions of [modelId], loaded or not, excluding adapters. */
public fun FleetState.claimedCopiesOf(modelId: ModelId): List<Copy> =
    copyKeysByModel[modelId].orEmpty().mapNotNull(copies::get)

/** Returns the claimed copies on [targetId], including adapters. */
public fun FleetState.claimedCopiesOn(targetId: TargetId): List<Copy> =
    claimsByTarget[targetId]?.keys.orEmpty().mapNotNull(copies::get)

/** Returns the memory in MiB that claims reserve on [targetId]. */
public fun FleetState.reservedMebibytesOn(targetId: TargetId): Long =
    claimsByTarget[targetId]?.reservedMebibytes ?: 0

/**
 * Returns the memory in MiB of the copy [key]: as reserved by its claim or, without a claim, as currently declared.
 *
 * The memory of an unclaimed copy is 0 if its model or adapter is not declared.
 */
public fun FleetState.memoryMebibytesOf(key: CopyKey): Long =
    copies[key]?.memoryMebibytes ?: declaredMebibytesOf(key)

internal fun FleetState.declaredMebibytesOf(key: CopyKey): Long {
    val adapterId = key.adapterId ?: return models[key.modelId]?.memoryMebibytes ?: 0
    return adapters[adapterId]?.memoryMebibytes ?: 0
}

/** Returns the state with the claim [copy] added, or replaced if there is one with the same key. */
internal fun FleetState.withCopy(copy: Copy): FleetState {
    val key = copy.key
    val claims = claimsByTarget[key.targetId] ?: TargetClaims()
    val replacedMebibytes = copies[key]?.memoryMebibytes ?: 0
    val updatedClaims = TargetClaims(
        keys = claims.keys.adding(key),
        reservedMebibytes = claims.reservedMebibytes - replacedMebibytes + copy.memoryMebibytes,
    )
    val keysOfModel = copyKeysByModel[key.modelId] ?: persistentHashSetOf()
    return copy(
        copies = copies.putting(key, copy),
        claimsByTarget = claimsByTarget.putting(key.targetId, updatedClaims),
        copyKeysByModel = when (key.adapterId) {
            null -> copyKeysByModel.putting(key.modelId, keysOfModel.adding(key))
            else -> copyKeysByModel
        },
    )
}

/** Returns the state with the claim [copy] removed. */
internal fun FleetState.withoutCopy(copy: Copy): FleetState {
    val key = copy.key
    val claims = claimsByTarget[key.targetId] ?: TargetClaims()
    val keysOnTarget = claims.keys.removing(key)
    val keysOfModel = copyKeysByModel[key.modelId]?.removing(key) ?: persistentHashSetOf()
    return copy(
        copies = copies.removing(key),
        claimsByTarget = when {
            keysOnTarget.isEmpty() -> claimsByTarget.removing(key.targetId)

            else -> {
                val reservedMebibytes = claims.reservedMebibytes - copy.memoryMebibytes
                claimsByTarget.putting(key.targetId, TargetClaims(keysOnTarget, reservedMebibytes))
            }
        },
        copyKeysByModel = when {
            key.adapterId != null -> copyKeysByModel
            keysOfModel.isEmpty() -> copyKeysByModel.removing(key.modelId)
            else -> copyKeysByModel.putting(key.modelId, keysOfModel)
        },
    )
}
