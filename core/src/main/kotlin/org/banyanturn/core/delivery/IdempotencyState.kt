package org.banyanturn.core.delivery

import kotlinx.collections.immutable.PersistentList
import kotlinx.collections.immutable.PersistentMap
import kotlinx.collections.immutable.persistentListOf
import kotlinx.collections.immutable.persistentMapOf
import org.banyanturn.core.Incarnation
import org.banyanturn.core.VmId

/**
 * Limits on the keys that a shard retains.
 *
 * @property retentionMillis how long a key is retained; must be shorter than the retention of the stream in the log.
 * @property maxEntries maximum number of keys in a shard; further keys are refused until old ones expire.
 */
public data class IdempotencyLimits(val retentionMillis: Long = 86_400_000, val maxEntries: Int = 20_000) {
    init {
        require(retentionMillis > 0) { "retentionMillis must be positive, was $retentionMillis" }
        require(maxEntries > 0) { "maxEntries must be positive, was $maxEntries" }
    }
}

/**
 * The state of a key.
 *
 * @property reserve the reservation that holds the key, or `null` if the key was released.
 * @property result how the holder's request ended, or `null` while no outcome is recorded.
 * @property releasedRequests requests that released the key; late copies of their reservations are ignored.
 * @property atMillis stream time at which the key was reserved or released.
 */
public data class IdempotencyEntry(
    val reserve: IdempotencyRecord.Reserve?,
    val result: OutcomeResult?,
    val releasedRequests: PersistentList<RequestId>,
    val atMillis: Long,
)

/**
 * The idempotency keys of one shard, folded from its stream; the same on every VM.
 *
 * Stream time is the second highest of the writers' wall clocks, so that a single wrong clock does not expire keys.
 *
 * @property nextOffset offset of the first record that is not yet folded.
 * @property skippedRecords number of records that were malformed or of an unknown kind.
 */
public data class IdempotencyState(
    val limits: IdempotencyLimits = IdempotencyLimits(),
    val nextOffset: Long = 0,
    val entries: PersistentMap<IdempotencyKey, IdempotencyEntry> = persistentMapOf(),
    val skippedRecords: Long = 0,
    private val clock: StreamClock = StreamClock(),
) {
    /** Stream time in milliseconds since the epoch. */
    val timeMillis: Long get() = clock.timeMillis

    /** Returns the state after the record at [offset]; a record below [nextOffset] has no effect. */
    public fun foldRecord(offset: Long, payload: String): IdempotencyState {
        if (offset < nextOffset) return this
        val advanced = copy(nextOffset = offset + 1)
        val batch = decodeIdempotencyBatchOrNull(payload)
            ?: return advanced.copy(skippedRecords = skippedRecords + 1)
        val withClock = advanced.copy(clock = clock.advance(batch.incarnation, batch.writtenAtEpochMillis))
        return batch.records.fold(withClock.removeExpired()) { state, record -> state.apply(record) }
    }

    private fun removeExpired(): IdempotencyState {
        val oldestMillis = timeMillis - limits.retentionMillis
        val expired = entries.entries.takeWhile { it.value.atMillis < oldestMillis }.map { it.key }
        return copy(entries = expired.fold(entries) { kept, key -> kept.removing(key) })
    }

    private fun apply(record: IdempotencyRecord): IdempotencyState =
        when (record) {
            is IdempotencyRecord.Reserve -> applyReserve(record)
            is IdempotencyRecord.Outcome -> applyOutcome(record)
        }

    private fun applyReserve(record: IdempotencyRecord.Reserve): IdempotencyState {
        val entry = entries[record.key]
        val isHeld = entry?.reserve != null
        val isReleased = entry != null && record.requestId in entry.releasedRequests
        val isFull = entry == null && entries.size >= limits.maxEntries
        if (isHeld || isReleased || isFull) return this
        val released = entry?.releasedRequests ?: persistentListOf()
        return moveToEnd(record.key, IdempotencyEntry(record, result = null, released, timeMillis))
    }

    private fun applyOutcome(record: IdempotencyRecord.Outcome): IdempotencyState {
        val entry = entries[record.key]
        return when {
            record.result == OutcomeResult.NotRun -> release(record, entry)
            entry?.reserve?.requestId != record.requestId || entry.result != null -> this
            else -> copy(entries = entries.putting(record.key, entry.copy(result = record.result)))
        }
    }

    private fun release(record: IdempotencyRecord.Outcome, entry: IdempotencyEntry?): IdempotencyState {
        if (entry?.result != null) return this
        if (entry == null && entries.size >= limits.maxEntries) return this
        val isHolder = entry?.reserve?.requestId == record.requestId
        val knownReleased = entry?.releasedRequests ?: persistentListOf()
        val released = if (knownReleased.size < MAX_RELEASED) knownReleased else knownReleased.removingAt(0)
        val reserve = entry?.reserve.takeUnless { isHolder }
        val updated = IdempotencyEntry(reserve, result = null, released.adding(record.requestId), timeMillis)
        return moveToEnd(record.key, updated)
    }

    private fun moveToEnd(key: IdempotencyKey, entry: IdempotencyEntry): IdempotencyState =
        copy(entries = entries.removing(key).putting(key, entry))

    private companion object {
        private const val MAX_RELEASED = 16
    }
}

