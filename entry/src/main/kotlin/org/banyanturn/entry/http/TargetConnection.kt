package org.banyanturn.entry.http

import io.netty.buffer.ByteBuf
import io.netty.channel.Channel
import io.netty.channel.ChannelHandlerContext
import io.netty.channel.ChannelInboundHandler
import io.netty.channel.ChannelInboundHandlerAdapter
import io.netty.channel.ChannelOption
import io.netty.handler.codec.http.FullHttpRequest
import io.netty.handler.codec.http.HttpContent
import io.netty.handler.codec.http.HttpMessage
import io.netty.handler.codec.http.HttpMethod
import io.netty.handler.codec.http.HttpObject
import io.netty.handler.codec.http.HttpResponse
import io.netty.handler.codec.http.HttpUtil
import io.netty.handler.codec.http.LastHttpContent
import io.netty.util.ReferenceCountUtil
import org.banyanturn.core.delivery.AnswerField
import org.banyanturn.core.delivery.AnswerFraming
import org.banyanturn.core.delivery.AnswerHead
import org.banyanturn.core.delivery.AnswerLimits
import org.banyanturn.core.delivery.ConnectionAnswers
import org.banyanturn.core.delivery.faultOrNull
import org.banyanturn.platform.hosted.SINGLE_ANSWER_HEADERS
import org.banyanturn.platform.hosted.readTargetAnswerHeaders

private const val STATUS_CONTINUE = 100
private const val FIRST_FINAL_STATUS = 200

/**
 * Handles a connection to a target, which carries one attempt at a time.
 *
 * The connection is reused only after a response that ended exactly as its framing declared, with no byte behind it.
 * Bytes that arrive while no attempt waits close the connection before they are decoded. A response that belongs to
 * another attempt is discarded, and the connection is not reused after it. A head that can't be the head of a single
 * response fails the attempt.
 */
