package org.banyanturn.entry.http

import io.netty.bootstrap.Bootstrap
import io.netty.channel.AdaptiveRecvByteBufAllocator
import io.netty.channel.Channel
import io.netty.channel.ChannelFuture
import io.netty.channel.ChannelInitializer
import io.netty.channel.ChannelOption
import io.netty.channel.ConnectTimeoutException
import io.netty.channel.EventLoop
import io.netty.channel.socket.nio.NioChannelOption
import io.netty.channel.socket.nio.NioSocketChannel
import io.netty.handler.codec.http.FullHttpRequest
import io.netty.handler.codec.http.HttpDecoderConfig
import io.netty.handler.codec.http.HttpRequestEncoder
import jdk.net.ExtendedSocketOptions
import org.banyanturn.core.delivery.AnswerLimits
import org.banyanturn.daemon.ProcessClock
import org.banyanturn.platform.hosted.SocketAddressText

/**
 * Settings of the connections to targets and to the store.
 *
 * @property connectTimeoutMillis how long connecting may take; a round trip between zones takes about 10 ms.
 * @property maxIdleMillis how long an idle connection is kept if the target announces no idle timeout of its own.
 * @property keepAliveSeconds idle time after which the kernel probes a connection, and interval between the probes.
 * @property keepAliveProbes number of unanswered probes after which the kernel closes a connection.
 */
internal data class ConnectionPoolSettings(
    val connectTimeoutMillis: Int = 400,
    val maxIdleMillis: Long = 4_000,
    val keepAliveSeconds: Int = 1,
    val keepAliveProbes: Int = 2,
)

/** Fraction of a target's idle timeout within which a connection is reused, so that the target can't close it first. */
private const val IDLE_TIMEOUT_FRACTION = 0.7

/** Reads from a connection before others have their turn, so that one that is always readable delays none for long. */
private const val READS_PER_TURN = 2

private const val MAX_LINE_BYTES = 16_384
private const val MAX_HEADER_BYTES = 65_536
private const val MAX_CHUNK_BYTES = 16_384

private val DECODER_CONFIG = HttpDecoderConfig()
    .setMaxInitialLineLength(MAX_LINE_BYTES)
    .setMaxHeaderSize(MAX_HEADER_BYTES)
    .setMaxChunkSize(MAX_CHUNK_BYTES)

/**
 * Represents a pool of connections to targets, which are kept open between attempts.
 *
 * Not thread-safe: used on the event loop only.
 */
