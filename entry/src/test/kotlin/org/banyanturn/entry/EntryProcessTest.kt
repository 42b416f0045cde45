package org.banyanturn.entry

import com.github.michaelbull.result.get
import kotlinx.coroutines.delay
import kotlinx.coroutines.runBlocking
import org.banyanturn.platform.hosted.parseVmBoot
import org.banyanturn.standin.hosted.HostedPlatformStandin
import org.junit.jupiter.api.AfterEach
import org.junit.jupiter.api.Assertions.assertEquals
import org.junit.jupiter.api.Assertions.assertFalse
import org.junit.jupiter.api.Assertions.assertTrue
import org.junit.jupiter.api.Test
import java.io.IOException
import java.net.ServerSocket
import java.net.URI
import java.net.http.HttpClient
import java.net.http.HttpRequest
import java.net.http.HttpResponse
import java.time.Duration
import java.util.concurrent.CompletableFuture
import java.util.concurrent.TimeUnit
import kotlin.random.Random

private const val HOST = "127.0.0.1"
private const val WAIT_SECONDS = 20L
private const val ANSWER_SECONDS = 2L
private const val WAITING_MILLIS = 300L
private const val LEAST_PORT = 10_000
private const val LAST_PORT = 32_000

/** The operators' document; `KEYS` stands for the keys of the one member. */
private const val DOCUMENT = """
{"version": VERSION,
 "routes": [
  {"name": "notes", "host": "a.example", "path_prefix": "/notes/", "kind": "streaming", "timeout_ms": 8000,
   "target_latency_ms": 300, "service": "llm", "max_attempts": 2, "resumable": true, "gap_aim_ms": 200},
  {"name": "reports", "host": "a.example", "path_prefix": "/reports/", "kind": "streaming", "timeout_ms": 8000,
   "target_latency_ms": 300, "service": "llm", "max_attempts": 1, "resumable": false, "gap_aim_ms": 200},
  {"name": "book", "host": "a.example", "path_prefix": "/book/", "kind": "unsafe", "timeout_ms": 3000,
   "service": "cal"},
  {"name": "open", "host": "a.example", "path_prefix": "/open/", "kind": "safe", "timeout_ms": 3000, "service": "cal",
   "public": true}],
 "services": [
  {"name": "llm", "engine": {"slots": 48, "weights_mb": 130.0, "adapter_slots": 8, "loads_per_s": 3,
   "models": [{"name": "m0", "weights_mb": 60.0, "load_s": 0.2, "adapters": 4, "adapter_mb": 1.0},
              {"name": "m1", "weights_mb": 60.0, "load_s": 0.2}]}},
  {"name": "cal"}],
 "tenants": [{"name": "growers", "api_keys": [KEYS], "unit": "token_rate", "plain_tokens": 10, "rate_per_s": RATE,
   "burst": RATE}]}
"""

class EntryProcessTest {
    private val platform = HostedPlatformStandin()
    private val callerPort = freePort()
    private val readinessPort = freePort()
    private val client = HttpClient.newHttpClient()
    private var process: EntryProcess? = null
    private val ended = CompletableFuture<Unit>()

    private fun freePort(): Int = ServerSocket(0).use { it.localPort }

    /** Returns the first of three ports in a row that nothing listens on, below those that the system hands out. */
    private fun freePortRange(): Int =
        generateSequence { Random.nextInt(LEAST_PORT, LAST_PORT) }.first { port ->
            (port..port + 2).all { runCatching { ServerSocket(it).close() }.isSuccess }
        }

    private fun document(version: Int = 1, keys: String = "\"k1\"", rate: Int = 100_000): String =
        DOCUMENT.replace("VERSION", "$version").replace("KEYS", keys).replace("RATE", "$rate")

    private fun startEntry() {
        val peerPort = freePortRange()
        val settings = """
            {"node": "front-a-1", "ip": "$HOST", "zone": "zone-a", "bootstrap": true,
             "listen": {"front": "$HOST:$callerPort", "ready": "$HOST:$readinessPort"},
             "internal_ports": [$peerPort, ${peerPort + 15}],
             "bounds": {"grace_s": 8, "lease_ms": 100, "budget_slack": 50},
             "platform": {"address": "$HOST:${platform.storePort}", "parts": 12}}
        """
        val boot = checkNotNull(parseVmBoot(settings).get()) { "the settings are valid" }
        val started = EntryProcess(boot).also { process = it }
        Thread {
            started.run()
            ended.complete(Unit)
        }.also { it.isDaemon = true }.start()
    }

