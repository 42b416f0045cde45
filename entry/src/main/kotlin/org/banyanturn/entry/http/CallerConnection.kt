package org.banyanturn.entry.http

import io.netty.buffer.ByteBuf
import io.netty.buffer.CompositeByteBuf
import io.netty.buffer.Unpooled
import io.netty.channel.ChannelFutureListener
import io.netty.channel.ChannelHandlerContext
import io.netty.channel.ChannelInboundHandlerAdapter
import io.netty.handler.codec.http.DefaultFullHttpResponse
import io.netty.handler.codec.http.HttpContent
import io.netty.handler.codec.http.HttpHeaderNames
import io.netty.handler.codec.http.HttpHeaderValues
import io.netty.handler.codec.http.HttpObject
import io.netty.handler.codec.http.HttpRequest
import io.netty.handler.codec.http.HttpResponseStatus
import io.netty.handler.codec.http.HttpUtil
import io.netty.handler.codec.http.HttpVersion
import io.netty.handler.codec.http.LastHttpContent
import io.netty.util.ReferenceCountUtil
import org.banyanturn.core.serving.CallerLimits
import org.banyanturn.daemon.ProcessClock

/**
 * Holds what all connections of callers share.
 *
 * @property isClosing whether the process is shutting down, so that connections are closed after their last response.
 * @property connections the open connections.
 */
internal class CallerConnectionContext(
    val clock: ProcessClock,
    val limits: () -> CallerLimits,
    val isClosing: () -> Boolean,
    val onRequest: (CallerExchange) -> Unit,
    val connections: MutableSet<CallerConnection>,
)

/**
 * Handles a caller's connection: reads each request completely and passes it to [CallerConnectionContext.onRequest].
 *
 * All that is received passes through one queue, which stands still while a request has no complete response.
 */
internal class CallerConnection(private val shared: CallerConnectionContext) : ChannelInboundHandlerAdapter() {
    private lateinit var context: ChannelHandlerContext
    private val received = RequestPartQueue()
    private var head: HttpRequest? = null
    private var body: CompositeByteBuf? = null
    private var headAtMillis = 0L
    private var exchange: CallerExchange? = null
    private var lastActiveMillis = 0L
    private var firstByteMillis: Long? = null

    /** Whether the connection is closed once what was written has been sent; nothing is processed any more. */
    private var isEnding = false

    /** Whether a request is being read or processed, or waits for the response to the one before it. */
    val isBusy: Boolean
        get() = exchange != null || head != null || !received.isEmpty

    private val canProcess: Boolean
        get() = exchange == null && !isEnding && context.channel().isActive

    override fun handlerAdded(handlerContext: ChannelHandlerContext) {
        context = handlerContext
        lastActiveMillis = shared.clock.nowMillis()
        shared.connections += this
    }

    override fun channelInactive(handlerContext: ChannelHandlerContext) {
        shared.connections -= this
        exchange?.onCallerGone()
        exchange = null
        stopProcessing()
    }

    /** Records the arrival of the first bytes of a request, which may be an incomplete head. */
    fun onBytesReceived() {
        if (isBusy || isEnding || firstByteMillis != null) return
        firstByteMillis = shared.clock.nowMillis()
    }

    override fun channelRead(handlerContext: ChannelHandlerContext, message: Any) {
        if (isEnding || !handlerContext.channel().isActive) {
            ReferenceCountUtil.release(message)
            return
        }
        received.add(message as HttpObject)
        processReceived()
    }

    /** Processes what was received, in its order, up to the end of the next request that has no response yet. */
    private fun processReceived() {
        while (canProcess && !received.isEmpty) process(received.removeFirst())
        context.channel().config().isAutoRead = !received.isFull
    }

    private fun process(part: HttpObject) {
        try {
            if (part.decoderResult().isFailure) return rejectAndClose(HttpResponseStatus.BAD_REQUEST)
            if (part is HttpRequest) startRequest(part)
            if (part is HttpContent) addContent(part)
        } finally {
            ReferenceCountUtil.release(part)
        }
    }

