package org.banyanturn.daemon.state

import com.github.michaelbull.result.Err
import com.github.michaelbull.result.Ok
import com.github.michaelbull.result.Result
import com.github.michaelbull.result.getErrorOr
import com.github.michaelbull.result.mapBoth
import io.github.oshai.kotlinlogging.KotlinLogging
import kotlinx.coroutines.delay
import kotlinx.coroutines.flow.first
import kotlinx.coroutines.withTimeoutOrNull
import org.banyanturn.core.state.Change
import org.banyanturn.core.state.FleetState
import org.banyanturn.core.state.LogEntry
import org.banyanturn.core.state.Verdict
import org.banyanturn.core.state.encodeToPayload
import org.banyanturn.daemon.logs.Event
import org.banyanturn.daemon.logs.event
import org.banyanturn.daemon.logs.field
import org.banyanturn.platform.CONFIGURATION_STREAM
import org.banyanturn.platform.LogService
import org.banyanturn.platform.PlatformError
import java.util.UUID

private const val VERDICT_TIMEOUT_MILLIS = 1_000L
private const val MAX_APPEND_ATTEMPTS = 3
private const val REWRITE_DELAY_MILLIS = 500L

private val logger = KotlinLogging.logger {}

/** Appends changes to the log and waits for the verdict on each. */
public interface StateWriter {
    /**
     * Appends [change] and returns its verdict, or the last error if no verdict was read.
     *
     * If the response to an append is lost, the verdict read from the log shows whether the record was appended.
     * Without a verdict, the append is retried with the same record id.
     *
     * @param expectedVersion last version of the changed item that the caller read, or `null` to accept any version.
     */
    public suspend fun write(change: Change, expectedVersion: Long? = null): Result<Verdict, PlatformError>
}

/**
 * Writes [change] until it is accepted or [isApplied] returns `true` for the current state.
 *
 * The verdict alone is not sufficient: if the verdict on an applied record was missed, the next record with the same
 * change is rejected.
 */
public suspend fun StateWriter.writeUntilApplied(
    change: Change,
    states: () -> FleetState,
    isApplied: (FleetState) -> Boolean,
) {
    while (!isApplied(states())) {
        val verdict = write(change).mapBoth(success = { it }, failure = { null })
        if (verdict is Verdict.Accepted) return
        logger.event(Event.APPEND_FAILED, field("change", change::class.simpleName), field("verdict", verdict))
        delay(REWRITE_DELAY_MILLIS)
    }
}

/** Returns a writer that appends records by [author] to [log] and reads their verdicts from [follower]. */
public fun stateWriter(log: LogService, follower: StateFollower, author: String): StateWriter =
    LogStateWriter(log, follower, author)

private class LogStateWriter(
    private val log: LogService,
    private val follower: StateFollower,
    private val author: String,
) : StateWriter {
    override suspend fun write(change: Change, expectedVersion: Long?): Result<Verdict, PlatformError> {
        val entry = LogEntry(UUID.randomUUID().toString(), author, change, expectedVersion)
        val payload = entry.encodeToPayload()
        var lastError: PlatformError = PlatformError.Unconfirmed("no verdict was read")
        repeat(MAX_APPEND_ATTEMPTS) {
            val appended = log.append(CONFIGURATION_STREAM, payload)
            if (appended.isErr) lastError = appended.getErrorOr(lastError)
            val verdict = awaitVerdictOrNull(entry.recordId)
            if (verdict != null) return Ok(verdict)
        }
        return Err(lastError)
    }

    private suspend fun awaitVerdictOrNull(recordId: String): Verdict? =
        withTimeoutOrNull(VERDICT_TIMEOUT_MILLIS) {
            follower.states.first { recordId in it.verdicts }.verdicts[recordId]
        }
}