/** The clock of a stream, computed from the latest timestamps of the two writers whose clocks are furthest ahead. */
public data class StreamClock(
    private val highest: WriterTimestamp? = null,
    private val second: WriterTimestamp? = null,
    val timeMillis: Long = 0,
) {
    /** Returns the clock after a record that [incarnation] wrote at [epochMillis]. */
    public fun advance(incarnation: Incarnation, epochMillis: Long): StreamClock {
        val timestamp = WriterTimestamp(incarnation.vmId, epochMillis)
        val latest = listOfNotNull(highest, second, timestamp)
            .sortedByDescending(WriterTimestamp::epochMillis)
            .distinctBy(WriterTimestamp::vmId)
        val secondHighest = latest.getOrNull(1) ?: latest.first()
        return StreamClock(latest.first(), latest.getOrNull(1), secondHighest.epochMillis.coerceAtLeast(timeMillis))
    }
}

/** A writer's wall clock time in its latest record. */
public data class WriterTimestamp(val vmId: VmId, val epochMillis: Long)

/** The result of reserving an idempotency key for a request. */
public sealed interface ReservationResult {
    /** The request holds the key and may be sent. */
    public data object Acquired : ReservationResult

    /** An earlier request with the key ended with [result]. */
    public data class Replay(val result: OutcomeResult) : ReservationResult

    /** An earlier request with the key, held by [holder], has no recorded outcome. */
    public data class InProgress(val holder: Incarnation) : ReservationResult

    /** The key was used before with a different request. */
    public data object KeyReused : ReservationResult

    /**
     * The key could not be recorded; nothing was sent to a target for this request.
     *
     * @property isKnownFirst whether it is certain that no other request with the key was sent: the stream was read to
     * its end, and each VM that may have reserved the key since then has reported that it did not.
     */
    public data class Unavailable(val isKnownFirst: Boolean) : ReservationResult
}

/** Returns the result of [reserve] according to this state, or `null` if no request holds the key. */
public fun IdempotencyState.settleOrNull(reserve: IdempotencyRecord.Reserve): ReservationResult? {
    val entry = entries[reserve.key] ?: return null
    val holder = entry.reserve ?: return null
    val result = entry.result
    return when {
        holder.fingerprint != reserve.fingerprint -> ReservationResult.KeyReused
        holder.requestId == reserve.requestId -> ReservationResult.Acquired
        result != null -> ReservationResult.Replay(result)
        else -> ReservationResult.InProgress(holder.incarnation)
    }
}
