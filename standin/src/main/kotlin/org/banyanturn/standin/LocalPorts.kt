package org.banyanturn.standin

import java.io.IOException
import java.net.InetAddress
import java.net.ServerSocket

/**
 * Assigns TCP ports of the loopback address to programs that this process is about to start. Thread-safe.
 *
 * A port that is free now may be taken before its program listens there. Therefore each process assigns ports only from
 * blocks of its own, which it claims by listening at the first port of a block, and assigns none twice. The blocks lie
 * below the ports that the system gives to outgoing connections.
 */
public object LocalPorts {
    private const val BLOCK_SIZE = 500
    private val firstPorts = 12_000..31_500 step BLOCK_SIZE
    private val claims = ArrayList<ServerSocket>()
    private var nextPort = 0
    private var endPort = 0

    /** Returns the first of [count] consecutive ports that are free now. */
    @Synchronized
    public fun next(count: Int = 1): Int {
        while (true) {
            if (nextPort + count > endPort) claimBlock()
            val first = nextPort
            nextPort += count
            if ((first until first + count).all { port -> listenOrNull(port)?.use { true } ?: false }) return first
        }
    }

    private fun claimBlock() {
        val claim = firstPorts.shuffled().firstNotNullOfOrNull(::listenOrNull)
        checkNotNull(claim) { "all blocks of ports are claimed by other processes" }
        claims += claim
        nextPort = claim.localPort + 1
        endPort = claim.localPort + BLOCK_SIZE
    }

    private fun listenOrNull(port: Int): ServerSocket? =
        try {
            ServerSocket(port, 1, InetAddress.getLoopbackAddress())
        } catch (_: IOException) {
            null
        }
}
