package org.banyanturn.core.delivery

import kotlinx.collections.immutable.PersistentMap
import kotlinx.collections.immutable.PersistentSet
import kotlinx.collections.immutable.persistentMapOf
import kotlinx.collections.immutable.persistentSetOf

/** Most crashed incarnations of targets that are kept for a part that was cleared; the oldest are forgotten first. */
private const val MAX_CLEARED_LIVES = 64

/**
 * The crashes attributed to a part of prompts since its last known answer.
 *
 * @property lives the incarnations of targets that crashed, each with the number of its crash; those that crashed close
 * together share one.
 * @property crashes the number of crashes, of which those close together count once.
 * @property latestMillis time of the latest counted crash.
 * @property isBlocked whether requests with the part are refused, apart from probes.
 * @property probedMillis time of the latest probe, or `null` if there was none.
 * @property failedProbes number of crashes after a probe.
 */
public data class PartSuspicion(
    val lives: PersistentMap<TargetLife, Int> = persistentMapOf(),
    val crashes: Int = 0,
    val latestMillis: Long = 0,
    val isBlocked: Boolean = false,
    val probedMillis: Long? = null,
    val failedProbes: Int = 0,
) {
    /** Returns the suspicion after the crash of [life]; crashes less than [separationMillis] apart count as one. */
    internal fun crashed(life: TargetLife, nowMillis: Long, separationMillis: Long): PartSuspicion {
        val isSeparate = crashes == 0 || nowMillis - latestMillis >= separationMillis
        val number = if (isSeparate) crashes + 1 else crashes
        return copy(
            lives = lives.putting(life, number),
            crashes = number,
            latestMillis = if (isSeparate) nowMillis else latestMillis,
            failedProbes = if (isSeparate && probedMillis != null) failedProbes + 1 else failedProbes,
        )
    }

    /** Returns the number of crashes of which [isExplained] holds for no incarnation. */
    internal fun crashesOutside(isExplained: (TargetLife) -> Boolean): Int =
        crashes - lives.filterKeys(isExplained).values.distinct().size

    /** Returns the suspicion with what the [verdict] of another VM adds to it. */
    internal fun merged(verdict: PartVerdict, nowMillis: Long): PartSuspicion {
        val ownFirst = crashes >= verdict.crashes
        return copy(
            lives = if (ownFirst) lives.addingMissing(verdict.lives) else verdict.lives.addingMissing(lives),
            crashes = maxOf(crashes, verdict.crashes),
            latestMillis = maxOf(if (crashes == 0) Long.MIN_VALUE else latestMillis, nowMillis - verdict.ageMillis),
            failedProbes = maxOf(failedProbes, verdict.failedProbes),
        )
    }

    internal fun verdict(part: PromptPartId, nowMillis: Long): PartVerdict =
        PartVerdict(part, lives, crashes, nowMillis - latestMillis, failedProbes)
}

private fun PersistentMap<TargetLife, Int>.addingMissing(other: Map<TargetLife, Int>): PersistentMap<TargetLife, Int> =
    other.entries.fold(this) { all, (life, number) -> if (life in all) all else all.putting(life, number) }

/**
 * The verdict of a VM that a part of prompts crashes targets.
 *
 * @property lives the incarnations of targets that crashed, each with the number of its crash.
 * @property ageMillis time since the latest crash.
 */
public data class PartVerdict(
    val part: PromptPartId,
    val lives: PersistentMap<TargetLife, Int> = persistentMapOf(),
    val crashes: Int = 0,
    val ageMillis: Long = 0,
    val failedProbes: Int = 0,
)

/**
 * A part of prompts on which answers have gone on.
 *
 * @property clearedLives crashed incarnations of targets of which such an answer cleared it.
 */
public data class CompletedPart(val clearedLives: PersistentSet<TargetLife> = persistentSetOf()) {
    internal fun cleared(lives: Set<TargetLife>): CompletedPart {
        val all = clearedLives.addingAll(lives)
        val forgotten = all.take((all.size - MAX_CLEARED_LIVES).coerceAtLeast(0))
        return CompletedPart(all.removingAll(forgotten.toSet()))
    }
}
