package org.banyanturn.core.serving

import org.banyanturn.core.AdapterId
import org.banyanturn.core.ModelId
import org.banyanturn.core.TargetId
import org.banyanturn.core.ZoneId

/** A model that a target holds, with its adapters there. */
public data class HeldModel(val modelId: ModelId, val weightsVersion: Long, val adapters: Set<AdapterId>)

/**
 * What a target says of itself.
 *
 * @property bornEpochMillis when this life of the target began, or `null` if it does not say.
 * @property isDraining whether it takes no new work soon.
 * @property remainingMillis how long a target that is taken away still runs, or `null`.
 * @property hostWeights the weights that its host keeps.
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
)

/**
 * A target as this VM knows it.
 *
 * @property entryAtMillis when its latest entry was read.
 * @property missingSinceMillis when its entry was seen to be gone, or `null` while it is there.
 */
public data class KnownTarget(
    val entry: TargetEntry,
    val entryAtMillis: Long,
    val missingSinceMillis: Long? = null,
) {
    /** Whether new requests may go there. */
    val takesRequests: Boolean
        get() = !entry.isDraining
}

/**
 * The targets that the platform lists; immutable.
 *
 * An entry that goes missing while the list can be read means that the target leaves. One that lapsed while the list
 * could not be read may come back when its target has registered again, so it is kept for [lapsedGraceMillis].
 */
public class TargetDirectory private constructor(
    public val targets: Map<TargetId, KnownTarget>,
    private val lapsedGraceMillis: Long,
) {
    /** The targets by the service that they belong to. */
    public val byService: Map<ServiceName, List<KnownTarget>> = targets.values.groupBy { it.entry.service }

    /** Returns the directory after [entry] was read. */
    public fun listed(entry: TargetEntry, nowMillis: Long): TargetDirectory =
        changed(mapOf(entry.targetId to entry), mayHaveLapsed = false, nowMillis)

    /**
     * Returns the directory after the entry of [targetId] was seen to be gone.
     *
     * @param mayHaveLapsed whether the list was out of reach, for its readers or its writers, until just now.
     */
    public fun missing(targetId: TargetId, mayHaveLapsed: Boolean, nowMillis: Long): TargetDirectory =
        changed(mapOf(targetId to null), mayHaveLapsed, nowMillis)

    /** Returns the directory after [changes] were read: the new entries, and `null` for those that are gone. */
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

    /** Returns the directory that lists only [entries]; targets that are not among them went missing. */
    public fun replaced(
        entries: Collection<TargetEntry>,
        mayHaveLapsed: Boolean,
        nowMillis: Long,
    ): TargetDirectory {
        val listed = entries.associateBy { it.targetId }
        return changed(targets.keys.associateWith { listed[it] } + listed, mayHaveLapsed, nowMillis)
    }

    /** Returns the directory without the targets whose entries have not come back in time. */
    public fun expire(nowMillis: Long): TargetDirectory {
        val kept = targets.filterValues { target ->
            target.missingSinceMillis == null || nowMillis - target.missingSinceMillis < lapsedGraceMillis
        }
        return if (kept.size == targets.size) this else TargetDirectory(kept, lapsedGraceMillis)
    }

    /** Makes empty directories. */
    public companion object {
        /** Entries that lapsed during an outage of the list are back within two seconds of its return. */
        public const val DEFAULT_LAPSED_GRACE_MILLIS: Long = 2_500

        /** Returns a directory without targets. */
        public fun empty(lapsedGraceMillis: Long = DEFAULT_LAPSED_GRACE_MILLIS): TargetDirectory =
            TargetDirectory(emptyMap(), lapsedGraceMillis)
    }
}
