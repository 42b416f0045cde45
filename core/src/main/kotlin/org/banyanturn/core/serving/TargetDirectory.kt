package org.banyanturn.core.serving

import org.banyanturn.core.AdapterId
import org.banyanturn.core.ModelId
import org.banyanturn.core.TargetId
import org.banyanturn.core.ZoneId

/** A model that a target has loaded, with the adapters that it has loaded for it. */
public data class HeldModel(val modelId: ModelId, val weightsVersion: Long, val adapters: Set<AdapterId>)

/**
 * The entry of a target in the platform's list, as written by the target.
 *
 * @property slots number of requests that the target runs concurrently.
 * @property isDraining whether the target is about to stop accepting new work.
 * @property bornEpochMillis start time of the target's incarnation, in milliseconds since the epoch, or `null` if it is
 * not stated.
 * @property remainingMillis time until a target that is being removed stops, in milliseconds, or `null`.
 * @property hostWeights the weights that the target's host has cached.
 * @property coldMillis how much longer the target stayed cold when it wrote the entry, in milliseconds, or `null` if it
 * was not cold.
 */
public data class TargetEntry(
    val targetId: TargetId,
    val service: ServiceName,
    val address: String,
    val zoneId: ZoneId,
    val slots: Int,
    val isDraining: Boolean,
    val bornEpochMillis: Long?,
    val remainingMillis: Long?,
    val heldModels: Map<ModelId, HeldModel>,
    val hostWeights: HostWeights = HostWeights(),
    val coldMillis: Long? = null,
)

/**
 * A target with its latest known entry.
 *
 * @property entryAtMillis time at which the entry was read.
 * @property missingSinceMillis time since which the entry is missing from the list, or `null` while it is listed.
 */
public data class KnownTarget(
    val entry: TargetEntry,
    val entryAtMillis: Long,
    val missingSinceMillis: Long? = null,
) {
    /** Whether new requests may be sent to the target. */
    val takesRequests: Boolean
        get() = !entry.isDraining
}

/**
 * The targets that the platform lists. Immutable.
 *
 * An entry that is removed while the list is available means that its target has left. An entry whose lease expired
 * during an outage of the list may come back once its target has registered again, so it is kept for
 * [lapsedGraceMillis].
 */
public class TargetDirectory private constructor(
    public val targets: Map<TargetId, KnownTarget>,
    private val lapsedGraceMillis: Long,
) {
    /** The targets by service. */
    public val byService: Map<ServiceName, List<KnownTarget>> = targets.values.groupBy { it.entry.service }

    /** Returns the directory after [entry] was read. */
    public fun listed(entry: TargetEntry, nowMillis: Long): TargetDirectory =
        changed(mapOf(entry.targetId to entry), mayHaveLapsed = false, nowMillis)

    /**
     * Returns the directory after the entry of [targetId] was found missing.
     *
     * @param mayHaveLapsed whether the list was unavailable to its readers or writers until just now, so that the entry
     * may have expired although the target still runs.
     */
    public fun missing(targetId: TargetId, mayHaveLapsed: Boolean, nowMillis: Long): TargetDirectory =
        changed(mapOf(targetId to null), mayHaveLapsed, nowMillis)

    /** Returns the directory after [changes] were read: the new entries, or `null` for entries that are missing. */
    public fun changed(
        changes: Map<TargetId, TargetEntry?>,
        mayHaveLapsed: Boolean,
        nowMillis: Long,
    ): TargetDirectory {
        if (changes.isEmpty()) return this
        val changed = LinkedHashMap(targets)
        changes.forEach { (targetId, entry) ->
            val known = changed[targetId]
            when {
                entry != null -> changed[targetId] = KnownTarget(entry, nowMillis)
                known == null -> Unit
                !mayHaveLapsed || known.entry.isDraining -> changed -= targetId
                else -> changed[targetId] = known.copy(missingSinceMillis = known.missingSinceMillis ?: nowMillis)
            }
        }
        return TargetDirectory(changed, lapsedGraceMillis)
    }

    /** Returns the directory after the whole list was read; the entries of targets not in [entries] are missing. */
    public fun replaced(
        entries: Collection<TargetEntry>,
        mayHaveLapsed: Boolean,
        nowMillis: Long,
    ): TargetDirectory {
        val listed = entries.associateBy { it.targetId }
        return changed(targets.keys.associateWith { listed[it] } + listed, mayHaveLapsed, nowMillis)
    }

    /** Returns the directory without the targets whose entries are missing for longer than the grace period. */
    public fun expire(nowMillis: Long): TargetDirectory {
        val kept = targets.filterValues { target ->
            target.missingSinceMillis == null || nowMillis - target.missingSinceMillis < lapsedGraceMillis
        }
        return if (kept.size == targets.size) this else TargetDirectory(kept, lapsedGraceMillis)
    }

    /** Factory of empty directories. */
    public companion object {
        /** Default grace period: entries that expired during an outage are back within two seconds of its end. */
        public const val DEFAULT_LAPSED_GRACE_MILLIS: Long = 2_500

        /** Returns a directory without targets. */
        public fun empty(lapsedGraceMillis: Long = DEFAULT_LAPSED_GRACE_MILLIS): TargetDirectory =
            TargetDirectory(emptyMap(), lapsedGraceMillis)
    }
}
