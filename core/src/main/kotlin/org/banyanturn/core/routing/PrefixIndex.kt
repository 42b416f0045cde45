package org.banyanturn.core.routing

import kotlinx.collections.immutable.PersistentMap
import kotlinx.collections.immutable.persistentMapOf
import org.banyanturn.core.TargetId

/** Identifies a block of prompt tokens together with all blocks before it. */
@JvmInline
public value class PrefixHash(public val value: Long)

/** What a target says of its prefix cache; [sequence] counts its events without gaps. */
public sealed interface PrefixEvent {
    /** The event's number; the target counts up by one. */
    public val sequence: Long

    /** The block [hash] is cached. */
    public data class Stored(override val sequence: Long, val hash: PrefixHash) : PrefixEvent

    /** The block [hash] is no longer cached. */
    public data class Evicted(override val sequence: Long, val hash: PrefixHash) : PrefixEvent

    /** Nothing is cached any more. */
    public data class Cleared(override val sequence: Long) : PrefixEvent
}

/**
 * The prompt prefixes that one target is thought to have cached; immutable, with room for [capacity] blocks.
 *
 * Events come late and with gaps. After a gap the known blocks count less, by [confidence], until enough later events
 * have come; a block that a request used lately counts as cached. A wrong guess costs time only.
 */
public class PrefixIndex internal constructor(
    private val capacity: Int,
    private val nextSequence: Long,
    private val blocks: PersistentMap<PrefixHash, Long>,
    private val blocksByUse: PersistentMap<Long, PrefixHash>,
    private val lastUseNumber: Long,
    private val eventsSinceGap: Int,
) {
    /** How far the known blocks can be trusted, from 0 to 1. */
    public val confidence: Double =
        if (eventsSinceGap >= TRUSTED_EVENTS) 1.0 else GAP_CONFIDENCE + eventsSinceGap * CONFIDENCE_STEP

    /** The number of blocks that are thought to be cached. */
    public val size: Int get() = blocks.size

    /** Returns the index after [event]; one that comes again or out of order is ignored. */
    public fun observe(event: PrefixEvent): PrefixIndex {
        if (event.sequence < nextSequence) return this
        val hasGap = nextSequence != FIRST_SEQUENCE && event.sequence > nextSequence
        val newEventsSinceGap = if (hasGap) 0 else (eventsSinceGap + 1).coerceAtMost(TRUSTED_EVENTS)
        val advanced = with(nextSequence = event.sequence + 1, eventsSinceGap = newEventsSinceGap)
        return when (event) {
            is PrefixEvent.Stored -> advanced.add(event.hash)
            is PrefixEvent.Evicted -> advanced.remove(event.hash)
            is PrefixEvent.Cleared -> prefixIndexOf(capacity).with(nextSequence = event.sequence + 1)
        }
    }

    /** Returns the index after a request with the prefix [hashes], first block first, was sent to the target. */
    public fun afterUse(hashes: List<PrefixHash>): PrefixIndex = hashes.fold(this, PrefixIndex::add)

    /** Returns how many of the leading blocks [hashes] the target is expected to have cached. */
    public fun expectedBlocks(hashes: List<PrefixHash>): Double =
        hashes.takeWhile { it in blocks }.size * confidence

    private fun add(hash: PrefixHash): PrefixIndex {
        val useNumber = lastUseNumber + 1
        val previousUse = blocks[hash]
        val remainingByUse = if (previousUse == null) blocksByUse else blocksByUse.removing(previousUse)
        val added = with(blocks = blocks.putting(hash, useNumber), blocksByUse = remainingByUse.putting(useNumber, hash), lastUseNumber = useNumber)
        return if (added.blocks.size <= capacity) added else added.remove(added.blocksByUse.values.first())
    }

    private fun remove(hash: PrefixHash): PrefixIndex {
        val useNumber = blocks[hash] ?: return this
        return with(blocks = blocks.removing(hash), blocksByUse = blocksByUse.removing(useNumber))
    }

    private fun with(
        nextSequence: Long = this.nextSequence,
        blocks: PersistentMap<PrefixHash, Long> = this.blocks,
        blocksByUse: PersistentMap<Long, PrefixHash> = this.blocksByUse,
        lastUseNumber: Long = this.lastUseNumber,
        eventsSinceGap: Int = this.eventsSinceGap,
    ): PrefixIndex = PrefixIndex(capacity, nextSequence, blocks, blocksByUse, lastUseNumber, eventsSinceGap)
}

private const val FIRST_SEQUENCE = Long.MIN_VALUE
private const val TRUSTED_EVENTS = 100
private const val GAP_CONFIDENCE = 0.5
private const val CONFIDENCE_STEP = (1 - GAP_CONFIDENCE) / TRUSTED_EVENTS

/** Returns the index of a target of which nothing is known, with room for [capacity] blocks. */
public fun prefixIndexOf(capacity: Int): PrefixIndex {
    require(capacity > 0) { "capacity is $capacity, not more than 0" }
    return PrefixIndex(capacity, FIRST_SEQUENCE, persistentMapOf(), persistentMapOf(), 0, TRUSTED_EVENTS)
}
