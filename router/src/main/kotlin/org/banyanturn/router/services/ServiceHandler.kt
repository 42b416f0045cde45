package org.banyanturn.router.services

import com.github.michaelbull.result.Err
import com.github.michaelbull.result.Ok
import com.github.michaelbull.result.Result
import com.github.michaelbull.result.getOrElse
import io.ktor.http.ContentType
import io.ktor.http.HttpHeaders
import io.ktor.http.HttpStatusCode
import io.ktor.server.application.ApplicationCall
import io.ktor.server.request.header
import io.ktor.server.request.httpMethod
import io.ktor.server.request.uri
import io.ktor.server.response.header
import io.ktor.server.response.respondBytes
import io.ktor.server.response.respondText
import io.ktor.util.flattenEntries
import org.banyanturn.core.MemberId
import org.banyanturn.core.RouteName
import org.banyanturn.core.delivery.DeliveryRequest
import org.banyanturn.core.delivery.IdempotencyKey
import org.banyanturn.core.delivery.RequestId
import org.banyanturn.core.delivery.StoredOutcome
import org.banyanturn.core.delivery.requestFingerprint
import org.banyanturn.core.isIdentifier
import org.banyanturn.core.state.FleetState
import org.banyanturn.core.state.Route
import org.banyanturn.daemon.traces.TRACE_PARENT
import org.banyanturn.daemon.traces.traceParent
import org.banyanturn.platform.HttpHeader
import org.banyanturn.platform.ServiceResponse
import org.banyanturn.router.RequestContext
import org.banyanturn.router.RequestSettings
import org.banyanturn.router.access.AccessControl
import org.banyanturn.router.access.LiveKey
import org.banyanturn.router.delivery.CallerOutput
import org.banyanturn.router.delivery.Deliveries
import org.banyanturn.router.delivery.toHttp
import org.banyanturn.router.http.IDEMPOTENCY_KEY_HEADER
import org.banyanturn.router.http.Refusal
import org.banyanturn.router.http.RefusalCode
import org.banyanturn.router.http.bodyBytes
import org.banyanturn.router.http.timeoutMillis
import org.banyanturn.router.rates.RateGate

private const val SERVICE_COST = 1.0

/** Header of an answer that was given before to a request with the same idempotency key. */
private const val REPLAY_HEADER = "Idempotent-Replayed"

/** Headers that belong to one connection or to the caller's access and are not passed on. */
private val privateHeaders = setOf(
    HttpHeaders.Authorization,
    HttpHeaders.ProxyAuthorization,
    HttpHeaders.Cookie,
    HttpHeaders.Host,
    HttpHeaders.Connection,
    HttpHeaders.ContentLength,
    HttpHeaders.TransferEncoding,
    HttpHeaders.Upgrade,
    HttpHeaders.TE,
    HttpHeaders.Trailer,
    "Keep-Alive",
    TRACE_PARENT,
).map(String::lowercase).toSet()

