package org.banyanturn.entry

import kotlinx.coroutines.runBlocking
import org.junit.jupiter.api.AfterEach
import org.junit.jupiter.api.Assertions.assertEquals
import org.junit.jupiter.api.Assertions.assertTrue
import org.junit.jupiter.api.Test
import java.net.Socket
import java.util.concurrent.TimeUnit

/** Guards against requests that are complete late in a shutdown, are sent to a target and are cut at its end. */
class LateRequestInShutdownTest {
    private val fixture = EntryFixture()
    private val targets = ArrayList<ScriptedTarget>()

    @AfterEach
    fun stop() {
        fixture.close()
        targets.forEach { it.close() }
    }

    private fun startWithSilentTargets() {
        runBlocking { fixture.platform.start() }
        fixture.platform.declare(fixture.hostedDocument())
        val target = ScriptedTarget {
            TimeUnit.SECONDS.sleep(SILENT_SECONDS)
            ScriptedAnswer("")
        }
        targets += target
        fixture.platform.listForeign("i-1", "llm", target.port, model = "m0")
        fixture.platform.listForeign("i-2", "cal", target.port)
        fixture.startEntry()
        fixture.awaitTrue("the VM is ready") { fixture.readinessStatus() == 200 }
    }

    private fun startRequest(path: String): Socket =
        Socket("127.0.0.1", fixture.callerPort).also { socket ->
            socket.soTimeout = READ_TIMEOUT_MILLIS
            val head = "POST $path HTTP/1.1\r\nHost: 127.0.0.1\r\nAuthorization: Bearer k1\r\n" +
                "Attempt-Id: late-${path.hashCode()}\r\nModel: m0\r\nContent-Length: 2\r\n\r\n{"
            socket.getOutputStream().write(head.encodeToByteArray())
        }

    @Test
    fun `a request whose body ends after the VM has stopped accepting is refused as not run`() {
        startWithSilentTargets()
        val running = startRequest("/reports/running").also { it.getOutputStream().write("}".encodeToByteArray()) }
        fixture.awaitTrue("a request runs") { targets.single().requests.size == 1 }
        val sockets = listOf("/book/1", "/reports/1", "/open/1").map(::startRequest)
        fixture.requestStop()
        fixture.awaitTrue("the VM no longer accepts connections") {
            runCatching { Socket("127.0.0.1", fixture.callerPort).close() }.isFailure
        }
        val answers = sockets.map { socket ->
            socket.getOutputStream().write("}".encodeToByteArray())
            socket.use { it.getInputStream().readAllBytes().decodeToString() }
        }
        answers.forEach { answer ->
            assertTrue(answer.startsWith("HTTP/1.1 503"), "a late request is refused at once: $answer")
            assertTrue("not-run" in answer && "Connection: close" in answer.replace("connection", "Connection"), answer)
        }
        assertEquals(listOf("/reports/running"), targets.single().requests.map { it.path })
        running.close()
    }

    private companion object {
        const val SILENT_SECONDS = 15L
        const val READ_TIMEOUT_MILLIS = 1_000
    }
}