    private fun startRequest(request: HttpRequest) {
        head = request
        firstByteMillis = null
        headAtMillis = shared.clock.nowMillis()
        lastActiveMillis = headAtMillis
        body = context.alloc().compositeBuffer(MAX_BODY_PARTS)
        if (HttpUtil.is100ContinueExpected(request)) {
            context.writeAndFlush(DefaultFullHttpResponse(HttpVersion.HTTP_1_1, HttpResponseStatus.CONTINUE))
        }
    }

    private fun addContent(part: HttpContent) {
        val receivedBody = body ?: return
        lastActiveMillis = shared.clock.nowMillis()
        val content: ByteBuf = part.content()
        if (receivedBody.readableBytes() + content.readableBytes() > shared.limits().maxBodyBytes) {
            return rejectAndClose(HttpResponseStatus.REQUEST_ENTITY_TOO_LARGE)
        }
        if (content.isReadable) receivedBody.addComponent(true, content.retain())
        if (part is LastHttpContent) dispatch(receivedBody)
    }

    private fun dispatch(receivedBody: ByteBuf) {
        val request = checkNotNull(head) { "received a request body without a request head" }
        head = null
        body = null
        val newExchange =
            CallerExchange(context.channel(), request, receivedBody, headAtMillis, ::closesAfterResponse, ::endExchange)
        exchange = newExchange
        shared.onRequest(newExchange)
    }

    /** Whether the connection is closed after the open exchange; what was received is answered before. */
    private fun closesAfterResponse(): Boolean = shared.isClosing() && received.isEmpty

    private fun endExchange(ended: CallerExchange, keepConnection: Boolean) {
        exchange = null
        lastActiveMillis = shared.clock.nowMillis()
        if (keepConnection) {
            context.executor().execute { continueAfter(ended) }
            return
        }
        stopProcessing()
        context.writeAndFlush(Unpooled.EMPTY_BUFFER).addListener(ChannelFutureListener.CLOSE)
        ended.onExchangeEnd()
    }

    /** Goes on behind [ended], which counts as open until the next request has begun. */
    private fun continueAfter(ended: CallerExchange) {
        try {
            processReceived()
        } finally {
            ended.onExchangeEnd()
        }
    }

    private fun stopProcessing() {
        isEnding = true
        firstByteMillis = null
        head = null
        body?.release()
        body = null
        received.releaseAll()
    }

    private fun rejectAndClose(status: HttpResponseStatus) {
        stopProcessing()
        val response = DefaultFullHttpResponse(HttpVersion.HTTP_1_1, status)
        response.headers().set(HttpHeaderNames.CONTENT_LENGTH, 0)
        response.headers().set(HttpHeaderNames.CONNECTION, HttpHeaderValues.CLOSE)
        context.writeAndFlush(response).addListener(ChannelFutureListener.CLOSE)
    }

    override fun channelWritabilityChanged(handlerContext: ChannelHandlerContext) {
        exchange?.listener?.onWritable(handlerContext.channel().isWritable)
    }

    /** Closes the connection if its caller exceeds the header timeout or the idle timeout. */
    fun closeIfOverdue(nowMillis: Long) {
        val limits = shared.limits()
        val headStartMillis = firstByteMillis
        when {
            exchange != null || !received.isEmpty -> return

            headStartMillis != null && nowMillis - headStartMillis > limits.headerTimeoutMillis ->
                rejectAndClose(HttpResponseStatus.REQUEST_TIMEOUT)

            nowMillis - lastActiveMillis > limits.idleTimeoutMillis -> context.close()
        }
    }

    /** Closes the connection if no request is being read or processed, or waits to be. */
    fun closeIfIdle() {
        if (!isBusy) context.close()
    }

    override fun exceptionCaught(handlerContext: ChannelHandlerContext, cause: Throwable) {
        context.close()
    }

    private companion object {
        const val MAX_BODY_PARTS = 1_024
    }
}
