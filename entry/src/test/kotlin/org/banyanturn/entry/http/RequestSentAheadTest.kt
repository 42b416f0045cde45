package org.banyanturn.entry.http

import org.junit.jupiter.api.Assertions.assertEquals
import org.junit.jupiter.api.Assertions.assertFalse
import org.junit.jupiter.api.Assertions.assertTrue
import org.junit.jupiter.api.Test
import kotlin.random.Random

/** Guards against requests that a caller sends ahead and that get each other's answers, or none. */
class RequestSentAheadTest {
    private fun get(id: String) = SeenRequest("GET", "/open/$id", id, "")

    private fun post(id: String, body: String) = SeenRequest("POST", "/open/$id", id, body)

    private fun text(request: SeenRequest) = CallerChannel.requestText(request)

    private fun responseTo(request: SeenRequest) = SeenResponse(200, request.id, "for ${request.id}")

    @Test
    fun `a request that comes as an answer ends is processed behind those that came before`() {
        val caller = CallerChannel()
        caller.read(text(get("1")) + text(get("2")))
        caller.answer(checkNotNull(caller.lastExchange))
        caller.read(text(get("3")))
        assertEquals(listOf(get("1"), get("2")), caller.requests)
        caller.answer(checkNotNull(caller.lastExchange))
        caller.channel.runPendingTasks()
        caller.answer(checkNotNull(caller.lastExchange))
        assertEquals(listOf("1", "2", "3"), caller.takeResponses().map { it.id })
        caller.closeAndCheckBuffers()
    }

    @Test
    fun `a part of a body that comes as an answer ends stays with its request`() {
        val caller = CallerChannel()
        val second = post("2", "0123456789")
        val (start, rest) = text(second).let { it.dropLast(5) to it.takeLast(5) }
        caller.read(text(get("1")) + start)
        caller.answer(checkNotNull(caller.lastExchange))
        caller.read(rest)
        assertEquals(listOf(get("1"), second), caller.requests)
        caller.answer(checkNotNull(caller.lastExchange))
        assertEquals(listOf("1", "2"), caller.takeResponses().map { it.id })
        caller.closeAndCheckBuffers()
    }

    @Test
    fun `nothing behind a response that closes the connection is processed`() {
        val caller = CallerChannel(maxBodyBytes = 4) { answer(it) }
        caller.read(text(post("1", "01234567")) + text(get("2")))
        assertEquals(emptyList<SeenRequest>(), caller.requests)
        assertEquals(listOf(413), caller.takeResponses().map { it.status })
        caller.closeAndCheckBuffers()
    }

    @Test
    fun `nothing is processed once the connection is closed`() {
        val caller = CallerChannel {
            answer(it)
            it.drop()
        }
        caller.read(text(get("1")) + text(get("2")))
        assertEquals(listOf(get("1")), caller.requests)
        caller.closeAndCheckBuffers()
    }

    @Test
    fun `requests that were received keep their connection open between two answers`() {
        val caller = CallerChannel()
        caller.read(text(get("1")) + text(get("2")))
        caller.answer(checkNotNull(caller.lastExchange))
        caller.connection.closeIfIdle()
        caller.nowMillis += 2 * CallerChannel.IDLE_TIMEOUT_MILLIS
        caller.connection.closeIfOverdue(caller.nowMillis)
        caller.channel.runPendingTasks()
        assertEquals(listOf(get("1"), get("2")), caller.requests)
        assertTrue(caller.channel.isActive)
        caller.closeAndCheckBuffers()
    }

    @Test
    fun `a process that stops answers the requests that it has received before it closes their connection`() {
        val caller = CallerChannel()
        caller.read(text(get("1")) + text(get("2")) + text(get("3")))
        caller.isClosing = true
        caller.answer(checkNotNull(caller.lastExchange))
        caller.channel.runPendingTasks()
        caller.answerInParts(checkNotNull(caller.lastExchange))
        caller.channel.runPendingTasks()
        assertTrue(caller.channel.isActive)
        caller.answer(checkNotNull(caller.lastExchange))
        caller.channel.runPendingTasks()
        assertFalse(caller.channel.isActive)
        val written = caller.takeWritten()
        val ids = Regex("Attempt-Id: (.)").findAll(written).map { it.groupValues[1] }.toList()
        assertEquals(listOf("1", "2", "3"), ids)
        assertEquals(1, Regex("connection: close").findAll(written).count(), written)
        assertTrue(written.indexOf("connection: close") > written.indexOf("Attempt-Id: 3"), written)
        caller.closeAndCheckBuffers()
    }

