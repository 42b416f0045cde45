package org.banyanturn.entry

import kotlinx.coroutines.runBlocking
import org.junit.jupiter.api.AfterEach
import org.junit.jupiter.api.Assertions.assertEquals
import org.junit.jupiter.api.Assertions.assertTrue
import org.junit.jupiter.api.Test
import java.net.InetAddress
import java.net.Socket

/** Guards against answers whose status no class of HTTP defines, such as 000, and that reach their callers. */
class InvalidStatusTest {
    private val fixture = EntryFixture()
    private var target: ScriptedTarget? = null
    private var nextId = 0

    @AfterEach
    fun stop() {
        fixture.close()
        target?.close()
    }

    private fun startWith(answer: (ReceivedRequest) -> String) {
        runBlocking { fixture.platform.start() }
        fixture.platform.declare(fixture.hostedDocument())
        val started = ScriptedTarget { ScriptedAnswer(answer(it)) }.also { target = it }
        fixture.platform.listForeign("i-1", "llm", started.port, model = "m0")
        fixture.platform.listForeign("i-2", "cal", started.port)
        fixture.startEntry()
        fixture.awaitTrue("the VM is ready") { fixture.readinessStatus() == 200 }
    }

    /** Returns the status line of the VM's answer as bytes on the wire; clients reject odd ones themselves. */
    private fun statusLineOf(method: String, path: String): String =
        Socket(InetAddress.getLoopbackAddress(), fixture.callerPort).use { socket ->
            val head = "$method $path HTTP/1.1\r\nHost: $HOST\r\nAttempt-Id: s-${nextId++}\r\nDeadline-Ms: 3000\r\n" +
                "Authorization: Bearer k1\r\nModel: m0\r\nContent-Length: 0\r\nConnection: close\r\n\r\n"
            socket.getOutputStream().write(head.encodeToByteArray())
            socket.soTimeout = READ_TIMEOUT_MILLIS
            socket.getInputStream().bufferedReader().readLine().orEmpty()
        }

    private fun statusOf(method: String, path: String): Int? =
        statusLineOf(method, path).split(' ').getOrNull(1)?.toIntOrNull()

    @Test
    fun `an answer with an invalid status is a failure of its attempt on every kind of route`() {
        var status = ""
        startWith {
            "HTTP/1.1 $status\r\nAttempt-Id: ${it.attemptId}\r\nServer-Seal: s\r\nContent-Length: 2\r\n\r\nok"
        }
        for (invalid in listOf("000", "000 ", "0 OK", "099 Odd", "600 Odd", "999 Odd")) {
            status = invalid
            for ((method, path) in listOf("POST" to "/reports/1", "POST" to "/book/1", "GET" to "/open/1")) {
                val seen = statusOf(method, path)
                assertTrue(seen in GATEWAY_FAILURES, "$method $path: $seen for a target's $invalid")
            }
        }
    }

    /** The outcome of a call that runs once is unknown, so the caller must not be told that it has not run. */
    @Test
    fun `a call that runs once is not reported as not run after an invalid status`() {
        startWith {
            "HTTP/1.1 000\r\nAttempt-Id: ${it.attemptId}\r\nServer-Seal: s\r\nContent-Length: 0\r\n\r\n"
        }
        assertEquals(BAD_GATEWAY, statusOf("POST", "/book/1"))
        assertEquals(1, target?.requests?.size)
    }

    @Test
    fun `an empty reason is no fault, and an interim answer in front of the final one is skipped`() {
        startWith {
            "HTTP/1.1 103 Early Hints\r\n\r\nHTTP/1.1 200 \r\nAttempt-Id: ${it.attemptId}\r\nServer-Seal: s\r\n" +
                "Content-Length: 2\r\n\r\nok"
        }
        assertEquals(OK, statusOf("POST", "/book/1"))
    }

    private companion object {
        const val HOST = "127.0.0.1"
        const val READ_TIMEOUT_MILLIS = 10_000
        const val OK = 200
        const val BAD_GATEWAY = 502

        /** The VM's own statuses for a request that no target answered in a valid way. */
        val GATEWAY_FAILURES = setOf(502, 503, 504)
    }
}
