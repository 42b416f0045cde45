package org.banyanturn.core.relay

import kotlinx.collections.immutable.PersistentMap
import kotlinx.collections.immutable.mutate
import kotlinx.collections.immutable.persistentHashMapOf
import kotlinx.collections.immutable.toPersistentHashMap

/** A change of [key] to [value] by the record at [offset]; [value] is `null` if the key was removed. */
public data class KeyChange<out V : Any>(val key: String, val value: V?, val offset: Long)

/** The result of reading a [ChangeLog] from an offset. */
public sealed interface ChangesSince<out V : Any> {
    /** The latest change of each changed key, in the order of offsets; the next read starts at [nextOffset]. */
    public data class Available<out V : Any>(val changes: List<KeyChange<V>>, val nextOffset: Long) : ChangesSince<V>

    /** The log no longer has all removals since the offset, so the reader must take a snapshot. */
    public data object SnapshotRequired : ChangesSince<Nothing>
}

/**
 * The latest values of a topic's keys, each with the offset of its last change. Immutable.
 *
 * Load pattern: hundreds of targets repeat their entries every second, few of these entries change, and all VMs of an
 * availability zone follow them. One VM reads the topic, and the others read only the changes from that VM. The offsets
 * are those of the topic, so a VM that switches to another VM, or to the topic itself, continues from its own offset.
 *
 * After the topic was restored from an older copy, offsets are assigned again. An offset therefore belongs to an epoch,
 * and the log of a new epoch begins with a snapshot ([restarted]).
 *
 * @property nextOffset offset of the first record that has not been applied.
 * @property epoch the epoch of the topic, to which the offsets belong.
 */
public class ChangeLog<V : Any> private constructor(
    private val states: PersistentMap<String, KeyChange<V>>,
    private val earliestOffset: Long,
    public val nextOffset: Long,
    private val maxRemovals: Int,
    public val epoch: Long,
) {
    /** Returns the value of [key], or `null` if it was removed or is unknown. */
    public fun valueOrNull(key: String): V? = states[key]?.value

    /** Returns the log after a snapshot was read: exactly the keys of [listed] existed at [nextOffset]. */
    public fun replaced(listed: Collection<KeyChange<V>>, nextOffset: Long): ChangeLog<V> {
        val listedKeys = listed.mapTo(HashSet()) { it.key }
        val removed = states.values.filter { it.value != null && it.key !in listedKeys }
            .map { KeyChange<V>(it.key, value = null, offset = nextOffset - 1) }
        val isFirst = states.isEmpty()
        val known = ChangeLog(states, if (isFirst) nextOffset else earliestOffset, this.nextOffset, maxRemovals, epoch)
        return known.merged(listed + removed, nextOffset)
    }

    /**
     * Returns the log after a snapshot of the topic was read in [epoch] at [nextOffset], where the topic has gone back.
     *
     * @param resolve returns the value of a known key from its known value, which is `null` for a removed key, and the
     * listed value, which may be older; `null` if the key stays removed until its next record.
     */
    public fun restarted(
        listed: Collection<KeyChange<V>>,
        nextOffset: Long,
        epoch: Long,
        resolve: (known: V?, listed: V) -> V?,
    ): ChangeLog<V> {
        val merged = listed.associateTo(HashMap()) { it.key to it.resolvedWith(states[it.key], nextOffset, resolve) }
        val removed = states.keys.filter { it !in merged }
        removed.forEach { merged[it] = KeyChange(it, value = null, offset = nextOffset - 1) }
        val latest = merged.toPersistentHashMap()
        return ChangeLog(latest, nextOffset, nextOffset, maxRemovals, epoch).withoutOldRemovals()
    }

    private fun KeyChange<V>.resolvedWith(
        known: KeyChange<V>?,
        nextOffset: Long,
        resolve: (known: V?, listed: V) -> V?,
    ): KeyChange<V> {
        val listedValue = value
        if (known == null || listedValue == null) return this
        val resolved = resolve(known.value, listedValue)
        return if (resolved == listedValue) this else KeyChange(key, resolved, nextOffset - 1)
    }

    /**
     * Returns the log after all [records] up to [nextOffset] were read; a record that repeats the known value of its
     * key is not a change.
     */
    public fun advanced(records: Collection<KeyChange<V>>, nextOffset: Long): ChangeLog<V> =
        withStates(records, nextOffset) { known, record -> known?.value != record.value }

    /**
     * Returns the log after only the latest record of each key up to [nextOffset] was read.
     *
     * A repeated value counts as a change here, because the key may have had another value in between.
     */
    public fun merged(newest: Collection<KeyChange<V>>, nextOffset: Long): ChangeLog<V> =
        withStates(newest, nextOffset) { known, change -> known == null || change.offset > known.offset }

    private fun withStates(
        records: Collection<KeyChange<V>>,
        nextOffset: Long,
        isNewer: (known: KeyChange<V>?, record: KeyChange<V>) -> Boolean,
    ): ChangeLog<V> {
        val newer = states.mutate { known ->
            records.forEach { if (isNewer(known[it.key], it)) known[it.key] = it }
        }
        val newNextOffset = maxOf(this.nextOffset, nextOffset)
        return ChangeLog(newer, earliestOffset, newNextOffset, maxRemovals, epoch).withoutOldRemovals()
    }

    private fun withoutOldRemovals(): ChangeLog<V> {
        val removals = states.values.filter { it.value == null }
        if (removals.size <= maxRemovals) return this
        val discarded = removals.sortedBy { it.offset }.take(removals.size - maxRemovals)
        val kept = states.mutate { known -> discarded.forEach { known.remove(it.key) } }
        return ChangeLog(kept, maxOf(earliestOffset, discarded.last().offset + 1), nextOffset, maxRemovals, epoch)
    }

    /**
     * Returns the changes from [offset] of [epoch] on, or [ChangesSince.SnapshotRequired] if older removals were
     * discarded or the offset belongs to another epoch.
     */
    public fun since(offset: Long, epoch: Long = this.epoch): ChangesSince<V> {
        if (offset < earliestOffset || epoch != this.epoch) return ChangesSince.SnapshotRequired
        val later = states.values.filter { it.offset >= offset }.sortedBy { it.offset }
        return ChangesSince.Available(later, maxOf(offset, nextOffset))
    }

    /** Returns the latest change of each key, including the remembered removals. */
    public fun latestChanges(): List<KeyChange<V>> = states.values.toList()

    /** Returns all existing keys, or [ChangesSince.SnapshotRequired] if nothing has been read yet. */
    public fun snapshot(): ChangesSince<V> =
        if (earliestOffset == UNKNOWN_OFFSET) {
            ChangesSince.SnapshotRequired
        } else {
            ChangesSince.Available(states.values.filter { it.value != null }, nextOffset)
        }

    /** Factory of empty logs. */
    public companion object {
        /** Default number of removed keys that are remembered. */
        public const val DEFAULT_MAX_REMOVALS: Int = 1_000

        private const val UNKNOWN_OFFSET = Long.MAX_VALUE

        /** Returns an empty log that remembers up to [maxRemovals] removed keys. */
        public fun <V : Any> empty(maxRemovals: Int = DEFAULT_MAX_REMOVALS): ChangeLog<V> =
            ChangeLog(persistentHashMapOf(), UNKNOWN_OFFSET, nextOffset = 0, maxRemovals, epoch = 0)
    }
}
