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
 * A final answer of this system's own.
 *
 * @property reason name of the reason in the body, the logs and the metrics.
 * @property outcome what is known of the request's effect.
 * @property retryAfterMillis when to come back, or `null` if that makes no sense.
 */
internal sealed class EntryRefusal(
    val statusCode: Int,
    val reason: String,
    val outcome: RequestOutcome,
    val retryAfterMillis: Long?,
) {
    /** No route has the request's host and path. */
    data object NoRoute : EntryRefusal(404, "no_route", RequestOutcome.NOT_RUN, null)

    /** The key is of no member. */
    data object UnknownKey : EntryRefusal(401, "unknown_key", RequestOutcome.NOT_RUN, null)

    /** The member has used up its limit. */
    class OverLimit(retryAfterMillis: Long) :
        EntryRefusal(429, "over_limit", RequestOutcome.NOT_RUN, retryAfterMillis)

    /** The request can't be served now and has not run. */
    class Unavailable(reason: String, retryAfterMillis: Long) :
        EntryRefusal(503, reason, RequestOutcome.NOT_RUN, retryAfterMillis)

    /** The request was given up after it may have run. */
    class Failed(statusCode: Int, reason: String, outcome: RequestOutcome) :
        EntryRefusal(statusCode, reason, outcome, null)

    /** Makes refusals from what other parts say. */
    companion object {
        /** Returns the refusal of a VM that does not know yet what it serves. */
        fun notReady(retryAfterMillis: Long): EntryRefusal = Unavailable("not_ready", retryAfterMillis)

        /** Returns the answer for [refusal] of the delivery rules; 503 is said only if nothing has run. */
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

/** Answers with [refusal] to the caller's attempt [attemptId]. */
internal fun CallerExchange.answerRefusal(refusal: EntryRefusal, attemptId: String?) {
    val headers = DefaultHttpHeaders()
    headers.set(HttpHeaderNames.CONTENT_TYPE, "application/json")
    addRefusalHeaders(headers, attemptId, refusal.retryAfterMillis)
    val body = """{"error":{"reason":"${refusal.reason}","outcome":"${refusal.outcome.wireName}"}}"""
    answer(refusal.statusCode, headers, textBuffer(body))
}
