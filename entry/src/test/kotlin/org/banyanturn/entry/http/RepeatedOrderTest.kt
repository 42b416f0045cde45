package org.banyanturn.entry.http

import com.github.michaelbull.result.get
import io.netty.channel.MultiThreadIoEventLoopGroup
import io.netty.channel.nio.NioIoHandler
import kotlinx.coroutines.asCoroutineDispatcher
import kotlinx.coroutines.runBlocking
import org.banyanturn.daemon.processClock
import org.banyanturn.entry.ReceivedRequest
import org.banyanturn.entry.ScriptedAnswer
import org.banyanturn.entry.ScriptedTarget
import org.banyanturn.platform.hosted.HttpExchangeCall
import org.banyanturn.platform.hosted.SocketAddressText
import org.junit.jupiter.api.AfterEach
import org.junit.jupiter.api.Assertions.assertEquals
import org.junit.jupiter.api.Test

/** Guards against an earlier answer without an id that is written once more and taken for the next one. */
class RepeatedOrderTest {
    private val group = MultiThreadIoEventLoopGroup(1, NioIoHandler.newFactory())
    private val loop = group.next()
    private val pool = TargetConnectionPool(loop, processClock())
    private val target = ScriptedTarget { ScriptedAnswer(earlierAnswer(it) + answer(it.path)) }
    private var previousPath = ""

    @AfterEach
    fun stop() {
        target.close()
        group.shutdownGracefully()
    }

    private fun answer(path: String) = "HTTP/1.1 200 OK\r\nContent-Length: ${path.length}\r\n\r\n$path"

    /** Returns the answer to the call before [request] if its connection has carried that call too. */
    private fun earlierAnswer(request: ReceivedRequest): String {
        val earlier = if (request.isOnKeptConnection) answer(previousPath) else ""
        previousPath = request.path
        return earlier
    }

    private fun answersOf(
        calls: Int,
        needsOwnConnection: Boolean,
        server: ScriptedTarget = target,
    ): List<String?> =
        runBlocking(loop.asCoroutineDispatcher()) {
            val exchanges = PooledHttpExchanges(pool)
            val address = SocketAddressText("127.0.0.1", server.port)
            List(calls) { number ->
                val call = HttpExchangeCall(
                    "POST",
                    "/order/$number",
                    timeoutMillis = TIMEOUT_MILLIS,
                    needsOwnConnection = needsOwnConnection,
                )
                exchanges.call(address, call).get()?.body?.decodeToString()
            }
        }

    @Test
    fun `the answer to an order that is written once more is not taken for that to the next order`() {
        assertEquals(List(CALLS) { "/order/$it" }, answersOf(CALLS, needsOwnConnection = true))
        assertEquals(CALLS, target.openedConnections.get())
    }

    @Test
    fun `an order is not sent on a connection that has brought an answer without an id`() {
        answersOf(1, needsOwnConnection = false)
        assertEquals(listOf("/order/0"), answersOf(1, needsOwnConnection = true))
        assertEquals(2, target.openedConnections.get())
    }

    @Test
    fun `calls without effects share a connection`() {
        ScriptedTarget { ScriptedAnswer(answer(it.path)) }.use { sound ->
            val expected = List(CALLS) { "/order/$it" }
            assertEquals(expected, answersOf(CALLS, needsOwnConnection = false, sound))
            assertEquals(1, sound.openedConnections.get())
        }
    }

    private companion object {
        const val CALLS = 4
        const val TIMEOUT_MILLIS = 2_000L
    }
}
