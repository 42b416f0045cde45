package org.banyanturn.standin

import io.ktor.http.HttpStatusCode
import io.ktor.server.application.ApplicationCall
import io.ktor.server.request.receiveText
import io.ktor.server.routing.Route
import io.ktor.server.routing.get
import io.ktor.server.routing.post
import io.ktor.server.routing.put
import io.ktor.server.routing.route
import kotlinx.coroutines.flow.MutableStateFlow
import kotlinx.coroutines.flow.first
import kotlinx.coroutines.withTimeoutOrNull
import kotlinx.serialization.Serializable
import org.banyanturn.platform.http.AppendReply
import org.banyanturn.platform.http.ExpiredReply
import org.banyanturn.platform.http.ReadReply
import org.banyanturn.platform.http.RecordForm
import org.banyanturn.platform.http.wireJson
import java.util.concurrent.ConcurrentHashMap

private const val DEFAULT_MAX_RECORDS = 1_000

/** How many records of each stream a log service keeps. */
@Serializable
public data class Retention(val records: Int)

/** An append-only log service in memory. */
internal class LogStandin(settings: LogSettings) : StandinPart {
    override val name: String = settings.name
    override val port: Int = settings.port
    override val listener: ListenerState = ListenerState()

    private val streams = ConcurrentHashMap<String, LogStream>()

    @Volatile
    private var retention = Retention(settings.retentionRecords)

    override fun Route.addRoutes() {
        route("/streams/{stream}/records") {
            post { handle(listener) { append(call) } }
            get { handle(listener) { read(call) } }
        }
        put("/retention") {
            orRefuseMalformed {
                retention = wireJson.decodeFromString(call.receiveText())
                streams.values.forEach { it.keepLast(retention.records) }
                call.send(answer(retention))
            }
        }
    }

    private suspend fun append(call: ApplicationCall): Answer {
        val offset = streamOf(call).append(call.receiveText(), retention.records)
        return answer(AppendReply(offset))
    }

    private suspend fun read(call: ApplicationCall): Answer {
        val parameters = call.request.queryParameters
        val from = parameters["from"]?.toLongOrNull()
            ?: return refusal(HttpStatusCode.BadRequest, "from is no offset")
        val max = parameters["max"]?.toIntOrNull() ?: DEFAULT_MAX_RECORDS
        val waitMillis = parameters["waitMillis"]?.toLongOrNull() ?: 0
        val stream = streamOf(call)
        stream.awaitRecord(from, waitMillis)
        val reply = stream.read(from, max)
        return when {
            from < reply.firstOffset -> answer(ExpiredReply(reply.firstOffset), HttpStatusCode.Gone)
            else -> answer(reply)
        }
    }

    private fun streamOf(call: ApplicationCall): LogStream =
        streams.computeIfAbsent(call.parameters["stream"].orEmpty()) { LogStream() }
}

private class LogStream {
    private val records = ArrayDeque<RecordForm>()
    private val nextOffset = MutableStateFlow(0L)

    @Synchronized
    fun append(payload: String, keptRecords: Int): Long {
        val offset = nextOffset.value
        records.addLast(RecordForm(offset, payload))
        keepLast(keptRecords)
        nextOffset.value = offset + 1
        return offset
    }

    @Synchronized
    fun keepLast(count: Int) {
        while (records.size > count) records.removeFirst()
    }

    @Synchronized
    fun read(from: Long, max: Int): ReadReply {
        val firstOffset = nextOffset.value - records.size
        val start = (from - firstOffset).coerceIn(0, records.size.toLong()).toInt()
        val end = (start.toLong() + max.coerceAtLeast(0)).coerceAtMost(records.size.toLong()).toInt()
        val found = records.subList(start, end).toList()
        return ReadReply(found, found.lastOrNull()?.let { it.offset + 1 } ?: from, firstOffset)
    }

    suspend fun awaitRecord(offset: Long, waitMillis: Long) {
        if (waitMillis <= 0) return
        withTimeoutOrNull(waitMillis) { nextOffset.first { it > offset } }
    }
}
