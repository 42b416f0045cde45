package org.banyanturn.core.state

import kotlinx.collections.immutable.PersistentMap
import kotlinx.collections.immutable.persistentHashMapOf

private const val MAX_PENDING_CHECKPOINTS = 4

private data class PendingCheckpoint(
    val firstChunkOffset: Long,
    val bodies: PersistentMap<Int, String> = persistentHashMapOf(),
)

/**
 * Puts checkpoints together from the records of the checkpoint stream, in any order and with several writers at once.
 *
 * Incomplete and corrupt checkpoints are passed over; of the whole ones only the one with the highest offset is kept.
 *
 * @property latestOrNull the state of the latest whole checkpoint, or `null` if there is none.
 * @property latestFirstChunkOffset offset of its first chunk in the stream, or -1 if there is none.
 * @property corruptCheckpoints how many checkpoints were complete but did not match their checksum.
 */
public class CheckpointAssembler private constructor(
    public val latestOrNull: FleetState?,
    public val latestFirstChunkOffset: Long,
    public val corruptCheckpoints: Int,
    private val pending: PersistentMap<CheckpointHeader, PendingCheckpoint>,
) {
    /** Returns an assembler that has seen no chunk. */
    public constructor() : this(null, -1, 0, persistentHashMapOf())

    /** Returns the assembler after the record at [offset] with [payload]; a record that is no chunk changes nothing. */
    public fun add(offset: Long, payload: String): CheckpointAssembler {
        val chunk = decodeCheckpointChunkOrNull(payload) ?: return this
        val header = chunk.header
        if (latestOrNull != null && header.nextOffset <= latestOrNull.nextOffset) return this
        val current = pending[header] ?: PendingCheckpoint(offset)
        val updated = PendingCheckpoint(
            firstChunkOffset = minOf(current.firstChunkOffset, offset),
            bodies = if (chunk.index in current.bodies) current.bodies else current.bodies.putting(chunk.index, chunk.body),
        )
        if (updated.bodies.size < header.count) return copy(pending = pending.putting(header, updated).bounded())
        return complete(header, updated)
    }

    private fun complete(header: CheckpointHeader, checkpoint: PendingCheckpoint): CheckpointAssembler {
        val bodies = List(header.count) { checkpoint.bodies.getValue(it) }
        val state = decodeCheckpointOrNull(header, bodies)
            ?: return copy(corruptCheckpoints = corruptCheckpoints + 1, pending = pending.removing(header))
        val newer = pending.filterKeys { it.nextOffset > header.nextOffset }
        return CheckpointAssembler(
            latestOrNull = state,
            latestFirstChunkOffset = checkpoint.firstChunkOffset,
            corruptCheckpoints = corruptCheckpoints,
            pending = persistentHashMapOf<CheckpointHeader, PendingCheckpoint>().puttingAll(newer),
        )
    }

    private fun copy(
        corruptCheckpoints: Int = this.corruptCheckpoints,
        pending: PersistentMap<CheckpointHeader, PendingCheckpoint>,
    ): CheckpointAssembler = CheckpointAssembler(latestOrNull, latestFirstChunkOffset, corruptCheckpoints, pending)
}

private fun PersistentMap<CheckpointHeader, PendingCheckpoint>.bounded():
    PersistentMap<CheckpointHeader, PendingCheckpoint> {
    if (size <= MAX_PENDING_CHECKPOINTS) return this
    return removing(entries.minBy { it.value.firstChunkOffset }.key)
}

/** Returns [candidate] if it contains records that this state does not, else this state: offsets never go back. */
public fun FleetState.orNewer(candidate: FleetState): FleetState =
    if (candidate.nextOffset > nextOffset) candidate else this
