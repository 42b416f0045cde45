package org.banyanturn.core.routing

import org.banyanturn.core.TargetId
import org.banyanturn.core.serving.KnownTarget

/**
 * Settings of a [ColdTargetTracker].
 *
 * @property clockErrorMillis by how much this VM's wall clock may be ahead of that of a target.
 * @property maxTargets most targets that are remembered, also after they have left the list.
 */
public data class ColdTargetSettings(val clockErrorMillis: Long = 1_000, val maxTargets: Int = 10_000)

/**
 * Tracks until when targets are cold. Not thread-safe.
 *
 * A target is cold for a time after its start, and for as long as its entry, one of its responses or another VM states.
 * The start of an incarnation that appears while this VM runs is taken to be the moment at which it was first listed,
 * since wall clocks differ and jump. Only for the targets in the first list is the start derived from the wall clock.
 * Incarnations are remembered, so that entries that lapse in an outage of the list don't make their targets cold.
 */
public class ColdTargetTracker(private val settings: ColdTargetSettings = ColdTargetSettings()) {
    private val incarnations = LinkedHashMap<TargetId, Incarnation>()

    /**
     * Records the listed [targets].
     *
     * @param isFirstList whether this VM has just read its first list.
     * @param nowEpochMillis the wall clock, in milliseconds since the epoch.
     */
    public fun onListed(
        targets: Collection<KnownTarget>,
        isFirstList: Boolean,
        nowMillis: Long,
        nowEpochMillis: Long,
    ) {
        targets.forEach { target ->
            val entry = target.entry
            val known = incarnations[entry.targetId]?.takeIf { it.bornEpochMillis == entry.bornEpochMillis }
            val incarnation = known ?: Incarnation(
                entry.bornEpochMillis,
                if (isFirstList) startedAtMillis(entry.bornEpochMillis, nowMillis, nowEpochMillis) else nowMillis,
            ).also { incarnations[entry.targetId] = it }
            entry.coldMillis?.let { incarnation.extend(target.entryAtMillis + it) }
        }
        while (incarnations.size > settings.maxTargets) incarnations -= incarnations.keys.first()
    }

    private fun startedAtMillis(bornEpochMillis: Long?, nowMillis: Long, nowEpochMillis: Long): Long {
        if (bornEpochMillis == null) return UNKNOWN_START
        val ageMillis = nowEpochMillis - bornEpochMillis - settings.clockErrorMillis
        return nowMillis - ageMillis.coerceIn(0, MAX_AGE_MILLIS)
    }

    /**
     * Records that the target [targetId] stays cold for [coldMillis], and returns whether that is news: whether it
     * did not count as cold, given that it is cold for [startMillis] after its start.
     */
    public fun onCold(targetId: TargetId, coldMillis: Long, startMillis: Long, nowMillis: Long): Boolean {
        val incarnation = incarnations[targetId] ?: return false
        val wasCold = incarnation.remainingMillis(startMillis, nowMillis) > 0
        incarnation.extend(nowMillis + coldMillis)
        return !wasCold
    }

    /** Returns how long [targetId] stays cold, given that it is cold for [startMillis] after its start; 0 if warm. */
    public fun remainingMillis(targetId: TargetId, startMillis: Long, nowMillis: Long): Long =
        incarnations[targetId]?.remainingMillis(startMillis, nowMillis) ?: 0

    private class Incarnation(val bornEpochMillis: Long?, private val startedAtMillis: Long) {
        private var statedUntilMillis = Long.MIN_VALUE

        fun extend(untilMillis: Long) {
            statedUntilMillis = maxOf(statedUntilMillis, untilMillis)
        }

        fun remainingMillis(startMillis: Long, nowMillis: Long): Long =
            (maxOf(statedUntilMillis, startedAtMillis + startMillis) - nowMillis).coerceAtLeast(0)
    }

    private companion object {
        /** A start so long ago that it has no effect. */
        const val UNKNOWN_START = Long.MIN_VALUE / 4

        /** The greatest age that is told apart; older targets are warm. */
        const val MAX_AGE_MILLIS = 86_400_000L
    }
}