/** Answers the callers' requests to plain services. */
internal class ServiceHandler(
    private val access: AccessControl,
    private val rates: RateGate,
    private val deliveries: Deliveries,
    private val environment: ServiceEnvironment,
    private val settings: RequestSettings,
) {
    /** Answers [call] and returns `null`, or returns the refusal to answer it with. */
    suspend fun handle(call: ApplicationCall, context: RequestContext): Refusal? {
        val (key, serviceCall) = accept(call, context).getOrElse { return it }
        val request = serviceCall.toDeliveryRequest()
        val fingerprint = requestFingerprint(serviceCall.method, serviceCall.pathOfRoute(), serviceCall.body)
        val work = ServiceWork(serviceCall, request, fingerprint, environment)
        return deliveries.run(request, work, key?.keyId) { delivery ->
            when (val output = delivery.outputs.receive()) {
                is CallerOutput.Refused -> output.refusal.toHttp()

                is CallerOutput.Answered -> {
                    respond(call, work, output)
                    null
                }

                else -> error("a call to a service has no streamed answer")
            }
        }
    }

    private suspend fun respond(call: ApplicationCall, work: ServiceWork, output: CallerOutput.Answered) {
        val response = work.response
        if (output.isReplay || response == null) call.respondWith(output.answer) else call.respondWith(response)
    }

    private suspend fun accept(
        call: ApplicationCall,
        context: RequestContext,
    ): Result<AcceptedServiceCall, Refusal> {
        val route = environment.states().routeNamed(call.parameters["route"].orEmpty()).getOrElse { return Err(it) }
        val key = if (route.isOpen) null else access.check(call).getOrElse { return Err(it) }
        val timeoutMillis = call.timeoutMillis(settings).getOrElse { return Err(it) }
        val idempotencyKey = call.idempotencyKey(key?.memberId).getOrElse { return Err(it) }
        val body = call.bodyBytes(settings).getOrElse { return Err(it) }
        if (key != null) rates.spend(key.memberId, SERVICE_COST).getOrElse { return Err(it) }
        val serviceCall = ServiceCall(
            requestId = context.requestId,
            memberId = key?.memberId,
            idempotencyKey = idempotencyKey,
            route = route,
            method = call.request.httpMethod.value,
            path = call.pathBehind(route),
            headers = call.forwardedHeaders(),
            body = body,
            deadlineMillis = context.arrivedMillis + timeoutMillis,
            traceParent = context.span.traceParent(),
        )
        return Ok(AcceptedServiceCall(key, serviceCall))
    }
}

private data class AcceptedServiceCall(val key: LiveKey?, val call: ServiceCall)

private fun ServiceCall.toDeliveryRequest(): DeliveryRequest =
    DeliveryRequest(
        requestId = RequestId(requestId),
        memberId = memberId,
        isIdempotent = isIdempotent,
        idempotencyKey = idempotencyKey,
        deadlineMillis = deadlineMillis,
    )

private fun ServiceCall.pathOfRoute(): String = "${route.routeName}$path"

/** Returns the idempotency key of this call, if it has one, or the refusal of a bad one. */
private fun ApplicationCall.idempotencyKey(memberId: MemberId?): Result<IdempotencyKey?, Refusal> {
    val value = request.header(IDEMPOTENCY_KEY_HEADER) ?: return Ok(null)
    if (memberId == null) return Ok(null)
    if (value.length in 1..IdempotencyKey.MAX_KEY_LENGTH) return Ok(IdempotencyKey(memberId, value))
    val message = "$IDEMPOTENCY_KEY_HEADER: expected 1 to ${IdempotencyKey.MAX_KEY_LENGTH} characters"
    return Err(Refusal(RefusalCode.INVALID_REQUEST, message, field = IDEMPOTENCY_KEY_HEADER))
}

private fun FleetState.routeNamed(name: String): Result<Route, Refusal> {
    val route = if (isIdentifier(name)) routes[RouteName(name)] else null
    if (route != null) return Ok(route)
    return Err(Refusal(RefusalCode.UNKNOWN_ROUTE, "no route '$name' is declared", field = "path"))
}

private fun ApplicationCall.pathBehind(route: Route): String {
    val rest = request.uri.removePrefix("/services/${route.routeName}")
    return if (rest.startsWith('/')) rest else "/$rest"
}

private fun ApplicationCall.forwardedHeaders(): List<HttpHeader> =
    request.headers.flattenEntries()
        .filterNot { (name, _) -> name.lowercase() in privateHeaders }
        .map { (name, value) -> HttpHeader(name, value) }

private suspend fun ApplicationCall.respondWith(answer: ServiceResponse) {
    val contentType = answer.headers.firstOrNull { it.name.equals(HttpHeaders.ContentType, ignoreCase = true) }
    answer.headers
        .filterNot { it.name.lowercase() in privateHeaders || it === contentType }
        .forEach { response.header(it.name, it.value) }
    val type = contentType?.let { ContentType.parse(it.value) }
    respondBytes(answer.body, type, HttpStatusCode.fromValue(answer.statusCode))
}

private suspend fun ApplicationCall.respondWith(answer: StoredOutcome) {
    response.header(REPLAY_HEADER, "true")
    val type = answer.contentType?.let(ContentType::parse)
    respondText(answer.body.orEmpty(), type, HttpStatusCode.fromValue(answer.statusCode))
}
