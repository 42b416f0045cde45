package org.banyanturn.entry.http

import org.junit.jupiter.api.Assertions.assertEquals
import org.junit.jupiter.api.Assertions.assertFalse
import org.junit.jupiter.api.Test

/** Guards against requests whose end is doubtful, so that a part of one could pass for another. */
class RequestFramingTest {
    private val smuggled = "GET /open/smuggled HTTP/1.1\r\nHost: a.example\r\nAttempt-Id: smuggled\r\n\r\n"

    private fun assertRejected(fields: String, body: String, version: String = "HTTP/1.1") {
        val caller = CallerChannel { answer(it) }
        caller.read("POST /open/1 $version\r\nHost: a.example\r\nAttempt-Id: 1\r\n$fields\r\n$body$smuggled")
        assertEquals(emptyList<SeenRequest>(), caller.requests, fields)
        assertEquals(listOf(400), caller.takeResponses().map { it.status }, fields)
        assertFalse(caller.channel.isActive, fields)
        caller.closeAndCheckBuffers()
    }

    @Test
    fun `a request with a length and chunks is rejected`() {
        assertRejected("Content-Length: 5\r\nTransfer-Encoding: chunked\r\n", "0\r\n\r\n")
        assertRejected("Transfer-Encoding: chunked\r\nContent-Length: 5\r\n", "0\r\n\r\n")
    }

    @Test
    fun `a request with two lengths or none that can be read is rejected`() {
        assertRejected("Content-Length: 0\r\nContent-Length: 5\r\n", "")
        assertRejected("Content-Length: 0, 5\r\n", "")
        assertRejected("Content-Length: +0\r\n", "")
        assertRejected("Content-Length: -1\r\n", "")
        assertRejected("Content-Length: 0x0\r\n", "")
    }

    @Test
    fun `a request whose transfer coding is not chunked alone is rejected`() {
        listOf("identity", "gzip", "xchunked", "chunked, identity", "gzip, chunked", "chunked, chunked").forEach {
            assertRejected("Transfer-Encoding: $it\r\n", "")
        }
        assertRejected("Transfer-Encoding: chunked\r\nTransfer-Encoding: identity\r\n", "0\r\n\r\n")
    }

    @Test
    fun `chunks in HTTP 1_0 are rejected`() {
        assertRejected("Connection: keep-alive\r\nTransfer-Encoding: chunked\r\n", "0\r\n\r\n", "HTTP/1.0")
    }

    @Test
    fun `a head whose lines or names are not those of HTTP is rejected`() {
        assertRejected("Content-Length : 5\r\n", "")
        assertRejected("A: b\nTransfer-Encoding: chunked\r\n", "")
    }

    @Test
    fun `an interim response waits for the answer before it`() {
        val caller = CallerChannel()
        val first = SeenRequest("GET", "/open/1", "1", "")
        val second = SeenRequest("POST", "/open/2", "2", "body")
        caller.read(CallerChannel.requestText(first))
        val text = CallerChannel.requestText(second, "Expect: 100-continue\r\n")
        caller.read(text.dropLast(second.body.length))
        assertEquals("", caller.takeWritten())
        val exchange = checkNotNull(caller.lastExchange)
        caller.answer(exchange)
        caller.channel.runPendingTasks()
        val written = caller.takeWritten()
        assertEquals(listOf("200", "100"), Regex("HTTP/1.1 (...)").findAll(written).map { it.groupValues[1] }.toList())
        caller.read(second.body)
        assertEquals(listOf(first, second), caller.requests)
        caller.closeAndCheckBuffers()
    }
}
