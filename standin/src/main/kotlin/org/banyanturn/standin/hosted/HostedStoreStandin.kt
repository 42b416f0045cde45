package org.banyanturn.standin.hosted

import io.ktor.http.ContentType
import io.ktor.http.HttpStatusCode
import io.ktor.server.application.ApplicationCall
import io.ktor.server.request.receiveText
import io.ktor.server.response.respondBytes
import io.ktor.server.response.respondText
import io.ktor.server.routing.Route
import io.ktor.server.routing.RoutingContext
import io.ktor.server.routing.get
import io.ktor.server.routing.post
import kotlinx.coroutines.delay
import kotlinx.serialization.json.Json
import kotlinx.serialization.json.JsonArray
import kotlinx.serialization.json.JsonObject
import kotlinx.serialization.json.JsonPrimitive
import kotlinx.serialization.json.buildJsonArray
import kotlinx.serialization.json.buildJsonObject
import kotlinx.serialization.json.jsonArray
import kotlinx.serialization.json.jsonObject
import kotlinx.serialization.json.jsonPrimitive
import kotlinx.serialization.json.long
import kotlinx.serialization.json.put
import java.io.ByteArrayOutputStream
import java.io.DataOutputStream
import java.util.Base64

private const val POLL_MILLIS = 10L

private const val NANOS_PER_MILLI = 1_000_000L

private class StoredRecord(val key: String, val value: ByteArray?)

private class GroupMember(var seenMillis: Long, val ttlMillis: Long)

/** The prepared platform's store: keyed topics and one group, in memory; safe for use by several threads. */
internal class HostedStoreStandin(private val partitionsPerTopic: Int) {
    private val topics = HashMap<String, ArrayList<StoredRecord>>()
    private val members = sortedMapOf<String, GroupMember>()
    private var groupTopics = listOf<String>()
    private var generation = 0L

    /** Whether the store answers no call but with 503. */
    @Volatile
    var isDown = false

    /** Writes [value] under [key], or drops the key if it is `null`. */
    @Synchronized
    fun write(topic: String, key: String, value: String?) {
        topics.getOrPut(topic) { ArrayList() } += StoredRecord(key, value?.encodeToByteArray())
    }

    @Synchronized
    private fun since(topic: String, offset: Int): List<StoredRecord> = topics[topic].orEmpty().drop(offset)

    @Synchronized
    private fun newest(topic: String): JsonObject {
        val records = topics[topic].orEmpty()
        val latest = records.withIndex().associateBy { it.value.key }.values.filter { it.value.value != null }
        return buildJsonObject {
            put("items", buildJsonArray { latest.forEach { add(itemOf(it.index, it.value)) } })
            put("more", false)
            put("end", records.size)
        }
    }

    private fun itemOf(offset: Int, record: StoredRecord): JsonObject =
        buildJsonObject {
            put("key", record.key)
            put("value", Base64.getEncoder().encodeToString(record.value))
            put("offset", offset)
        }

    /** Adds the store's calls. */
    fun Route.addRoutes() {
        get("/api/log-newest") { answer { call.respondJson(newest(call.query("topic"))) } }
        get("/api/log-read") { answer { call.respondBytes(read(call)) } }
        post("/api/log-join") { answer { call.respondJson(join(call.receiveJson())) } }
        post("/api/log-leave") { answer { call.respondJson(leave(call.receiveJson())) } }
        get("/api/log-owners") { answer { call.respondJson(owners()) } }
    }

    private suspend fun RoutingContext.answer(action: suspend () -> Unit) {
        if (isDown) call.respondText("", status = HttpStatusCode.ServiceUnavailable) else action()
    }

    private suspend fun read(call: ApplicationCall): ByteArray {
        val topic = call.query("topic")
        val from = call.query("from").toInt()
        var waitedMillis = 0L
        while (since(topic, from).isEmpty() && waitedMillis < call.query("wait_ms").toLong()) {
            delay(POLL_MILLIS)
            waitedMillis += POLL_MILLIS
        }
        return framesOf(from, since(topic, from))
    }

    private fun framesOf(from: Int, records: List<StoredRecord>): ByteArray {
        val bytes = ByteArrayOutputStream()
        val out = DataOutputStream(bytes)
        out.writeLong((from + records.size).toLong())
        out.writeLong(0)
        records.forEach { record ->
            val key = record.key.encodeToByteArray()
            out.writeInt(1 + key.size + (record.value?.size ?: 0))
            out.writeByte(key.size)
            out.write(key)
            record.value?.let { out.write(it) }
        }
        return bytes.toByteArray()
    }

    @Synchronized
    private fun join(request: JsonObject): JsonObject {
        val name = request.getValue("member").jsonPrimitive.content
        groupTopics = request.getValue("topics").jsonArray.map { it.jsonPrimitive.content }
        val ttlMillis = request.getValue("ttl_ms").jsonPrimitive.long
        dropSilent()
        if (name !in members) generation++
        members[name] = GroupMember(nowMillis(), ttlMillis)
        val rows = rows().filter { it[2].jsonPrimitive.content == name }
        return buildJsonObject {
            put("generation", generation)
            put("ttl_ms", ttlMillis)
            put("parts", JsonArray(rows.map { JsonArray(listOf(it[0], it[1], it[3])) }))
        }
    }

    @Synchronized
    private fun leave(request: JsonObject): JsonObject {
        if (members.remove(request.getValue("member").jsonPrimitive.content) != null) generation++
        return buildJsonObject { put("generation", generation) }
    }

    @Synchronized
    private fun owners(): JsonObject {
        dropSilent()
        return buildJsonObject {
            put("generation", generation)
            put("parts", JsonArray(rows()))
        }
    }

    private fun dropSilent() {
        if (members.values.removeIf { nowMillis() - it.seenMillis > it.ttlMillis }) generation++
    }

    private fun rows(): List<JsonArray> {
        val names = members.keys.toList().ifEmpty { return emptyList() }
        val partitions = groupTopics.flatMap { topic -> (0 until partitionsPerTopic).map { topic to it } }
        return partitions.mapIndexed { index, (topic, number) ->
            val owner = names[index % names.size]
            JsonArray(listOf(JsonPrimitive(topic), JsonPrimitive(number), JsonPrimitive(owner), JsonPrimitive(0)))
        }
    }

    private fun nowMillis(): Long = System.nanoTime() / NANOS_PER_MILLI
}

private fun ApplicationCall.query(name: String): String = request.queryParameters[name].orEmpty()

private suspend fun ApplicationCall.receiveJson(): JsonObject = Json.parseToJsonElement(receiveText()).jsonObject

private suspend fun ApplicationCall.respondJson(value: JsonObject): Unit =
    respondText(value.toString(), ContentType.Application.Json)
