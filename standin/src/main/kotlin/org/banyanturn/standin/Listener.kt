package org.banyanturn.standin

import io.ktor.http.ContentType
import io.ktor.http.HttpMethod
import io.ktor.http.HttpStatusCode
import io.ktor.server.application.ApplicationCall
import io.ktor.server.cio.CIO
import io.ktor.server.engine.embeddedServer
import io.ktor.server.request.httpMethod
import io.ktor.server.request.receiveText
import io.ktor.server.request.uri
import io.ktor.server.response.respondText
import io.ktor.server.routing.Route
import io.ktor.server.routing.Routing
import io.ktor.server.routing.RoutingContext
import io.ktor.server.routing.delete
import io.ktor.server.routing.get
import io.ktor.server.routing.put
import io.ktor.server.routing.route
import io.ktor.server.routing.routing
import io.ktor.util.flattenEntries
import kotlinx.coroutines.awaitCancellation
import kotlinx.coroutines.delay
import org.banyanturn.platform.http.ErrorReply
import org.banyanturn.platform.http.wireJson

private const val STOP_GRACE_MILLIS = 0L
private const val STOP_TIMEOUT_MILLIS = 200L

/** A whole answer of a stand-in. */
internal class Answer(val text: String, val status: HttpStatusCode = HttpStatusCode.OK)

/** Returns an answer with [value] as JSON. */
internal inline fun <reified T> answer(value: T, status: HttpStatusCode = HttpStatusCode.OK): Answer =
    Answer(wireJson.encodeToString(value), status)

/** Returns an answer that refuses a call. */
internal fun refusal(status: HttpStatusCode, message: String): Answer = answer(ErrorReply(message), status)

/** The faults and the seen requests of one listener. */
internal class ListenerState {
    /** The faults in force. */
    @Volatile
    var faults: Faults = Faults()

    /** The requests that came last. */
    val seen: SeenRequests = SeenRequests()
}

/** Something that serves HTTP on one port. */
internal interface StandinPart {
    /** Name of the part, as it stands in the port file. */
    val name: String

    /** TCP port from the settings, 0 for a free one. */
    val port: Int

    /** The faults and the seen requests. */
    val listener: ListenerState

    /** Adds the part's routes. */
    fun Route.addRoutes()

    /** Stops what the part runs. */
    fun close() {}
}

/** A running listener of [part] on [port]. */
internal class RunningListener(private val part: StandinPart, val port: Int, private val stop: () -> Unit) {
    val name: String get() = part.name

    fun close() {
        part.close()
        stop()
    }
}

/** Starts a listener for this part on [host]. */
internal suspend fun StandinPart.start(host: String): RunningListener {
    val part = this
    val server = embeddedServer(CIO, port = port, host = host) {
        routing {
            addFaultRoutes(part.listener)
            with(part) { addRoutes() }
        }
    }
    server.startSuspend(wait = false)
    val boundPort = server.engine.resolvedConnectors().first().port
    return RunningListener(part, boundPort) { server.stop(STOP_GRACE_MILLIS, STOP_TIMEOUT_MILLIS) }
}

private fun Routing.addFaultRoutes(state: ListenerState) {
    route("/faults") {
        get { call.respondJson(state.faults.encode()) }
        put {
            val faults = decodeFaultsOrNull(call.receiveText())
            if (faults == null) {
                call.send(refusal(HttpStatusCode.BadRequest, "the body is no known set of faults"))
            } else {
                state.faults = faults
                call.respondJson(faults.encode())
            }
        }
        delete {
            state.faults = Faults()
            call.respondJson(state.faults.encode())
        }
    }
    route("/seen") {
        get { call.send(answer(state.seen.reply())) }
        delete {
            state.seen.clear()
            call.send(answer(state.seen.reply()))
        }
    }
}

/** Runs [action] under the listener's faults and sends its answer. */
internal suspend fun RoutingContext.handle(state: ListenerState, action: suspend () -> Answer) {
    if (!passFaults(state)) return
    val answer = try {
        action()
    } catch (malformed: IllegalArgumentException) {
        refusal(HttpStatusCode.BadRequest, malformed.message.orEmpty())
    }
    val isLost = state.faults.loseAnswers && call.request.httpMethod != HttpMethod.Get
    if (isLost) call.cutConnection() else call.send(answer)
}

/** Runs [action] and refuses the call if its body is malformed. */
internal suspend fun RoutingContext.orRefuseMalformed(action: suspend () -> Unit): Unit =
    try {
        action()
    } catch (malformed: IllegalArgumentException) {
        call.send(refusal(HttpStatusCode.BadRequest, malformed.message.orEmpty()))
    }

/** Returns whether the call may go on; otherwise it was refused or cut. */
internal suspend fun RoutingContext.passFaults(state: ListenerState): Boolean {
    state.seen.add(call.toSeenRequest())
    val faults = state.faults
    if (faults.silent) awaitCancellation()
    if (faults.delayMillis > 0) delay(faults.delayMillis)
    when {
        faults.refuse -> call.cutConnection()
        faults.outage -> call.send(refusal(HttpStatusCode.ServiceUnavailable, "outage"))
        else -> return true
    }
    return false
}

private fun ApplicationCall.toSeenRequest(): SeenRequest =
    SeenRequest(
        method = request.httpMethod.value,
        path = request.uri,
        headers = request.headers.flattenEntries().map { (name, value) -> SeenHeader(name, value) },
    )

/** Sends [answer]. */
internal suspend fun ApplicationCall.send(answer: Answer): Unit = respondJson(answer.text, answer.status)

private suspend fun ApplicationCall.respondJson(text: String, status: HttpStatusCode = HttpStatusCode.OK): Unit =
    respondText(text, ContentType.Application.Json, status)
