package org.banyanturn.entry

import kotlinx.coroutines.runBlocking
import org.junit.jupiter.api.AfterEach
import org.junit.jupiter.api.Assertions.assertEquals
import org.junit.jupiter.api.Assertions.assertTrue
import org.junit.jupiter.api.Test
import java.util.concurrent.TimeUnit
import java.util.concurrent.atomic.AtomicInteger

/** Guards against requests that crash engine after engine because of one part that their prompts share. */
class CrashingPromptPartTest {
    private val fixture = EntryFixture()
    private val platform = fixture.platform
    private val crashes = AtomicInteger()
    private val engines = (1..ENGINES).map { number -> ScriptedTarget { answer(number, it) } }

    private fun answer(number: Int, request: ReceivedRequest): ScriptedAnswer {
        if (CRASHING_PART in request.headers["prompt-prefix"].orEmpty()) return crash(number)
        val head = "HTTP/1.1 200 OK\r\nAttempt-Id: ${request.attemptId}\r\nServer-Seal: s\r\n"
        return ScriptedAnswer("${head}Content-Length: ${STREAM.length}\r\n\r\n$STREAM")
    }

    /** The engine [number] ends, and its next life is listed. */
    private fun crash(number: Int): ScriptedAnswer {
        list(number, bornEpochMillis = 1L + crashes.incrementAndGet())
        return ScriptedAnswer("", ConnectionEnd.RESET)
    }

    private fun list(number: Int, bornEpochMillis: Long): Unit =
        platform.listForeign("i-$number", "llm", engines[number - 1].port, model = "m0", bornEpochMillis)

    @AfterEach
    fun stop() {
        fixture.close()
        engines.forEach { it.close() }
    }

    private fun start() {
        runBlocking {
            platform.start()
            platform.startService("i-0", "cal")
        }
        platform.declare(fixture.hostedDocument())
        (1..ENGINES).forEach { list(it, bornEpochMillis = 1) }
        fixture.startEntry()
        fixture.awaitTrue("the VM is ready") { fixture.readinessStatus() == 200 }
    }

    private fun send(id: String, parts: String) =
        fixture.send(
            "/notes/1", "Authorization", "Bearer k1", "Attempt-Id", id, "Model", "m0", "Token-Count", "30,10",
            "Prompt-Prefix", "$parts,own-$id:10", body = id,
        )

    private fun crashingArrivals(): Int =
        engines.sumOf { engine -> engine.requests.count { CRASHING_PART in it.headers["prompt-prefix"].orEmpty() } }

    @Test
    fun `unlike requests with a part that crashes engines stop reaching them, and sound ones go on`() {
        start()
        repeat(ENGINES) { assertEquals(200, send("before-$it", "shared:10").statusCode()) }
        val refused = (1..MAX_REQUESTS).firstOrNull { number ->
            TimeUnit.MILLISECONDS.sleep(SEPARATION_MILLIS)
            val response = send("bad-$number", "shared:10,$CRASHING_PART:10")
            response.statusCode() == 503 && "crashes_targets" in response.body()
        }
        assertTrue(refused != null, "requests with the part still reach engines after ${crashingArrivals()} crashes")
        assertTrue(crashingArrivals() <= MAX_CRASHES, "${crashingArrivals()} requests with the part reached engines")

        val arrivals = crashingArrivals()
        repeat(REPEATS) {
            assertEquals(503, send("late-$it", "other:10,$CRASHING_PART:10").statusCode())
            assertEquals(200, send("sound-$it", "shared:10").statusCode())
            assertEquals(200, send("also-$it", "shared:10,fresh-$it:10").statusCode())
        }
        assertEquals(arrivals, crashingArrivals())
    }

    private companion object {
        const val ENGINES = 5
        const val MAX_REQUESTS = 12
        const val REPEATS = 5

        /** Crashes after which no more requests may reach engines. */
        const val MAX_CRASHES = 5
        const val SEPARATION_MILLIS = 1_000L
        const val CRASHING_PART = "bad"
        const val STREAM = "id: 1\ndata: a\n\nid: 2\ndata: b\n\n"
    }
}
