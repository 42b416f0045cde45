package org.banyanturn.entry.http

import io.netty.buffer.ByteBuf
import io.netty.buffer.Unpooled
import io.netty.channel.Channel
import io.netty.channel.ChannelOption
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

/** Receives events of a caller's connection while its request is being processed. */
internal interface CallerListener {
    /** Called when the caller has closed its connection before it received the complete response. */
    fun onCallerGone()

    /** Called when the process is about to exit; a request without a final response must get one now. */
    fun onShutdownDeadline()

    /** Called when the connection has become writable again, or its write buffer is full. */
    fun onWritable(isWritable: Boolean)
}

/**
 * Represents a request of a caller and its response.
 *
 * @property head the head of the request.
 * @property body the complete body of the request; released when the exchange ends.
 * @property arrivedAtMillis the time at which the head was complete.
 * @param isClosing whether the connection is closed after the response although the caller wants to keep it.
 * @param onEnded called when the response is complete or was given up; calls [onExchangeEnd] in its turn.
 */
internal class CallerExchange(
    private val channel: Channel,
    val head: HttpRequest,
    val body: ByteBuf,
    val arrivedAtMillis: Long,
    private val isClosing: () -> Boolean,
    private val onEnded: (ended: CallerExchange, keepConnection: Boolean) -> Unit,
) {
    private val keepsConnection = HttpUtil.isKeepAlive(head)
    private var hasStarted = false
    private var isChunked = false
    private var isKept = false

    /** Whether the exchange has ended, with a complete response or without. */
    var hasEnded = false
        private set

    /** Called once when the exchange has ended. */
    var onExchangeEnd: () -> Unit = {}

    /** The listener for events of the caller's connection, or `null` while the request is not being processed. */
    var listener: CallerListener? = null

    /** Whether more of the response can be written without filling the connection's write buffer. */
    val isWritable: Boolean
        get() = channel.isWritable

    /**
     * Sends a complete response and ends the exchange, or aborts a started response; [content] is released.
     *
     * @param onReleased called when the response has been written or dropped.
     */
    fun answer(status: Int, headers: HttpHeaders, content: ByteBuf, onReleased: () -> Unit = {}) {
        if (hasEnded || hasStarted) {
            content.release()
            onReleased()
            return abort()
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
        channel.writeAndFlush(response).addListener { onReleased() }
        end(isKept)
    }

    /** Drops what the caller has not read of a response that was sent. */
    fun drop() {
        channel.close()
    }

    /** Starts a response whose length is not known yet; [write] and [finish] follow. */
    fun startResponse(status: Int, headers: HttpHeaders) {
        if (hasEnded) return
        hasStarted = true
        val response = DefaultHttpResponse(HttpVersion.HTTP_1_1, HttpResponseStatus.valueOf(status), headers)
        isChunked = head.protocolVersion() != HttpVersion.HTTP_1_0 && head.method() != HttpMethod.HEAD
        if (isChunked) headers.set(HttpHeaderNames.TRANSFER_ENCODING, HttpHeaderValues.CHUNKED)
        isKept = prepareConnection(headers)
        channel.writeAndFlush(response)
    }

    /** Appends the next part of the response, which [flush] sends; [content] is released. */
    fun write(content: ByteBuf) {
        if (hasEnded) {
            content.release()
            return
        }
        channel.write(DefaultHttpContent(content))
    }

    /** Sends the parts of the response that were written. */
    fun flush() {
        if (!hasEnded) channel.flush()
    }

    /** Completes a started response and ends the exchange. */
    fun finish() {
        if (hasEnded) return
        channel.writeAndFlush(LastHttpContent.EMPTY_LAST_CONTENT)
        end(isKept && isChunked && !isClosing())
    }

    /**
     * Ends the exchange and closes the connection, so that a partial response does not look complete.
     *
     * A response without chunks ends with its connection, so the connection is reset instead.
     */
    fun abort() {
        if (hasEnded) return
        if (hasStarted && !isChunked) channel.config().setOption(ChannelOption.SO_LINGER, 0)
        end(isKept = false)
    }

    /** Ends the exchange because the caller has closed its connection. */
    fun onCallerGone() {
        if (hasEnded) return
        hasEnded = true
        listener?.onCallerGone()
        body.release()
        onExchangeEnd()
    }

    /** Returns whether the connection is kept open, and adds `Connection: close` to [headers] if not. */
    private fun prepareConnection(headers: HttpHeaders): Boolean {
        val isKept = keepsConnection && !isClosing()
        if (!isKept) headers.set(HttpHeaderNames.CONNECTION, HttpHeaderValues.CLOSE)
        return isKept
    }

    private fun end(isKept: Boolean) {
        hasEnded = true
        body.release()
        onEnded(this, isKept)
    }
}

/** Returns a buffer with [text] in UTF-8. */
internal fun textBuffer(text: String): ByteBuf = Unpooled.wrappedBuffer(text.encodeToByteArray())
