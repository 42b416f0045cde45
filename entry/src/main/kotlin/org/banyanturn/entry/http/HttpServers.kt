package org.banyanturn.entry.http

import io.netty.bootstrap.ServerBootstrap
import io.netty.buffer.Unpooled
import io.netty.channel.Channel
import io.netty.channel.ChannelHandlerContext
import io.netty.channel.ChannelInboundHandlerAdapter
import io.netty.channel.ChannelInitializer
import io.netty.channel.ChannelOption
import io.netty.channel.EventLoopGroup
import io.netty.channel.SimpleChannelInboundHandler
import io.netty.channel.socket.nio.NioServerSocketChannel
import io.netty.handler.codec.http.DefaultFullHttpResponse
import io.netty.handler.codec.http.FullHttpRequest
import io.netty.handler.codec.http.HttpDecoderConfig
import io.netty.handler.codec.http.HttpHeaderNames
import io.netty.handler.codec.http.HttpObjectAggregator
import io.netty.handler.codec.http.HttpResponseStatus
import io.netty.handler.codec.http.HttpServerCodec
import io.netty.handler.codec.http.HttpVersion
import org.banyanturn.platform.hosted.SocketAddressText

private const val BACKLOG = 1_024
private const val MAX_LINE_BYTES = 16_384
private const val MAX_SMALL_BODY_BYTES = 65_536

/** Upper bound on the head of any request, so that larger ones are rejected early; the configured limits are lower. */
private const val MAX_HEADER_BYTES = 65_536

/** No bound: the codec would close the connection, whereas [CallerConnection] stops reading. */
private const val MAX_REQUESTS_IN_CODEC = Int.MAX_VALUE

/** Listens for connections of callers at [address] and returns the listening channel. */
internal fun listenForCallers(
    group: EventLoopGroup,
    address: SocketAddressText,
    shared: CallerConnectionContext,
): Channel =
    serverBootstrap(group)
        .childHandler(
            object : ChannelInitializer<Channel>() {
                override fun initChannel(channel: Channel) {
                    addCallerConnection(channel, shared)
                }
            },
        )
        .bind(address.host, address.port).sync().channel()

/** Adds the handlers of a caller's connection to the pipeline of [channel]. */
internal fun addCallerConnection(channel: Channel, shared: CallerConnectionContext) {
    val connection = CallerConnection(shared)
    val config = HttpDecoderConfig()
        .setMaxInitialLineLength(MAX_LINE_BYTES)
        .setMaxHeaderSize(MAX_HEADER_BYTES)
    channel.pipeline().addLast(FirstByteHandler(connection))
    channel.pipeline().addLast(HttpServerCodec(config, MAX_REQUESTS_IN_CODEC))
    channel.pipeline().addLast(connection)
}

private class FirstByteHandler(private val connection: CallerConnection) : ChannelInboundHandlerAdapter() {
    override fun channelRead(context: ChannelHandlerContext, message: Any) {
        connection.onBytesReceived()
        context.fireChannelRead(message)
    }
}

/** Represents a complete response to a small internal request, such as one for readiness or metrics. */
internal class SmallResponse(
    val status: HttpResponseStatus,
    val content: ByteArray = ByteArray(0),
    val contentType: String = "text/plain",
)

/** Serves small requests, such as those for readiness and metrics, at [address] and returns the listening channel. */
internal fun listenForSmallRequests(
    group: EventLoopGroup,
    address: SocketAddressText,
    handle: (FullHttpRequest) -> SmallResponse,
): Channel = listenForLongPolls(group, address) { request, respond -> respond(handle(request)) }

/** Serves small requests and long polls at [address], and returns the listening channel. */
internal fun listenForLongPolls(
    group: EventLoopGroup,
    address: SocketAddressText,
    handle: (FullHttpRequest, respond: (SmallResponse) -> Unit) -> Unit,
): Channel =
    serverBootstrap(group)
        .childHandler(
            object : ChannelInitializer<Channel>() {
                override fun initChannel(channel: Channel) {
                    addSmallRequestHandlers(channel, handle)
                }
            },
        )
        .bind(address.host, address.port).sync().channel()

/** Adds the handlers of a connection for small requests and long polls to the pipeline of [channel]. */
internal fun addSmallRequestHandlers(
    channel: Channel,
    handle: (FullHttpRequest, respond: (SmallResponse) -> Unit) -> Unit,
) {
    channel.pipeline().addLast(HttpServerCodec())
    channel.pipeline().addLast(HttpObjectAggregator(MAX_SMALL_BODY_BYTES))
    channel.pipeline().addLast(SmallRequestHandler(handle))
}

/** A request that was received, and its response as soon as there is one. */
private class PendingResponse {
    var response: SmallResponse? = null
}

/** Passes requests on as they come, and writes their responses in the order of the requests. */
private class SmallRequestHandler(
    private val handle: (FullHttpRequest, respond: (SmallResponse) -> Unit) -> Unit,
) : SimpleChannelInboundHandler<FullHttpRequest>() {
    private val pending = ArrayDeque<PendingResponse>()

    override fun channelRead0(context: ChannelHandlerContext, request: FullHttpRequest) {
        val slot = PendingResponse().also(pending::addLast)
        handle(request) { response ->
            slot.response = response
            writeReady(context)
        }
    }

    private fun writeReady(context: ChannelHandlerContext) {
        while (true) {
            val response = pending.firstOrNull()?.response ?: return
            pending.removeFirst()
            write(context, response)
        }
    }

    private fun write(context: ChannelHandlerContext, reply: SmallResponse) {
        val content = Unpooled.wrappedBuffer(reply.content)
        val response = DefaultFullHttpResponse(HttpVersion.HTTP_1_1, reply.status, content)
        response.headers().set(HttpHeaderNames.CONTENT_TYPE, reply.contentType)
        response.headers().set(HttpHeaderNames.CONTENT_LENGTH, reply.content.size)
        context.writeAndFlush(response)
    }

    override fun exceptionCaught(context: ChannelHandlerContext, cause: Throwable) {
        context.close()
    }
}

private fun serverBootstrap(group: EventLoopGroup): ServerBootstrap =
    ServerBootstrap()
        .group(group)
        .channel(NioServerSocketChannel::class.java)
        .option(ChannelOption.SO_BACKLOG, BACKLOG)
        .option(ChannelOption.SO_REUSEADDR, true)
        .childOption(ChannelOption.TCP_NODELAY, true)
        .childOption(ChannelOption.SO_KEEPALIVE, true)
