package org.banyanturn.core.state

import kotlinx.collections.immutable.PersistentMap
import kotlinx.collections.immutable.persistentHashMapOf

private const val MAX_PENDING_CHECKPOINTS = 4

private data class PendingCheckpoint(
    val firstChunkOffset: Long,
    val bodies: PersistentMap<Int, String> = persistentHashMapOf(),
)

/**
 * Assembles checkpoints from the records of the checkpoint stream, in any order and from several concurrent writers.
 * Immutable.
 *
 * Incomplete and corrupt checkpoints are ignored; of the complete ones, only the one with the highest offset is kept.
 *
 * @property latestOrNull the state of the latest complete checkpoint, or `null` if there is none.
 * @property latestFirstChunkOffset offset of the first chunk of the latest complete checkpoint, or -1 if there is none.
 * @property corruptCheckpoints number of checkpoints that had all chunks but could not be decoded or verified.
 */
public class CheckpointAssembler private constructor(
    public val latestOrNull: FleetState?,
    public val latestFirstChunkOffset: Long,
    public val corruptCheckpoints: Int,
    private val pending: PersistentMap<CheckpointHeader, PendingCheckpoint>,
) {
    /** Creates an assembler without chunks. */
    public constructor() : this(null, -1, 0, persistentHashMapOf())

    /** Returns the assembler after the record at [offset] with [payload]; a record that is not a chunk is ignored. */
    public fun add(offset: Long, payload: String): CheckpointAssembler {
        val chunk = decodeCheckpointChunkOrNull(payload) ?: return this
        val header = chunk.header
        if (latestOrNull != null && header.nextOffset <= latestOrNull.nextOffset) return this
        val entry = pending[header] ?: PendingCheckpoint(offset)
        val updated = PendingCheckpoint(
            firstChunkOffset = minOf(entry.firstChunkOffset, offset),
            bodies = if (chunk.index in entry.bodies) entry.bodies else entry.bodies.putting(chunk.index, chunk.body),
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

/** Returns at most [MAX_PENDING_CHECKPOINTS] checkpoints; the one whose first chunk is the oldest is evicted. */
private fun PersistentMap<CheckpointHeader, PendingCheckpoint>.bounded():
    PersistentMap<CheckpointHeader, PendingCheckpoint> {
    if (size <= MAX_PENDING_CHECKPOINTS) return this
    return removing(entries.minBy { it.value.firstChunkOffset }.key)
}

/** Returns [candidate] if its offset is higher than that of this state, else this state, so offsets never decrease. */
public fun FleetState.orNewer(candidate: FleetState): FleetState =
    if (candidate.nextOffset > nextOffset) candidate else this
