package org.banyanturn.core.routing

import org.banyanturn.core.TargetId

/**
 * A notice of a target about further requests, sent with one of its answers.
 *
 * @property isLeaving whether the target is about to stop; takes precedence over the platform's list and load reports.
 * @property quietMillis time for which this VM must not send requests to the target, in milliseconds, or `null` if
 * there is no such restriction.
 */
public data class TargetNotice(val isLeaving: Boolean, val quietMillis: Long?)

/**
 * Settings of [TargetNoticeTracker].
 *
 * @property maxQuietMillis upper bound of the time without requests that a target can demand, in milliseconds.
 * @property leavingRetentionMillis minimum time for which the notice of a leaving target is kept, in milliseconds,
 * unless a new incarnation of the target is listed.
 */
public data class TargetNoticeSettings(val maxQuietMillis: Long = 300_000, val leavingRetentionMillis: Long = 600_000)

/**
 * Tracks the notices of targets about further requests from this VM. Not thread-safe.
 *
 * Load patterns: a target that is about to stop goes on answering while the platform's list still shows it as ready, or
 * while the list cannot be read. A full target demands a pause from its callers; further requests would only keep it
 * busy with refusals. A notice applies to one incarnation of a target and not to a later one with the same id.
 */
public class TargetNoticeTracker(private val settings: TargetNoticeSettings = TargetNoticeSettings()) {
    private val leavingNotices = HashMap<TargetId, LeavingNotice>()
    private val quietNotices = HashMap<TargetId, QuietNotice>()

    /**
     * Records [notice] of the target [targetId] and returns whether it changes whether the target may get requests.
     *
     * @param bornEpochMillis start time of the target's incarnation as listed, or `null` if the list does not have it.
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

    /** Returns whether the incarnation [bornEpochMillis] of the target [targetId] has announced that it will stop. */
    public fun isLeaving(targetId: TargetId, bornEpochMillis: Long?): Boolean =
        leavingNotices[targetId]?.let { it.bornEpochMillis == bornEpochMillis } ?: false

    /**
     * Returns the time for which no requests may be sent to the incarnation [bornEpochMillis] of the target [targetId],
     * in milliseconds, or 0 if it accepts requests.
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
