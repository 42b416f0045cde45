package org.banyanturn.entry.observe

import org.banyanturn.core.delivery.AttemptEvidence
import org.banyanturn.core.serving.TargetEntry
import org.banyanturn.daemon.ProcessClock
import org.banyanturn.daemon.logs.Event
import org.banyanturn.daemon.logs.LogField
import org.banyanturn.daemon.logs.field
import org.banyanturn.entry.requests.EntryRefusal

/**
 * The decisions on one request, a line each.
 *
 * They are kept until the request ends: lines of requests that failed, were refused, waited or were sent more than once
 * are all written, and of the others a sample.
 */
internal class RequestDecisionLog(
    private val requestId: String,
    private val log: DecisionLog,
    private val clock: ProcessClock,
) {
    private val startMillis = clock.nowMillis()
    private val lines = ArrayList<DecisionLine>(TYPICAL_LINES)
    private var isRoutine = true

    /** Notes [refusal], with the [inputs] that decided it. */
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

    /** Notes that an attempt left for [target], after it had waited [turnMillis] for its turn. */
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

    fun aborted(reason: String): Unit = addNotable(Event.STREAM_ABORTED, field("reason", reason))

    fun callerGone(): Unit = addNotable(Event.CALLER_GONE)

    /** Notes the target's answer with [status], which is calm if the request was sent once and was no failure. */
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

    /** Writes the lines of a request that has ended; called once. */
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
