package org.banyanturn.core.delivery

import kotlinx.collections.immutable.PersistentList
import kotlinx.collections.immutable.PersistentMap
import kotlinx.collections.immutable.persistentListOf
import kotlinx.collections.immutable.persistentMapOf
import kotlinx.collections.immutable.toPersistentList
import org.banyanturn.core.Incarnation
import kotlin.random.Random

/**
 * Settings for writing to an idempotency stream.
 *
 * @property maxBatchRecords maximum number of records in one append.
 * @property maxQueuedRecords maximum number of queued records; while the queue is full, reservations are refused and
 * outcomes are not recorded.
 * @property reserveTimeoutMillis how long a reservation may wait for the stream.
 * @property appendBackoff backoff between appends of a batch that was not confirmed.
 */
public data class IdempotencyWriterSettings(
    val maxBatchRecords: Int = 256,
    val maxQueuedRecords: Int = 4_096,
    val reserveTimeoutMillis: Long = 1_000,
    val appendBackoff: RetryPolicy = RetryPolicy(baseBackoffMillis = 50, maxBackoffMillis = 1_000),
)

/** A reservation that is not settled yet; once its append is confirmed, it is at or before [confirmedOffset]. */
public data class WaitingReservation(
    val reserve: IdempotencyRecord.Reserve,
    val untilMillis: Long,
    val confirmedOffset: Long? = null,
)

/** A reservation with its final [result]. */
public data class SettledReservation(val reserve: IdempotencyRecord.Reserve, val result: ReservationResult)

/** The writer after a step, and the reservations that the step settled. */
public data class SettleStep(val writer: IdempotencyWriter, val settled: List<SettledReservation>)

/**
 * Writes one VM's records to one shard's stream, in batches and with one append at a time.
 *
 * An unconfirmed append is retried with the same records until one is confirmed; folding the same records twice has no
 * further effect. Only the folded stream settles a reservation: the first in log order holds the key.
 *
 * @property inFlight the batch that is being appended or waits for a retry.
 * @property retryAtMillis when [inFlight] may be appended again, or `null` while its append runs.
 */
public data class IdempotencyWriter(
    val incarnation: Incarnation,
    val settings: IdempotencyWriterSettings = IdempotencyWriterSettings(),
    val queued: PersistentList<IdempotencyRecord> = persistentListOf(),
    val inFlight: IdempotencyBatch? = null,
    val retryAtMillis: Long? = null,
    val failures: Int = 0,
    val waiting: PersistentMap<RequestId, WaitingReservation> = persistentMapOf(),
) {
    /** Returns the writer with [reserve] queued; [settle] returns its result, at [deadlineMillis] at the latest. */
    public fun reserve(reserve: IdempotencyRecord.Reserve, deadlineMillis: Long, nowMillis: Long): IdempotencyWriter {
        val isFull = queued.size >= settings.maxQueuedRecords
        val untilMillis = if (isFull) nowMillis else minOf(deadlineMillis, nowMillis + settings.reserveTimeoutMillis)
        return copy(
            queued = if (isFull) queued else queued.adding(reserve),
            waiting = waiting.putting(reserve.requestId, WaitingReservation(reserve, untilMillis)),
        )
    }

    /** Returns the writer with [outcome] queued, unless the queue is full. */
    public fun record(outcome: IdempotencyRecord.Outcome): IdempotencyWriter =
        if (queued.size >= settings.maxQueuedRecords) this else copy(queued = queued.adding(outcome))

    /** Returns whether an append is due. */
    public fun isAppendDue(nowMillis: Long): Boolean =
        if (inFlight == null) queued.isNotEmpty() else retryAtMillis != null && nowMillis >= retryAtMillis

    /** Returns the writer whose [inFlight] batch is to be appended now; a new batch gets the time [epochMillis]. */
    public fun startAppend(epochMillis: Long): IdempotencyWriter {
        if (inFlight != null) return copy(retryAtMillis = null)
        val records = queued.take(settings.maxBatchRecords)
        return copy(
            queued = queued.drop(records.size).toPersistentList(),
            inFlight = IdempotencyBatch(incarnation, epochMillis, records),
            retryAtMillis = null,
        )
    }

    /** Returns the writer after the log confirmed the [inFlight] batch at [offset]. */
    public fun appendConfirmed(offset: Long): IdempotencyWriter {
        val confirmed = inFlight?.records.orEmpty().fold(waiting) { kept, record ->
            val found = kept[record.requestId].takeIf { record is IdempotencyRecord.Reserve }
            if (found == null) kept else kept.putting(record.requestId, found.copy(confirmedOffset = offset))
        }
        return copy(inFlight = null, retryAtMillis = null, failures = 0, waiting = confirmed)
    }

    /** Returns the writer after the append of [inFlight] was refused or not confirmed. */
    public fun appendFailed(nowMillis: Long, random: Random): IdempotencyWriter {
        val failed = failures + 1
        return copy(failures = failed, retryAtMillis = nowMillis + settings.appendBackoff.backoffMillis(failed, random))
    }

    /**
     * Returns the reservations that [state] settles or that have timed out, and the writer without them.
     *
     * A reservation that timed out is [ReservationResult.Unavailable] with `isKnownFirst = false`, since only the peers
     * know whether another request with the key was sent.
     */
    public fun settle(state: IdempotencyState, nowMillis: Long): SettleStep {
        val settled = waiting.values.mapNotNull { reservation ->
            val result = state.settleOrNull(reservation.reserve)
                ?: ReservationResult.Unavailable(isKnownFirst = false)
                    .takeIf { isSettled(reservation, state, nowMillis) }
            result?.let { SettledReservation(reservation.reserve, it) }
        }
        if (settled.isEmpty()) return SettleStep(this, settled)
        return SettleStep(
            copy(
                waiting = settled.fold(waiting) { kept, reservation -> kept.removing(reservation.reserve.requestId) },
            ),
            settled,
        )
    }

    private fun isSettled(reservation: WaitingReservation, state: IdempotencyState, nowMillis: Long): Boolean {
        val confirmedOffset = reservation.confirmedOffset
        val isFolded = confirmedOffset != null && state.nextOffset > confirmedOffset
        return isFolded || nowMillis >= reservation.untilMillis
    }
}
