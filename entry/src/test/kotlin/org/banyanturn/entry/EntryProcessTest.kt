package org.banyanturn.entry

import kotlinx.coroutines.delay
import kotlinx.coroutines.runBlocking
import org.junit.jupiter.api.AfterEach
import org.junit.jupiter.api.Assertions.assertEquals
import org.junit.jupiter.api.Assertions.assertFalse
import org.junit.jupiter.api.Assertions.assertTrue
import org.junit.jupiter.api.Test
import java.io.IOException
import java.util.concurrent.CompletableFuture
import java.util.concurrent.TimeUnit

private const val TIMEOUT_SECONDS = 20L
private const val QUEUED_MILLIS = 300L

class EntryProcessTest {
    private val fixture = EntryFixture()
    private val platform = fixture.platform

    @AfterEach
    fun stop(): Unit = fixture.close()

    @Test
    fun `routes, keys and models decide whether and how requests are served`() {
        fixture.startAndAwaitRoutes()

        val booked =
            fixture.send(
                "/book/7",
                "Authorization",
                "Bearer k1",
                "Attempt-Id",
                "b-1",
                "Tenant",
                "forged",
                body = "still 7",
            )
        assertEquals("done by i-3", booked.body())
        assertEquals("b-1", booked.headers().firstValue("Attempt-Id").get())
        val run = platform.runs.single { it.attemptId == "b-1" }
        assertEquals("growers", run.member)
        assertEquals("/book/7", run.path)
        assertEquals("still 7", run.body)

        assertEquals(401, fixture.send("/book/7", "Authorization", "Bearer nobody", "Attempt-Id", "b-2").statusCode())
        assertEquals(404, fixture.send("/nowhere/", "Authorization", "Bearer k1").statusCode())
        assertEquals(1, platform.runs.count { it.path == "/book/7" })

        val key = arrayOf("Authorization", "Bearer k1")
        val notes = fixture.send("/notes/1", *key, "Attempt-Id", "n-1", "Model", "m0", "Token-Count", "9,9")
        assertEquals((1..5).joinToString("") { "id: $it\ndata: part $it\n\n" }, notes.body())
    }

    @Test
    fun `a model and an adapter that no engine holds are loaded, and the request is served`() {
        fixture.startAndAwaitRoutes()
        listOf("m0/a3", "m1").forEach { wanted ->
            fixture.awaitTrue("$wanted is served") {
                fixture.send(
                    "/notes/1",
                    "Authorization",
                    "Bearer k1",
                    "Attempt-Id",
                    "n-$wanted",
                    "Model",
                    wanted,
                ).statusCode() ==
                    200
            }
        }
    }

    @Test
    fun `a broken stream resumes at another engine if its route allows it, and never looks complete otherwise`() {
        fixture.startAndAwaitRoutes()

        listOf("i-1", "i-2").forEach { platform.cutNextStream(it, events = 2) }
        val broken =
            runCatching { fixture.send("/reports/1", "Authorization", "Bearer k1", "Attempt-Id", "r-1", "Model", "m0") }
        assertTrue(broken.exceptionOrNull() is IOException, "the answer must not look whole: $broken")

        listOf("i-1", "i-2").forEach { platform.cutNextStream(it, events = 5) }
        platform.cutNextStream(platform.runs.last { it.attemptId == "r-1" }.targetId, events = 2)
        val resumed = (1..2).map {
            fixture.send("/notes/1", "Authorization", "Bearer k1", "Attempt-Id", "n-$it", "Model", "m0")
        }
        val whole = (1..5).joinToString("") { "id: $it\ndata: part $it\n\n" }
        resumed.forEach { assertEquals(whole, it.body()) }
    }

