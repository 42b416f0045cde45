package org.banyanturn.entry.observe

import org.banyanturn.core.delivery.AttemptEvidence
import org.banyanturn.core.serving.TargetEntry
import org.banyanturn.daemon.ProcessClock
import org.banyanturn.daemon.logs.Event
import org.banyanturn.daemon.logs.LogField
import org.banyanturn.daemon.logs.field
import org.banyanturn.entry.requests.EntryRefusal

/**
 * Records the decisions on one request, one line each.
 *
 * The lines are buffered until the request ends. They are written for every request that failed, was refused, waited or
 * was sent more than once, and for a sample of the others.
 */
internal class RequestDecisionLog(
    private val requestId: String,
    private val log: DecisionLog,
    private val clock: ProcessClock,
) {
    private val startMillis = clock.nowMillis()
    private val lines = ArrayList<DecisionLine>(TYPICAL_LINES)
    private var isRoutine = true

    /** Records [refusal] and the [inputs] that led to it. */
    fun refused(refusal: EntryRefusal, inputs: List<LogField> = emptyList()): Unit =
        addNotable(
            Event.REQUEST_REFUSED,
            listOf(
                field("status", refusal.statusCode),
                field("reason", refusal.reason),
                field("outcome", refusal.outcome.wireName),
                field("retryAfterMillis", refusal.retryAfterMillis),
            ) + inputs,
        )

    fun waits(service: String, copy: String?, maxWaitMillis: Long): Unit =
        addNotable(
            Event.REQUEST_WAITS,
            field("service", service),
            field("copy", copy),
            field("patienceMillis", maxWaitMillis),
        )

    fun notPlaced(reason: String, service: String, copy: String?): Unit =
        addNotable(Event.REQUEST_NOT_PLACED, field("reason", reason), field("service", service), field("copy", copy))

    /** Records that an attempt was sent to [target] after it had waited [turnMillis] for its turn. */
    fun sent(attemptId: String, target: TargetEntry, estimatedRequests: Int, turnMillis: Long): Unit =
        add(
            Event.ATTEMPT_SENT,
            field("attempt", attemptId),
            field("target", target.targetId),
            field("zone", target.zoneId),
            field("estimatedRequests", estimatedRequests),
            field("turnMillis", turnMillis),
        )

    fun attemptFailed(attemptId: String, targetId: String, evidence: AttemptEvidence, reason: String): Unit =
        addNotable(
            Event.ATTEMPT_FAILED,
            field("attempt", attemptId),
            field("target", targetId),
            field("evidence", evidence.name.lowercase()),
            field("reason", reason),
        )

    /** Records that the response of [targetId] ended with its connection after [events] complete events of a stream. */
    fun endedByClose(attemptId: String, targetId: String, events: Int, partialBytes: Int): Unit =
        addNotable(
            Event.RESPONSE_ENDED_BY_CLOSE,
            field("attempt", attemptId),
            field("target", targetId),
            field("events", events),
            field("partialBytes", partialBytes),
        )

    fun aborted(reason: String): Unit = addNotable(Event.STREAM_ABORTED, field("reason", reason))

    fun callerGone(): Unit = addNotable(Event.CALLER_GONE)

    /** Records the target's response; a request that was sent once without a server error remains routine. */
    fun answered(status: Int, attempts: Int) {
        if (attempts > 1 || status >= FIRST_SERVER_ERROR) isRoutine = false
        add(Event.REQUEST_ANSWERED, field("status", status), field("attempts", attempts))
    }

    private fun addNotable(event: Event, vararg fields: LogField): Unit = addNotable(event, fields.asList())

    private fun addNotable(event: Event, fields: List<LogField>) {
        isRoutine = false
        add(event, fields)
    }

    private fun add(event: Event, vararg fields: LogField): Unit = add(event, fields.asList())

    private fun add(event: Event, fields: List<LogField>) {
        lines += DecisionLine(event, clock.nowMillis() - startMillis, fields)
    }

    /** Writes the lines of the request after it has ended; must be called once. */
    fun end() {
        if (isRoutine && !log.isSampled()) return
        lines.forEach { line ->
            log.write(line.event, listOf(field("request", requestId), field("ageMillis", line.ageMillis)) + line.fields)
        }
    }

    private companion object {
        const val TYPICAL_LINES = 2
        const val FIRST_SERVER_ERROR = 500
    }
}

private class DecisionLine(val event: Event, val ageMillis: Long, val fields: List<LogField>)
