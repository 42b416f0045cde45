package org.banyanturn.ctl.session

import com.github.michaelbull.result.getOrElse
import org.banyanturn.core.state.CHECKPOINT_STREAM
import org.banyanturn.core.state.CheckpointAssembler
import org.banyanturn.core.state.FleetState
import org.banyanturn.platform.LogService
import org.banyanturn.platform.PlatformError
import org.banyanturn.platform.RecordBatch

private const val READ_BATCH_CHUNKS = 64

/** Returns the state of the latest whole checkpoint in [log], or `null` if none can be read. */
internal suspend fun readLatestCheckpointOrNull(log: LogService): FleetState? {
    var assembler = CheckpointAssembler()
    var nextOffset = 0L
    while (true) {
        val read = log.read(CHECKPOINT_STREAM, nextOffset, READ_BATCH_CHUNKS, waitMillis = 0)
        val batch = read.getOrElse { emptyBatchOrNull(it) } ?: return assembler.latestOrNull
        if (batch.records.isEmpty() && batch.nextOffset <= nextOffset) return assembler.latestOrNull
        assembler = batch.records.fold(assembler) { known, chunk -> known.add(chunk.offset, chunk.payload) }
        nextOffset = batch.nextOffset
    }
}

/** Returns a batch that leads to the oldest chunk that is kept, if [error] is that earlier ones are not. */
private fun emptyBatchOrNull(error: PlatformError): RecordBatch? =
    (error as? PlatformError.OffsetExpired)?.let { RecordBatch(emptyList(), it.firstOffset, it.firstOffset) }
