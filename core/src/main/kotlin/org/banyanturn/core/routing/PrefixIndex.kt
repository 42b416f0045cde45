package org.banyanturn.core.routing

import kotlinx.collections.immutable.PersistentMap
import kotlinx.collections.immutable.persistentMapOf
import org.banyanturn.core.TargetId

/** Identifies a block of prompt tokens together with all blocks before it. */
@JvmInline
public value class PrefixHash(public val value: Long)

/** A change of a target's prefix cache, reported by the target. */
public sealed interface PrefixEvent {
    /** The sequence number of the event; it rises by one with each event of the target. */
    public val sequence: Long

    /** The block [hash] is cached. */
    public data class Stored(override val sequence: Long, val hash: PrefixHash) : PrefixEvent

    /** The block [hash] is no longer cached. */
    public data class Evicted(override val sequence: Long, val hash: PrefixHash) : PrefixEvent

    /** The whole cache was cleared. */
    public data class Cleared(override val sequence: Long) : PrefixEvent
}

/**
 * An estimate of the prompt prefixes that one target has cached, for at most [capacity] blocks. Immutable.
 *
 * Events arrive late and with gaps. After a gap the known blocks are weighted by [confidence] until enough further
 * events have arrived. The blocks of a request that was sent to the target count as cached. A wrong estimate costs only
 * time.
 */
public class PrefixIndex internal constructor(
    private val capacity: Int,
    private val nextSequence: Long,
    private val blocks: PersistentMap<PrefixHash, Long>,
    private val blocksByUse: PersistentMap<Long, PrefixHash>,
    private val lastUseNumber: Long,
    private val eventsSinceGap: Int,
) {
    /** The weight of the known blocks, from 0 to 1; it drops after a gap in the events. */
    public val confidence: Double =
        if (eventsSinceGap >= TRUSTED_EVENTS) 1.0 else GAP_CONFIDENCE + eventsSinceGap * CONFIDENCE_STEP

    /** The number of blocks that are assumed to be cached. */
    public val size: Int get() = blocks.size

    /** Returns the index after [event]; duplicate and out-of-order events are ignored. */
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

    /** Returns the index after a request whose prefix has the blocks [hashes], in order, was sent to the target. */
    public fun afterUse(hashes: List<PrefixHash>): PrefixIndex = hashes.fold(this, PrefixIndex::add)

    /** Returns the expected number of leading blocks of [hashes] that the target has cached. */
    public fun expectedBlocks(hashes: List<PrefixHash>): Double =
        hashes.takeWhile { it in blocks }.size * confidence

    private fun add(hash: PrefixHash): PrefixIndex {
        val useNumber = lastUseNumber + 1
        val previousUse = blocks[hash]
        val remainingByUse = if (previousUse == null) blocksByUse else blocksByUse.removing(previousUse)
        val added = with(
            blocks = blocks.putting(hash, useNumber),
            blocksByUse = remainingByUse.putting(useNumber, hash),
            lastUseNumber = useNumber,
        )
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

/**
 * Returns an empty index for at most [capacity] blocks.
 *
 * @throws IllegalArgumentException if [capacity] is not positive.
 */
public fun prefixIndexOf(capacity: Int): PrefixIndex {
    require(capacity > 0) { "capacity must be positive, was $capacity" }
    return PrefixIndex(capacity, FIRST_SEQUENCE, persistentMapOf(), persistentMapOf(), 0, TRUSTED_EVENTS)
}