    @Test
    fun `an exchange counts as open until the next request that was received has begun`() {
        val events = ArrayList<String>()
        val caller = CallerChannel { exchange ->
            val id = requests.last().id
            events += "begin $id"
            exchange.onExchangeEnd = { events += "end $id" }
        }
        caller.read(text(get("1")) + text(get("2")))
        repeat(2) {
            caller.answer(checkNotNull(caller.lastExchange))
            caller.channel.runPendingTasks()
        }
        assertEquals(listOf("begin 1", "begin 2", "end 1", "end 2"), events)
        caller.closeAndCheckBuffers()
    }

    @Test
    fun `the header timeout does not run for requests that wait for an answer before theirs`() {
        val caller = CallerChannel()
        caller.read(text(get("1")) + text(get("2")))
        caller.answer(checkNotNull(caller.lastExchange))
        caller.read(text(get("3")))
        caller.answer(checkNotNull(caller.lastExchange))
        caller.channel.runPendingTasks()
        caller.answer(checkNotNull(caller.lastExchange))
        caller.nowMillis += CallerChannel.HEADER_TIMEOUT_MILLIS + 1
        caller.connection.closeIfOverdue(caller.nowMillis)
        assertEquals(listOf(200, 200, 200), caller.takeResponses().map { it.status })
        assertTrue(caller.channel.isActive)
        caller.closeAndCheckBuffers()
    }

    @Test
    fun `a caller that sends ahead without end is not read until its requests are answered`() {
        val caller = CallerChannel()
        var sentRequests = 0
        while (caller.isReading && sentRequests < MANY_REQUESTS) caller.read(text(get("${sentRequests++}")))
        assertFalse(caller.isReading, "$sentRequests requests were read")
        while (caller.requests.size < sentRequests) {
            caller.answer(checkNotNull(caller.lastExchange))
            caller.channel.runPendingTasks()
        }
        assertTrue(caller.isReading)
        caller.answer(checkNotNull(caller.lastExchange))
        assertEquals((0 until sentRequests).map { "$it" }, caller.takeResponses().map { it.id })
        caller.closeAndCheckBuffers()
    }

    @Test
    fun `a body without end that is sent ahead is not read until the answer before it`() {
        val caller = CallerChannel(maxBodyBytes = MANY_BYTES)
        caller.read(text(get("1")) + text(post("2", "x".repeat(MANY_BYTES))).dropLast(MANY_BYTES))
        var sentBytes = 0
        while (caller.isReading && sentBytes < MANY_BYTES) {
            caller.read("x".repeat(READ_BYTES))
            sentBytes += READ_BYTES
        }
        assertFalse(caller.isReading, "$sentBytes bytes were read")
        caller.answer(checkNotNull(caller.lastExchange))
        caller.channel.runPendingTasks()
        assertTrue(caller.isReading)
        caller.read("x".repeat(MANY_BYTES - sentBytes))
        assertEquals(listOf("1", "2"), caller.requests.map { it.id })
        assertEquals(MANY_BYTES, caller.requests.last().body.length)
        caller.closeAndCheckBuffers()
    }

    @Test
    fun `whatever is sent ahead and however it is cut, answers come in the order of the requests`() {
        repeat(SEEDS) { seed -> ConnectionRun(Random(seed), "seed $seed").run() }
    }