internal class TargetConnectionPool(
    loop: EventLoop,
    private val clock: ProcessClock,
    private val limits: AnswerLimits = AnswerLimits(),
    private val settings: ConnectionPoolSettings = ConnectionPoolSettings(),
    private val unsolicitedBytesListener: UnsolicitedBytesListener = UnsolicitedBytesListener { _, _, _ -> },
) {
    private val idle = HashMap<SocketAddressText, ArrayDeque<TargetConnection>>()
    private val openByAddress = HashMap<SocketAddressText, Int>()
    private val bootstrap = Bootstrap()
        .group(loop)
        .channel(NioSocketChannel::class.java)
        .option(ChannelOption.TCP_NODELAY, true)
        .option(ChannelOption.SO_KEEPALIVE, true)
        .option(ChannelOption.RECVBUF_ALLOCATOR, AdaptiveRecvByteBufAllocator().maxMessagesPerRead(READS_PER_TURN))
        .option(ChannelOption.CONNECT_TIMEOUT_MILLIS, settings.connectTimeoutMillis)
        .option(NioChannelOption.of(ExtendedSocketOptions.TCP_KEEPIDLE), settings.keepAliveSeconds)
        .option(NioChannelOption.of(ExtendedSocketOptions.TCP_KEEPINTERVAL), settings.keepAliveSeconds)
        .option(NioChannelOption.of(ExtendedSocketOptions.TCP_KEEPCOUNT), settings.keepAliveProbes)

    /** The number of connections that the pool has started to open. */
    var openedConnections: Long = 0
        private set

    /** Returns the number of connections to [address] that are being opened, in use or idle. */
    fun openConnections(address: SocketAddressText): Int = openByAddress[address] ?: 0

    /**
     * Sends [request], which is released, to [address]; [listener] receives the response or the failure.
     *
     * @param attemptId the attempt id that the response must carry, or `null` if the request has none.
     * @param isAlone whether the request has a connection of its own, since nothing tells its answer from others.
     * @param maySend returns whether the request may be sent; called again once a new connection is open.
     */
    fun send(
        address: SocketAddressText,
        request: FullHttpRequest,
        attemptId: String?,
        listener: AttemptListener,
        maxIdleMillis: Long = settings.maxIdleMillis,
        isAlone: Boolean = false,
        maySend: () -> Boolean = { true },
    ): TargetAttempt {
        val pooled = if (isAlone) null else takeIdleOrNull(address, attemptId, maxIdleMillis)
        if (pooled != null) return pooled.send(request, attemptId, listener)
        return PendingAttempt(address, request, attemptId, listener, isAlone, maySend).also { it.connect() }
    }

    private fun takeIdleOrNull(
        address: SocketAddressText,
        attemptId: String?,
        maxIdleMillis: Long,
    ): TargetConnection? {
        val connections = idle[address] ?: return null
        connections.filterNot { it.isUsable && isFresh(it, maxIdleMillis) }.forEach { stale ->
            connections -= stale
            stale.close()
        }
        return connections.lastOrNull { it.mayCarry(attemptId) }?.also { connections -= it }
    }

    private fun isFresh(connection: TargetConnection, maxIdleMillis: Long): Boolean {
        val targetLimitMillis = connection.idleTimeoutMillis?.let { (it * IDLE_TIMEOUT_FRACTION).toLong() }
        val limitMillis = minOf(targetLimitMillis ?: settings.maxIdleMillis, maxIdleMillis)
        return clock.nowMillis() - connection.idleSinceMillis < limitMillis
    }

    /** Closes the connections that exceeded their idle timeout; called about once a second. */
    fun closeStale() {
        idle.values.forEach { connections ->
            val stale = connections.filterNot { it.isUsable && isFresh(it, settings.maxIdleMillis) }
            connections.removeAll(stale)
            stale.forEach { it.close() }
        }
        idle.values.removeIf { it.isEmpty() }
    }

    /** Closes the idle connections to [address], whose target is unreachable. */
    fun closeIdle(address: SocketAddressText) {
        idle.remove(address)?.forEach { it.close() }
    }

    private fun release(address: SocketAddressText, connection: TargetConnection) {
        connection.idleSinceMillis = clock.nowMillis()
        idle.getOrPut(address) { ArrayDeque() }.addLast(connection)
    }

    private fun remove(address: SocketAddressText, connection: TargetConnection) {
        idle[address]?.remove(connection)
        openByAddress.computeIfPresent(address) { _, count -> if (count > 1) count - 1 else null }
    }

    /** Represents an attempt whose connection is being opened; the request is sent once it is open. */
    private inner class PendingAttempt(
        private val address: SocketAddressText,
        private val request: FullHttpRequest,
        private val attemptId: String?,
        private val listener: AttemptListener,
        private val isAlone: Boolean,
        private val maySend: () -> Boolean,
    ) : TargetAttempt {
        private var connecting: ChannelFuture? = null
        private var sentAttempt: TargetAttempt? = null
        private var isCancelled = false

        fun connect() {
            openedConnections++
            openByAddress.merge(address, 1, Int::plus)
            var connection: TargetConnection? = null
            val attempt = bootstrap.clone().handler(
                object : ChannelInitializer<Channel>() {
                    override fun initChannel(channel: Channel) {
                        connection = open(channel)
                    }
                },
            ).connect(address.host, address.port)
            connecting = attempt
            attempt.addListener { done -> onConnected(done.isSuccess, done.cause(), connection) }
        }

        private fun open(channel: Channel): TargetConnection {
            val decoder = TargetResponseDecoder(DECODER_CONFIG)
            val opened = TargetConnection(
                channel,
                decoder,
                onIdle = { release(address, it) },
                onClosed = { remove(address, it) },
                onUnsolicitedBytes = { place, byteCount ->
                    unsolicitedBytesListener.onUnsolicitedBytes(address, place, byteCount)
                },
                limits,
            )
            channel.pipeline().addLast(opened.byteCounter, HttpRequestEncoder(), decoder, opened)
            return opened
        }

        private fun connectFailure(cause: Throwable?): AttemptFailure {
            val isTimeout = cause is ConnectTimeoutException
            val kind = if (isTimeout) AttemptFailureKind.CONNECT_TIMEOUT else AttemptFailureKind.CONNECT
            return AttemptFailure(wasSent = false, kind, "no connection: $cause")
        }

        private fun onConnected(isSuccess: Boolean, cause: Throwable?, connection: TargetConnection?) {
            if (!isSuccess || connection == null) {
                openByAddress.computeIfPresent(address) { _, count -> if (count > 1) count - 1 else null }
                request.release()
                if (!isCancelled) listener.onFailure(connectFailure(cause))
                return
            }
            if (isCancelled) {
                request.release()
                return release(address, connection)
            }
            if (!maySend()) return dropUnsent(connection)
            if (isAlone) connection.preventReuse()
            sentAttempt = connection.send(request, attemptId, listener)
        }

        private fun dropUnsent(connection: TargetConnection) {
            request.release()
            release(address, connection)
            listener.onFailure(
                AttemptFailure(wasSent = false, AttemptFailureKind.NOT_PERMITTED, "the permit has ended"),
            )
        }

        override fun cancel() {
            isCancelled = true
            sentAttempt?.cancel()
        }

        override fun setReading(isReading: Boolean) {
            sentAttempt?.setReading(isReading)
        }
    }
}
