package org.banyanturn.entry

import kotlinx.coroutines.runBlocking
import org.junit.jupiter.api.AfterEach
import org.junit.jupiter.api.Assertions.assertEquals
import org.junit.jupiter.api.Test
import java.io.InputStream
import java.net.Socket
import java.util.concurrent.Callable
import java.util.concurrent.Executors
import java.util.concurrent.TimeUnit
import kotlin.random.Random

/** Guards against requests sent ahead over a kept connection that get each other's answers, or none. */
class PipelinedRequestTest {
    private val fixture = EntryFixture()
    private val platform = fixture.platform
    private lateinit var target: ScriptedTarget

    @AfterEach
    fun stop() {
        fixture.close()
        target.close()
    }

    private fun start() {
        runBlocking { platform.start() }
        platform.declare(fixture.hostedDocument())
        target = ScriptedTarget { request ->
            Thread.sleep(Random.nextLong(MAX_ANSWER_MILLIS))
            val body = "for ${request.attemptId}"
            ScriptedAnswer(
                "HTTP/1.1 200 OK\r\nAttempt-Id: ${request.attemptId}\r\nServer-Seal: s\r\n" +
                    "Content-Length: ${body.length}\r\n\r\n$body",
            )
        }
        platform.listForeign("i-1", "cal", target.port)
        fixture.startEntry()
        fixture.awaitTrue("the VM is ready") { fixture.readinessStatus() == 200 }
        fixture.awaitTrue("the routes are known") { fixture.send("/open/1", "Attempt-Id", "o").statusCode() == 200 }
    }

    private fun requestText(id: String, random: Random): String {
        val body = "b".repeat(random.nextInt(MAX_BODY_BYTES))
        val host = "Host: 127.0.0.1\r\nAttempt-Id: $id\r\n"
        return when (random.nextInt(3)) {
            0 -> "GET /open/$id HTTP/1.1\r\n$host\r\n"

            1 -> "POST /open/$id HTTP/1.1\r\n${host}Content-Length: ${body.length}\r\n\r\n$body"

            else ->
                "POST /open/$id HTTP/1.1\r\n${host}Transfer-Encoding: chunked\r\n\r\n" +
                    "3\r\nabc\r\n2\r\nde\r\n0\r\n\r\n"
        }
    }

    /** Sends the requests for [ids] on one connection, in pieces, and returns the bodies of the answers. */
    private fun bodiesOf(ids: List<String>, random: Random): List<String?> =
        Socket("127.0.0.1", fixture.callerPort).use { socket ->
            socket.tcpNoDelay = true
            socket.soTimeout = READ_TIMEOUT_MILLIS
            val sender = Thread { sendInPieces(socket, ids.joinToString("") { requestText(it, random) }, random) }
            sender.start()
            val bodies = ids.map { runCatching { readBody(socket.getInputStream()) }.getOrNull() }
            sender.join()
            bodies
        }

    private fun sendInPieces(socket: Socket, text: String, random: Random) {
        var sent = 0
        while (sent < text.length) {
            val end = minOf(text.length, sent + random.nextInt(1, MAX_PIECE_BYTES))
            socket.getOutputStream().write(text.substring(sent, end).encodeToByteArray())
            sent = end
            Thread.sleep(random.nextLong(MAX_PAUSE_MILLIS))
        }
    }

    private fun readBody(input: InputStream): String {
        val head = StringBuilder()
        while (!head.endsWith("\r\n\r\n")) {
            val byte = input.read()
            check(byte >= 0) { "the connection was closed behind '$head'" }
            head.append(byte.toChar())
        }
        val length = head.lines().first { it.startsWith("content-length:", ignoreCase = true) }.substringAfter(':')
        return input.readNBytes(length.trim().toInt()).decodeToString()
    }

    @Test
    fun `every request sent ahead gets its own answer`() {
        start()
        val callers = Executors.newFixedThreadPool(CONNECTIONS)
        val tasks = (0 until CONNECTIONS).map { number ->
            val ids = (0 until REQUESTS).map { "c$number-$it" }
            Callable { ids to bodiesOf(ids, Random(number)) }
        }
        val results = callers.invokeAll(tasks, TIMEOUT_SECONDS, TimeUnit.SECONDS).map { it.get() }
        callers.shutdown()
        results.forEach { (ids, bodies) -> assertEquals(ids.map { "for $it" }, bodies) }
    }

    private companion object {
        const val CONNECTIONS = 6
        const val REQUESTS = 150
        const val MAX_BODY_BYTES = 300
        const val MAX_PIECE_BYTES = 400
        const val MAX_PAUSE_MILLIS = 4L
        const val MAX_ANSWER_MILLIS = 5L
        const val READ_TIMEOUT_MILLIS = 3_000
        const val TIMEOUT_SECONDS = 60L
    }
}
