package org.banyanturn.entry.requests

import io.netty.buffer.ByteBuf
import io.netty.handler.codec.http.HttpHeaders
import org.banyanturn.core.delivery.AttemptEvidence
import org.banyanturn.core.delivery.StoredOutcome
import org.banyanturn.entry.observe.RequestDecisionLog
import org.banyanturn.platform.hosted.callerAnswerHeaders

/** A target's whole answer. */
internal class TargetAnswer(val statusCode: Int, private val headers: HttpHeaders, val body: ByteBuf) {
    /** Returns the headers that the caller gets. */
    fun callerHeaders(): HttpHeaders = callerAnswerHeaders(headers)

    /** Returns the answer as the delivery rules see it: its body stays here. */
    fun toOutcome(): StoredOutcome = StoredOutcome(statusCode, body = null, bodyDigest = "")

    /** Frees the body of an answer that nobody gets. */
    fun release() {
        body.release()
    }
}

/** Learns what becomes of an attempt. */
internal interface AnswerReceiver {
    /** Where the decisions on the request are noted. */
    val decisionLog: RequestDecisionLog

    /** Whether the answer is a stream of events. */
    val isStream: Boolean

    /** Whether the request may run again after an attempt whose outcome is unknown. */
    val isRetryable: Boolean

    /** A whole event of a stream has come. */
    fun onStreamPart(attempt: OpenAttempt, event: StreamEvent)

    /** The stream has ended as its framing says. */
    fun onStreamEnd(attempt: OpenAttempt)

    /** An answer that is no stream has come whole. */
    fun onAnswer(attempt: OpenAttempt, received: TargetAnswer)

    /** The attempt has failed; [errorAnswer] is the target's own answer, if it gave one that the caller may get. */
    fun onFailed(attempt: OpenAttempt, evidence: AttemptEvidence, errorAnswer: TargetAnswer?)
}