    private fun startWhole() = runBlocking {
        platform.start()
        platform.declare(document())
        platform.startEngine("i-1", "llm", listOf("m0"))
        platform.startEngine("i-2", "llm", listOf("m0"))
        platform.startService("i-3", "cal")
        startEntry()
        awaitTrue("the VM is ready") { ready() == 200 }
    }

    @AfterEach
    fun stop() {
        process?.requestStop()
        if (process != null) ended.get(WAIT_SECONDS, TimeUnit.SECONDS)
        platform.close()
    }

    private fun awaitTrue(what: String, condition: () -> Boolean) {
        val deadlineNanos = System.nanoTime() + TimeUnit.SECONDS.toNanos(WAIT_SECONDS)
        while (!condition()) {
            check(System.nanoTime() < deadlineNanos) { "waited in vain until $what" }
            TimeUnit.MILLISECONDS.sleep(20)
        }
    }

    private fun ready(): Int =
        try {
            val request = HttpRequest.newBuilder(URI("http://$HOST:$readinessPort/api/ready"))
                .timeout(Duration.ofSeconds(ANSWER_SECONDS))
                .build()
            client.send(request, HttpResponse.BodyHandlers.ofString()).statusCode()
        } catch (_: IOException) {
            0
        }

    private fun send(path: String, vararg headers: String, body: String = "{}"): HttpResponse<String> {
        val request = HttpRequest.newBuilder(URI("http://$HOST:$callerPort$path"))
            .timeout(Duration.ofSeconds(WAIT_SECONDS))
            .POST(HttpRequest.BodyPublishers.ofString(body))
        headers.toList().chunked(2).forEach { (name, value) -> request.header(name, value) }
        return client.send(request.build(), HttpResponse.BodyHandlers.ofString())
    }

    /** The JDK's client sets `Host` itself, so the routes' host is that of the address. */
    private fun hostedDocument(version: Int = 1, keys: String = "\"k1\"", rate: Int = 100_000): String =
        document(version, keys, rate).replace("a.example", HOST)

    @Test
    fun `requests are served, refused and answered as their route, key and model say`() {
        startWhole()
        platform.declare(hostedDocument(version = 2))
        awaitTrue("the routes are known") { send("/open/1", "Attempt-Id", "o").statusCode() == 200 }

        val booked =
            send("/book/7", "Authorization", "Bearer k1", "Attempt-Id", "b-1", "Tenant", "forged", body = "still 7")
        assertEquals("done by i-3", booked.body())
        assertEquals("b-1", booked.headers().firstValue("Attempt-Id").get())
        val run = platform.runs.single { it.attemptId == "b-1" }
        assertEquals("growers", run.member)
        assertEquals("/book/7", run.path)
        assertEquals("still 7", run.body)

        assertEquals(401, send("/book/7", "Authorization", "Bearer nobody", "Attempt-Id", "b-2").statusCode())
        assertEquals(404, send("/nowhere/", "Authorization", "Bearer k1").statusCode())
        assertEquals(1, platform.runs.count { it.path == "/book/7" })

        val notes =
            send("/notes/1", "Authorization", "Bearer k1", "Attempt-Id", "n-1", "Model", "m0", "Token-Count", "9,9")
        assertEquals((1..5).joinToString("") { "id: $it\ndata: part $it\n\n" }, notes.body())
    }

