package org.banyanturn.entry

import kotlinx.coroutines.runBlocking
import org.banyanturn.core.delivery.AnswerFraming
import org.junit.jupiter.api.AfterEach
import org.junit.jupiter.api.Assertions.assertEquals
import org.junit.jupiter.api.Assertions.assertFalse
import org.junit.jupiter.api.Assertions.assertTrue
import org.junit.jupiter.api.Test
import java.io.ByteArrayOutputStream
import java.io.IOException
import java.net.Socket
import java.net.SocketException
import java.util.concurrent.atomic.AtomicInteger

/** Guards against answers that a target broke off and that reach their callers as complete. */
class BrokenAnswerTest {
    private val fixture = EntryFixture()
    private val platform = fixture.platform
    private val targets = ArrayList<ScriptedTarget>()
    private val nextId = AtomicInteger()

    @AfterEach
    fun stop() {
        fixture.close()
        targets.forEach { it.close() }
    }

    private fun startWith(script: (ReceivedRequest) -> ScriptedAnswer) {
        runBlocking { platform.start() }
        platform.declare(fixture.hostedDocument())
        val target = ScriptedTarget(script).also { targets += it }
        platform.listForeign("i-1", "llm", target.port, model = "m0")
        platform.listForeign("i-2", "cal", target.port)
        fixture.startEntry()
        fixture.awaitTrue("the VM is ready") { fixture.readinessStatus() == 200 }
    }

    private fun send(path: String) =
        fixture.send(path, "Authorization", "Bearer k1", "Attempt-Id", "a-${nextId.incrementAndGet()}", "Model", "m0")

    /** Returns the body that the caller of [path] received as a success, or `null` if it was told of a failure. */
    private fun successfulBodyOrNull(path: String): String? =
        try {
            send(path).takeIf { it.statusCode() == 200 }?.body()
        } catch (_: IOException) {
            null
        }

    private fun answer(
        request: ReceivedRequest,
        framing: AnswerFraming,
        body: String,
        end: ConnectionEnd,
        isWhole: Boolean,
    ): ScriptedAnswer {
        val head = "HTTP/1.1 200 OK\r\nAttempt-Id: ${request.attemptId}\r\nServer-Seal: s\r\n"
        return ScriptedAnswer(head + framed(framing, body, isWhole), end)
    }

    /** Returns the head of an answer without the empty line that ends it. */
    private fun headWithoutEnd(attemptId: String?): String =
        "HTTP/1.1 200 OK\r\nAttempt-Id: $attemptId\r\nServer-Seal: s\r\nContent-Length: 0\r\n"

