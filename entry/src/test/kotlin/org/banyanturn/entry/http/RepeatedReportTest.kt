package org.banyanturn.entry.http

import com.github.michaelbull.result.get
import io.netty.channel.MultiThreadIoEventLoopGroup
import io.netty.channel.nio.NioIoHandler
import kotlinx.coroutines.asCoroutineDispatcher
import kotlinx.coroutines.runBlocking
import kotlinx.coroutines.withContext
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
class RepeatedReportTest {
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

    private fun answersOf(calls: Int, answersOnce: Boolean): List<String?> = runBlocking {
        val exchanges = PooledHttpExchanges(pool, answersOnce)
        val address = SocketAddressText("127.0.0.1", target.port)
        withContext(loop.asCoroutineDispatcher()) {
            List(calls) { number ->
                val call = HttpExchangeCall("GET", "/report/$number", timeoutMillis = 2_000)
                exchanges.call(address, call).get()?.body?.decodeToString()
            }
        }
    }

    @Test
    fun `a report that is written once more is not taken for the next one`() {
        assertEquals(List(CALLS) { "/report/$it" }, answersOf(CALLS, answersOnce = false))
    }

    @Test
    fun `calls to a server that answers each call once share a connection`() {
        val sound = ScriptedTarget { ScriptedAnswer(answer(it.path)) }
        sound.use {
            val address = SocketAddressText("127.0.0.1", sound.port)
            val exchanges = PooledHttpExchanges(pool, answersOnce = true)
            runBlocking(loop.asCoroutineDispatcher()) {
                repeat(CALLS) {
                    exchanges.call(address, HttpExchangeCall("GET", "/log/$it", timeoutMillis = 2_000))
                }
            }
            assertEquals(1, sound.openedConnections.get())
        }
    }

    private companion object {
        const val CALLS = 4
    }
}
