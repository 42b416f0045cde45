package org.banyanturn.daemon.state

import com.github.michaelbull.result.mapBoth
import io.github.oshai.kotlinlogging.KotlinLogging
import kotlinx.coroutines.CoroutineScope
import kotlinx.coroutines.channels.BufferOverflow
import kotlinx.coroutines.delay
import kotlinx.coroutines.flow.MutableSharedFlow
import kotlinx.coroutines.flow.MutableStateFlow
import kotlinx.coroutines.flow.SharedFlow
import kotlinx.coroutines.flow.StateFlow
import kotlinx.coroutines.flow.asSharedFlow
import kotlinx.coroutines.flow.asStateFlow
import kotlinx.coroutines.launch
import org.banyanturn.core.state.FleetState
import org.banyanturn.core.state.foldRecord
import org.banyanturn.daemon.ProcessClock
import org.banyanturn.daemon.logs.Event
import org.banyanturn.daemon.logs.event
import org.banyanturn.daemon.logs.field
import org.banyanturn.platform.CONFIGURATION_STREAM
import org.banyanturn.platform.LogService
import org.banyanturn.platform.PlatformError
import org.banyanturn.platform.RecordBatch
import org.banyanturn.platform.StoredRecord

private const val READ_BATCH_RECORDS = 1_000
private const val READ_WAIT_MILLIS = 2_000L
private const val RETRY_DELAY_MILLIS = 250L
private const val MAX_RETAINED_RECORDS = 10_000

private val logger = KotlinLogging.logger {}

/** Maintains the shared state of this process by reading the log. */
public interface StateFollower {
    /** The state after the last record read; its offset never decreases. */
    public val states: StateFlow<FleetState>

    /** Whether the last read from the log service succeeded. */
    public val isLogReachable: StateFlow<Boolean>

    /** Emits every read of the log, including failed ones, with the state after it; replays the latest. */
    public val reads: SharedFlow<StateRead>

    /** Returns at most [maxRecords] recent records starting at [fromOffset], for a peer that can't read the log. */
    public fun recordsFrom(fromOffset: Long, maxRecords: Int): List<StoredRecord>
}

/**
 * Represents one read of the log.
 *
 * @property state the state after the read.
 * @property requestSentMillis time at which the read request was sent, in milliseconds of the process clock.
 * @property isAtHead whether the read reached the head of the log as of its response.
 */
public data class StateRead(val state: FleetState, val requestSentMillis: Long, val isAtHead: Boolean)

/** Reads records from peers while this VM can't reach the log service. */
public fun interface PeerRecordSource {
    /** Returns at most [maxRecords] records starting at [fromOffset], or an empty list if no peer has newer records. */
    public suspend fun readOrEmpty(fromOffset: Long, maxRecords: Int): List<StoredRecord>
}

/** Returns a follower of [log] that runs in this scope and reads from [peers] while reads of the log fail. */
public fun CoroutineScope.followState(
    log: LogService,
    peers: PeerRecordSource,
    clock: ProcessClock,
): StateFollower {
    val follower = LogStateFollower(log, peers, clock)
    launch { follower.run() }
    return follower
}

private class LogStateFollower(
    private val log: LogService,
    private val peers: PeerRecordSource,
    private val clock: ProcessClock,
) : StateFollower {
    private val mutableStates = MutableStateFlow(FleetState())
    private val mutableLogReachable = MutableStateFlow(false)
    private val mutableReads = MutableSharedFlow<StateRead>(
        replay = 1,
        onBufferOverflow = BufferOverflow.DROP_OLDEST,
    )
    private val retainedRecords = ArrayDeque<StoredRecord>()

    override val states: StateFlow<FleetState> = mutableStates.asStateFlow()
    override val isLogReachable: StateFlow<Boolean> = mutableLogReachable.asStateFlow()

    override val reads: SharedFlow<StateRead> = mutableReads.asSharedFlow()

    override fun recordsFrom(fromOffset: Long, maxRecords: Int): List<StoredRecord> =
        synchronized(retainedRecords) {
            if (retainedRecords.isEmpty() || retainedRecords.first().offset > fromOffset) return emptyList()
            retainedRecords.asSequence().filter { it.offset >= fromOffset }.take(maxRecords).toList()
        }

    suspend fun run() {
        while (true) {
            val fromOffset = states.value.nextOffset
            val requestSentMillis = clock.nowMillis()
            log.read(CONFIGURATION_STREAM, fromOffset, READ_BATCH_RECORDS, READ_WAIT_MILLIS)
                .mapBoth(success = { onBatch(it, requestSentMillis) }, failure = { onFailure(it, requestSentMillis) })
        }
    }

    private fun onBatch(batch: RecordBatch, requestSentMillis: Long) {
        if (!mutableLogReachable.value) logger.event(Event.LOG_AVAILABLE, field("nextOffset", batch.nextOffset))
        mutableLogReachable.value = true
        foldAll(batch.records)
        val isAtHead = batch.records.size < READ_BATCH_RECORDS
        mutableReads.tryEmit(StateRead(states.value, requestSentMillis, isAtHead))
    }

    private suspend fun onFailure(error: PlatformError, requestSentMillis: Long) {
        if (mutableLogReachable.value) logger.event(Event.LOG_UNAVAILABLE, field("error", error.message))
        if (error is PlatformError.OffsetExpired) {
            logger.event(Event.RECORDS_EXPIRED, field("firstOffset", error.firstOffset))
        }
        mutableLogReachable.value = false
        val records = peers.readOrEmpty(states.value.nextOffset, READ_BATCH_RECORDS)
        if (records.isNotEmpty()) logger.event(Event.RECORDS_FROM_PEER, field("records", records.size))
        foldAll(records)
        mutableReads.tryEmit(StateRead(states.value, requestSentMillis, isAtHead = false))
        delay(RETRY_DELAY_MILLIS)
    }

    private fun foldAll(records: List<StoredRecord>) {
        if (records.isEmpty()) return
        val before = states.value
        val after = records.fold(before) { state, record -> state.foldRecord(record.offset, record.payload) }
        if (after.skippedRecords > before.skippedRecords) {
            logger.event(Event.RECORD_SKIPPED, field("skipped", after.skippedRecords))
        }
        synchronized(retainedRecords) {
            retainedRecords.addAll(records.filter { it.offset >= before.nextOffset })
            while (retainedRecords.size > MAX_RETAINED_RECORDS) retainedRecords.removeFirst()
        }
        mutableStates.value = after
    }
}
