package org.banyanturn.core.routing

import org.banyanturn.core.TargetId

/**
 * What a target says in an answer about further requests.
 *
 * @property isLeaving whether the target is about to stop, whatever lists and reports say.
 * @property quietMillis for how long it wants no request of this VM, or `null` if it does not ask for that.
 */
public data class TargetNotice(val isLeaving: Boolean, val quietMillis: Long?)

/**
 * How long notices of targets are heeded.
 *
 * @property maxQuietMillis the longest time without requests that a target is granted.
 * @property leavingRetentionMillis how long a notice that the target leaves is kept at least, unless a new life of it is listed.
 */
public data class TargetNoticeSettings(val maxQuietMillis: Long = 300_000, val leavingRetentionMillis: Long = 600_000)

/**
 * Which targets may get requests of this VM, by what they said in their own answers; not safe for use by several
 * threads.
 *
 * Load patterns: a target that is about to stop goes on answering while the platform's list still shows it as ready, or
 * while the list can't be read; a full target asks its callers to stay away for a while, and more requests would only
 * keep it busy with refusals. A notice binds one life of a target: a new life under the same id starts without it.
 */
public class TargetNoticeTracker(private val settings: TargetNoticeSettings = TargetNoticeSettings()) {
    private val leavingNotices = HashMap<TargetId, LeavingNotice>()
    private val quietNotices = HashMap<TargetId, QuietNotice>()

    /**
     * Takes in what the target [targetId] said, and returns whether that changes what it may get.
     *
     * @param bornEpochMillis the life of the target as it is listed, or `null` if the list does not say.
     */
    public fun record(targetId: TargetId, bornEpochMillis: Long?, notice: TargetNotice, nowMillis: Long): Boolean {
        val isNewlyLeaving = notice.isLeaving && recordLeaving(targetId, bornEpochMillis, nowMillis)
        val quietMillis = notice.quietMillis ?: 0
        val isNewlyQuiet = quietMillis > 0 && recordQuiet(targetId, bornEpochMillis, quietMillis, nowMillis)
        return isNewlyLeaving || isNewlyQuiet
    }

    private fun recordLeaving(targetId: TargetId, bornEpochMillis: Long?, nowMillis: Long): Boolean {
        removeExpired(nowMillis)
        val known = leavingNotices.put(targetId, LeavingNotice(bornEpochMillis, nowMillis))
        return known == null || known.bornEpochMillis != bornEpochMillis
    }

    private fun recordQuiet(targetId: TargetId, bornEpochMillis: Long?, quietMillis: Long, nowMillis: Long): Boolean {
        val untilMillis = nowMillis + quietMillis.coerceAtMost(settings.maxQuietMillis)
        val known = quietNoticeOrNull(targetId, bornEpochMillis, nowMillis)
        if (known != null && known.untilMillis >= untilMillis) return false
        quietNotices[targetId] = QuietNotice(bornEpochMillis, untilMillis)
        return known == null
    }

    /** Returns whether the life [bornEpochMillis] of the target [targetId] has said that it is about to stop. */
    public fun isLeaving(targetId: TargetId, bornEpochMillis: Long?): Boolean =
        leavingNotices[targetId]?.let { it.bornEpochMillis == bornEpochMillis } ?: false

    /**
     * Returns for how long the life [bornEpochMillis] of the target [targetId] wants no request yet, in milliseconds,
     * or 0 if it takes requests.
     */
    public fun remainingQuietMillis(targetId: TargetId, bornEpochMillis: Long?, nowMillis: Long): Long =
        quietNoticeOrNull(targetId, bornEpochMillis, nowMillis)?.let { it.untilMillis - nowMillis } ?: 0

    private fun quietNoticeOrNull(targetId: TargetId, bornEpochMillis: Long?, nowMillis: Long): QuietNotice? =
        quietNotices[targetId]?.takeIf { it.bornEpochMillis == bornEpochMillis && nowMillis < it.untilMillis }

    private fun removeExpired(nowMillis: Long) {
        leavingNotices.values.removeIf { nowMillis - it.receivedAtMillis > settings.leavingRetentionMillis }
        quietNotices.values.removeIf { it.untilMillis <= nowMillis }
    }
}

private class LeavingNotice(val bornEpochMillis: Long?, val receivedAtMillis: Long)

private class QuietNotice(val bornEpochMillis: Long?, val untilMillis: Long)
