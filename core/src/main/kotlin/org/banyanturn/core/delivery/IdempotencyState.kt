package org.banyanturn.core.delivery

import kotlinx.collections.immutable.PersistentList
import kotlinx.collections.immutable.PersistentMap
import kotlinx.collections.immutable.persistentListOf
import kotlinx.collections.immutable.persistentMapOf
import org.banyanturn.core.Incarnation
import org.banyanturn.core.VmId

/**
 * The bounds of what a shard remembers.
 *
 * @property retentionMillis how long a key is remembered; must be shorter than the platform's log keeps the stream.
 * @property maxEntries most keys of a shard; further ones are refused until old ones lapse.
 */
public data class IdempotencyLimits(val retentionMillis: Long = 86_400_000, val maxEntries: Int = 20_000) {
    init {
        require(retentionMillis > 0) { "retentionMillis is positive, got $retentionMillis" }
        require(maxEntries > 0) { "maxEntries is positive, got $maxEntries" }
    }
}

/**
 * What is known of a key.
 *
 * @property reserve the record that holds the key, or `null` if it is free again.
 * @property result how the holder's request ended, or `null` while that is unresolved.
 * @property releasedRequests requests that gave the key back; a late copy of their record counts for nothing.
 * @property atMillis the stream's time when the key was reserved or given back.
 */
public data class IdempotencyEntry(
    val reserve: IdempotencyRecord.Reserve?,
    val result: OutcomeResult?,
    val releasedRequests: PersistentList<RequestId>,
    val atMillis: Long,
)

/**
 * The keys of one shard, folded from its stream; the same on every VM.
 *
 * The stream's own time is the second highest of its writers' wall clocks, so that one wrong clock makes no key lapse.
 *
 * @property nextOffset offset of the first record that is not yet folded.
 * @property skippedRecords how many records were broken or of an unknown kind.
 */
public data class IdempotencyState(
    val limits: IdempotencyLimits = IdempotencyLimits(),
    val nextOffset: Long = 0,
    val entries: PersistentMap<IdempotencyKey, IdempotencyEntry> = persistentMapOf(),
    val skippedRecords: Long = 0,
    private val clock: StreamClock = StreamClock(),
) {
    /** The stream's time in milliseconds since the epoch. */
    val timeMillis: Long get() = clock.timeMillis

    /** Returns the state after the record at [offset]; one below [nextOffset] changes nothing. */
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

/** The latest stamps of the two writers whose clocks are furthest ahead. */
public data class StreamClock(
    private val highest: WriterStamp? = null,
    private val second: WriterStamp? = null,
    val timeMillis: Long = 0,
) {
    /** Returns the clock after a record that [incarnation] stamped [epochMillis]. */
    public fun advance(incarnation: Incarnation, epochMillis: Long): StreamClock {
        val stamp = WriterStamp(incarnation.vmId, epochMillis)
        val latest = listOfNotNull(highest, second, stamp)
            .sortedByDescending(WriterStamp::epochMillis)
            .distinctBy(WriterStamp::vmId)
        val secondHighest = latest.getOrNull(1) ?: latest.first()
        return StreamClock(latest.first(), latest.getOrNull(1), secondHighest.epochMillis.coerceAtLeast(timeMillis))
    }
}

/** A writer's wall clock as its latest record shows it. */
public data class WriterStamp(val vmId: VmId, val epochMillis: Long)

/** What a stream says of a request that asks for an idempotency key. */
public sealed interface ReservationResult {
    /** The request holds the key and may be sent. */
    public data object Acquired : ReservationResult

    /** An earlier request with the key ended with [result]. */
    public data class Replay(val result: OutcomeResult) : ReservationResult

    /** An earlier request with the key, held by [holder], has no recorded outcome. */
    public data class InProgress(val holder: Incarnation) : ReservationResult

    /** The key came first with another request. */
    public data object KeyReused : ReservationResult

    /**
     * The key could not be recorded; nothing was sent for this request.
     *
     * @property isKnownFirst whether it is certain that no other request with the key was sent: the stream was read to
     * its end, and each VM that may have reserved the key since says that it did not.
     */
    public data class Unavailable(val isKnownFirst: Boolean) : ReservationResult
}

/** Returns what the stream says of [reserve], or `null` if the key is not held by any request. */
public fun IdempotencyState.settleOrNull(reserve: IdempotencyRecord.Reserve): ReservationResult? {
    val entry = entries[reserve.key] ?: return null
    val heldBy = entry.reserve ?: return null
    val result = entry.result
    return when {
        heldBy.fingerprint != reserve.fingerprint -> ReservationResult.KeyReused
        heldBy.requestId == reserve.requestId -> ReservationResult.Acquired
        result != null -> ReservationResult.Replay(result)
        else -> ReservationResult.InProgress(heldBy.incarnation)
    }
}