    private fun framed(framing: AnswerFraming, body: String, isWhole: Boolean): String =
        when (framing) {
            AnswerFraming.LENGTH -> "Content-Length: ${body.length + if (isWhole) 0 else MISSING_BYTES}\r\n\r\n$body"

            AnswerFraming.CHUNKS -> "Transfer-Encoding: chunked\r\n\r\n${chunk(
                body,
            )}${if (isWhole) "0\r\n\r\n" else ""}"

            AnswerFraming.CONNECTION -> "\r\n$body"
        }

    private fun chunk(body: String): String = if (body.isEmpty()) "" else "${body.length.toString(16)}\r\n$body\r\n"

    @Test
    fun `a stream that ends inside an event is never complete, whatever its framing says`() {
        var framing = AnswerFraming.CONNECTION
        startWith { answer(it, framing, WHOLE_STREAM + "id: 3\nda", ConnectionEnd.CLOSE, isWhole = true) }
        AnswerFraming.entries.forEach {
            framing = it
            assertEquals(null, successfulBodyOrNull("/reports/1"), "$it")
        }
    }

    @Test
    fun `a stream without a length or chunks that ends before its first event is not complete`() {
        startWith { answer(it, AnswerFraming.CONNECTION, "", ConnectionEnd.CLOSE, isWhole = true) }
        assertEquals(null, successfulBodyOrNull("/reports/1"))
    }

    @Test
    fun `a stream or a whole answer whose connection is reset is not complete in any framing`() {
        var framing = AnswerFraming.CONNECTION
        startWith { answer(it, framing, WHOLE_STREAM, ConnectionEnd.RESET, isWhole = false) }
        AnswerFraming.entries.forEach {
            framing = it
            listOf("/reports/1", "/open/1", "/book/1").forEach { path ->
                assertEquals(null, successfulBodyOrNull(path), "$it $path")
            }
        }
    }

    @Test
    fun `an answer that ends before its length or its last chunk is not complete`() {
        var framing = AnswerFraming.LENGTH
        startWith { answer(it, framing, WHOLE_STREAM, ConnectionEnd.CLOSE, isWhole = false) }
        listOf(AnswerFraming.LENGTH, AnswerFraming.CHUNKS).forEach {
            framing = it
            listOf("/reports/1", "/open/1", "/book/1").forEach { path ->
                assertEquals(null, successfulBodyOrNull(path), "$it $path")
            }
        }
    }

    @Test
    fun `an answer that ends inside its head is not complete, wherever the head is cut`() {
        var cut = 0
        startWith { request ->
            val head = headWithoutEnd(request.attemptId)
            ScriptedAnswer(head.take(head.length - cut), ConnectionEnd.CLOSE)
        }
        (0 until headWithoutEnd(attemptId = "a-1").length).forEach {
            cut = it
            listOf("/reports/1", "/open/1", "/book/1").forEach { path ->
                assertEquals(null, successfulBodyOrNull(path), "the last $it bytes of the head are missing, $path")
            }
        }
    }

    @Test
    fun `a whole answer reaches its caller in any framing`() {
        var framing = AnswerFraming.CONNECTION
        startWith {
            val end = if (framing == AnswerFraming.CONNECTION) ConnectionEnd.CLOSE else ConnectionEnd.KEEP
            answer(it, framing, WHOLE_STREAM, end, isWhole = true)
        }
        AnswerFraming.entries.forEach {
            framing = it
            listOf("/reports/1", "/open/1", "/book/1").forEach { path ->
                assertEquals(WHOLE_STREAM, successfulBodyOrNull(path), "$it $path")
            }
        }
    }

    @Test
    fun `a stream of more events than pass in one turn reaches its caller whole in any framing`() {
        var framing = AnswerFraming.CONNECTION
        startWith {
            val end = if (framing == AnswerFraming.CONNECTION) ConnectionEnd.CLOSE else ConnectionEnd.KEEP
            answer(it, framing, MANY_EVENTS, end, isWhole = true)
        }
        AnswerFraming.entries.forEach {
            framing = it
            repeat(REPEATS) { number ->
                assertEquals(MANY_EVENTS, successfulBodyOrNull("/reports/1"), "$framing, request $number")
            }
        }
    }

    @Test
    fun `a stream of more events than pass in one turn that breaks off is not complete in any framing`() {
        var framing = AnswerFraming.CONNECTION
        var end = ConnectionEnd.CLOSE
        startWith { answer(it, framing, MANY_EVENTS + "id: 5001\nda", end, isWhole = false) }
        AnswerFraming.entries.forEach {
            framing = it
            listOf(ConnectionEnd.CLOSE, ConnectionEnd.RESET).forEach { ending ->
                end = ending
                assertEquals(null, successfulBodyOrNull("/reports/1"), "$framing $ending")
            }
        }
    }

    @Test
    fun `a stream of more events than pass in one turn that breaks off resumes after the last of them`() {
        startWith { request ->
            val isResumed = request.headers["last-event-id"] == "5000"
            val body = if (isResumed) "id: 5001\ndata: c\n\n" else MANY_EVENTS + "id: 5001\nda"
            answer(request, AnswerFraming.CONNECTION, body, ConnectionEnd.CLOSE, isWhole = true)
        }
        assertEquals(MANY_EVENTS + "id: 5001\ndata: c\n\n", successfulBodyOrNull("/notes/1"))
    }

    @Test
    fun `a stream that breaks off inside an event resumes at the next attempt`() {
        startWith { request ->
            val isResumed = request.headers["last-event-id"] == "2"
            val body = if (isResumed) "id: 3\ndata: c\n\n" else WHOLE_STREAM + "id: 3\nda"
            answer(request, AnswerFraming.CONNECTION, body, ConnectionEnd.CLOSE, isWhole = true)
        }
        assertEquals(WHOLE_STREAM + "id: 3\ndata: c\n\n", successfulBodyOrNull("/notes/1"))
    }

    @Test
    fun `a stream that has begun never ends with the error or the whole answer of the next target`() {
        var second = ""
        startWith { request ->
            val isResumed = request.headers["last-event-id"] == "2"
            if (isResumed) ScriptedAnswer(second) else ScriptedAnswer(brokenStream(request), ConnectionEnd.CLOSE)
        }
        listOf(
            "400 Bad Request",
            "404 Not Found",
            "500 Server Error",
            "503 Busy",
            "206 Partial",
            "204 No Content",
        ).forEach {
            val body = if (it.startsWith("204")) "" else "gone"
            second = "HTTP/1.1 $it\r\nServer-Seal: s\r\nContent-Length: ${body.length}\r\n\r\n$body"
            val raw = rawAnswer("/notes/1")
            assertTrue(raw.startsWith("HTTP/1.1 200 OK"), "$it: $raw")
            assertTrue("data: b" in raw, "$it: the first target's events arrive: $raw")
            assertFalse("gone" in raw || "HTTP/1.1" in raw.substring(1), "$it: $raw")
            assertFalse(raw.endsWith("0\r\n\r\n"), "$it: the stream must not look complete: $raw")
        }
    }

    private fun brokenStream(request: ReceivedRequest): String =
        "HTTP/1.1 200 OK\r\nAttempt-Id: ${request.attemptId}\r\nServer-Seal: s\r\n" +
            framed(AnswerFraming.CHUNKS, WHOLE_STREAM, isWhole = false)

    /** Returns all bytes that a caller of [path] receives. */
    private fun rawAnswer(path: String): String =
        Socket("127.0.0.1", fixture.callerPort).use { socket ->
            socket.soTimeout = READ_TIMEOUT_MILLIS
            val head = "POST $path HTTP/1.1\r\nHost: 127.0.0.1\r\nAuthorization: Bearer k1\r\n" +
                "Attempt-Id: raw-${nextId.incrementAndGet()}\r\nModel: m0\r\nContent-Length: 2\r\n\r\n{}"
            socket.getOutputStream().write(head.encodeToByteArray())
            readUntilEnd(socket)
        }

    /** Returns what arrives at [socket] until it is closed or reset; a silent connection is an error. */
    private fun readUntilEnd(socket: Socket): String {
        val bytes = ByteArrayOutputStream()
        try {
            while (true) {
                val byte = socket.getInputStream().read()
                if (byte < 0) break
                bytes.write(byte)
            }
        } catch (_: SocketException) {
            // A reset ends a broken answer too.
        }
        return bytes.toString(Charsets.UTF_8)
    }

    @Test
    fun `a caller without chunks learns by a reset that its stream was broken off`() {
        startWith { answer(it, AnswerFraming.CHUNKS, WHOLE_STREAM, ConnectionEnd.RESET, isWhole = false) }
        Socket("127.0.0.1", fixture.callerPort).use { socket ->
            val head = "POST /reports/1 HTTP/1.0\r\nHost: 127.0.0.1\r\nAuthorization: Bearer k1\r\n" +
                "Attempt-Id: old\r\nModel: m0\r\nContent-Length: 2\r\n\r\n{}"
            socket.getOutputStream().write(head.encodeToByteArray())
            val read = runCatching { socket.getInputStream().readAllBytes().decodeToString() }
            assertTrue(read.exceptionOrNull() is SocketException, "the answer must not look whole: $read")
        }
    }

    private companion object {
        const val WHOLE_STREAM = "id: 1\ndata: a\n\nid: 2\ndata: b\n\n"
        const val MISSING_BYTES = 40
        const val REPEATS = 5
        val MANY_EVENTS = (1..5_000).joinToString("") { "id: $it\n\n" }
        const val READ_TIMEOUT_MILLIS = 3_000
    }
}
