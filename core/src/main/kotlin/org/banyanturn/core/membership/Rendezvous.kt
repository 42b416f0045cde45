package org.banyanturn.core.membership

import org.banyanturn.core.VmId
import java.nio.ByteBuffer
import java.security.MessageDigest

/**
 * Returns the candidate that owns [key] by rendezvous hashing, or `null` if there are no candidates.
 *
 * All VMs with the same candidates compute the same owner, and the removal of a candidate moves only its own keys.
 */
public fun rendezvousOwnerOrNull(key: String, candidates: Iterable<VmId>): VmId? {
    val scores = RendezvousScores(key)
    return candidates.maxWithOrNull(compareBy<VmId> { scores.scoreOf(it) }.thenBy { it.value })
}

/** Returns the candidates in the order of their precedence for [key]: each owns it if those before it are removed. */
public fun rendezvousOrder(key: String, candidates: Iterable<VmId>): List<VmId> {
    val scores = RendezvousScores(key)
    return candidates.associateWith(scores::scoreOf).entries
        .sortedWith(compareByDescending<Map.Entry<VmId, Long>> { it.value }.thenByDescending { it.key.value })
        .map { it.key }
}

/** Returns the index of [vmId], from 0, in the [rendezvousOrder] of [candidates] for [key], or `null` if not found. */
public fun rendezvousRankOrNull(key: String, candidates: Iterable<VmId>, vmId: VmId): Int? =
    rendezvousOrder(key, candidates).indexOf(vmId).takeIf { it >= 0 }

/** Computes the scores of candidates for one key: the first 8 bytes of SHA-256, equal on every version and platform. */
private class RendezvousScores(key: String) {
    private val digest = MessageDigest.getInstance("SHA-256")
    private val keyBytes = key.encodeToByteArray()

    fun scoreOf(vmId: VmId): Long {
        digest.update(keyBytes)
        digest.update(SEPARATOR)
        return ByteBuffer.wrap(digest.digest(vmId.value.encodeToByteArray())).getLong()
    }

    private companion object {
        const val SEPARATOR: Byte = 0
    }
}
