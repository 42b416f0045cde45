package org.banyanturn.standin

import org.junit.jupiter.api.Assertions.assertEquals
import org.junit.jupiter.api.Assertions.assertTrue
import org.junit.jupiter.api.Test
import java.net.InetAddress
import java.net.ServerSocket

/** Guards against two programs that are told to listen at one port, so that the later one ends at its start. */
class LocalPortsTest {
    @Test
    fun `no port is assigned twice, also across blocks`() {
        val ports = List(PORT_COUNT) { LocalPorts.next() } + List(PORT_COUNT) { LocalPorts.next(count = 3) }
        assertEquals(ports.size, ports.toSet().size)
    }

    @Test
    fun `a port at which another program listens is passed over`() {
        val port = LocalPorts.next()
        ServerSocket(port + 2, 1, InetAddress.getLoopbackAddress()).use {
            val ports = List(3) { LocalPorts.next(count = 2) }
            assertTrue(ports.none { port + 2 in it..it + 1 }, "$ports")
        }
    }

    private companion object {
        const val PORT_COUNT = 600
    }
}
