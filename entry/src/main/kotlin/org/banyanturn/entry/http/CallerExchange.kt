package org.banyanturn.entry.http

import io.netty.buffer.ByteBuf
import io.netty.buffer.Unpooled
import io.netty.channel.Channel
import io.netty.handler.codec.http.DefaultFullHttpResponse
import io.netty.handler.codec.http.DefaultHttpContent
import io.netty.handler.codec.http.DefaultHttpResponse
import io.netty.handler.codec.http.EmptyHttpHeaders
import io.netty.handler.codec.http.HttpHeaderNames
import io.netty.handler.codec.http.HttpHeaderValues
import io.netty.handler.codec.http.HttpHeaders
import io.netty.handler.codec.http.HttpMethod
import io.netty.handler.codec.http.HttpRequest
import io.netty.handler.codec.http.HttpResponseStatus
import io.netty.handler.codec.http.HttpUtil
import io.netty.handler.codec.http.HttpVersion
import io.netty.handler.codec.http.LastHttpContent

/** Learns what the caller of one request does meanwhile. */
internal interface CallerListener {
    /** The caller closed its connection before it had the whole answer. */
    fun onCallerGone()

    /** The process ends; what has no final answer yet gets one now. */
    fun onShutdownDeadline()

    /** The connection can take more of the answer, or no more for now. */
    fun onWritable(isWritable: Boolean)
}

/**
 * One request of a caller and its answer.
 *
 * @property head the request's head.
 * @property body the request's whole body; released when the exchange has ended.
 * @property arrivedAtMillis when the head had come.
 */
internal class CallerExchange(
    private val channel: Channel,
    val head: HttpRequest,
    val body: ByteBuf,
    val arrivedAtMillis: Long,
    private val isClosing: () -> Boolean,
    private val onEnded: (keepConnection: Boolean) -> Unit,
) {
    private val keepsConnection = HttpUtil.isKeepAlive(head)
    private var hasStarted = false
    private var isChunked = false

    /** Whether the exchange has ended, with a whole answer or without. */
    var hasEnded = false
        private set

    /** Called once when the exchange has ended. */
    var onExchangeEnd: () -> Unit = {}

    /** Learns what the caller does while the request is under way. */
    var listener: CallerListener? = null

    val isWritable: Boolean
        get() = channel.isWritable

    /** Gives the whole answer. */
    fun answer(status: Int, headers: HttpHeaders, content: ByteBuf) {
        if (hasEnded) {
            content.release()
            return
        }
        val response = DefaultFullHttpResponse(
            HttpVersion.HTTP_1_1,
            HttpResponseStatus.valueOf(status),
            content,
            headers,
            EmptyHttpHeaders.INSTANCE,
        )
        response.headers().set(HttpHeaderNames.CONTENT_LENGTH, content.readableBytes())
        val isKept = prepareConnection(response.headers())
        channel.writeAndFlush(response)
        end(isKept)
    }

    /** Starts an answer whose length is not known yet. */
    fun startResponse(status: Int, headers: HttpHeaders) {
        if (hasEnded) return
        hasStarted = true
        val response = DefaultHttpResponse(HttpVersion.HTTP_1_1, HttpResponseStatus.valueOf(status), headers)
        isChunked = head.protocolVersion() != HttpVersion.HTTP_1_0 && head.method() != HttpMethod.HEAD
        if (isChunked) headers.set(HttpHeaderNames.TRANSFER_ENCODING, HttpHeaderValues.CHUNKED)
        prepareConnection(headers)
        channel.writeAndFlush(response)
    }

    /** Gives the next part of the answer; [content] is released. */
    fun write(content: ByteBuf) {
        if (hasEnded) {
            content.release()
            return
        }
        channel.writeAndFlush(DefaultHttpContent(content))
    }

    /** Says that the answer is whole. */
    fun finish() {
        if (hasEnded) return
        channel.writeAndFlush(LastHttpContent.EMPTY_LAST_CONTENT)
        end(keepsConnection && isChunked && !isClosing())
    }

    /** Closes the connection, so that a part of an answer does not look like a whole one. */
    fun abort() {
        if (hasEnded) return
        end(isKept = false)
    }

    fun onCallerGone() {
        if (hasEnded) return
        hasEnded = true
        listener?.onCallerGone()
        body.release()
        onExchangeEnd()
    }

    /** Returns whether the connection is kept, and says so in [headers]. */
    private fun prepareConnection(headers: HttpHeaders): Boolean {
        val isKept = keepsConnection && !isClosing()
        if (!isKept) headers.set(HttpHeaderNames.CONNECTION, HttpHeaderValues.CLOSE)
        return isKept
    }

    private fun end(isKept: Boolean) {
        hasEnded = true
        body.release()
        onEnded(isKept)
        onExchangeEnd()
    }
}

/** Returns a buffer with [text] in UTF-8. */
internal fun textBuffer(text: String): ByteBuf = Unpooled.wrappedBuffer(text.encodeToByteArray())
