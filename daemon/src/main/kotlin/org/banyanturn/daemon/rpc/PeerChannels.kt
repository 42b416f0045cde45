package org.banyanturn.daemon.rpc

import io.grpc.ManagedChannel
import io.grpc.Metadata
import io.grpc.Server
import io.grpc.ServerServiceDefinition
import io.grpc.netty.shaded.io.grpc.netty.NettyChannelBuilder
import io.grpc.netty.shaded.io.grpc.netty.NettyServerBuilder
import org.banyanturn.daemon.traces.TRACE_PARENT
import java.net.InetSocketAddress
import java.util.concurrent.ConcurrentHashMap
import java.util.concurrent.TimeUnit

private const val KEEP_ALIVE_SECONDS = 5L
private const val KEEP_ALIVE_TIMEOUT_SECONDS = 2L

/** Metadata key that propagates the trace context between processes. */
public val traceParentKey: Metadata.Key<String> = Metadata.Key.of(TRACE_PARENT, Metadata.ASCII_STRING_MARSHALLER)

/** Returns metadata with [traceParent], or empty metadata if it is `null`. */
public fun traceMetadata(traceParent: String?): Metadata {
    val metadata = Metadata()
    if (traceParent != null) metadata.put(traceParentKey, traceParent)
    return metadata
}

/** A cache of open gRPC channels to peers, one per address. */
public interface PeerChannels : AutoCloseable {
    /** Returns the channel to the peer at [address], given as `IP:port`; creates it on first use. */
    public fun channel(address: String): ManagedChannel
}

/** Returns an empty channel cache whose channels use HTTP/2 keepalive pings. */
public fun peerChannels(): PeerChannels = KeepAliveChannels()

private class KeepAliveChannels : PeerChannels {
    private val channels = ConcurrentHashMap<String, ManagedChannel>()

    override fun channel(address: String): ManagedChannel = channels.computeIfAbsent(address, ::open)

    override fun close() {
        channels.values.forEach(ManagedChannel::shutdownNow)
    }

    private fun open(address: String): ManagedChannel {
        val host = address.substringBeforeLast(':')
        val port = address.substringAfterLast(':').toInt()
        return NettyChannelBuilder.forAddress(InetSocketAddress(host, port))
            .usePlaintext()
            .keepAliveTime(KEEP_ALIVE_SECONDS, TimeUnit.SECONDS)
            .keepAliveTimeout(KEEP_ALIVE_TIMEOUT_SECONDS, TimeUnit.SECONDS)
            .build()
    }
}

/** Returns a started gRPC server for peers on [port] of [address]; port 0 selects a free port. */
public fun startPeerServer(address: String, port: Int, services: List<ServerServiceDefinition>): Server {
    val builder = NettyServerBuilder.forAddress(InetSocketAddress(address, port))
        .permitKeepAliveTime(KEEP_ALIVE_TIMEOUT_SECONDS, TimeUnit.SECONDS)
        .permitKeepAliveWithoutCalls(true)
    services.forEach(builder::addService)
    return builder.build().start()
}
