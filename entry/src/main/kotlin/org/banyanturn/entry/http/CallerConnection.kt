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

/** What connections of callers share. */
internal class CallerConnectionContext(
    val clock: ProcessClock,
    val limits: () -> CallerLimits,
    val isClosing: () -> Boolean,
    val onRequest: (CallerExchange) -> Unit,
    val connections: MutableSet<CallerConnection>,
)

/**
 * A caller's connection: reads one request after the other, each whole, and hands it on.
 *
 * Requests that come before the answer to the one before wait their turn.
 */
internal class CallerConnection(private val shared: CallerConnectionContext) : ChannelInboundHandlerAdapter() {
    private lateinit var context: ChannelHandlerContext
    private val early = ArrayDeque<HttpObject>()
    private var head: HttpRequest? = null
    private var body: CompositeByteBuf? = null
    private var headAtMillis = 0L
    private var exchange: CallerExchange? = null
    private var lastActiveMillis = 0L
    private var firstByteMillis: Long? = null

    /** Whether a request is being read or answered. */
    val isBusy: Boolean
        get() = exchange != null || head != null

    override fun handlerAdded(added: ChannelHandlerContext) {
        context = added
        lastActiveMillis = shared.clock.nowMillis()
        shared.connections += this
    }

    override fun channelInactive(inactive: ChannelHandlerContext) {
        shared.connections -= this
        exchange?.onCallerGone()
        exchange = null
        early.forEach(ReferenceCountUtil::release)
        early.clear()
        body?.release()
        body = null
    }

    /** Notes that bytes have come, before they are known to be a whole head. */
    fun onBytes() {
        if (!isBusy && firstByteMillis == null) firstByteMillis = shared.clock.nowMillis()
    }

    override fun channelRead(read: ChannelHandlerContext, message: Any) {
        val part = message as HttpObject
        if (exchange != null) {
            early.addLast(part)
            return
        }
        take(part)
    }

    private fun take(part: HttpObject) {
        try {
            if (part.decoderResult().isFailure) return refuseMalformed(HttpResponseStatus.BAD_REQUEST)
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
        val collected = body ?: return
        lastActiveMillis = shared.clock.nowMillis()
        val content: ByteBuf = part.content()
        if (collected.readableBytes() + content.readableBytes() > shared.limits().maxBodyBytes) {
            return refuseMalformed(HttpResponseStatus.REQUEST_ENTITY_TOO_LARGE)
        }
        if (content.isReadable) collected.addComponent(true, content.retain())
        if (part is LastHttpContent) dispatch(collected)
    }

    private fun dispatch(collected: ByteBuf) {
        val request = checkNotNull(head) { "a body follows its head" }
        head = null
        body = null
        val started =
            CallerExchange(context.channel(), request, collected, headAtMillis, shared.isClosing, ::endExchange)
        exchange = started
        shared.onRequest(started)
    }

    private fun endExchange(keepConnection: Boolean) {
        exchange = null
        lastActiveMillis = shared.clock.nowMillis()
        if (!keepConnection) {
            context.writeAndFlush(Unpooled.EMPTY_BUFFER).addListener(ChannelFutureListener.CLOSE)
            return
        }
        context.executor().execute(::takeEarly)
    }

    private fun takeEarly() {
        while (exchange == null && early.isNotEmpty()) take(early.removeFirst())
    }

    private fun refuseMalformed(status: HttpResponseStatus) {
        head = null
        body?.release()
        body = null
        val response = DefaultFullHttpResponse(HttpVersion.HTTP_1_1, status)
        response.headers().set(HttpHeaderNames.CONTENT_LENGTH, 0)
        response.headers().set(HttpHeaderNames.CONNECTION, HttpHeaderValues.CLOSE)
        context.writeAndFlush(response).addListener(ChannelFutureListener.CLOSE)
    }

    override fun channelWritabilityChanged(changed: ChannelHandlerContext) {
        exchange?.listener?.onWritable(changed.channel().isWritable)
    }

    /** Closes the connection if its caller takes longer than the limits allow. */
    fun closeIfOverdue(nowMillis: Long) {
        val limits = shared.limits()
        val headStarted = firstByteMillis
        when {
            exchange != null -> return

            headStarted != null && nowMillis - headStarted > limits.headerTimeoutMillis ->
                refuseMalformed(HttpResponseStatus.REQUEST_TIMEOUT)

            nowMillis - lastActiveMillis > limits.idleTimeoutMillis -> context.close()
        }
    }

    /** Closes the connection if nothing is under way on it. */
    fun closeIfIdle() {
        if (!isBusy) context.close()
    }

    override fun exceptionCaught(caught: ChannelHandlerContext, cause: Throwable) {
        context.close()
    }

    private companion object {
        const val MAX_BODY_PARTS = 1_024
    }
}