    @Test
    fun `a model and an adapter that no engine holds are loaded, and the request is served`() {
        startWhole()
        platform.declare(hostedDocument(version = 2))
        awaitTrue("the routes are known") { send("/open/1", "Attempt-Id", "o").statusCode() == 200 }
        listOf("m0/a3", "m1").forEach { wanted ->
            awaitTrue("$wanted is served") {
                send(
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
    fun `a stream that breaks is continued at another engine if its route allows it, and never ends as whole if not`() {
        startWhole()
        platform.declare(hostedDocument(version = 2))
        awaitTrue("the routes are known") { send("/open/1", "Attempt-Id", "o").statusCode() == 200 }

        listOf("i-1", "i-2").forEach { platform.cutNextStream(it, events = 2) }
        val broken =
            runCatching { send("/reports/1", "Authorization", "Bearer k1", "Attempt-Id", "r-1", "Model", "m0") }
        assertTrue(broken.exceptionOrNull() is IOException, "the answer must not look whole: $broken")

        listOf("i-1", "i-2").forEach { platform.cutNextStream(it, events = 5) }
        platform.cutNextStream(platform.runs.last { it.attemptId == "r-1" }.targetId, events = 2)
        val resumed = (1..2).map {
            send("/notes/1", "Authorization", "Bearer k1", "Attempt-Id", "n-$it", "Model", "m0")
        }
        val whole = (1..5).joinToString("") { "id: $it\ndata: part $it\n\n" }
        resumed.forEach { assertEquals(whole, it.body()) }
    }

    @Test
    fun `withdrawn keys stop working, older documents change nothing, and a limit tells when to return`() {
        startWhole()
        platform.declare(hostedDocument(version = 5, keys = "\"k1\",\"k2\"", rate = 20))
        fun status(key: String) = send("/book/1", "Authorization", "Bearer $key", "Attempt-Id", "s").statusCode()
        awaitTrue("the new key works") { status("k2") != 404 && status("k2") != 401 }
        awaitTrue("the limit is reached") { status("k2") == 429 }
        val refused = send("/book/1", "Authorization", "Bearer k2", "Attempt-Id", "s")
        assertTrue(refused.statusCode() != 429 || refused.headers().firstValue("Retry-After").isPresent)

        platform.declare(hostedDocument(version = 4, keys = "\"k3\""))
        platform.declare(hostedDocument(version = 6, keys = "\"k1\""))
        awaitTrue("the withdrawn key is refused") { status("k2") == 401 }
        assertEquals(401, status("k3"))
    }

    @Test
    fun `a request that waits for a model when the VM stops is told that it has not run`() = runBlocking {
        platform.start()
        platform.declare(hostedDocument())
        platform.startEngine("i-1", "llm", listOf("m0"), loadMillis = 60_000)
        startEntry()
        awaitTrue("the VM is ready") { ready() == 200 }
        val waiting = CompletableFuture.supplyAsync {
            send("/notes/1", "Authorization", "Bearer k1", "Attempt-Id", "n-1", "Model", "m1")
        }
        delay(WAITING_MILLIS)
        assertFalse(waiting.isDone, "the request waits")
        process?.requestStop()
        val refused = waiting.get(WAIT_SECONDS, TimeUnit.SECONDS)
        assertEquals(503, refused.statusCode())
        assertTrue("not-run" in refused.body())
    }

    @Test
    fun `an answer or an event without end is given up, and the VM serves on`() {
        startWhole()
        platform.declare(hostedDocument(version = 2))
        awaitTrue("the routes are known") { send("/open/1", "Attempt-Id", "o").statusCode() == 200 }
        listOf("i-1", "i-2", "i-3").forEach(platform::answerWithoutEnd)
        val booked = send("/book/1", "Authorization", "Bearer k1", "Attempt-Id", "b-1")
        assertEquals(502, booked.statusCode())
        assertTrue("unknown" in booked.body(), "a booking that was sent may have run: ${booked.body()}")
        assertEquals(1, platform.runs.count { it.attemptId == "b-1" })
        val notes = runCatching {
            send("/notes/1", "Authorization", "Bearer k1", "Attempt-Id", "n-1", "Model", "m0").statusCode()
        }
        assertTrue(notes.getOrDefault(502) != 200, "no success without the engine's whole answer: $notes")
        assertEquals(200, ready())
    }

    @Test
    fun `a VM that knows no catalog is not ready and answers 503 with a time to return`() = runBlocking {
        platform.start()
        startEntry()
        awaitTrue("the VM listens") { ready() != 0 }
        assertEquals(503, ready())
        val refused = send("/book/1", "Authorization", "Bearer k1", "Attempt-Id", "b")
        assertEquals(503, refused.statusCode())
        assertTrue(refused.headers().firstValue("Retry-After").isPresent)
        assertTrue("not-run" in refused.body())
    }

    @Test
    fun `known requests are served while the store is down, and a stop cuts none`() {
        startWhole()
        platform.declare(hostedDocument(version = 2))
        awaitTrue("the routes are known") { send("/open/1", "Attempt-Id", "o").statusCode() == 200 }
        platform.isStoreDown = true
        assertEquals(200, send("/book/1", "Authorization", "Bearer k1", "Attempt-Id", "b-1").statusCode())
        val stream = CompletableFuture.supplyAsync {
            send("/notes/1", "Authorization", "Bearer k1", "Attempt-Id", "n-1", "Model", "m0").body()
        }
        awaitTrue("the stream runs") { platform.runs.any { it.attemptId == "n-1" } }
        process?.requestStop()
        awaitTrue("the VM says that it leaves") { ready() != 200 }
        assertTrue(stream.get(WAIT_SECONDS, TimeUnit.SECONDS).endsWith("data: part 5\n\n"))
        ended.get(WAIT_SECONDS, TimeUnit.SECONDS)
        assertFalse(ready() == 200)
    }
}
