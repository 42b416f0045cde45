package org.banyanturn.entry.http

import io.netty.buffer.ByteBuf
import io.netty.handler.codec.http.HttpResponse
import org.banyanturn.core.delivery.AnswerFraming

/**
 * Describes why an attempt has ended without a complete response.
 *
 * @property wasSent whether the target may have received the request.
 */
internal data class AttemptFailure(val wasSent: Boolean, val kind: AttemptFailureKind, val reason: String)

/** Classifies the failures of an attempt. */
internal enum class AttemptFailureKind {
    /** The connection could not be established. */
    CONNECT,

    /** The connection was not established within its time limit. */
    CONNECT_TIMEOUT,

    /** The request could be written only after it was no longer permitted. */
    NOT_PERMITTED,

    /** The connection was lost before the response was complete. */
    BROKEN,

    /** The received bytes are not a valid HTTP response. */
    MALFORMED,
}

/** Receives the response or the failure of an attempt; all functions are called on the event loop. */
internal interface AttemptListener {
    /** Called when the head of the response was received. */
    fun onHead(response: HttpResponse)

    /** Called when a part of the response body was received; [content] is valid during the call only. */
    fun onBody(content: ByteBuf)

    /** Called when the response is complete according to its [framing]. */
    fun onEnd(framing: AnswerFraming)

    /** Called when the attempt has ended without a complete response. */
    fun onFailure(failure: AttemptFailure)
}

/** Represents an attempt in progress. */
internal interface TargetAttempt {
    /** Cancels the attempt and closes its connection, so that the target can stop working on the request. */
    fun cancel()

    /** Stops or resumes reading the response. */
    fun setReading(isReading: Boolean)
}