internal class TargetConnection(
    private val channel: Channel,
    private val decoder: TargetResponseDecoder,
    private val onIdle: (TargetConnection) -> Unit,
    private val onClosed: (TargetConnection) -> Unit,
    private val onUnsolicitedBytes: (UnsolicitedPlace, byteCount: Int) -> Unit,
    private val limits: AnswerLimits = AnswerLimits(),
) : ChannelInboundHandlerAdapter() {
    private var listener: AttemptListener? = null
    private var attemptId: String? = null
    private var answers = ConnectionAnswers()
    private var responseState = ResponseState.NONE
    private var framing = AnswerFraming.LENGTH
    private var mayReuse = true
    private var isRequestWritten = false
    private var failureCause: Throwable? = null
    private var receivedBytes = 0L

    /** Counts the bytes of the answer and drops those that nothing waits for; stands before the decoder. */
    val byteCounter: ChannelInboundHandler = ByteCounter()

    /** The time at which the connection became idle, on the clock of the pool. */
    var idleSinceMillis: Long = 0

    /** The idle timeout of the target, or `null` if it has announced none. */
    var idleTimeoutMillis: Long? = null

    /** Whether the connection is open and can carry a new attempt. */
    val isUsable: Boolean
        get() = channel.isActive && listener == null && mayReuse

    /** Returns whether an attempt with [id], or without an id if it is `null`, may be sent on this connection. */
    fun mayCarry(id: String?): Boolean = answers.mayCarry(id)

    /**
     * Sends [request]; [newListener] receives the response or the failure.
     *
     * @param newAttemptId the attempt id that the response must carry, or `null` if the request has none.
     */
    fun send(request: FullHttpRequest, newAttemptId: String?, newListener: AttemptListener): TargetAttempt {
        check(listener == null) { "the connection already carries an attempt" }
        decoder.isHeadRequest = request.method() == HttpMethod.HEAD
        listener = newListener
        attemptId = newAttemptId
        responseState = ResponseState.NONE
        receivedBytes = 0
        isRequestWritten = false
        channel.writeAndFlush(request).addListener { written ->
            isRequestWritten = written.isSuccess
            if (!written.isSuccess) {
                fail(
                    AttemptFailureKind.BROKEN,
                    "the request could not be written: ${written.cause()}",
                )
            }
        }
        return ConnectionAttempt(newListener)
    }

    /** Records [byteCount] bytes at [place] that belong to no response. */
    private fun receiveOutside(place: UnsolicitedPlace, byteCount: Int) {
        if (byteCount == 0) return
        answers = answers.receivedOutside(byteCount)
        onUnsolicitedBytes(place, byteCount)
    }

    private inner class ConnectionAttempt(private val ownListener: AttemptListener) : TargetAttempt {
        override fun cancel() {
            if (listener !== ownListener) return
            listener = null
            reset()
        }

        override fun setReading(isReading: Boolean) {
            if (listener === ownListener) channel.config().isAutoRead = isReading
        }
    }

    /**
     * Counts the received bytes before they are decoded.
     *
     * Bytes for which no attempt waits close the connection, and a response that exceeds its limits is given up.
     */
    private inner class ByteCounter : ChannelInboundHandlerAdapter() {
        override fun channelRead(context: ChannelHandlerContext, message: Any) {
            val byteCount = (message as? ByteBuf)?.readableBytes() ?: 0
            when {
                listener == null -> discard(message) { closeUnsolicited(byteCount) }

                receivedBytes > maxReceivedBytes() -> discard(message) {
                    fail(AttemptFailureKind.MALFORMED, "$receivedBytes bytes are no answer")
                }

                else -> {
                    receivedBytes += byteCount
                    context.fireChannelRead(message)
                }
            }
        }

        private fun discard(message: Any, andThen: () -> Unit) {
            ReferenceCountUtil.release(message)
            andThen()
        }

        /** Closes the connection, which may be closing already, since its attempt was cancelled. */
        private fun closeUnsolicited(byteCount: Int) {
            if (mayReuse) receiveOutside(UnsolicitedPlace.IDLE, byteCount)
            close()
        }

        private fun maxReceivedBytes(): Long =
            if (responseState == ResponseState.MATCHED) limits.maxAnswerBytes else limits.maxHeadBytes.toLong()
    }

    /** Closes the connection with a reset, so that unsent bytes are dropped instead of delivered later. */
    private fun reset() {
        channel.config().setOption(ChannelOption.SO_LINGER, 0)
        close()
    }

    /** Lets the connection be closed after its next answer. */
    fun preventReuse() {
        mayReuse = false
    }

    /** Closes the connection and prevents its reuse. */
    fun close() {
        mayReuse = false
        channel.close()
    }

    override fun channelRead(context: ChannelHandlerContext, message: Any) {
        try {
            read(message as HttpObject)
        } finally {
            ReferenceCountUtil.release(message)
        }
    }

    private fun read(message: HttpObject) {
        if (listener == null) return close()
        if (message.decoderResult().isFailure) {
            return fail(AttemptFailureKind.MALFORMED, "not an answer: ${message.decoderResult().cause()}")
        }
        if (message is HttpResponse) readHead(message)
        if (message is HttpContent) readContent(message)
    }

    private fun readHead(response: HttpResponse) {
        val fault = response.toAnswerHead().faultOrNull(SINGLE_ANSWER_HEADERS)
        if (fault != null) return fail(AttemptFailureKind.MALFORMED, "not the head of one answer: $fault")
        val code = response.status().code()
        if (code in STATUS_CONTINUE until FIRST_FINAL_STATUS) {
            responseState = ResponseState.INTERIM
            return
        }
        framing = framingOf(response)
        if (!HttpUtil.isKeepAlive(response) || !hasExplicitFraming(response)) mayReuse = false
        val answeredId = readTargetAnswerHeaders(code, response.headers()).attemptId
        if (!answers.isDue(attemptId, answeredId)) return skipResponse()
        responseState = ResponseState.MATCHED
        answers = answers.answered(attemptId)
        listener?.onHead(response)
    }

    /** Discards a response to another attempt; what follows the head of one is unknown while HEAD is answered. */
    private fun skipResponse() {
        responseState = ResponseState.UNMATCHED
        receiveOutside(UnsolicitedPlace.BEFORE_ANSWER, receivedBytes.toInt())
        mayReuse = false
        if (decoder.isHeadRequest) fail(AttemptFailureKind.MALFORMED, "an answer to another request")
    }

    private fun HttpResponse.toAnswerHead(): AnswerHead =
        AnswerHead(status().code(), status().reasonPhrase(), headers().map { AnswerField(it.key, it.value) })

    private fun framingOf(response: HttpResponse): AnswerFraming =
        when {
            HttpUtil.isTransferEncodingChunked(response) -> AnswerFraming.CHUNKS
            HttpUtil.isContentLengthSet(response) -> AnswerFraming.LENGTH
            else -> AnswerFraming.CONNECTION
        }

    private fun hasExplicitFraming(response: HttpMessage): Boolean =
        HttpUtil.isTransferEncodingChunked(response) || HttpUtil.isContentLengthSet(response)

    private fun readContent(message: HttpContent) {
        val content: ByteBuf = message.content()
        if (responseState == ResponseState.MATCHED && content.isReadable) listener?.onBody(content)
        if (message is LastHttpContent) endResponse()
    }

    private fun endResponse() {
        if (responseState != ResponseState.MATCHED) {
            responseState = ResponseState.NONE
            return
        }
        val cause = failureCause
        if (cause != null) return fail(AttemptFailureKind.BROKEN, "the connection broke: $cause")
        val endedListener = listener ?: return
        val endedFraming = endedFraming()
        receiveOutside(UnsolicitedPlace.AFTER_ANSWER, decoder.undecodedBytes)
        listener = null
        channel.config().isAutoRead = true
        mayReuse = mayReuse && answers.isClean && isRequestWritten
        if (mayReuse && channel.isActive) onIdle(this) else close()
        endedListener.onEnd(endedFraming)
    }

    /** Returns what ended the response; one that can't have a body ends while its connection is open. */
    private fun endedFraming(): AnswerFraming =
        if (framing == AnswerFraming.CONNECTION && channel.isActive) AnswerFraming.LENGTH else framing

    private fun fail(kind: AttemptFailureKind, reason: String) {
        val failedListener = listener
        listener = null
        close()
        failedListener?.onFailure(AttemptFailure(wasSent = true, kind, reason))
    }

    override fun exceptionCaught(context: ChannelHandlerContext, cause: Throwable) {
        failureCause = cause
        fail(AttemptFailureKind.BROKEN, "the connection broke: $cause")
    }

    override fun channelInactive(context: ChannelHandlerContext) {
        onClosed(this)
        fail(AttemptFailureKind.BROKEN, "the target closed the connection")
    }
}

/** Represents which response is being read, relative to the attempt that waits for one. */
private enum class ResponseState { NONE, INTERIM, UNMATCHED, MATCHED }
