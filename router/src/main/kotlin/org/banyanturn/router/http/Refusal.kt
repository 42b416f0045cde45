package org.banyanturn.router.http

import io.ktor.http.ContentType
import io.ktor.http.HttpHeaders
import io.ktor.http.HttpStatusCode
import io.ktor.server.application.ApplicationCall
import io.ktor.server.response.header
import io.ktor.server.response.respondText
import kotlinx.serialization.Serializable
import kotlinx.serialization.json.Json
import org.banyanturn.core.delivery.RequestOutcome

private const val MILLIS_PER_SECOND = 1_000L

/** Why a request is refused, as programs read it. */
internal enum class RefusalCode(val status: HttpStatusCode) {
    INVALID_REQUEST(HttpStatusCode.BadRequest),
    BODY_TOO_LARGE(HttpStatusCode.PayloadTooLarge),
    INVALID_KEY(HttpStatusCode.Unauthorized),
    UNKNOWN_MODEL(HttpStatusCode.NotFound),
    UNKNOWN_ROUTE(HttpStatusCode.NotFound),
    IDEMPOTENCY_MISMATCH(HttpStatusCode.UnprocessableEntity),
    RATE_LIMITED(HttpStatusCode.TooManyRequests),
    NOT_IN_TIME(HttpStatusCode.ServiceUnavailable),
    NO_CAPACITY(HttpStatusCode.ServiceUnavailable),
    STATE_TOO_OLD(HttpStatusCode.ServiceUnavailable),
    SHUTTING_DOWN(HttpStatusCode.ServiceUnavailable),
    RECORD_UNAVAILABLE(HttpStatusCode.ServiceUnavailable),
    TARGET_FAILED(HttpStatusCode.BadGateway),
    TARGET_REFUSED(HttpStatusCode.BadGateway),
    ANSWER_NOT_KEPT(HttpStatusCode.Conflict),
    CRASHES_TARGETS(HttpStatusCode.UnprocessableEntity),
    OUTCOME_UNKNOWN(HttpStatusCode.Conflict),
    INTERNAL(HttpStatusCode.InternalServerError),
    ;

    /** The code in the error body, such as `rate_limited`. */
    val text: String get() = name.lowercase()
}

/**
 * The final answer to a request that is not served.
 *
 * @property field the header or field of the body that is wrong, if one is.
 * @property retryAfterMillis when a repeat may succeed, or `null` if a repeat won't.
 */
internal data class Refusal(
    val code: RefusalCode,
    val message: String,
    val outcome: RequestOutcome = RequestOutcome.NOT_RUN,
    val field: String? = null,
    val retryAfterMillis: Long? = null,
)

@Serializable
private data class ErrorBody(val error: ErrorDetail)

@Serializable
private data class ErrorDetail(
    val code: String,
    val message: String,
    val outcome: RequestOutcome,
    val requestId: String,
    val field: String? = null,
    val retryAfterMillis: Long? = null,
)

/** Returns the JSON error body for this refusal. */
internal fun Refusal.toJson(requestId: String): String {
    val detail = ErrorDetail(code.text, message, outcome, requestId, field, retryAfterMillis)
    return Json.encodeToString(ErrorBody.serializer(), ErrorBody(detail))
}

/** Answers this call with [refusal] and when to come back. */
internal suspend fun ApplicationCall.respondRefusal(refusal: Refusal, requestId: String) {
    refusal.retryAfterMillis?.let { millis ->
        val seconds = (millis + MILLIS_PER_SECOND - 1) / MILLIS_PER_SECOND
        response.header(HttpHeaders.RetryAfter, seconds.coerceAtLeast(1).toString())
    }
    respondText(refusal.toJson(requestId), ContentType.Application.Json, refusal.code.status)
}
