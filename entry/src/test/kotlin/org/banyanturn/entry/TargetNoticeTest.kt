package org.banyanturn.entry

import org.banyanturn.daemon.logs.Event
import org.junit.jupiter.api.AfterEach
import org.junit.jupiter.api.Assertions.assertEquals
import org.junit.jupiter.api.Assertions.assertTrue
import org.junit.jupiter.api.Test
import java.util.concurrent.TimeUnit

/** Tests the notices that targets send in their responses, while the platform's list shows the opposite state. */
class TargetNoticeTest {
    private val fixture = EntryFixture()
    private val platform = fixture.platform
    private val lines = CapturedLogLines()

    @AfterEach
    fun stop() {
        fixture.close()
        lines.close()
    }

    private fun notes(id: String) =
        fixture.send("/notes/1", "Authorization", "Bearer k1", "Attempt-Id", id, "Model", "m0")

    private fun book(id: String) = fixture.send("/book/1", "Authorization", "Bearer k1", "Attempt-Id", id)

    private fun runsAt(targetId: String): Int = platform.runs.count { it.targetId == targetId }

    /** Waits until the VM knows that the target [id] shuts down and requests in flight to it have arrived. */
    private fun awaitLeavingKnown(id: String) {
        fixture.awaitTrue("the VM knows that $id shuts down") { lines.has(Event.TARGET_LEAVING, "target=$id ") }
        TimeUnit.MILLISECONDS.sleep(IN_FLIGHT_MILLIS)
    }

    private fun assertGetsNothingMore(id: String) {
        val arrivals = platform.arrivalsAt(id)
        repeat(REQUESTS) { assertEquals(200, notes("after-$it").statusCode()) }
        platform.list(id)
        repeat(REQUESTS) { assertEquals(200, notes("listed-$it").statusCode()) }
        assertEquals(arrivals, platform.arrivalsAt(id), "requests, orders and report requests")
    }

    private fun assertNextIncarnationServes(id: String, otherId: String) {
        platform.sayLeaving(id, header = null)
        platform.listReborn(id, bornEpochMillis = 2)
        platform.unlist(otherId)
        val runs = runsAt(id)
        var sent = 0
        fixture.awaitTrue("the next incarnation serves") {
            notes("reborn-${sent++}").statusCode() == 200 && runsAt(id) > runs
        }
    }

    @Test
    fun `an engine that announces its shutdown gets nothing more until its next incarnation is listed`() {
        fixture.startAndAwaitRoutes()
        platform.sayLeaving("i-1")
        var sent = 0
        fixture.awaitTrue("i-1 has received a request") {
            notes("n-${sent++}")
            platform.arrivalsAt("i-1") > 0
        }
        awaitLeavingKnown("i-1")
        assertGetsNothingMore("i-1")
        assertNextIncarnationServes("i-1", otherId = "i-2")
    }

    @Test
    fun `an engine that announces its shutdown in a report gets no request at all`() {
        fixture.startAndAwaitRoutes()
        platform.sayLeaving("i-1")
        awaitLeavingKnown("i-1")
        assertEquals(0, runsAt("i-1"))
        assertGetsNothingMore("i-1")
        assertEquals(0, runsAt("i-1"))
        assertNextIncarnationServes("i-1", otherId = "i-2")
    }

    @Test
    fun `a plain target that announces its shutdown in a refusal gets nothing more`() {
        fixture.startAndAwaitRoutes()
        platform.sayLeaving("i-3")
        assertEquals(200, book("b-1").statusCode())
        val arrivals = platform.arrivalsAt("i-3")
        val refused = book("b-2")
        assertEquals(503, refused.statusCode())
        assertTrue("not-run" in refused.body())
        assertTrue(refused.headers().firstValue("Retry-After").isPresent)
        assertEquals(arrivals, platform.arrivalsAt("i-3"))
    }

    @Test
    fun `an engine that sends Retry-After gets no requests until then, and another one serves them`() {
        fixture.startAndAwaitRoutes()
        platform.turnAway("i-1", retryAfter = "1.5")
        var sent = 0
        fixture.awaitTrue("i-1 has refused a request") {
            assertEquals(200, notes("n-${sent++}").statusCode())
            platform.hasTurnedAway("i-1")
        }
        val arrivals = platform.arrivalsAt("i-1")
        repeat(REQUESTS) { assertEquals(200, notes("quiet-$it").statusCode()) }
        assertEquals(arrivals, platform.arrivalsAt("i-1"))

        platform.turnAway("i-1", retryAfter = null)
        platform.unlist("i-2")
        fixture.awaitTrue("it serves again") { notes("again-${sent++}").statusCode() == 200 && runsAt("i-1") > 0 }
    }

    @Test
    fun `requests are refused at once as not run while all targets have sent Retry-After, and served afterwards`() {
        fixture.startAndAwaitRoutes()
        platform.turnAway("i-3", retryAfter = "2.5")
        val first = book("b-1")
        assertEquals(503, first.statusCode())
        val arrivals = platform.arrivalsAt("i-3")
        val refusals = (2..REQUESTS).map { book("b-$it") }
        refusals.forEach {
            assertEquals(503, it.statusCode())
            assertTrue("not-run" in it.body())
            assertTrue(it.headers().firstValue("Retry-After").get().toDouble() > 0)
        }
        assertEquals(arrivals, platform.arrivalsAt("i-3"))
        assertEquals(0, runsAt("i-3") - platform.runs.count { it.path == "/open/1" })

        platform.turnAway("i-3", retryAfter = null)
        fixture.awaitTrue("it serves again") { book("b-last").statusCode() == 200 }
    }

    @Test
    fun `malformed notices are ignored`() {
        fixture.startAndAwaitRoutes()
        platform.turnAway("i-3", retryAfter = "when the lavender is in")
        platform.sayLeaving("i-3", header = "perhaps")
        assertEquals(503, book("b-1").statusCode())
        platform.turnAway("i-3", retryAfter = null)
        assertEquals(200, book("b-2").statusCode())
    }

    private companion object {
        const val REQUESTS = 12
        const val IN_FLIGHT_MILLIS = 200L
    }
}
