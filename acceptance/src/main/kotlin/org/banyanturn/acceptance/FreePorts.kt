package org.banyanturn.acceptance

import java.io.IOException
import java.net.InetAddress
import java.net.ServerSocket
import java.util.concurrent.ConcurrentHashMap
import kotlin.random.Random

/** Ports below those that the system gives to outgoing connections, so that none of these takes one in between. */
private val candidatePorts = 12_000..31_999

/** Ports that this process has returned; the program that is to listen there may not have started yet. */
private val assignedPorts: MutableSet<Int> = ConcurrentHashMap.newKeySet()

/** Returns [count] TCP ports of the loopback address that are free now; no port is returned twice. */
internal fun freePorts(count: Int): List<Int> {
    val ports = ArrayList<Int>()
    while (ports.size < count) {
        val port = candidatePorts.random(Random.Default)
        if (assignedPorts.add(port) && isFree(port)) ports += port
    }
    return ports
}

private fun isFree(port: Int): Boolean =
    try {
        ServerSocket(port, 1, InetAddress.getLoopbackAddress()).close()
        true
    } catch (_: IOException) {
        false
    }
