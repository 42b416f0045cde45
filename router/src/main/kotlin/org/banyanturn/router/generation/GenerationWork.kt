package org.banyanturn.router.generation

import com.github.michaelbull.result.mapBoth
import io.github.oshai.kotlinlogging.KotlinLogging
import io.opentelemetry.api.trace.SpanKind
import io.opentelemetry.api.trace.Tracer
import org.banyanturn.core.TargetId
import org.banyanturn.core.delivery.AnswerChunk
import org.banyanturn.core.delivery.AttemptId
import org.banyanturn.core.delivery.RequestDecision
import org.banyanturn.core.delivery.RequestEvent
import org.banyanturn.core.state.FleetState
import org.banyanturn.daemon.ProcessClock
import org.banyanturn.daemon.logs.Event
import org.banyanturn.daemon.logs.event
import org.banyanturn.daemon.logs.field
import org.banyanturn.daemon.traces.inSpan
import org.banyanturn.daemon.traces.traceParent
import org.banyanturn.platform.GenerationEvent
import org.banyanturn.platform.GenerationRequest
import org.banyanturn.router.TargetClients
import org.banyanturn.router.delivery.RequestWork
import org.banyanturn.router.delivery.evidence
import org.banyanturn.router.delivery.isRetryable
import org.banyanturn.router.http.Refusal

private const val INTERACTIVE_PRIORITY = 1
private const val NO_COPY_RETRY_MILLIS = 1_000L

private val logger = KotlinLogging.logger {}

/** What generations need from the router. */
internal class GenerationEnvironment(
    val states: () -> FleetState,
    val copies: CopySource,
    val clients: TargetClients,
    val clock: ProcessClock,
    val tracer: Tracer,
)

/** Carries out one generation. */
internal class GenerationWork(
    private val call: GenerationCall,
    private val environment: GenerationEnvironment,
) : RequestWork {
    /** Why no engine could be had, once that is so. */
    @Volatile
    var refusal: Refusal? = null
        private set

    override suspend fun chooseTarget(avoided: Set<TargetId>): RequestEvent {
        val remainingMillis = call.deadlineMillis - environment.clock.nowMillis()
        return environment.copies.engineFor(call, avoided, remainingMillis).mapBoth(
            success = { RequestEvent.TargetChosen(it.targetId) },
            failure = {
                refusal = it
                RequestEvent.NoTarget(it.retryAfterMillis ?: NO_COPY_RETRY_MILLIS)
            },
        )
    }

    override suspend fun attempt(decision: RequestDecision.SendAttempt, report: (RequestEvent) -> Unit) {
        val target = environment.states().targets.getValue(decision.targetId)
        environment.copies.onAttemptStarted(target.targetId)
        try {
            environment.tracer.inSpan("target ${target.targetId}", SpanKind.CLIENT, call.traceParent) { span ->
                val request = decision.toRequest(span.traceParent())
                environment.clients.engine(target.address).generate(request).collect { event ->
                    report(event.toRequestEvent(decision))
                }
            }
        } finally {
            environment.copies.onAttemptEnded(target.targetId)
        }
    }

    private fun RequestDecision.SendAttempt.toRequest(traceParent: String): GenerationRequest =
        GenerationRequest(
            attemptId = attemptId.value,
            path = call.path,
            unit = call.unit,
            bodyJson = call.bodyJson,
            priority = INTERACTIVE_PRIORITY,
            resumeAtToken = resumeAtToken,
            traceParent = traceParent,
        )

    private fun GenerationEvent.toRequestEvent(decision: RequestDecision.SendAttempt): RequestEvent =
        when (this) {
            is GenerationEvent.Token ->
                RequestEvent.ChunkReceived(AnswerChunk.Token(AttemptId(attemptId), index, text))

            is GenerationEvent.Finished ->
                RequestEvent.ChunkReceived(AnswerChunk.Finished(AttemptId(attemptId), tokenCount, finishReason))

            is GenerationEvent.Failed -> {
                logger.event(
                    Event.ATTEMPT_FAILED,
                    field("targetId", decision.targetId),
                    field("error", error.message),
                )
                RequestEvent.AttemptFailed(decision.attemptId, error.evidence, error.isRetryable)
            }
        }
}
