package org.banyanturn.entry

import kotlinx.coroutines.runBlocking
import org.junit.jupiter.api.AfterEach
import org.junit.jupiter.api.Assertions.assertEquals
import org.junit.jupiter.api.Test
import java.util.concurrent.atomic.AtomicInteger

/** Guards against requests that count as not run because their target wrote an earlier refusal once more. */
class RepeatedRefusalTest {
    private val fixture = EntryFixture()
    private val platform = fixture.platform
    private val arrivals = AtomicInteger()
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
    }

    private fun book(id: String) = fixture.send("/book/1", "Authorization", "Bearer k1", "Attempt-Id", id)

    private fun refusal(attemptId: String?): String {
        val idLine = attemptId?.let { "Attempt-Id: $it\r\n" }.orEmpty()
        return "HTTP/1.1 503 Service Unavailable\r\n${idLine}Not-Executed: 1\r\nContent-Length: 0\r\n\r\n"
    }

    private fun done(attemptId: String): String =
        "HTTP/1.1 200 OK\r\nAttempt-Id: $attemptId\r\nServer-Seal: s\r\nContent-Length: 4\r\n\r\ndone"

    private fun failed(attemptId: String): String =
        "HTTP/1.1 500 Internal Server Error\r\nAttempt-Id: $attemptId\r\nServer-Seal: s\r\nContent-Length: 0\r\n\r\n"

    /** Runs every request but the first, and writes [repeated] before each answer on a kept connection. */
    private fun refuseFirstAndRepeat(repeated: String) = startWith { request ->
        if (arrivals.incrementAndGet() == 1) {
            ScriptedAnswer(refusal(request.attemptId))
        } else {
            ScriptedAnswer((if (request.isOnKeptConnection) repeated else "") + done(request.attemptId))
        }
    }

    @Test
    fun `an earlier refusal that is written once more without an id does not refuse a request that ran`() {
        refuseFirstAndRepeat(refusal(attemptId = null))
        assertEquals(503, book("b-1").statusCode())
        assertEquals("done", book("b-2").body())
        assertEquals(1, target.openedConnections.get())
        assertEquals(1, target.requests.count { it.attemptId == "b-2" })
    }

    @Test
    fun `an earlier refusal of the same attempt does not refuse the request when the target runs it at last`() {
        refuseFirstAndRepeat(refusal(attemptId = "b-1"))
        assertEquals(503, book("b-1").statusCode())
        assertEquals("done", book("b-1").body())
    }

    @Test
    fun `an earlier success of the same attempt is not the answer when the target runs it once more`() {
        startWith { request ->
            val number = arrivals.incrementAndGet()
            val earlier = if (request.isOnKeptConnection) done(request.attemptId) else ""
            ScriptedAnswer(earlier + if (number == 1) done(request.attemptId) else failed(request.attemptId))
        }
        assertEquals(200, book("b-1").statusCode())
        assertEquals(500, book("b-1").statusCode())
    }

    @Test
    fun `an earlier refusal of another attempt is discarded`() {
        refuseFirstAndRepeat(refusal(attemptId = "b-1"))
        assertEquals(503, book("b-1").statusCode())
        assertEquals("done", book("b-2").body())
    }

    @Test
    fun `a target's first refusal on a connection counts also without an id`() {
        startWith { ScriptedAnswer(refusal(attemptId = null), ConnectionEnd.CLOSE) }
        assertEquals(503, book("b-1").statusCode())
    }
}
