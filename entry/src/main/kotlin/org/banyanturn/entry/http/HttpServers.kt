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

/** Callers stay within smaller limits; larger heads are refused before they take memory. */
private const val MAX_HEADER_BYTES = 65_536

/** Listens for callers at [address] and returns the listening channel. */
internal fun listenForCallers(
    group: EventLoopGroup,
    address: SocketAddressText,
    shared: CallerConnectionContext,
): Channel =
    serverBootstrap(group)
        .childHandler(
            object : ChannelInitializer<Channel>() {
                override fun initChannel(channel: Channel) {
                    val connection = CallerConnection(shared)
                    val config = HttpDecoderConfig().setMaxInitialLineLength(MAX_LINE_BYTES)
                        .setMaxHeaderSize(MAX_HEADER_BYTES)
                    channel.pipeline().addLast(ByteWatcher(connection))
                    channel.pipeline().addLast(HttpServerCodec(config))
                    channel.pipeline().addLast(connection)
                }
            },
        )
        .bind(address.host, address.port).sync().channel()

private class ByteWatcher(private val connection: CallerConnection) : ChannelInboundHandlerAdapter() {
    override fun channelRead(context: ChannelHandlerContext, message: Any) {
        connection.onBytes()
        context.fireChannelRead(message)
    }
}

/** A short answer to an operational question. */
internal class SmallResponse(
    val status: HttpResponseStatus,
    val content: ByteArray = ByteArray(0),
    val contentType: String = "text/plain",
)

/** Answers short requests, such as those for readiness and metrics, at [address] and returns the listening channel. */
internal fun listenForSmallRequests(
    group: EventLoopGroup,
    address: SocketAddressText,
    answer: (FullHttpRequest) -> SmallResponse,
): Channel = listenForLongPolls(group, address) { request, respond -> respond(answer(request)) }

/** Answers short requests at [address] whenever [answer] responds, and returns the listening channel. */
internal fun listenForLongPolls(
    group: EventLoopGroup,
    address: SocketAddressText,
    answer: (FullHttpRequest, respond: (SmallResponse) -> Unit) -> Unit,
): Channel =
    serverBootstrap(group)
        .childHandler(
            object : ChannelInitializer<Channel>() {
                override fun initChannel(channel: Channel) {
                    channel.pipeline().addLast(HttpServerCodec())
                    channel.pipeline().addLast(HttpObjectAggregator(MAX_SMALL_BODY_BYTES))
                    channel.pipeline().addLast(QuestionHandler(answer))
                }
            },
        )
        .bind(address.host, address.port).sync().channel()

private class QuestionHandler(
    private val answer: (FullHttpRequest, respond: (SmallResponse) -> Unit) -> Unit,
) : SimpleChannelInboundHandler<FullHttpRequest>() {
    override fun channelRead0(context: ChannelHandlerContext, request: FullHttpRequest) {
        answer(request) { respond(context, it) }
    }

    private fun respond(context: ChannelHandlerContext, reply: SmallResponse) {
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
