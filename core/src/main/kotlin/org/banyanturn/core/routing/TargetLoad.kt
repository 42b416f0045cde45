package org.banyanturn.core.routing

/** The longest report lag that is believed if nothing else is said; an older report only tells the batch size. */
public const val DEFAULT_MAX_REPORT_AGE_MILLIS: Long = 10_000L

/**
 * A target's load as this router estimates it: the last report, and what the router itself has sent and seen end.
 *
 * @property asOfMillis the moment that the report's figures stand for.
 * @property sentMillis when each of this router's running requests was sent.
 */
public class TargetLoad internal constructor(
    private val reportedRequests: Int,
    private val batchSlots: Int,
    private val asOfMillis: Long,
    private val sentMillis: Map<String, Long>,
    private val endedMillis: List<Long>,
    private val maxReportAgeMillis: Long,
) {
    /** Returns the load after a report whose figures stand for [asOfMillis]; one older than the last is ignored. */
    public fun reported(running: Int, waiting: Int, batchSlots: Int, asOfMillis: Long): TargetLoad {
        if (asOfMillis < this.asOfMillis) return this
        val ended = endedMillis.filter { it > asOfMillis }
        return TargetLoad(running + waiting, batchSlots, asOfMillis, sentMillis, ended, maxReportAgeMillis)
    }

    /** Returns the load after this router sent request [attemptId]. */
    public fun sent(attemptId: String, nowMillis: Long): TargetLoad =
        TargetLoad(
            reportedRequests,
            batchSlots,
            asOfMillis,
            sentMillis + (attemptId to nowMillis),
            endedMillis,
            maxReportAgeMillis,
        )

    /** Returns the load after request [attemptId] of this router ended; one that the report counts is taken off. */
    public fun ended(attemptId: String, nowMillis: Long): TargetLoad {
        val sent = sentMillis[attemptId] ?: return this
        val ended = if (sent <= asOfMillis) endedMillis + nowMillis else endedMillis
        return TargetLoad(reportedRequests, batchSlots, asOfMillis, sentMillis - attemptId, ended, maxReportAgeMillis)
    }

    /** Returns how many requests the target is taken to have at [nowMillis]. */
    public fun requestsAt(nowMillis: Long): Int {
        if (nowMillis - asOfMillis > maxReportAgeMillis) return sentMillis.size
        val sentSince = sentMillis.values.count { it > asOfMillis }
        return maxOf(sentMillis.size, reportedRequests - endedMillis.size + sentSince)
    }

    /** Returns how many requests the target could add to its batch at once; less than 0 is the length of its queue. */
    public fun freeBatchSlotsAt(nowMillis: Long): Int = batchSlots - requestsAt(nowMillis)
}

/**
 * Returns the load of a target with [batchSlots] that has not reported yet.
 *
 * @param maxReportAgeMillis how long a report is believed; about as long as the requests at the target last.
 */
public fun targetLoadOf(batchSlots: Int, maxReportAgeMillis: Long = DEFAULT_MAX_REPORT_AGE_MILLIS): TargetLoad =
    TargetLoad(0, batchSlots, Long.MIN_VALUE / 2, emptyMap(), emptyList(), maxReportAgeMillis)
