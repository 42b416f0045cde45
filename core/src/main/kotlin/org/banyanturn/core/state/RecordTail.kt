package org.banyanturn.core.state

import kotlinx.collections.immutable.PersistentList
import kotlinx.collections.immutable.persistentListOf

/** Represents a record of the log as it is sent to peers. */
public data class TailRecord(val offset: Long, val payload: String)

/** The response to a peer that reads records from this VM. */
public sealed interface TailReadResult {
    /** The records from the requested offset on; the next read starts at [nextOffset]. */
    public data class Records(val records: List<TailRecord>, val nextOffset: Long) : TailReadResult

    /** The records before [firstOffset] are no longer available; the peer must load the state of this VM first. */
    public data class Expired(val firstOffset: Long) : TailReadResult
}

/**
 * Represents the most recent records of the log, for peers that cannot reach it. Immutable.
 *
 * Once enough records are added, the kept payloads have between half of [maxChars] and [maxChars] characters.
 *
 * @property firstOffset offset of the first record that is kept.
 * @property nextOffset offset after the last record that is kept.
 */
public class RecordTail private constructor(
    private val maxChars: Int,
    public val firstOffset: Long,
    public val nextOffset: Long,
    private val older: PersistentList<TailRecord>,
    private val newer: PersistentList<TailRecord>,
    private val newerChars: Int,
) {
    /** Creates a tail without records that starts at [nextOffset], such as the offset of a loaded state. */
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

    /** Returns the tail with [record] appended; a record whose offset is below [nextOffset] is ignored. */
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
        return TailReadResult.Records(
            records,
            if (isWhole) maxOf(nextOffset, fromOffset) else records.last().offset + 1,
        )
    }

    private fun List<TailRecord>.from(offset: Long): List<TailRecord> {
        val index = binarySearchBy(offset) { it.offset }
        return subList(if (index >= 0) index else -index - 1, size)
    }
}
