package org.banyanturn.entry.requests

import io.netty.handler.codec.http.DefaultHttpHeaders
import io.netty.handler.codec.http.HttpHeaderNames
import org.banyanturn.core.delivery.Refusal
import org.banyanturn.core.delivery.RefusalReason
import org.banyanturn.core.delivery.RequestOutcome
import org.banyanturn.core.delivery.statusCode
import org.banyanturn.entry.http.CallerExchange
import org.banyanturn.entry.http.textBuffer
import org.banyanturn.platform.hosted.addRefusalHeaders

/**
 * Represents a final error response that the entry VM generates itself.
 *
 * @property reason name of the reason in the response body, the logs and the metrics.
 * @property outcome what is known about the execution of the request.
 * @property retryAfterMillis when the caller may retry, or `null` if a retry can't succeed.
 */
internal sealed class EntryRefusal(
    val statusCode: Int,
    val reason: String,
    val outcome: RequestOutcome,
    val retryAfterMillis: Long?,
) {
    /** No route matches the request's host and path. */
    data object NoRoute : EntryRefusal(404, "no_route", RequestOutcome.NOT_RUN, null)

    /** The key belongs to no member. */
    data object UnknownKey : EntryRefusal(401, "unknown_key", RequestOutcome.NOT_RUN, null)

    /** No engine's memory can hold the request, so that a retry can't succeed. */
    data object TooLarge : EntryRefusal(413, "too_large", RequestOutcome.NOT_RUN, null)

    /** The member has exhausted its limit. */
    class OverLimit(retryAfterMillis: Long) :
        EntryRefusal(429, "over_limit", RequestOutcome.NOT_RUN, retryAfterMillis)

    /** The request can't be served at present and has not run. */
    class Unavailable(reason: String, retryAfterMillis: Long) :
        EntryRefusal(503, reason, RequestOutcome.NOT_RUN, retryAfterMillis)

    /** The request failed after it may have run. */
    class Failed(statusCode: Int, reason: String, outcome: RequestOutcome) :
        EntryRefusal(statusCode, reason, outcome, null)

    /** Creates refusals. */
    companion object {
        /** Returns the refusal of a VM that has not yet read the catalog and the list of targets. */
        fun notReady(retryAfterMillis: Long): EntryRefusal = Unavailable("not_ready", retryAfterMillis)

        /** Returns the response for [refusal] of the delivery rules; status 503 is used only if nothing has run. */
        fun of(refusal: Refusal): EntryRefusal {
            val reason = refusal.reason.reasonName()
            if (refusal.outcome == RequestOutcome.NOT_RUN) return Unavailable(reason, refusal.retryAfterMillis)
            val code = refusal.statusCode().takeUnless { it == STATUS_UNAVAILABLE } ?: STATUS_BAD_GATEWAY
            val isDeadline = refusal.reason == RefusalReason.DEADLINE
            return Failed(if (isDeadline) STATUS_GATEWAY_TIMEOUT else code, reason, refusal.outcome)
        }
    }
}

private const val STATUS_BAD_GATEWAY = 502
private const val STATUS_UNAVAILABLE = 503
private const val STATUS_GATEWAY_TIMEOUT = 504

/** Responds with [refusal] to the caller's attempt [attemptId]. */
internal fun CallerExchange.respondWithRefusal(refusal: EntryRefusal, attemptId: String?) {
    val headers = DefaultHttpHeaders()
    headers.set(HttpHeaderNames.CONTENT_TYPE, "application/json")
    addRefusalHeaders(headers, attemptId, refusal.retryAfterMillis)
    val body = """{"error":{"reason":"${refusal.reason}","outcome":"${refusal.outcome.wireName}"}}"""
    answer(refusal.statusCode, headers, textBuffer(body))
}
