package org.banyanturn.ctl.session

import com.github.michaelbull.result.Err
import com.github.michaelbull.result.Ok
import com.github.michaelbull.result.Result
import com.github.michaelbull.result.getError
import com.github.michaelbull.result.getOrElse
import kotlinx.coroutines.delay
import kotlinx.coroutines.withTimeoutOrNull
import org.banyanturn.core.state.Change
import org.banyanturn.core.state.FleetState
import org.banyanturn.core.state.LogEntry
import org.banyanturn.core.state.Verdict
import org.banyanturn.core.state.encodeToPayload
import org.banyanturn.core.state.foldRecord
import org.banyanturn.core.state.orNewer
import org.banyanturn.platform.CONFIGURATION_STREAM
import org.banyanturn.platform.LogService
import org.banyanturn.platform.PlatformError
import org.banyanturn.platform.RecordBatch

private const val READ_BATCH_RECORDS = 1_000
private const val MAX_APPENDS = 4
private const val MAX_READS = 4
private const val FIRST_BACKOFF_MILLIS = 100L
private const val REFRESH_TIMEOUT_MILLIS = 10_000L
private const val SUBMIT_TIMEOUT_MILLIS = 20_000L

/** Why a session has no answer for its operator. */
public sealed interface SessionError {
    /** What happened and what to do. */
    public val message: String

    /** The log service gave no usable answer; nothing was changed. */
    public data class LogUnreachable(override val message: String) : SessionError

    /** The log no longer keeps the records that the state is folded from, and has no checkpoint that goes further. */
    public data class RecordsExpired(override val message: String) : SessionError

    /** The record [recordId] was sent, and whether it took effect could not be read. */
    public data class OutcomeUnknown(override val message: String, val recordId: String) : SessionError
}

/** The shared state as one operator sees it, and changes to it. */
public interface FleetSession {
    /** Reads the log to its end and returns the state there. */
    public suspend fun refresh(): Result<FleetState, SessionError>

    /**
     * Appends [change] and returns its verdict, read from the log.
     *
     * An append whose answer was lost is settled by reading; if it is repeated, then with the same record id, so that
     * it takes effect once.
     *
     * @param expectedVersion version of the changed item that was seen, or `null` to accept any.
     */
    public suspend fun submit(change: Change, expectedVersion: Long?): Result<Verdict, SessionError>
}

/** Returns a session of the operator [author] on [log]; [newRecordId] returns an id that was never used. */
public fun fleetSession(log: LogService, author: String, newRecordId: () -> String): FleetSession =
    LogFleetSession(log, author, newRecordId)

private class LogFleetSession(
    private val log: LogService,
    private val author: String,
    private val newRecordId: () -> String,
) : FleetSession {
    private var state = FleetState()

    override suspend fun refresh(): Result<FleetState, SessionError> =
        withTimeoutOrNull(REFRESH_TIMEOUT_MILLIS) { readWithRetries() } ?: Err(unreachable("no answer in time"))

    override suspend fun submit(change: Change, expectedVersion: Long?): Result<Verdict, SessionError> {
        val entry = LogEntry(newRecordId(), author, change, expectedVersion)
        val verdict = withTimeoutOrNull(SUBMIT_TIMEOUT_MILLIS) { appendUntilDecided(entry) }
        return verdict ?: Err(unknownOutcome(entry.recordId))
    }

    private suspend fun readWithRetries(): Result<FleetState, SessionError> {
        var backoffMillis = FIRST_BACKOFF_MILLIS
        repeat(MAX_READS - 1) {
            val error = readToEndOrError() ?: return Ok(state)
            when (error) {
                is PlatformError.OffsetExpired -> if (!loadCheckpoint()) return Err(expired(error))
                else -> delay(backoffMillis)
            }
            backoffMillis *= 2
        }
        return readToEndOrError()?.let { Err(unreachable(it.message)) } ?: Ok(state)
    }

    private suspend fun appendUntilDecided(entry: LogEntry): Result<Verdict, SessionError> {
        val payload = entry.encodeToPayload()
        var lastRefusal = ""
        var isMaybeSent = false
        repeat(MAX_APPENDS) {
            when (val error = log.append(CONFIGURATION_STREAM, payload).getError()) {
                is PlatformError.Refused -> lastRefusal = error.message
                else -> isMaybeSent = true
            }
            refresh()
            state.verdicts[entry.recordId]?.let { return Ok(it) }
        }
        return Err(if (isMaybeSent) unknownOutcome(entry.recordId) else unreachable(lastRefusal))
    }

    private fun unknownOutcome(recordId: String): SessionError =
        SessionError.OutcomeUnknown("the outcome of record $recordId is unknown; look before you repeat it", recordId)

    private fun unreachable(message: String): SessionError =
        SessionError.LogUnreachable("the log service can't be used, and nothing was changed: $message")

    private suspend fun readToEndOrError(): PlatformError? {
        while (true) {
            val read = log.read(CONFIGURATION_STREAM, state.nextOffset, READ_BATCH_RECORDS, waitMillis = 0)
            val batch = read.getOrElse { return it }
            if (batch.records.isEmpty()) return null
            foldAll(batch)
        }
    }

    /** Takes over the latest checkpoint and returns whether it is newer than the state. */
    private suspend fun loadCheckpoint(): Boolean {
        val latest = readLatestCheckpointOrNull(log) ?: return false
        val isNewer = latest.nextOffset > state.nextOffset
        state = state.orNewer(latest)
        return isNewer
    }

    private fun expired(error: PlatformError): SessionError =
        SessionError.RecordsExpired("${error.message}, and no newer checkpoint could be read")

    private fun foldAll(batch: RecordBatch) {
        state = batch.records.fold(state) { folded, record -> folded.foldRecord(record.offset, record.payload) }
    }
}
