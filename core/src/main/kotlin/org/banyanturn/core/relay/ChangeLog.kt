package org.banyanturn.core.relay

import kotlinx.collections.immutable.PersistentMap
import kotlinx.collections.immutable.mutate
import kotlinx.collections.immutable.persistentHashMapOf

/** The state of [key] since [offset]; [value] is `null` where the key was removed. */
public data class KeyChange<out V : Any>(val key: String, val value: V?, val offset: Long)

/** What changed since an offset. */
public sealed interface ChangesSince<out V : Any> {
    /** The newest state of each key that changed, in the order of the changes; reading goes on at [nextOffset]. */
    public data class Available<out V : Any>(val changes: List<KeyChange<V>>, val nextOffset: Long) : ChangesSince<V>

    /** Removals before the offset are no longer known: the whole list must be read. */
    public data object SnapshotRequired : ChangesSince<Nothing>
}

/**
 * The keys of a topic, each with the offset at which it last changed; immutable.
 *
 * Load pattern: hundreds of targets repeat their entries every second, few of them change, and all VMs of an
 * availability zone follow them. One VM reads the topic, and the others get from it only what changed. The offsets are
 * those of the topic, so a VM goes on at another reader, or at the topic itself, where it stopped.
 *
 * @property nextOffset the offset of the first record that has not been taken in.
 */
public class ChangeLog<V : Any> private constructor(
    private val states: PersistentMap<String, KeyChange<V>>,
    private val earliestOffset: Long,
    public val nextOffset: Long,
    private val maxRemovals: Int,
) {
    /** Returns the value of [key], or `null` if it was removed or never seen. */
    public fun valueOrNull(key: String): V? = states[key]?.value

    /** Returns the log after the whole list was read: [listed], and nothing else, was there at [nextOffset]. */
    public fun replaced(listed: Collection<KeyChange<V>>, nextOffset: Long): ChangeLog<V> {
        val listedKeys = listed.mapTo(HashSet()) { it.key }
        val removed = states.values.filter { it.value != null && it.key !in listedKeys }
            .map { KeyChange<V>(it.key, value = null, offset = nextOffset - 1) }
        val isFirst = states.isEmpty()
        val known = ChangeLog(states, if (isFirst) nextOffset else earliestOffset, this.nextOffset, maxRemovals)
        return known.merged(listed + removed, nextOffset)
    }

    /**
     * Returns the log after all [records] up to [nextOffset] were read; those that repeat what is known change nothing.
     */
    public fun advanced(records: Collection<KeyChange<V>>, nextOffset: Long): ChangeLog<V> =
        withStates(records, nextOffset) { known, record -> known?.value != record.value }

    /**
     * Returns the log after the newest of the records up to [nextOffset] were read.
     *
     * A value that is known counts as changed nonetheless: between, the key may have had another one.
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
        return ChangeLog(newer, earliestOffset, maxOf(this.nextOffset, nextOffset), maxRemovals).withoutOldRemovals()
    }

    private fun withoutOldRemovals(): ChangeLog<V> {
        val removals = states.values.filter { it.value == null }
        if (removals.size <= maxRemovals) return this
        val discarded = removals.sortedBy { it.offset }.take(removals.size - maxRemovals)
        val kept = states.mutate { known -> discarded.forEach { known.remove(it.key) } }
        return ChangeLog(kept, maxOf(earliestOffset, discarded.last().offset + 1), nextOffset, maxRemovals)
    }

    /** Returns what changed from [offset] on. */
    public fun since(offset: Long): ChangesSince<V> {
        if (offset < earliestOffset) return ChangesSince.SnapshotRequired
        val later = states.values.filter { it.offset >= offset }.sortedBy { it.offset }
        return ChangesSince.Available(later, maxOf(offset, nextOffset))
    }

    /** Returns all keys that are there, or [ChangesSince.SnapshotRequired] while nothing was read. */
    public fun snapshot(): ChangesSince<V> =
        if (earliestOffset == UNKNOWN_OFFSET) {
            ChangesSince.SnapshotRequired
        } else {
            ChangesSince.Available(states.values.filter { it.value != null }, nextOffset)
        }

    /** Makes logs that know nothing yet. */
    public companion object {
        /** How many removed keys are remembered. */
        public const val DEFAULT_MAX_REMOVALS: Int = 1_000

        private const val UNKNOWN_OFFSET = Long.MAX_VALUE

        /** Returns a log that knows nothing yet and remembers [maxRemovals] removed keys. */
        public fun <V : Any> empty(maxRemovals: Int = DEFAULT_MAX_REMOVALS): ChangeLog<V> =
            ChangeLog(persistentHashMapOf(), UNKNOWN_OFFSET, nextOffset = 0, maxRemovals)
    }
}
