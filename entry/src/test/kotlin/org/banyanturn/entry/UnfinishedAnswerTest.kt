package org.banyanturn.entry

import kotlinx.coroutines.runBlocking
import org.junit.jupiter.api.AfterEach
import org.junit.jupiter.api.Assertions.assertEquals
import org.junit.jupiter.api.Assertions.assertFalse
import org.junit.jupiter.api.Assertions.assertTrue
import org.junit.jupiter.api.Test
import java.net.http.HttpResponse

/** Guards against a target's failure that reaches its caller with the status of an unfinished second answer. */
class UnfinishedAnswerTest {
    private val fixture = EntryFixture()
    private val platform = fixture.platform
    private lateinit var target: ScriptedTarget

    @AfterEach
    fun stop() {
        fixture.close()
        target.close()
    }

    private fun startWith(script: (ReceivedRequest) -> ScriptedAnswer) {
        runBlocking { platform.start() }
        platform.declare(fixture.hostedDocument())
        target = ScriptedTarget(script)
        platform.listForeign("i-1", "cal", target.port)
        fixture.startEntry()
        fixture.awaitTrue("the VM is ready") { fixture.readinessStatus() == 200 }
        fixture.awaitTrue("the routes are known") { send("/open/1", "warm-up").statusCode() == 200 }
    }

    private fun send(path: String, id: String): HttpResponse<String> =
        fixture.send(path, "Authorization", "Bearer k1", "Attempt-Id", id)

    private fun answer(status: String, request: ReceivedRequest, body: String): String =
        "HTTP/1.1 $status\r\nAttempt-Id: ${request.attemptId}\r\nServer-Seal: s\r\n" +
            "Content-Length: ${body.length}\r\n\r\n$body"

    /** Succeeds at requests for `first`, with [unfinished] behind the answer, and fails at those for `second`. */
    private fun leaveBehind(unfinished: String, pauseMillis: Long) = startWith { request ->
        when {
            request.attemptId.startsWith("first") ->
                ScriptedAnswer(answer("200 OK", request, "done"), trailing = unfinished, pauseMillis = pauseMillis)

            request.attemptId.startsWith("second") ->
                ScriptedAnswer(answer("500 Internal Server Error", request, "failed"))

            else -> ScriptedAnswer(answer("200 OK", request, ""))
        }
    }

    private fun assertFailureStays(path: String) {
        assertEquals("done", send(path, "first$path").body())
        Thread.sleep(IDLE_MILLIS)
        val second = send(path, "second$path")
        assertEquals("500 failed", "${second.statusCode()} ${second.body()}", "$path: what the target answered")
        val received = target.requests.filter { it.attemptId == "second$path" }
        assertTrue(received.isNotEmpty(), "$path: the target got the request")
        assertFalse(received.first().isOnKeptConnection, "$path: the connection is not used again")
    }

    @Test
    fun `an unfinished line in the read of a whole answer does not turn the next failure into a success`() {
        leaveBehind("HTTP/1.1 200 OK\r\nDate: ", pauseMillis = 0)
        listOf("/open/1", "/book/1").forEach(::assertFailureStays)
    }

    @Test
    fun `an unfinished line on an idle connection does not turn the next failure into a success`() {
        leaveBehind("HTTP/1.1 200 OK\r\nDate: ", pauseMillis = IDLE_MILLIS / 2)
        listOf("/open/1", "/book/1").forEach(::assertFailureStays)
    }

    @Test
    fun `an unfinished start line does not turn the next failure into a success`() {
        leaveBehind("HTTP/1.1 200 ", pauseMillis = 0)
        listOf("/open/1", "/book/1").forEach(::assertFailureStays)
    }

    @Test
    fun `an unfinished line before the answer does not turn a failure into a success`() {
        startWith { request ->
            if (!request.attemptId.startsWith("second")) return@startWith ScriptedAnswer(answer("200 OK", request, ""))
            val failure = answer("500 Internal Server Error", request, "failed")
            ScriptedAnswer("HTTP/1.1 200 OK\r\nDate: $failure")
        }
        listOf("/open/1", "/book/1").forEach { path ->
            val second = send(path, "second$path")
            assertTrue(second.statusCode() >= 500, "$path: the target failed, the caller got ${second.statusCode()}")
        }
    }

    private companion object {
        const val IDLE_MILLIS = 60L
    }
}
