package org.banyanturn.entry.http

import io.netty.buffer.ByteBuf
import io.netty.channel.Channel
import io.netty.channel.ChannelHandlerContext
import io.netty.channel.ChannelInboundHandlerAdapter
import io.netty.channel.ChannelOption
import io.netty.handler.codec.http.FullHttpRequest
import io.netty.handler.codec.http.HttpContent
import io.netty.handler.codec.http.HttpMessage
import io.netty.handler.codec.http.HttpObject
import io.netty.handler.codec.http.HttpResponse
import io.netty.handler.codec.http.HttpUtil
import io.netty.handler.codec.http.LastHttpContent
import io.netty.util.ReferenceCountUtil

private const val STATUS_CONTINUE = 100
private const val FIRST_FINAL_STATUS = 200

/**
 * One connection to a target, which carries one attempt at a time.
 *
 * It is used again only after an answer that ended exactly where its framing said; whatever comes while no attempt
 * waits, or answers another attempt, belongs to nobody and ends the connection.
 */
internal class TargetConnection(
    private val channel: Channel,
    private val onIdle: (TargetConnection) -> Unit,
    private val onClosed: (TargetConnection) -> Unit,
) : ChannelInboundHandlerAdapter() {
    private var listener: AttemptListener? = null
    private var matcher: ResponseMatcher? = null
    private var answer = AnswerState.NONE
    private var mayReuse = true
    private var isRequestWritten = false
    private var brokenBy: Throwable? = null

    /** When the connection was last used, on the clock of the pool. */
    var idleSinceMillis: Long = 0

    /** How long the target keeps the connection while it is idle, or `null` if it has not said. */
    var idleTimeoutMillis: Long? = null

    val isUsable: Boolean
        get() = channel.isActive && listener == null && mayReuse

    /** Sends [request]; [newListener] learns what becomes of it. */
    fun send(request: FullHttpRequest, newMatcher: ResponseMatcher, newListener: AttemptListener): TargetAttempt {
        check(listener == null) { "the connection carries an attempt already" }
        listener = newListener
        matcher = newMatcher
        answer = AnswerState.NONE
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

    private inner class ConnectionAttempt(private val own: AttemptListener) : TargetAttempt {
        override fun cancel() {
            if (listener !== own) return
            listener = null
            reset()
        }

        override fun setReading(isReading: Boolean) {
            if (listener === own) channel.config().isAutoRead = isReading
        }
    }

    /** Closes the connection so that bytes that are still on their way are dropped, not delivered later. */
    private fun reset() {
        channel.config().setOption(ChannelOption.SO_LINGER, 0)
        close()
    }

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
        val code = response.status().code()
        if (code in STATUS_CONTINUE until FIRST_FINAL_STATUS) {
            answer = AnswerState.INTERIM
            return
        }
        if (!HttpUtil.isKeepAlive(response) || !hasExactEnd(response)) mayReuse = false
        if (matcher?.matches(response.headers()) != true) {
            answer = AnswerState.FOREIGN
            mayReuse = false
            return
        }
        answer = AnswerState.OWN
        listener?.onHead(response)
    }

    private fun hasExactEnd(response: HttpMessage): Boolean =
        HttpUtil.isTransferEncodingChunked(response) || HttpUtil.isContentLengthSet(response)

    private fun readContent(message: HttpContent) {
        val content: ByteBuf = message.content()
        if (answer == AnswerState.OWN && content.isReadable) listener?.onBody(content)
        if (message is LastHttpContent) endAnswer()
    }

    private fun endAnswer() {
        if (answer != AnswerState.OWN) {
            answer = AnswerState.NONE
            return
        }
        val broken = brokenBy
        if (broken != null) return fail(AttemptFailureKind.BROKEN, "the connection broke: $broken")
        val ended = listener ?: return
        listener = null
        channel.config().isAutoRead = true
        if (mayReuse && isRequestWritten && channel.isActive) onIdle(this) else close()
        ended.onEnd()
    }

    private fun fail(kind: AttemptFailureKind, reason: String) {
        val failed = listener
        listener = null
        close()
        failed?.onFailure(AttemptFailure(wasSent = true, kind, reason))
    }

    override fun exceptionCaught(context: ChannelHandlerContext, cause: Throwable) {
        brokenBy = cause
        fail(AttemptFailureKind.BROKEN, "the connection broke: $cause")
    }

    override fun channelInactive(context: ChannelHandlerContext) {
        onClosed(this)
        fail(AttemptFailureKind.BROKEN, "the target closed the connection")
    }
}

/** Whose answer is being read. */
private enum class AnswerState { NONE, INTERIM, FOREIGN, OWN }
