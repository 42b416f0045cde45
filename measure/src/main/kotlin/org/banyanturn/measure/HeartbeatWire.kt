package org.banyanturn.measure

import io.grpc.netty.shaded.io.grpc.netty.NettyChannelBuilder
import io.grpc.netty.shaded.io.grpc.netty.NettyServerBuilder
import io.grpc.stub.StreamObserver
import org.banyanturn.wire.v1.HeartbeatReply
import org.banyanturn.wire.v1.HeartbeatRequest
import org.banyanturn.wire.v1.RouterPeerServiceGrpc
import java.io.InputStream
import java.io.OutputStream
import java.net.InetAddress
import java.net.InetSocketAddress
import java.net.ServerSocket
import java.net.Socket
import java.util.concurrent.atomic.AtomicLong
import kotlin.concurrent.thread

private const val FIRST_EXCHANGES = 20
private const val EXCHANGES = 200
private const val BUFFER_BYTES = 16_384
private const val TCP_IP_HEADER_BYTES = 52
private const val SETTLE_POLLS = 1_000

/** Counts the bytes that pass between a client and a server on the loopback interface. */
private class CountingRelay(serverPort: Int) : AutoCloseable {
    private val loopback = InetAddress.getLoopbackAddress()
    private val listener = ServerSocket(0, 1, loopback)
    private val bytes = AtomicLong()
    private val segments = AtomicLong()
    val port: Int get() = listener.localPort

    /** Bytes so far, with the TCP and IP headers of each segment and of its acknowledgement. */
    val bytesOnWire: Long get() = bytes.get() + 2 * TCP_IP_HEADER_BYTES * segments.get()

    init {
        thread(isDaemon = true) {
            val client = listener.accept()
            val server = Socket(loopback, serverPort)
            client.tcpNoDelay = true
            server.tcpNoDelay = true
            thread(isDaemon = true) { copy(client.getInputStream(), server.getOutputStream()) }
            thread(isDaemon = true) { copy(server.getInputStream(), client.getOutputStream()) }
        }
    }

    private fun copy(input: InputStream, output: OutputStream) {
        val buffer = ByteArray(BUFFER_BYTES)
        runCatching {
            while (true) {
                val count = input.read(buffer)
                if (count < 0) break
                bytes.addAndGet(count.toLong())
                segments.incrementAndGet()
                output.write(buffer, 0, count)
            }
        }
    }

    override fun close(): Unit = listener.close()
}

private class AnsweringPeer(private val reply: HeartbeatReply) : RouterPeerServiceGrpc.RouterPeerServiceImplBase() {
    override fun heartbeat(request: HeartbeatRequest, observer: StreamObserver<HeartbeatReply>) {
        observer.onNext(reply)
        observer.onCompleted()
    }
}

/** Returns the bytes that one exchange of heartbeats takes on an open connection, both ways, headers included. */
internal fun heartbeatBytesOnWire(request: HeartbeatRequest, reply: HeartbeatReply): Double {
    val address = InetSocketAddress(InetAddress.getLoopbackAddress(), 0)
    val server = NettyServerBuilder.forAddress(address).addService(AnsweringPeer(reply)).build().start()
    val relay = CountingRelay(server.port)
    val channel = NettyChannelBuilder.forAddress("127.0.0.1", relay.port).usePlaintext().build()
    try {
        val stub = RouterPeerServiceGrpc.newBlockingStub(channel)
        repeat(FIRST_EXCHANGES) { stub.heartbeat(request) }
        val before = relay.settledBytes()
        repeat(EXCHANGES) { stub.heartbeat(request) }
        return (relay.settledBytes() - before).toDouble() / EXCHANGES
    } finally {
        channel.shutdownNow()
        server.shutdownNow()
        relay.close()
    }
}

/** Returns the count once it has stopped growing. */
private fun CountingRelay.settledBytes(): Long {
    var last = -1L
    var unchanged = 0
    while (unchanged < SETTLE_POLLS) {
        val now = bytesOnWire
        unchanged = if (now == last) unchanged + 1 else 0
        last = now
        Thread.onSpinWait()
        Thread.yield()
    }
    return last
}
