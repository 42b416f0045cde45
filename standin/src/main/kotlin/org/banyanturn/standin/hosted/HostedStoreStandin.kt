package org.banyanturn.standin.hosted

import io.ktor.http.ContentType
import io.ktor.http.HttpStatusCode
import io.ktor.server.application.ApplicationCall
import io.ktor.server.request.receiveText
import io.ktor.server.response.header
import io.ktor.server.response.respondBytes
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

/** How long the states of the group are kept for a rollback. */
private const val HISTORY_MILLIS = 60_000L

private class StoredRecord(val key: String, val value: ByteArray?, val writtenMillis: Long)

private class GroupMember(val seenMillis: Long, val ttlMillis: Long)

private class GroupState(val members: Map<String, GroupMember>, val generation: Long, val sinceMillis: Long)

/** An answer with the epoch in which it was made. */
private class StoreAnswer(val status: Int, val body: ByteArray, val epoch: Long?)

/**
 * The prepared platform's store: keyed topics and one group, in memory; safe for use by several threads.
 *
 * It can be restored from an older copy of itself, as [rollBack] says.
 */
internal class HostedStoreStandin(private val partitionsPerTopic: Int) {
    private val topics = HashMap<String, ArrayList<StoredRecord>>()
    private val groupStates = ArrayDeque(listOf(GroupState(emptyMap(), generation = 0, Long.MIN_VALUE)))
    private var groupTopics = listOf<String>()
    private val group: GroupState
        get() = groupStates.last()

    /** The epoch that all answers state, or `null` while they state none. */
    @Volatile
    var epoch: Long? = null

    /** Whether the store answers no call but with 503. */
    @Volatile
    var isDown = false

    /** Writes [value] under [key], or drops the key if it is `null`. */
    @Synchronized
    fun write(topic: String, key: String, value: String?) {
        topics.getOrPut(topic) { ArrayList() } += StoredRecord(key, value?.encodeToByteArray(), nowMillis())
    }

    /** Restores topics and group as of [lostMillis] ago, and raises the epoch by one if answers state it. */
    @Synchronized
    fun rollBack(lostMillis: Long) {
        val atMillis = nowMillis() - lostMillis
        topics.values.forEach { records -> records.removeIf { it.writtenMillis > atMillis } }
        val restored = groupStates.lastOrNull { it.sinceMillis <= atMillis } ?: groupStates.first()
        setGroup(restored.members, restored.generation)
        epoch = epoch?.plus(1)
    }

    private fun setGroup(members: Map<String, GroupMember>, generation: Long) {
        val nowMillis = nowMillis()
        groupStates += GroupState(members, generation, nowMillis)
        while (groupStates.size > 1 &&
            groupStates[1].sinceMillis < nowMillis - HISTORY_MILLIS
        ) {
            groupStates.removeFirst()
        }
    }

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
        get("/api/log-newest") { answer { jsonAnswer { newest(call.query("topic")) } } }
        get("/api/log-read") { answer { read(call) } }
        post("/api/log-join") {
            val request = call.receiveJson()
            answer { jsonAnswer { join(request) } }
        }
        post("/api/log-leave") {
            val request = call.receiveJson()
            answer { jsonAnswer { leave(request) } }
        }
        get("/api/log-owners") { answer { jsonAnswer { owners() } } }
    }

    private suspend fun RoutingContext.answer(action: suspend () -> StoreAnswer) {
        val answer = if (isDown) StoreAnswer(STATUS_UNAVAILABLE, ByteArray(0), epoch) else action()
        answer.epoch?.let { call.response.header("Store-Era", it) }
        call.respondBytes(answer.body, ContentType.Application.Json, HttpStatusCode.fromValue(answer.status))
    }

    @Synchronized
    private fun jsonAnswer(action: () -> JsonObject): StoreAnswer =
        StoreAnswer(STATUS_OK, action().toString().encodeToByteArray(), epoch)

    private suspend fun read(call: ApplicationCall): StoreAnswer {
        val topic = call.query("topic")
        val from = call.query("from").toInt()
        var waitedMillis = 0L
        while (endOf(topic) == from && waitedMillis < call.query("wait_ms").toLong()) {
            delay(POLL_MILLIS)
            waitedMillis += POLL_MILLIS
        }
        return changes(topic, from)
    }

    @Synchronized
    private fun endOf(topic: String): Int = topics[topic].orEmpty().size

    @Synchronized
    private fun changes(topic: String, from: Int): StoreAnswer {
        if (from > endOf(topic)) return StoreAnswer(STATUS_GONE, ByteArray(0), epoch)
        return StoreAnswer(STATUS_OK, framesOf(from, topics[topic].orEmpty().drop(from)), epoch)
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

    private fun join(request: JsonObject): JsonObject {
        val name = request.getValue("member").jsonPrimitive.content
        groupTopics = request.getValue("topics").jsonArray.map { it.jsonPrimitive.content }
        val ttlMillis = request.getValue("ttl_ms").jsonPrimitive.long
        dropSilent()
        val rise = if (name in group.members) 0 else 1
        setGroup(group.members + (name to GroupMember(nowMillis(), ttlMillis)), group.generation + rise)
        val rows = rows().filter { it[2].jsonPrimitive.content == name }
        return buildJsonObject {
            put("generation", group.generation)
            put("ttl_ms", ttlMillis)
            put("parts", JsonArray(rows.map { JsonArray(listOf(it[0], it[1], it[3])) }))
        }
    }

    private fun leave(request: JsonObject): JsonObject {
        val name = request.getValue("member").jsonPrimitive.content
        if (name in group.members) setGroup(group.members - name, group.generation + 1)
        return buildJsonObject { put("generation", group.generation) }
    }

    private fun owners(): JsonObject {
        dropSilent()
        return buildJsonObject {
            put("generation", group.generation)
            put("parts", JsonArray(rows()))
        }
    }

    private fun dropSilent() {
        val live = group.members.filterValues { nowMillis() - it.seenMillis <= it.ttlMillis }
        if (live.size < group.members.size) setGroup(live, group.generation + 1)
    }

    private fun rows(): List<JsonArray> {
        val names = group.members.keys.sorted().ifEmpty { return emptyList() }
        val partitions = groupTopics.flatMap { topic -> (0 until partitionsPerTopic).map { topic to it } }
        return partitions.mapIndexed { index, (topic, number) ->
            val owner = names[index % names.size]
            JsonArray(listOf(JsonPrimitive(topic), JsonPrimitive(number), JsonPrimitive(owner), JsonPrimitive(0)))
        }
    }

    private fun nowMillis(): Long = System.nanoTime() / NANOS_PER_MILLI

    private companion object {
        const val STATUS_OK = 200
        const val STATUS_GONE = 410
        const val STATUS_UNAVAILABLE = 503
    }
}

private fun ApplicationCall.query(name: String): String = request.queryParameters[name].orEmpty()

private suspend fun ApplicationCall.receiveJson(): JsonObject = Json.parseToJsonElement(receiveText()).jsonObject
