package org.banyanturn.entry.follow

import com.github.michaelbull.result.Err
import com.github.michaelbull.result.Ok
import com.github.michaelbull.result.Result
import kotlinx.coroutines.delay
import kotlinx.coroutines.withTimeoutOrNull
import kotlinx.serialization.json.Json
import kotlinx.serialization.json.JsonObject
import kotlinx.serialization.json.jsonArray
import kotlinx.serialization.json.jsonObject
import kotlinx.serialization.json.jsonPrimitive
import kotlinx.serialization.json.long
import org.banyanturn.platform.hosted.HttpExchangeCall
import org.banyanturn.platform.hosted.HttpExchangeFailure
import org.banyanturn.platform.hosted.HttpExchangeReply
import org.banyanturn.platform.hosted.HttpExchanges
import java.io.ByteArrayOutputStream
import java.io.DataOutputStream
import java.util.Base64

private const val PARTITIONS_PER_TOPIC = 12
private const val CALL_MILLIS = 4L

/** The state of a VM's connection to [SimulatedStore]. */
internal class StoreLink {
    /** Whether calls get no response; those of [losesResponses] are carried out all the same. */
    var isCut = false
    var losesResponses = false

    /** Responses are held back while the VM is frozen. */
    var isFrozen = false
}

/** Simulates the platform's store behind its wire protocol, on the time of [nowMillis], with rollbacks. */
internal class SimulatedStore(private val statesEpoch: Boolean = true, private val nowMillis: () -> Long) {
    private class Record(val key: String, val value: String?)

    private class State(val records: List<Record>, val members: Map<String, Long>, val generation: Long)

    private var state = State(emptyList(), emptyMap(), generation = 0)
    private val history = ArrayList<Pair<Long, State>>()
    private var ttlMillis = 0L
    private var topics = emptyList<String>()
    var epoch = 1L
        private set
    var isDown = false

    fun write(key: String, value: String?) = change(
        State(state.records + Record(key, value), state.members, state.generation),
    )

    private fun change(newState: State) {
        state = newState
        history += nowMillis() to newState
    }

    /** Restores the state of [lostMillis] ago; the members of the group are as silent as they were then. */
    fun rollBack(lostMillis: Long) {
        val atMillis = nowMillis() - lostMillis
        epoch++
        change(history.last { it.first <= atMillis }.second)
    }

    fun exchangesFor(link: StoreLink) = HttpExchanges { _, call -> respond(link, call) }

    private suspend fun respond(
        link: StoreLink,
        call: HttpExchangeCall,
    ): Result<HttpExchangeReply, HttpExchangeFailure> {
        delay(CALL_MILLIS)
        if (link.isCut) return silence(call)
        val reply = if (isDown) reply(503) else reply(call)
        if (link.losesResponses) return silence(call)
        while (link.isFrozen) delay(CALL_MILLIS)
        return Ok(reply)
    }

    private suspend fun silence(call: HttpExchangeCall): Result<HttpExchangeReply, HttpExchangeFailure> {
        delay(call.timeoutMillis)
        return Err(HttpExchangeFailure(wasSent = true, "no response"))
    }

    private fun reply(status: Int, body: ByteArray = ByteArray(0)) =
        HttpExchangeReply(status, if (statesEpoch) mapOf("store-era" to "$epoch") else emptyMap(), body)

    private suspend fun reply(call: HttpExchangeCall): HttpExchangeReply {
        val query = call.pathAndQuery.substringAfter('?').split('&').associate {
            it.substringBefore('=') to
                it.substringAfter('=')
        }
        return when (call.pathAndQuery.substringBefore('?')) {
            "/api/log-newest" -> reply(200, newest().encodeToByteArray())
            "/api/log-read" -> changes(query.getValue("from").toInt(), query.getValue("wait_ms").toLong())
            "/api/log-join" -> reply(200, join(call.bodyObject()).encodeToByteArray())
            "/api/log-leave" -> reply(200, leave(call.bodyObject()).encodeToByteArray())
            else -> reply(200, owners().encodeToByteArray())
        }
    }

    private fun HttpExchangeCall.bodyObject() = Json.parseToJsonElement(body.decodeToString()).jsonObject

    private fun newest(): String {
        val latest = state.records.withIndex().associateBy { it.value.key }.values.filter { it.value.value != null }
        val items = latest.joinToString {
            val value = Base64.getEncoder().encodeToString(
                checkNotNull(it.value.value) {
                    "filtered"
                }.encodeToByteArray(),
            )
            """{"key":"${it.value.key}","value":"$value","offset":${it.index}}"""
        }
        return """{"items":[$items],"more":false,"end":${state.records.size}}"""
    }

    private suspend fun changes(from: Int, waitMillis: Long): HttpExchangeReply {
        withTimeoutOrNull(waitMillis) { while (state.records.size == from) delay(1) }
        if (from > state.records.size) return reply(410)
        val bytes = ByteArrayOutputStream()
        val out = DataOutputStream(bytes)
        out.writeLong(state.records.size.toLong())
        out.writeLong(0)
        state.records.drop(from).forEach { record ->
            out.writeInt(1 + record.key.length + (record.value?.length ?: 0))
            out.writeByte(record.key.length)
            out.writeBytes(record.key)
            record.value?.let(out::writeBytes)
        }
        return reply(200, bytes.toByteArray())
    }

    private fun join(request: JsonObject): String {
        val name = request.getValue("member").jsonPrimitive.content
        ttlMillis = request.getValue("ttl_ms").jsonPrimitive.long
        topics = request.getValue("topics").jsonArray.map { it.jsonPrimitive.content }
        dropSilent()
        val isNew = name !in state.members
        change(State(state.records, state.members + (name to nowMillis()), state.generation + if (isNew) 1 else 0))
        val rows = rows().filter { it.second == name }.joinToString { "[${it.first},0]" }
        return """{"generation":${state.generation},"parts":[$rows]}"""
    }

    private fun leave(request: JsonObject): String {
        val name = request.getValue("member").jsonPrimitive.content
        val rise = if (name in state.members) 1 else 0
        change(State(state.records, state.members - name, state.generation + rise))
        return """{"generation":${state.generation}}"""
    }

    private fun owners(): String {
        dropSilent()
        val rows = rows().joinToString { "[${it.first},\"${it.second}\",0]" }
        return """{"generation":${state.generation},"parts":[$rows]}"""
    }

    private fun dropSilent() {
        val live = state.members.filterValues { nowMillis() - it <= ttlMillis }
        if (live.size < state.members.size) change(State(state.records, live, state.generation + 1))
    }

    /** Returns each partition as the start of its row, with its owner. */
    private fun rows(): List<Pair<String, String>> {
        val names = state.members.keys.sorted().ifEmpty { return emptyList() }
        val partitions = topics.flatMap { topic -> (0 until PARTITIONS_PER_TOPIC).map { "\"$topic\",$it" } }
        return partitions.mapIndexed { index, partition -> partition to names[index % names.size] }
    }
}
