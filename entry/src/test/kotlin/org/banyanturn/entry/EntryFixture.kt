package org.banyanturn.entry

import com.github.michaelbull.result.get
import kotlinx.coroutines.runBlocking
import org.banyanturn.platform.hosted.parseVmBoot
import org.banyanturn.standin.LocalPorts
import org.banyanturn.standin.hosted.HostedPlatformStandin
import java.io.IOException
import java.net.URI
import java.net.http.HttpClient
import java.net.http.HttpRequest
import java.net.http.HttpResponse
import java.time.Duration
import java.util.concurrent.CompletableFuture
import java.util.concurrent.TimeUnit

private const val HOST = "127.0.0.1"
private const val TIMEOUT_SECONDS = 20L
private const val READINESS_TIMEOUT_SECONDS = 2L

/** The operators' document; `VERSION`, `KEYS` and `RATE` are placeholders, the last two for the one member's terms. */
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

/** Runs an entry VM in this process, against a stand-in of the platform with two engines and a plain service. */
internal class EntryFixture : AutoCloseable {
    val platform = HostedPlatformStandin()

    /** The port at which the VM takes callers' requests. */
    val callerPort = LocalPorts.next()
    private val readinessPort = LocalPorts.next()

    /** The port at which the VM takes datagrams of other VMs. */
    val peerPort = LocalPorts.next(count = 3)
    private val client = HttpClient.newHttpClient()
    private var process: EntryProcess? = null
    private val ended = CompletableFuture<Unit>()

    private fun document(version: Int = 1, keys: String = "\"k1\"", rate: Int = 100_000): String =
        DOCUMENT.replace("VERSION", "$version").replace("KEYS", keys).replace("RATE", "$rate")

    /** Starts the VM against the platform in its current state. */
    fun startEntry() {
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

    /** Starts the platform with its targets and the VM, and waits until the VM is ready. */
    fun startPlatformAndEntry() = runBlocking {
        platform.start()
        platform.declare(document())
        platform.startEngine("i-1", "llm", listOf("m0"))
        platform.startEngine("i-2", "llm", listOf("m0"))
        platform.startService("i-3", "cal")
        startEntry()
        awaitTrue("the VM is ready") { readinessStatus() == 200 }
    }

    /** Requests a graceful shutdown of the VM; the same as SIGTERM. */
    fun requestStop() {
        process?.requestStop()
    }

    /** Waits until the process of the VM has ended. */
    fun awaitEnd() {
        ended.get(TIMEOUT_SECONDS, TimeUnit.SECONDS)
    }

    override fun close() {
        requestStop()
        if (process != null) awaitEnd()
        platform.close()
    }

    /** Waits until [condition] holds, and fails after 20 s; [what] describes the condition in the error message. */
    fun awaitTrue(what: String, condition: () -> Boolean) {
        val deadlineNanos = System.nanoTime() + TimeUnit.SECONDS.toNanos(TIMEOUT_SECONDS)
        while (!condition()) {
            check(System.nanoTime() < deadlineNanos) { "timed out waiting until $what" }
            TimeUnit.MILLISECONDS.sleep(20)
        }
    }

    /** Returns the status of the VM's readiness endpoint, or 0 if it does not respond. */
    fun readinessStatus(): Int =
        try {
            val request = HttpRequest.newBuilder(URI("http://$HOST:$readinessPort/api/ready"))
                .timeout(Duration.ofSeconds(READINESS_TIMEOUT_SECONDS))
                .build()
            client.send(request, HttpResponse.BodyHandlers.ofString()).statusCode()
        } catch (_: IOException) {
            0
        }

    /** Sends a request and returns its response. */
    fun send(path: String, vararg headers: String, body: String = "{}"): HttpResponse<String> {
        val request = HttpRequest.newBuilder(URI("http://$HOST:$callerPort$path"))
            .timeout(Duration.ofSeconds(TIMEOUT_SECONDS))
            .POST(HttpRequest.BodyPublishers.ofString(body))
        headers.toList().chunked(2).forEach { (name, value) -> request.header(name, value) }
        return client.send(request.build(), HttpResponse.BodyHandlers.ofString())
    }

    /** Returns the document with the address as the host of the routes, since the JDK's client sets `Host` itself. */
    fun hostedDocument(version: Int = 1, keys: String = "\"k1\"", rate: Int = 100_000): String =
        document(version, keys, rate).replace("a.example", HOST)

    /** Starts the platform and the VM, and waits until the VM serves the routes. */
    fun startAndAwaitRoutes() {
        startPlatformAndEntry()
        platform.declare(hostedDocument(version = 2))
        awaitTrue("the routes are known") { send("/open/1", "Attempt-Id", "o").statusCode() == 200 }
    }
}
