package org.banyanturn.entry.peers

import io.netty.bootstrap.Bootstrap
import io.netty.buffer.Unpooled
import io.netty.channel.Channel
import io.netty.channel.ChannelHandlerContext
import io.netty.channel.EventLoopGroup
import io.netty.channel.SimpleChannelInboundHandler
import io.netty.channel.socket.DatagramPacket
import io.netty.channel.socket.nio.NioDatagramChannel
import java.net.InetSocketAddress

/** Sends datagrams to other VMs and passes the received ones to [onDatagram]. */
internal class PeerSocket(
    group: EventLoopGroup,
    host: String,
    private val port: Int,
    private val onDatagram: (datagram: PeerDatagram, senderHost: String) -> Unit,
) {
    private val channel: Channel = Bootstrap()
        .group(group)
        .channel(NioDatagramChannel::class.java)
        .handler(Receiver())
        .bind(host, port).sync().channel()

    /** Sends [datagram] to the VM at [host]; delivery is not guaranteed. */
    fun send(host: String, datagram: PeerDatagram) {
        val content = Unpooled.wrappedBuffer(datagram.encode())
        channel.writeAndFlush(DatagramPacket(content, InetSocketAddress(host, port)))
    }

    private inner class Receiver : SimpleChannelInboundHandler<DatagramPacket>() {
        override fun channelRead0(context: ChannelHandlerContext, packet: DatagramPacket) {
            val bytes = ByteArray(packet.content().readableBytes()).also { packet.content().readBytes(it) }
            val datagram = decodePeerDatagramOrNull(bytes) ?: return
            onDatagram(datagram, packet.sender().address.hostAddress)
        }

        override fun exceptionCaught(context: ChannelHandlerContext, cause: Throwable) {
            // Ignored: an ICMP error reports that a peer has gone, and its successor may receive the next datagram.
        }
    }
}
