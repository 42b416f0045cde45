package org.banyanturn.standin.hosted

import io.ktor.http.ContentType
import io.ktor.http.HttpStatusCode
import io.ktor.server.application.ApplicationCall
import io.ktor.server.request.header
import io.ktor.server.request.receiveText
import io.ktor.server.request.uri
import io.ktor.server.response.header
import io.ktor.server.response.respondBytesWriter
import io.ktor.server.response.respondText
import io.ktor.server.routing.Route
import io.ktor.server.routing.get
import io.ktor.server.routing.post
import io.ktor.server.routing.route
import io.ktor.utils.io.writeFully
import io.ktor.utils.io.writeStringUtf8
import kotlinx.coroutines.delay
import kotlinx.serialization.json.Json
import kotlinx.serialization.json.JsonObject
import kotlinx.serialization.json.JsonPrimitive
import kotlinx.serialization.json.buildJsonArray
import kotlinx.serialization.json.buildJsonObject
import kotlinx.serialization.json.contentOrNull
import kotlinx.serialization.json.jsonObject
import kotlinx.serialization.json.jsonPrimitive
import kotlinx.serialization.json.long
import kotlinx.serialization.json.put
import java.io.IOException
import java.util.concurrent.ConcurrentLinkedQueue
import java.util.concurrent.atomic.AtomicInteger

private const val EVENT_MILLIS = 10L
private const val ADAPTER_MILLIS = 8L
private const val SLOTS = 48

/** A run of a request at a target, as the target saw it. */
public data class HostedRun(
    val targetId: String,
    val attemptId: String,
    val member: String?,
    val path: String,
    val body: String,
)

/**
 * A target on the prepared platform: a model engine if it may hold models, a plain service otherwise.
 *
 * @property eventCount events of each stream.
 * @property loadMillis how long a model takes to load.
 */
