package org.banyanturn.entry

import org.junit.jupiter.api.AfterEach
import org.junit.jupiter.api.Assertions.assertTrue
import org.junit.jupiter.api.Test
import java.util.concurrent.CompletableFuture
import java.util.concurrent.CopyOnWriteArrayList
import java.util.concurrent.TimeUnit

private const val COLD_PER_SECOND = 10
private const val COLD_MILLIS = 4_000L
private const val TIMEOUT_SECONDS = 20L
private const val CALLERS = 24

/** Lists a new target, alone or beside a warm one, while callers send more than a cold target sustains. */
class ColdTargetTest {
    private val fixture = EntryFixture()
    private val arrivalsMillis = CopyOnWriteArrayList<Long>()
    private val target = ScriptedTarget { request ->
        arrivalsMillis += TimeUnit.NANOSECONDS.toMillis(System.nanoTime())
        val head = "HTTP/1.1 200 OK\r\nAttempt-Id: ${request.attemptId}\r\nServer-Seal: s\r\n"
        ScriptedAnswer(head + "Content-Length: 2\r\n\r\nok")
    }

    @AfterEach
    fun stop() {
        fixture.close()
        target.close()
    }

    private fun startWithLimit() {
        fixture.startAndAwaitRoutes()
        val limited = """{"name": "cal", "cold_per_s": $COLD_PER_SECOND, "cold_start_s": ${COLD_MILLIS / 1_000}}"""
        fixture.platform.declare(fixture.hostedDocument(version = 3).replace("""{"name": "cal"}""", limited))
        TimeUnit.MILLISECONDS.sleep(COLD_MILLIS)
    }

    private fun maxInSecond(): Int =
        arrivalsMillis.maxOfOrNull { from -> arrivalsMillis.count { it in from until from + 1_000 } } ?: 0

    /** Guards against a new target that crashes under the requests of callers that wait for it. */
    @Test
    fun `a cold target alone gets requests at its rate only, and the others are refused in time`() {
        startWithLimit()
        fixture.platform.unlist("i-3")
        fixture.platform.listForeign("i-4", "cal", target.port, bornEpochMillis = System.currentTimeMillis())
        val listedMillis = TimeUnit.NANOSECONDS.toMillis(System.nanoTime())
        val statuses = CopyOnWriteArrayList<Int>()
        val callers = (1..CALLERS).map { caller ->
            CompletableFuture.runAsync {
                var number = 0
                while (TimeUnit.NANOSECONDS.toMillis(System.nanoTime()) < listedMillis + COLD_MILLIS - 500) {
                    val response = fixture.send("/open/1", "Attempt-Id", "o-$caller-${number++}")
                    statuses += response.statusCode()
                    if (response.statusCode() != 200) TimeUnit.MILLISECONDS.sleep(20)
                }
            }
        }
        callers.forEach { it.get(TIMEOUT_SECONDS, TimeUnit.SECONDS) }
        // Requests that still waited when the target became warm are sent without a limit.
        arrivalsMillis.removeIf { it >= listedMillis + COLD_MILLIS }
        println("${arrivalsMillis.size} requests arrived, at most ${maxInSecond()} in a second; ${statuses.size} sent")
        assertTrue(maxInSecond() <= COLD_PER_SECOND, "${maxInSecond()} in a second")
        assertTrue(arrivalsMillis.size >= COLD_PER_SECOND, "${arrivalsMillis.size} requests arrived")
        fixture.awaitTrue("the target is warm") { fixture.send("/open/1", "Attempt-Id", "w").statusCode() == 200 }
    }

    @Test
    fun `beside a warm target all requests are served, and a cold one stays within its rate`() {
        startWithLimit()
        fixture.platform.listForeign("i-4", "cal", target.port, bornEpochMillis = System.currentTimeMillis())
        val endMillis = TimeUnit.NANOSECONDS.toMillis(System.nanoTime()) + COLD_MILLIS - 500
        var count = 0
        while (TimeUnit.NANOSECONDS.toMillis(System.nanoTime()) < endMillis) {
            val response = fixture.send("/open/1", "Attempt-Id", "o-${count++}")
            assertTrue(response.statusCode() == 200, "status ${response.statusCode()}")
        }
        println("$count served, ${arrivalsMillis.size} by the cold target, at most ${maxInSecond()} in a second")
        assertTrue(maxInSecond() <= COLD_PER_SECOND, "${maxInSecond()} in a second")
    }
}
