package org.banyanturn.standin

import io.ktor.http.HttpStatusCode
import io.ktor.server.application.ApplicationCall
import io.ktor.server.request.header
import io.ktor.server.request.receiveText
import io.ktor.server.routing.Route
import io.ktor.server.routing.RoutingContext
import io.ktor.server.routing.get
import io.ktor.server.routing.route
import kotlinx.coroutines.delay
import kotlinx.serialization.Serializable
import kotlinx.serialization.SerializationException
import kotlinx.serialization.json.JsonObject
import kotlinx.serialization.json.contentOrNull
import kotlinx.serialization.json.jsonPrimitive
import org.banyanturn.platform.http.wireJson
import java.util.concurrent.ConcurrentHashMap
import java.util.concurrent.atomic.AtomicInteger

private const val ORDER_ID_FIELD = "orderId"
private const val IDEMPOTENCY_KEY_HEADER = "Idempotency-Key"

/** How often one order ran. */
@Serializable
public data class OrderRuns(val orderId: String, val count: Int)

/** The orders that a service ran; [total] counts calls without an order id as well. */
@Serializable
public data class RunsReply(val runs: List<OrderRuns>, val total: Int)

/** A plain service's answer: how often the order has run by now. */
@Serializable
public data class ServiceReply(val service: String, val orderId: String? = null, val run: Int)

/** A plain service that counts how often each order ran. */
internal class ServiceStandin(private val settings: ServiceSettings) : StandinPart {
    override val name: String = settings.name
    override val port: Int = settings.port
    override val listener: ListenerState = ListenerState()

    private val runsByOrder = ConcurrentHashMap<String, Int>()
    private val total = AtomicInteger()
    private val uptime = Uptime(settings.restartMillis)

    override fun Route.addRoutes() {
        get("/runs") { call.send(answer(runs())) }
        get("/health") { handle(listener) { Answer("{}") } }
        route("{path...}") { handle { serve() } }
    }

    private suspend fun RoutingContext.serve() {
        val body = call.receiveText()
        if (settings.poisonText != null && settings.poisonText in body) uptime.crash()
        if (uptime.isDown) call.cutConnection() else handle(listener) { run(call, body) }
    }

    private suspend fun run(call: ApplicationCall, body: String): Answer {
        val orderId = orderIdOrNull(body) ?: call.request.header(IDEMPOTENCY_KEY_HEADER)
        total.incrementAndGet()
        val run = orderId?.let { runsByOrder.merge(it, 1, Int::plus) } ?: 1
        delay(settings.serviceMillis)
        return answer(ServiceReply(name, orderId, run), HttpStatusCode.OK)
    }

    private fun runs(): RunsReply =
        RunsReply(runsByOrder.entries.map { OrderRuns(it.key, it.value) }.sortedBy(OrderRuns::orderId), total.get())
}

private fun orderIdOrNull(body: String): String? =
    try {
        wireJson.decodeFromString<JsonObject>(body)[ORDER_ID_FIELD]?.jsonPrimitive?.contentOrNull
    } catch (_: SerializationException) {
        null
    } catch (_: IllegalArgumentException) {
        null
    }
