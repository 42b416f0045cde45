package org.banyanturn.entry

import kotlinx.coroutines.runBlocking
import org.junit.jupiter.api.AfterEach
import org.junit.jupiter.api.Assertions.assertEquals
import org.junit.jupiter.api.Assertions.assertTrue
import org.junit.jupiter.api.Test
import java.util.concurrent.CompletableFuture
import java.util.concurrent.TimeUnit

private const val TIMEOUT_SECONDS = 20L

/** The bound on the time after the store's confirmation; see [org.banyanturn.platform.hosted.DeploymentBounds]. */
private const val EVACUATION_MILLIS = 5_000L

/** Evacuates a zone whose engine alone holds a model, against a VM with sockets. */
class EvacuatedZoneTest {
    private val fixture = EntryFixture()
    private val platform = fixture.platform

    @AfterEach
    fun stop(): Unit = fixture.close()

    private fun note(id: String) =
        fixture.send("/notes/1", "Authorization", "Bearer k1", "Attempt-Id", id, "Model", "m1", "Token-Count", "9,9")

    private fun targetOf(id: String): String? = platform.runs.lastOrNull { it.attemptId == id }?.targetId

    /** Guards against requests to a zone that operators take out of service, and against models that leave with it. */
    @Test
    fun `a running request finishes, a model that only the zone holds is loaded elsewhere, and the zone returns`() {
        runBlocking { platform.startEngine("i-9", "llm", listOf("m1"), zone = "zone-b") }
        fixture.startAndAwaitRoutes()
        fixture.awaitTrue("the model is served") { note("n-1").statusCode() == 200 }
        assertEquals("i-9", targetOf("n-1"))

        val running = CompletableFuture.supplyAsync { note("n-2").body() }
        fixture.awaitTrue("the stream runs") { targetOf("n-2") != null }
        platform.evacuate("zone-b")
        val evacuatedAtNanos = System.nanoTime()
        assertTrue(running.get(TIMEOUT_SECONDS, TimeUnit.SECONDS).endsWith("data: part 5\n\n"), "it finishes")
        var number = 3
        fixture.awaitTrue("the model is served by another zone") {
            val id = "n-${number++}"
            note(id).statusCode() == 200 && targetOf(id) != "i-9"
        }
        val elapsedMillis = TimeUnit.NANOSECONDS.toMillis(System.nanoTime() - evacuatedAtNanos)
        println("the model was served by another zone $elapsedMillis ms after the evacuation")
        assertTrue(elapsedMillis <= EVACUATION_MILLIS, "$elapsedMillis ms")
        repeat(10) { assertTrue(note("later-$it").statusCode() == 200 && targetOf("later-$it") != "i-9") }

        platform.evacuate("zone-b", isEvacuated = false)
        fixture.awaitTrue("the zone's engine serves again") {
            val id = "n-${number++}"
            note(id).statusCode() == 200 && targetOf(id) == "i-9"
        }
    }
}
