package org.banyanturn.router.services

import com.github.michaelbull.result.mapBoth
import io.github.oshai.kotlinlogging.KotlinLogging
import io.ktor.http.HttpHeaders
import io.opentelemetry.api.trace.SpanKind
import io.opentelemetry.api.trace.Tracer
import org.banyanturn.core.Incarnation
import org.banyanturn.core.TargetId
import org.banyanturn.core.ZoneId
import org.banyanturn.core.delivery.DeliveryRequest
import org.banyanturn.core.delivery.IdempotencyKey
import org.banyanturn.core.delivery.IdempotencyRecord
import org.banyanturn.core.delivery.OutcomeResult
import org.banyanturn.core.delivery.RequestDecision
import org.banyanturn.core.delivery.RequestEvent
import org.banyanturn.core.delivery.RequestFingerprint
import org.banyanturn.core.delivery.ReservationResult
import org.banyanturn.core.delivery.StoredOutcome
import org.banyanturn.core.delivery.requestFingerprint
import org.banyanturn.core.state.FleetState
import org.banyanturn.core.state.Target
import org.banyanturn.daemon.ProcessClock
import org.banyanturn.daemon.logs.Event
import org.banyanturn.daemon.logs.event
import org.banyanturn.daemon.logs.field
import org.banyanturn.daemon.traces.TRACE_PARENT
import org.banyanturn.daemon.traces.inSpan
import org.banyanturn.daemon.traces.traceParent
import org.banyanturn.platform.HttpHeader
import org.banyanturn.platform.ServiceRequest
import org.banyanturn.platform.ServiceResponse
import org.banyanturn.router.TargetClients
import org.banyanturn.router.delivery.IdempotencyStore
import org.banyanturn.router.delivery.RequestWork
import org.banyanturn.router.delivery.evidence
import org.banyanturn.router.delivery.isRetryable

private const val NO_TARGET_RETRY_MILLIS = 1_000L
private const val MIN_ATTEMPT_MILLIS = 1L

private val logger = KotlinLogging.logger {}

/** What calls to plain services need from the router. */
internal class ServiceEnvironment(
    val incarnation: Incarnation,
    val zoneId: ZoneId,
    val states: () -> FleetState,
    val clients: TargetClients,
    val store: IdempotencyStore,
    val clock: ProcessClock,
    val tracer: Tracer,
)

/** Carries out one call to a plain service. */
internal class ServiceWork(
    private val call: ServiceCall,
    private val request: DeliveryRequest,
    private val fingerprint: RequestFingerprint,
    private val environment: ServiceEnvironment,
) : RequestWork {
    /** The target's answer, once there is one. */
    @Volatile
    var response: ServiceResponse? = null
        private set

    override suspend fun chooseTarget(avoided: Set<TargetId>): RequestEvent {
        val targets = environment.states().targets
        val best = call.route.targetIds
            .mapNotNull(targets::get)
            .filterNot(Target::isDraining)
            .minWithOrNull(compareBy({ it.targetId in avoided }, { it.zoneId != environment.zoneId }))
        return if (best ==
            null
        ) {
            RequestEvent.NoTarget(NO_TARGET_RETRY_MILLIS)
        } else {
            RequestEvent.TargetChosen(best.targetId)
        }
    }

    override suspend fun attempt(decision: RequestDecision.SendAttempt, report: (RequestEvent) -> Unit) {
        val target = environment.states().targets.getValue(decision.targetId)
        environment.tracer.inSpan("target ${target.targetId}", SpanKind.CLIENT, call.traceParent) { span ->
            val remainingMillis = call.deadlineMillis - environment.clock.nowMillis()
            val headers = call.headers + HttpHeader(TRACE_PARENT, span.traceParent())
            val timeoutMillis = remainingMillis.coerceAtLeast(MIN_ATTEMPT_MILLIS)
            val wire = ServiceRequest(call.method, call.path, headers, call.body, timeoutMillis)
            environment.clients.service(target.address).call(wire).mapBoth(
                success = { answer ->
                    response = answer
                    report(RequestEvent.AttemptAnswered(decision.attemptId, answer.toStored()))
                },
                failure = { error ->
                    logger.event(
                        Event.ATTEMPT_FAILED,
                        field("targetId", target.targetId),
                        field("error", error.message),
                    )
                    report(RequestEvent.AttemptFailed(decision.attemptId, error.evidence, error.isRetryable))
                },
            )
        }
    }

    override suspend fun reserve(): ReservationResult {
        val record = IdempotencyRecord.Reserve(key(), request.requestId, fingerprint, environment.incarnation)
        return environment.store.reserve(record, request.deadlineMillis)
    }

    override suspend fun awaitOutcome(): RequestEvent = environment.store.awaitOutcome(key())

    override fun record(result: OutcomeResult) {
        environment.store.record(IdempotencyRecord.Outcome(key(), request.requestId, result))
    }

    private fun key(): IdempotencyKey = checkNotNull(request.idempotencyKey) { "the request has no idempotency key" }
}

private fun ServiceResponse.toStored(): StoredOutcome {
    val text = body.decodeToString()
    val isText = text.encodeToByteArray().contentEquals(body)
    return StoredOutcome(
        statusCode = statusCode,
        body = text.takeIf { isText },
        bodyDigest = requestFingerprint("", "", body).value,
        contentType = headers.firstOrNull { it.name.equals(HttpHeaders.ContentType, ignoreCase = true) }?.value,
    )
}
