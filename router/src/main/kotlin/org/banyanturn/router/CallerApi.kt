package org.banyanturn.router

import io.github.oshai.kotlinlogging.KotlinLogging
import io.ktor.server.application.Application
import io.ktor.server.application.ApplicationCall
import io.ktor.server.request.header
import io.ktor.server.request.path
import io.ktor.server.response.header
import io.ktor.server.routing.get
import io.ktor.server.routing.post
import io.ktor.server.routing.route
import io.ktor.server.routing.routing
import io.opentelemetry.api.trace.Span
import io.opentelemetry.api.trace.SpanKind
import io.opentelemetry.api.trace.Tracer
import kotlinx.coroutines.CancellationException
import org.banyanturn.core.delivery.RequestOutcome
import org.banyanturn.daemon.ProcessClock
import org.banyanturn.daemon.logs.Event
import org.banyanturn.daemon.logs.event
import org.banyanturn.daemon.logs.field
import org.banyanturn.daemon.traces.TRACE_PARENT
import org.banyanturn.daemon.traces.inSpan
import org.banyanturn.router.generation.CHAT_PATH
import org.banyanturn.router.generation.COMPLETION_PATH
import org.banyanturn.router.generation.GenerationHandler
import org.banyanturn.router.http.Refusal
import org.banyanturn.router.http.RefusalCode
import org.banyanturn.router.http.respondRefusal
import org.banyanturn.router.services.ServiceHandler
import java.util.UUID

private const val REQUEST_ID_HEADER = "X-Request-Id"
private const val DRAINING_RETRY_MILLIS = 1_000L

private val logger = KotlinLogging.logger {}

/** The identity of a request at this router. */
internal class RequestContext(val requestId: String, val arrivedMillis: Long, val span: Span)

/** Serves the callers' HTTP interface. */
internal class CallerApi(
    private val generation: GenerationHandler,
    private val services: ServiceHandler,
    private val requests: RunningRequests,
    private val metrics: RouterMetrics,
    private val tracer: Tracer,
    private val clock: ProcessClock,
) {
    /** Adds the callers' routes to [application]. */
    fun install(application: Application) {
        application.routing {
            post(CHAT_PATH) { serve(call, RequestKind.GENERATION) { generation.handle(call, CHAT_PATH, it) } }
            post(COMPLETION_PATH) {
                serve(call, RequestKind.GENERATION) { generation.handle(call, COMPLETION_PATH, it) }
            }
            get("/v1/models") { serve(call, RequestKind.GENERATION) { generation.handleModels(call) } }
            route("/services/{route}/{path...}") {
                handle { serve(call, RequestKind.SERVICE) { services.handle(call, it) } }
            }
        }
    }

    private suspend fun serve(
        call: ApplicationCall,
        kind: RequestKind,
        handler: suspend (RequestContext) -> Refusal?,
    ) {
        val requestId = UUID.randomUUID().toString()
        call.response.header(REQUEST_ID_HEADER, requestId)
        if (!requests.tryEnter()) return refuse(call, kind, requestId, draining)
        try {
            tracer.inSpan("caller ${call.request.path()}", SpanKind.SERVER, call.request.header(TRACE_PARENT)) { span ->
                run(call, kind, RequestContext(requestId, clock.nowMillis(), span), handler)
            }
        } finally {
            requests.leave()
        }
    }

    private suspend fun run(
        call: ApplicationCall,
        kind: RequestKind,
        context: RequestContext,
        handler: suspend (RequestContext) -> Refusal?,
    ) {
        try {
            val refusal = handler(context)
            if (refusal != null) return refuse(call, kind, context.requestId, refusal)
            val durationMillis = clock.nowMillis() - context.arrivedMillis
            metrics.onAnswered(kind, durationMillis)
        } catch (error: CancellationException) {
            logger.event(Event.CALLER_GONE, field("requestId", context.requestId))
            throw error
        } catch (error: Exception) {
            logger.event(Event.REQUEST_FAILED, field("requestId", context.requestId), cause = error)
            if (!call.response.isCommitted) refuse(call, kind, context.requestId, internalError)
        }
    }

    private suspend fun refuse(call: ApplicationCall, kind: RequestKind, requestId: String, refusal: Refusal) {
        metrics.onRefused(kind, refusal.code)
        logger.event(
            Event.REQUEST_REFUSED,
            field("requestId", requestId),
            field("code", refusal.code.text),
            field("outcome", refusal.outcome),
        )
        if (!call.response.isCommitted) call.respondRefusal(refusal, requestId)
    }
}

private val draining = Refusal(
    RefusalCode.SHUTTING_DOWN,
    "this VM is shutting down; another one serves",
    retryAfterMillis = DRAINING_RETRY_MILLIS,
)

private val internalError = Refusal(
    RefusalCode.INTERNAL,
    "the router failed",
    RequestOutcome.UNKNOWN,
)
