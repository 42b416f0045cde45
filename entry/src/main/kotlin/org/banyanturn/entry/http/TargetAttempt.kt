package org.banyanturn.entry.http

import io.netty.buffer.ByteBuf
import io.netty.handler.codec.http.HttpHeaders
import io.netty.handler.codec.http.HttpResponse

/** Why an attempt has no whole answer; the target may have received the request if [wasSent]. */
internal data class AttemptFailure(val wasSent: Boolean, val kind: AttemptFailureKind, val reason: String)

/** What ended an attempt. */
internal enum class AttemptFailureKind {
    /** No connection came about. */
    CONNECT,

    /** A try to connect was not answered within its time limit. */
    CONNECT_TIMEOUT,

    /** The connection broke, or the answer ended before it was whole. */
    BROKEN,

    /** What came is no answer in the protocol. */
    MALFORMED,
}

/** Learns what becomes of one attempt; all calls come on the event loop. */
internal interface AttemptListener {
    /** The head of the answer has come. */
    fun onHead(response: HttpResponse)

    /** A part of the answer's body has come; [content] is valid during the call only. */
    fun onBody(content: ByteBuf)

    /** The answer has ended as its framing says. */
    fun onEnd()

    /** The attempt has ended without a whole answer. */
    fun onFailure(failure: AttemptFailure)
}

/** An attempt under way. */
internal interface TargetAttempt {
    /** Gives the attempt up and closes its connection, by which the target learns that nobody waits. */
    fun cancel()

    /** Stops or resumes reading the answer. */
    fun setReading(isReading: Boolean)
}

/** The headers with which an answer belongs to the attempt that waits, or `null` if it belongs to another. */
internal fun interface ResponseMatcher {
    /** Returns whether an answer with [headers] belongs to the attempt. */
    fun matches(headers: HttpHeaders): Boolean
}
