package org.banyanturn.core.state

import kotlinx.collections.immutable.PersistentList
import kotlinx.collections.immutable.persistentListOf

/** A record of the log as it is passed on to peers. */
public data class TailRecord(val offset: Long, val payload: String)

/** What a VM answers to a peer that reads records from it. */
public sealed interface TailReadResult {
    /** The records from the asked offset on; the peer is up to date with this VM at [nextOffset]. */
    public data class Records(val records: List<TailRecord>, val nextOffset: Long) : TailReadResult

    /** Records before [firstOffset] are no longer kept; the peer loads this VM's state first. */
    public data class Expired(val firstOffset: Long) : TailReadResult
}

/**
 * The latest records of the log, kept for peers that are cut off from it.
 *
 * Between half and all of [maxChars] characters of payload are kept.
 *
 * @property firstOffset offset from which on all records are kept.
 * @property nextOffset offset after the last kept record.
 */
public class RecordTail private constructor(
    private val maxChars: Int,
    public val firstOffset: Long,
    public val nextOffset: Long,
    private val older: PersistentList<TailRecord>,
    private val newer: PersistentList<TailRecord>,
    private val newerChars: Int,
) {
    /** Returns a tail without records that starts after [nextOffset], the offset of a state loaded from elsewhere. */
    public constructor(maxChars: Int, nextOffset: Long = 0) : this(
        maxChars,
        nextOffset,
        nextOffset,
        persistentListOf(),
        persistentListOf(),
        0,
    ) {
        require(maxChars > 0) { "maxChars must be positive, was $maxChars" }
    }

    /** Returns the tail with [record] at its end; a record below [nextOffset] changes nothing. */
    public fun add(record: TailRecord): RecordTail {
        if (record.offset < nextOffset) return this
        val chars = newerChars + record.payload.length
        val next = record.offset + 1
        if (chars <= maxChars / 2) return RecordTail(maxChars, firstOffset, next, older, newer.adding(record), chars)
        val first = newer.firstOrNull()?.offset ?: record.offset
        return RecordTail(maxChars, first, next, newer, persistentListOf(record), record.payload.length)
    }

    /** Returns at most [maxRecords] records from [fromOffset] on. */
    public fun read(fromOffset: Long, maxRecords: Int): TailReadResult {
        if (fromOffset < firstOffset) return TailReadResult.Expired(firstOffset)
        val records = (older.from(fromOffset) + newer.from(fromOffset)).take(maxRecords)
        val isWhole = records.isEmpty() || records.last().offset + 1 == nextOffset
        return TailReadResult.Records(records, if (isWhole) maxOf(nextOffset, fromOffset) else records.last().offset + 1)
    }

    private fun List<TailRecord>.from(offset: Long): List<TailRecord> {
        val index = binarySearchBy(offset) { it.offset }
        return subList(if (index >= 0) index else -index - 1, size)
    }
}
