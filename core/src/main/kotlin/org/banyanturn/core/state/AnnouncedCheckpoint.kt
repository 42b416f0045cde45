package org.banyanturn.core.state

import com.github.michaelbull.result.Ok
import kotlinx.serialization.Serializable

/**
 * Represents a checkpoint that was written completely to the checkpoint stream.
 *
 * @property nextOffset offset of the first record that the checkpoint does not contain.
 * @property firstChunkOffset offset of its first chunk in the checkpoint stream.
 * @property version offset of the record that announced the checkpoint.
 */
@Serializable
public data class AnnouncedCheckpoint(val nextOffset: Long, val firstChunkOffset: Long, val version: Long)

internal fun FleetState.announceCheckpoint(change: AnnounceCheckpoint, offset: Long): FoldResult {
    val current = checkpoint
    if (change.nextOffset !in 0..offset || change.firstChunkOffset < 0) return reject(RejectionReason.INVALID_VALUE)
    if (current != null && current.nextOffset >= change.nextOffset) return reject(RejectionReason.ALREADY_EXISTS)
    return Ok(copy(checkpoint = AnnouncedCheckpoint(change.nextOffset, change.firstChunkOffset, offset)))
}
