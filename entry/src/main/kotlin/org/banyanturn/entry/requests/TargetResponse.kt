package org.banyanturn.entry.requests

import io.netty.buffer.ByteBuf
import io.netty.handler.codec.http.HttpHeaders
import org.banyanturn.core.delivery.AttemptEvidence
import org.banyanturn.core.delivery.StoredOutcome
import org.banyanturn.entry.observe.RequestDecisionLog
import org.banyanturn.platform.hosted.callerAnswerHeaders

/** Represents the complete response of a target. */
internal class TargetResponse(val statusCode: Int, private val headers: HttpHeaders, val body: ByteBuf) {
    /** Returns the headers to send to the caller. */
    fun callerHeaders(): HttpHeaders = callerAnswerHeaders(headers)

    /** Returns the response as an input to the delivery rules, without its body. */
    fun toOutcome(): StoredOutcome = StoredOutcome(statusCode, body = null, bodyDigest = "")

    /** Releases the body of a response that is not sent to a caller. */
    fun release() {
        body.release()
    }
}

/** Receives the result of an attempt. */
internal interface ResponseReceiver {
    /** Records the decisions on the request. */
    val decisionLog: RequestDecisionLog

    /** Whether the response is a stream of events. */
    val isStream: Boolean

    /** Whether the request may run again after an attempt whose outcome is unknown. */
    val isRetryable: Boolean

    /** Called with each complete event of a stream. */
    fun onStreamPart(attempt: OpenAttempt, event: StreamEvent)

    /** Called after the events that arrived together. */
    fun onStreamPartsEnd()

    /** Called when the stream has ended as declared by its HTTP framing. */
    fun onStreamEnd(attempt: OpenAttempt)

    /** Called with the complete response if it is not a stream. */
    fun onResponse(attempt: OpenAttempt, received: TargetResponse)

    /**
     * Called when the attempt has failed.
     *
     * @param errorResponse the target's own error response if it may be sent to the caller, or `null`.
     */
    fun onFailed(attempt: OpenAttempt, evidence: AttemptEvidence, errorResponse: TargetResponse?)
}