internal class HostedTargetStandin(
    val targetId: String,
    private val isEngine: Boolean,
    models: Collection<String>,
    private val runs: ConcurrentLinkedQueue<HostedRun>,
    private val eventCount: Int = 5,
    private val loadMillis: Long = 200,
) {
    private val held = models.associateWithTo(LinkedHashMap()) { LinkedHashSet<String>() }
    private var accepted = 0L
    private var busyUntilMillis = 0L

    /** The copy that the latest order concerns; what else is held is served meanwhile. */
    private var orderedCopy: String? = null

    /** Ends the answer to each stream after this many events, without its end, if it is not `null`. */
    @Volatile
    var cutAfterEvents: Int? = null

    /** Answers requests with bytes that never end. */
    @Volatile
    var answersWithoutEnd = false

    /** The `Server-Leaving` header of all answers, or `null` for none. */
    @Volatile
    var leavingHeader: String? = null

    /** Turns every request away without running it, with this `Retry-After`, if it is not `null`. */
    @Volatile
    var turnsAwayFor: String? = null

    /** Whether it has turned a request away. */
    @Volatile
    var hasTurnedAway = false
        private set

    /** Requests, orders and questions that have reached the target. */
    val arrivals = AtomicInteger()

    /** The fencing numbers of the orders so far. */
    val fencingNumbers = ConcurrentLinkedQueue<Long>()

    private fun noteArrival(call: ApplicationCall) {
        arrivals.incrementAndGet()
        leavingHeader?.let { call.response.header("Server-Leaving", it) }
    }

    /** Adds the target's calls. */
    fun Route.addRoutes() {
        get("/health") {
            call.response.header("Instance-Id", targetId)
            call.respondText("")
        }
        get("/api/report") {
            noteArrival(call)
            call.respondText(report().toString(), ContentType.Application.Json)
        }
        post("/api/order") {
            noteArrival(call)
            val order = Json.parseToJsonElement(call.receiveText()).jsonObject
            val isMeant = call.request.header("Target-Instance").let { it == null || it == targetId }
            call.respondText(
                "",
                status = HttpStatusCode.fromValue(if (isMeant) carryOut(order) else STATUS_MISDIRECTED),
            )
        }
        route("{...}") { handle { serve(call) } }
    }

    @Synchronized
    fun heldModels() = buildJsonArray {
        held.forEach { (name, adapters) ->
            add(
                buildJsonObject {
                    put("name", name)
                    put("version", 1)
                    put(
                        "adapters",
                        buildJsonArray {
                            adapters.forEach { add(JsonPrimitive(it)) }
                        },
                    )
                },
            )
        }
    }

    @Synchronized
    private fun report(): JsonObject = buildJsonObject {
        put("stage", "prefill_decode")
        put("models", heldModels())
        put("busy", nowMillis() < busyUntilMillis)
        put("sequence", accepted)
        put("waiting", 0)
        put("running", 0)
    }

    @Synchronized
    private fun carryOut(order: JsonObject): Int {
        val model = order.getValue("model").jsonPrimitive.content
        val adapter = order["adapter"]?.jsonPrimitive?.contentOrNull
        val isLoad = order.getValue("operation").jsonPrimitive.content == "loading"
        val isHeld = if (adapter == null) model in held else held[model]?.contains(adapter) == true
        val expected = order["precondition"]?.jsonPrimitive?.long
        val fencingNumber = order.getValue("fence").jsonPrimitive.long
        val isOutdated = fencingNumber < (fencingNumbers.maxOrNull() ?: 0)
        fencingNumbers += fencingNumber
        return when {
            isOutdated -> STATUS_PRECONDITION_FAILED
            nowMillis() < busyUntilMillis || (expected != null && expected != accepted) -> STATUS_CONFLICT
            isHeld == isLoad -> STATUS_OK
            else -> accept(model, adapter, isLoad)
        }
    }

    private fun accept(model: String, adapter: String?, isLoad: Boolean): Int {
        accepted++
        orderedCopy = if (adapter == null) model else "$model/$adapter"
        busyUntilMillis = nowMillis() + if (adapter == null) loadMillis else ADAPTER_MILLIS
        when {
            isLoad && adapter == null -> held[model] = LinkedHashSet()
            isLoad -> held.getOrPut(model) { LinkedHashSet() } += checkNotNull(adapter) { "an adapter is loaded" }
            adapter == null -> held -= model
            else -> held[model]?.remove(adapter)
        }
        return STATUS_ACCEPTED
    }

    @Synchronized
    private fun holds(wanted: String): Boolean {
        val adapters = held[wanted.substringBefore('/')] ?: return false
        val isOrdered = wanted == orderedCopy || wanted.substringBefore('/') == orderedCopy
        val isReady = !isOrdered || nowMillis() >= busyUntilMillis
        return isReady && ('/' !in wanted || wanted.substringAfter('/') in adapters)
    }

    private fun lacks(model: String?): Boolean = isEngine && model != null && !holds(model)

    private suspend fun serve(call: ApplicationCall) {
        noteArrival(call)
        val attemptId = call.request.header("Attempt-Id").orEmpty()
        val model = call.request.header("Model")
        call.response.header("Attempt-Id", attemptId)
        call.response.header("Instance-Load", "1,0,$SLOTS")
        val isMeant = call.request.header("Target-Instance").let { it == null || it == targetId }
        if (!isMeant || lacks(model)) {
            call.response.header("Instance-Id", targetId)
            return call.respondText("", status = HttpStatusCode.fromValue(STATUS_MISDIRECTED))
        }
        turnsAwayFor?.let { seconds ->
            hasTurnedAway = true
            call.response.header("Not-Executed", "1")
            call.response.header("Retry-After", seconds)
            return call.respondText("", status = HttpStatusCode.ServiceUnavailable)
        }
        runs += HostedRun(targetId, attemptId, call.request.header("Tenant"), call.request.uri, call.receiveText())
        call.response.header("Server-Seal", "seal-$targetId")
        if (answersWithoutEnd) return sendForEver(call)
        if (isEngine) stream(call) else call.respondText("done by $targetId")
    }

    private suspend fun sendForEver(call: ApplicationCall) {
        val bytes = ByteArray(ENDLESS_PART_BYTES) { 'x'.code.toByte() }
        call.respondBytesWriter(ContentType.Application.OctetStream) {
            while (!isClosedForWrite) {
                writeFully(bytes)
                flush()
            }
        }
    }

    private suspend fun stream(call: ApplicationCall) {
        val first = (call.request.header("Last-Event-Id")?.toIntOrNull() ?: 0) + 1
        call.respondBytesWriter(ContentType.Text.EventStream) {
            for (number in first..eventCount) {
                if (cutAfterEvents?.let { number > it } == true) {
                    cutAfterEvents = null
                    throw IOException("the stream is cut on purpose")
                }
                writeStringUtf8("id: $number\ndata: part $number\n\n")
                flush()
                delay(EVENT_MILLIS)
            }
        }
    }

    private fun nowMillis(): Long = System.nanoTime() / 1_000_000

    private companion object {
        const val ENDLESS_PART_BYTES = 65_536
        const val STATUS_OK = 200
        const val STATUS_ACCEPTED = 202
        const val STATUS_CONFLICT = 409
        const val STATUS_PRECONDITION_FAILED = 412
        const val STATUS_MISDIRECTED = 421
    }
}
