package org.banyanturn.standin.hosted

import io.ktor.server.cio.CIO
import io.ktor.server.engine.EmbeddedServer
import io.ktor.server.engine.embeddedServer
import io.ktor.server.routing.Route
import io.ktor.server.routing.routing
import kotlinx.serialization.json.buildJsonArray
import kotlinx.serialization.json.buildJsonObject
import kotlinx.serialization.json.put
import java.util.concurrent.ConcurrentLinkedQueue

private const val STOP_TIMEOUT_MILLIS = 200L
private const val PARTITIONS_PER_TOPIC = 12
private const val DEFAULT_ZONE = "zone-a"

/**
 * A small stand-in for the prepared platform, on the ports of one host: its store, the operators' document and targets.
 *
 * It speaks what the platform's pages say, for tests and the demonstration; nothing is kept.
 */
public class HostedPlatformStandin(private val host: String = "127.0.0.1") : AutoCloseable {
    private val store = HostedStoreStandin(PARTITIONS_PER_TOPIC)
    private val servers = ArrayList<EmbeddedServer<*, *>>()
    private val targets = LinkedHashMap<String, RunningTarget>()
    private val seenRuns = ConcurrentLinkedQueue<HostedRun>()

    /** Port of the store, once [start] has returned. */
    public var storePort: Int = 0
        private set

    /** What the targets have run so far, oldest first. */
    public val runs: List<HostedRun>
        get() = seenRuns.toList()

    /** Whether the store turns every call away. */
    public var isStoreDown: Boolean by store::isDown

    /** The epoch that the store states in all its answers, or `null` while it states none. */
    public var storeEpoch: Long? by store::epoch

    /** Restores the store as it was [lostMillis] ago, in the next epoch. */
    public fun rollBackStore(lostMillis: Long): Unit = store.rollBack(lostMillis)

    /** Returns the fencing numbers of the orders that the engine [id] has received, in their order. */
    public fun fencingNumbersAt(id: String): List<Long> = targets.getValue(id).target.fencingNumbers.toList()

    /** Starts the store, at [port] or at a free one if it is 0. */
    public suspend fun start(port: Int = 0) {
        storePort = serve(port) { with(store) { addRoutes() } }
    }

    /** Puts the operators' [document] in force. */
    public fun declare(document: String) {
        store.write("keyed.op", "config", document)
    }

    /** Evacuates [zone], or ends its evacuation if [isEvacuated] is `false`. */
    public fun evacuate(zone: String, isEvacuated: Boolean = true) {
        store.write("keyed.op", "evacuate/$zone", if (isEvacuated) "{}" else null)
    }

    /** Starts an engine of [service] that holds [models] and loads others in [loadMillis], and lists it in [zone]. */
    public suspend fun startEngine(
        id: String,
        service: String,
        models: List<String>,
        loadMillis: Long = 200,
        zone: String = DEFAULT_ZONE,
    ) {
        val target = HostedTargetStandin(id, isEngine = true, models, seenRuns, loadMillis = loadMillis)
        startTarget(id, service, target, zone)
    }

    /** Starts a plain target of [service] and lists it. */
    public suspend fun startService(id: String, service: String) {
        startTarget(id, service, HostedTargetStandin(id, isEngine = false, emptyList(), seenRuns))
    }

    private suspend fun startTarget(
        id: String,
        service: String,
        target: HostedTargetStandin,
        zone: String = DEFAULT_ZONE,
    ) {
        val port = serve { with(target) { addRoutes() } }
        targets[id] = RunningTarget(target, service, zone, port, servers.last())
        list(id)
    }

    /** Writes the entry of the target [id] anew, with what it holds now. */
    public fun list(id: String, state: String = "ready") {
        val running = targets.getValue(id)
        val entry = buildJsonObject {
            put("service", running.service)
            put("address", "$host:${running.port}")
            put("zone", running.zone)
            put("slots", 48)
            put("state", state)
            put("models", running.target.heldModels())
            put("sequence", ++running.heartbeats)
            put("born", running.bornEpochMillis)
        }
        store.write("keyed.servers", id, entry.toString())
    }

    /** Lists a target that the caller runs itself at [port], with a model that it holds or none. */
    public fun listForeign(id: String, service: String, port: Int, model: String? = null, bornEpochMillis: Long = 1) {
        val entry = buildJsonObject {
            put("service", service)
            put("address", "$host:$port")
            put("zone", DEFAULT_ZONE)
            put("slots", 48)
            put("state", "ready")
            put("born", bornEpochMillis)
            model?.let { put("models", buildJsonArray { add(buildJsonObject { put("name", it) }) }) }
        }
        store.write("keyed.servers", id, entry.toString())
    }

    /** Writes the entries of all targets anew, as their heartbeats do. */
    public fun listAll(): Unit = targets.keys.forEach { list(it) }

    /** Drops the entry of the target [id], as if it had left. */
    public fun unlist(id: String) {
        store.write("keyed.servers", id, null)
    }

    /** Lets the next stream of the engine [id] break off after [events] events. */
    public fun cutNextStream(id: String, events: Int) {
        targets.getValue(id).target.cutAfterEvents = events
    }

    /** Lets the target [id] answer every request from now on with bytes that never end. */
    public fun answerWithoutEnd(id: String) {
        targets.getValue(id).target.answersWithoutEnd = true
    }

    /** Lets the target [id] say [header] as `Server-Leaving` in all its answers, or nothing if it is `null`. */
    public fun sayLeaving(id: String, header: String? = "1") {
        targets.getValue(id).target.leavingHeader = header
    }

    /** Lets the target [id] turn requests away with [retryAfter], or take them again if it is `null`. */
    public fun turnAway(id: String, retryAfter: String?) {
        targets.getValue(id).target.turnsAwayFor = retryAfter
    }

    /** Returns how many requests, orders and questions have reached the target [id]. */
    public fun arrivalsAt(id: String): Int = targets.getValue(id).target.arrivals.get()

    /** Lets the target [id] die: its host turns connections away, and the list still names it. */
    public fun killTarget(id: String) {
        targets.getValue(id).server.stop(0, STOP_TIMEOUT_MILLIS)
    }

    /** Returns whether the target [id] has turned a request away. */
    public fun hasTurnedAway(id: String): Boolean = targets.getValue(id).target.hasTurnedAway

    /** Lets a new life of the target [id] be listed, born at [bornEpochMillis]. */
    public fun listReborn(id: String, bornEpochMillis: Long) {
        targets.getValue(id).bornEpochMillis = bornEpochMillis
        list(id)
    }

    private suspend fun serve(port: Int = 0, routes: Route.() -> Unit): Int {
        val server = embeddedServer(CIO, port = port, host = host) { routing { routes() } }
        servers += server
        server.startSuspend(wait = false)
        return server.engine.resolvedConnectors().first().port
    }

    override fun close() {
        servers.forEach { it.stop(0, STOP_TIMEOUT_MILLIS) }
    }
}

private class RunningTarget(
    val target: HostedTargetStandin,
    val service: String,
    val zone: String,
    val port: Int,
    val server: EmbeddedServer<*, *>,
) {
    var heartbeats = 0
    var bornEpochMillis = 1L
}