    /** What a caller sends on one connection, how its bytes are cut, and when its requests are answered. */
    private inner class ConnectionRun(private val random: Random, private val label: String) {
        private val caller = CallerChannel(MAX_BODY_BYTES) { if (random.nextInt(3) == 0) answerAnyhow() }
        private val expectedRequests = ArrayList<SeenRequest>()
        private val expectedResponses = ArrayList<SeenResponse>()
        private var unsent = ""

        private fun CallerChannel.answerAnyhow() {
            val exchange = checkNotNull(lastExchange)
            if (random.nextBoolean()) answer(exchange) else answerInParts(exchange)
            if (random.nextInt(40) == 0) closeAtOnce()
        }

        /** Closes the connection; of what the caller has sent, nothing more may be processed. */
        private fun CallerChannel.closeAtOnce() {
            channel.pipeline().close()
            unsent = ""
            expectedRequests.subList(requests.size, expectedRequests.size).clear()
            expectedResponses.subList(requests.size, expectedResponses.size).clear()
        }

        fun run() {
            prepare()
            while (unsent.isNotEmpty() || isOpen()) takeStep()
            caller.channel.runPendingTasks()
            assertEquals(expectedRequests, caller.requests, label)
            assertEquals(expectedResponses, caller.takeResponses(), label)
            assertFalse(caller.hasOverlap, label)
            caller.closeAndCheckBuffers()
        }

        private fun prepare() {
            var isOver = false
            repeat(random.nextInt(1, MAX_REQUESTS)) { number ->
                val request = randomRequest("r$number")
                val isLast = random.nextInt(8) == 0
                val fault = if (random.nextInt(10) == 0) random.nextInt(3) else NO_FAULT
                unsent += textOf(request, isLast, fault)
                if (isOver) return@repeat
                expectedResponses += when (fault) {
                    NO_FAULT -> responseTo(request)
                    TOO_LARGE -> SeenResponse(413, null, "")
                    else -> SeenResponse(400, null, "")
                }
                if (fault == NO_FAULT) expectedRequests += request
                isOver = isLast || fault != NO_FAULT
            }
        }

        private fun randomRequest(id: String): SeenRequest {
            val length = if (random.nextBoolean()) random.nextInt(1, MAX_BODY_BYTES) else 0
            val body = (1..length).joinToString("") { "${random.nextInt(10)}" }
            return SeenRequest(if (body.isEmpty()) "GET" else "POST", "/open/$id?$length", id, body)
        }

        private fun textOf(request: SeenRequest, isLast: Boolean, fault: Int): String {
            val headers = if (isLast) "Connection: close\r\n" else ""
            val sizes = List(random.nextInt(4)) { random.nextInt(1, MAX_BODY_BYTES / 2) }
            val inChunks = CallerChannel.requestText(request, headers, sizes)
            return when (fault) {
                TOO_LARGE -> CallerChannel.requestText(request.copy(body = "0".repeat(MAX_BODY_BYTES + 1)), headers)
                BROKEN_HEAD -> "GET /open/1 HTTP/1.1\r\nA b: c\r\n\r\n"
                BROKEN_CHUNK -> inChunks.removeSuffix(LAST_CHUNK) + "z\r\n\r\n"
                else -> if (random.nextBoolean()) inChunks else CallerChannel.requestText(request, headers)
            }
        }

        private fun isOpen() = caller.lastExchange?.hasEnded == false

        /** Lets some bytes arrive or an answer end, or both before the connection gets to do what it has put off. */
        private fun takeStep() {
            val isAnswered = isOpen() && (unsent.isEmpty() || !caller.isReading || random.nextInt(3) == 0)
            if (isAnswered) caller.answerAnyhow()
            if (isAnswered && random.nextBoolean()) caller.channel.runPendingTasks()
            if (unsent.isEmpty()) return caller.channel.runPendingTasks()
            check(caller.isReading || isAnswered) { "$label: the connection neither reads nor waits for an answer" }
            if (!caller.isReading) return caller.channel.runPendingTasks()
            val length = minOf(unsent.length, 1 + random.nextInt(random.nextInt(1, MAX_READ_BYTES)))
            val bytes = unsent.take(length)
            unsent = unsent.drop(length)
            caller.read(bytes)
        }
    }

    private companion object {
        const val SEEDS = 2_000
        const val MAX_REQUESTS = 12
        const val MAX_BODY_BYTES = 200
        const val MAX_READ_BYTES = 600
        const val MANY_REQUESTS = 10_000
        const val MANY_BYTES = 4_194_304
        const val READ_BYTES = 16_384
        const val LAST_CHUNK = "0\r\n\r\n"
        const val NO_FAULT = -1
        const val TOO_LARGE = 0
        const val BROKEN_HEAD = 1
        const val BROKEN_CHUNK = 2
    }
}
