package org.banyanturn.router.delivery

import com.github.michaelbull.result.mapBoth
import kotlinx.coroutines.CompletableDeferred
import kotlinx.coroutines.delay
import kotlinx.coroutines.flow.MutableStateFlow
import kotlinx.coroutines.flow.first
import kotlinx.coroutines.isActive
import kotlinx.coroutines.launch
import kotlinx.coroutines.withTimeoutOrNull
import org.banyanturn.core.Incarnation
import org.banyanturn.core.delivery.IdempotencyKey
import org.banyanturn.core.delivery.IdempotencyRecord
import org.banyanturn.core.delivery.IdempotencyState
import org.banyanturn.core.delivery.IdempotencyWriter
import org.banyanturn.core.delivery.OutcomeResult
import org.banyanturn.core.delivery.RequestEvent
import org.banyanturn.core.delivery.RequestId
import org.banyanturn.core.delivery.ReservationResult
import org.banyanturn.core.delivery.StoredOutcome
import org.banyanturn.core.delivery.encodeToPayload
import org.banyanturn.platform.PlatformError
import org.banyanturn.platform.RecordBatch
import kotlin.random.Random

private const val READ_BATCH_RECORDS = 1_000
private const val READ_WAIT_MILLIS = 2_000L
private const val READ_RETRY_MILLIS = 100L
private const val SETTLE_INTERVAL_MILLIS = 50L
private const val HOLDER_CHECK_MILLIS = 500L

/** One stream of idempotency records: follows it, appends to it and settles reservations. */
internal class IdempotencyShard(private val stream: String, private val environment: IdempotencyEnvironment) {
    private val state = MutableStateFlow(IdempotencyState())
    private val results = HashMap<RequestId, CompletableDeferred<ReservationResult>>()
    private val appendWanted = MutableStateFlow(0L)
    private val random = Random.Default
    private var writer = IdempotencyWriter(environment.incarnation)
    private var readFromOffset = 0L
    private var wasStreamRead = false

    /** Begins to follow the stream. */
    fun start() {
        environment.scope.launch { follow() }
        environment.scope.launch { appendWhenDue() }
        environment.scope.launch { settleRegularly() }
    }

    /** Returns how [record] was settled by the log, before [deadlineMillis]. */
    suspend fun reserve(record: IdempotencyRecord.Reserve, deadlineMillis: Long): ReservationResult {
        val result = CompletableDeferred<ReservationResult>()
        synchronized(this) {
            results[record.requestId] = result
            writer = writer.reserve(record, deadlineMillis, environment.clock.nowMillis())
        }
        settle()
        appendWanted.value++
        return result.await()
    }

    /** Records how the request that holds a key ended. */
    fun record(outcome: IdempotencyRecord.Outcome) {
        synchronized(this) { writer = writer.record(outcome) }
        appendWanted.value++
    }

    /** Returns what becomes of the request that holds [key]. */
    suspend fun awaitOutcome(key: IdempotencyKey): RequestEvent {
        while (true) {
            val ended = withTimeoutOrNull(HOLDER_CHECK_MILLIS) {
                state.first { it.entries[key]?.result != null || it.entries[key]?.reserve == null }
            }
            val entry = (ended ?: state.value).entries[key]
            val holder = entry?.reserve?.incarnation
            val result = entry?.result
            when {
                result != null -> return RequestEvent.OutcomeRecorded(result.toStoredOutcome())
                holder == null || hasEnded(holder) -> return RequestEvent.ReservationHolderGone
            }
        }
    }

    private fun hasEnded(holder: Incarnation): Boolean {
        val router = environment.states().routers[holder.vmId] ?: return false
        return router.incarnation.number > holder.number || (router.incarnation == holder && router.hasLeft)
    }

    private suspend fun follow() {
        while (environment.scope.isActive) {
            environment.log.read(stream, readFromOffset, READ_BATCH_RECORDS, READ_WAIT_MILLIS)
                .mapBoth(success = ::onBatch, failure = { onReadFailure(it) })
        }
    }

    private fun onBatch(batch: RecordBatch) {
        synchronized(this) {
            var folded = state.value
            batch.records.forEach { folded = folded.foldRecord(it.offset, it.payload) }
            state.value = folded
            readFromOffset = batch.nextOffset
            if (batch.records.size < READ_BATCH_RECORDS) wasStreamRead = true
        }
        settle()
    }

    private suspend fun onReadFailure(error: PlatformError) {
        if (error is PlatformError.OffsetExpired) readFromOffset = error.firstOffset
        delay(READ_RETRY_MILLIS)
    }

    private suspend fun settleRegularly() {
        while (environment.scope.isActive) {
            delay(SETTLE_INTERVAL_MILLIS)
            settle()
        }
    }

    private fun settle() {
        val settled = synchronized(this) {
            val step = writer.settle(state.value, wasStreamRead, environment.clock.nowMillis())
            writer = step.writer
            step.settled.mapNotNull { done -> results.remove(done.requestId)?.let { it to done.result } }
        }
        settled.forEach { (waiter, result) -> waiter.complete(result) }
    }

    private suspend fun appendWhenDue() {
        while (environment.scope.isActive) {
            val seen = appendWanted.value
            do {
                val hasAppended = appendOnce()
            } while (hasAppended)
            withTimeoutOrNull(SETTLE_INTERVAL_MILLIS) { appendWanted.first { it != seen } }
        }
    }

    private suspend fun appendOnce(): Boolean {
        val batch = synchronized(this) {
            if (!writer.isAppendDue(environment.clock.nowMillis())) return false
            writer = writer.startAppend(environment.wallClock.millis())
            writer.inFlight
        } ?: return false
        val appended = environment.log.append(stream, batch.encodeToPayload())
        synchronized(this) {
            writer = appended.mapBoth(
                success = { writer.appendConfirmed(it) },
                failure = { writer.appendFailed(environment.clock.nowMillis(), random) },
            )
        }
        return appended.isOk
    }
}

private const val STATUS_OK = 200

private fun OutcomeResult.toStoredOutcome(): StoredOutcome =
    when (this) {
        is OutcomeResult.Answered -> outcome
        OutcomeResult.AnswerLost, OutcomeResult.NotRun -> StoredOutcome(STATUS_OK, body = null, bodyDigest = "")
    }
