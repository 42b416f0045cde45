package org.banyanturn.core.routing

/** Default age, in milliseconds, after which a load report is used for its batch size only. */
public const val DEFAULT_MAX_REPORT_AGE_MILLIS: Long = 10_000L

/**
 * An estimate of a target's load from its latest report and from the requests of this router. Immutable.
 *
 * @property asOfMillis time at which the figures of the report were taken.
 * @property sentMillis send times of this router's running requests, by attempt id.
 * @property endedMillis end times of those of this router's requests that the report counts and that have ended since.
 */
public class TargetLoad internal constructor(
    private val reportedRequests: Int,
    private val batchSlots: Int,
    private val asOfMillis: Long,
    private val sentMillis: Map<String, Long>,
    private val endedMillis: List<Long>,
    private val maxReportAgeMillis: Long,
) {
    /** Returns the load after a report whose figures were taken at [asOfMillis]; an outdated report is ignored. */
    public fun reported(running: Int, waiting: Int, batchSlots: Int, asOfMillis: Long): TargetLoad {
        if (asOfMillis < this.asOfMillis) return this
        val ended = endedMillis.filter { it > asOfMillis }
        return TargetLoad(running + waiting, batchSlots, asOfMillis, sentMillis, ended, maxReportAgeMillis)
    }

    /** Returns the load after this router sent the request [attemptId]. */
    public fun sent(attemptId: String, nowMillis: Long): TargetLoad =
        TargetLoad(
            reportedRequests,
            batchSlots,
            asOfMillis,
            sentMillis + (attemptId to nowMillis),
            endedMillis,
            maxReportAgeMillis,
        )

    /** Returns the load after the request [attemptId] of this router ended; if the report counts it, it is deducted. */
    public fun ended(attemptId: String, nowMillis: Long): TargetLoad {
        val sent = sentMillis[attemptId] ?: return this
        val ended = if (sent <= asOfMillis) endedMillis + nowMillis else endedMillis
        return TargetLoad(reportedRequests, batchSlots, asOfMillis, sentMillis - attemptId, ended, maxReportAgeMillis)
    }

    /** Returns the estimated number of requests that run or wait at the target at [nowMillis]. */
    public fun requestsAt(nowMillis: Long): Int {
        if (nowMillis - asOfMillis > maxReportAgeMillis) return sentMillis.size
        val sentSince = sentMillis.values.count { it > asOfMillis }
        return maxOf(sentMillis.size, reportedRequests - endedMillis.size + sentSince)
    }

    /**
     * Returns the number of requests that the target could add to its batch immediately; if it is less than 0, its
     * absolute value is the length of the target's queue.
     */
    public fun freeBatchSlotsAt(nowMillis: Long): Int = batchSlots - requestsAt(nowMillis)
}

/**
 * Returns the load of a target with [batchSlots] that has not reported yet.
 *
 * @param maxReportAgeMillis age after which the load figures of a report are ignored, in milliseconds; about the
 * duration of the requests at the target.
 */
public fun targetLoadOf(batchSlots: Int, maxReportAgeMillis: Long = DEFAULT_MAX_REPORT_AGE_MILLIS): TargetLoad =
    TargetLoad(0, batchSlots, Long.MIN_VALUE / 2, emptyMap(), emptyList(), maxReportAgeMillis)