    @Test
    fun `withdrawn keys are rejected, older documents are ignored, and rate limits send Retry-After`() {
        fixture.startPlatformAndEntry()
        platform.declare(fixture.hostedDocument(version = 5, keys = "\"k1\",\"k2\"", rate = 20))
        fun status(key: String) =
            fixture.send("/book/1", "Authorization", "Bearer $key", "Attempt-Id", "s").statusCode()
        fixture.awaitTrue("the new key works") { status("k2") != 404 && status("k2") != 401 }
        fixture.awaitTrue("the limit is reached") { status("k2") == 429 }
        val refused = fixture.send("/book/1", "Authorization", "Bearer k2", "Attempt-Id", "s")
        assertTrue(refused.statusCode() != 429 || refused.headers().firstValue("Retry-After").isPresent)

        platform.declare(fixture.hostedDocument(version = 4, keys = "\"k3\""))
        platform.declare(fixture.hostedDocument(version = 6, keys = "\"k1\""))
        fixture.awaitTrue("the withdrawn key is refused") { status("k2") == 401 }
        assertEquals(401, status("k3"))
    }

    @Test
    fun `a request that waits for a model when the VM stops is refused as not run`() = runBlocking {
        platform.start()
        platform.declare(fixture.hostedDocument())
        platform.startEngine("i-1", "llm", listOf("m0"), loadMillis = 60_000)
        fixture.startEntry()
        fixture.awaitTrue("the VM is ready") { fixture.readinessStatus() == 200 }
        val waiting = CompletableFuture.supplyAsync {
            fixture.send("/notes/1", "Authorization", "Bearer k1", "Attempt-Id", "n-1", "Model", "m1")
        }
        delay(QUEUED_MILLIS)
        assertFalse(waiting.isDone, "the request waits")
        fixture.requestStop()
        val refused = waiting.get(TIMEOUT_SECONDS, TimeUnit.SECONDS)
        assertEquals(503, refused.statusCode())
        assertTrue("not-run" in refused.body())
    }

    @Test
    fun `endless responses and events are aborted, and the VM keeps serving`() {
        fixture.startAndAwaitRoutes()
        listOf("i-1", "i-2", "i-3").forEach(platform::answerWithoutEnd)
        val booked = fixture.send("/book/1", "Authorization", "Bearer k1", "Attempt-Id", "b-1")
        assertEquals(502, booked.statusCode())
        assertTrue("unknown" in booked.body(), "a booking that was sent may have run: ${booked.body()}")
        assertEquals(1, platform.runs.count { it.attemptId == "b-1" })
        val notes = runCatching {
            fixture.send("/notes/1", "Authorization", "Bearer k1", "Attempt-Id", "n-1", "Model", "m0").statusCode()
        }
        assertTrue(notes.getOrDefault(502) != 200, "no success without the engine's whole answer: $notes")
        assertEquals(200, fixture.readinessStatus())
    }

    @Test
    fun `a VM without a catalog is not ready and responds with 503 and Retry-After`() = runBlocking {
        platform.start()
        fixture.startEntry()
        fixture.awaitTrue("the VM listens") { fixture.readinessStatus() != 0 }
        assertEquals(503, fixture.readinessStatus())
        val refused = fixture.send("/book/1", "Authorization", "Bearer k1", "Attempt-Id", "b")
        assertEquals(503, refused.statusCode())
        assertTrue(refused.headers().firstValue("Retry-After").isPresent)
        assertTrue("not-run" in refused.body())
    }

    @Test
    fun `requests are served during an outage of the store, and a stop interrupts none`() {
        fixture.startAndAwaitRoutes()
        platform.isStoreDown = true
        assertEquals(200, fixture.send("/book/1", "Authorization", "Bearer k1", "Attempt-Id", "b-1").statusCode())
        val stream = CompletableFuture.supplyAsync {
            fixture.send("/notes/1", "Authorization", "Bearer k1", "Attempt-Id", "n-1", "Model", "m0").body()
        }
        fixture.awaitTrue("the stream runs") { platform.runs.any { it.attemptId == "n-1" } }
        fixture.requestStop()
        fixture.awaitTrue("the VM reports that it is not ready") { fixture.readinessStatus() != 200 }
        assertTrue(stream.get(TIMEOUT_SECONDS, TimeUnit.SECONDS).endsWith("data: part 5\n\n"))
        fixture.awaitEnd()
        assertFalse(fixture.readinessStatus() == 200)
    }
}
