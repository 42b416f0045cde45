package org.banyanturn.entry.observe

import io.github.oshai.kotlinlogging.KotlinLogging
import org.banyanturn.core.delivery.AttemptEvidence
import org.banyanturn.core.serving.TargetEntry
import org.banyanturn.daemon.ProcessClock
import org.banyanturn.daemon.logs.Event
import org.banyanturn.daemon.logs.LogField
import org.banyanturn.daemon.logs.event
import org.banyanturn.daemon.logs.field
import org.banyanturn.entry.requests.OwnRefusal

private val logger = KotlinLogging.logger("org.banyanturn.entry")

/** Lines a second beyond which lines are dropped and counted. */
private const val MAX_LINES_PER_SECOND = 400

private const val MILLIS_PER_SECOND = 1_000L

/** Writes one line for each decision that touches a request or a belief, at a bounded rate. */
internal class DecisionLog(private val clock: ProcessClock, private val metrics: EntryMetrics) {
    private var secondStartMillis = Long.MIN_VALUE
    private var linesInSecond = 0
    private var dropped = 0L

    fun refused(attemptId: String?, refusal: OwnRefusal, ageMillis: Long): Unit =
        write(
            Event.REQUEST_REFUSED,
            field("request", attemptId),
            field("status", refusal.statusCode),
            field("reason", refusal.reason),
            field("outcome", refusal.outcome.wireName),
            field("retryAfterMillis", refusal.retryAfterMillis),
            field("ageMillis", ageMillis),
        )

    fun waits(requestId: String, service: String, copy: String?, patienceMillis: Long): Unit =
        write(
            Event.REQUEST_WAITS,
            field("request", requestId),
            field("service", service),
            field("copy", copy),
            field("patienceMillis", patienceMillis),
        )

    fun notPlaced(requestId: String, reason: String, service: String, copy: String?): Unit =
        write(
            Event.REQUEST_NOT_PLACED,
            field("request", requestId),
            field("reason", reason),
            field("service", service),
            field("copy", copy),
        )

    fun sent(requestId: String, attemptId: String, target: TargetEntry, estimatedRequests: Int, ageMillis: Long): Unit =
        write(
            Event.ATTEMPT_SENT,
            field("request", requestId),
            field("attempt", attemptId),
            field("target", target.targetId),
            field("zone", target.zoneId),
            field("estimatedRequests", estimatedRequests),
            field("ageMillis", ageMillis),
        )

    fun attemptFailed(
        attemptId: String,
        targetId: String,
        evidence: AttemptEvidence,
        reason: String,
        elapsedMillis: Long,
    ): Unit =
        write(
            Event.ATTEMPT_FAILED,
            field("attempt", attemptId),
            field("target", targetId),
            field("evidence", evidence.name.lowercase()),
            field("reason", reason),
            field("elapsedMillis", elapsedMillis),
        )

    fun answered(requestId: String, status: Int, ageMillis: Long, attempts: Int): Unit =
        write(
            Event.REQUEST_ANSWERED,
            field("request", requestId),
            field("status", status),
            field("ageMillis", ageMillis),
            field("attempts", attempts),
        )

    fun aborted(requestId: String, reason: String, ageMillis: Long): Unit =
        write(
            Event.STREAM_ABORTED,
            field("request", requestId),
            field("reason", reason),
            field("ageMillis", ageMillis),
        )

    fun callerGone(requestId: String, ageMillis: Long): Unit =
        write(Event.CALLER_GONE, field("request", requestId), field("ageMillis", ageMillis))

    /** Writes [event], or counts it as dropped if this second had too many lines. */
    fun write(event: Event, vararg fields: LogField) {
        val nowMillis = clock.nowMillis()
        if (nowMillis - secondStartMillis >= MILLIS_PER_SECOND) startSecond(nowMillis)
        linesInSecond++
        if (linesInSecond > MAX_LINES_PER_SECOND) {
            dropped++
            metrics.droppedLogLines.inc()
            return
        }
        logger.event(event, *fields)
    }

    private fun startSecond(nowMillis: Long) {
        secondStartMillis = nowMillis
        linesInSecond = 0
        if (dropped > 0) logger.event(Event.LINES_DROPPED, field("lines", dropped))
        dropped = 0
    }
}
