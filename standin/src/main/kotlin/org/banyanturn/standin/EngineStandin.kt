package org.banyanturn.standin

import io.ktor.client.HttpClient
import io.ktor.client.request.post
import io.ktor.client.request.setBody
import io.ktor.http.HttpStatusCode
import io.ktor.http.isSuccess
import io.ktor.server.request.receiveText
import io.ktor.server.routing.Route
import io.ktor.server.routing.RoutingContext
import io.ktor.server.routing.get
import io.ktor.server.routing.post
import kotlinx.coroutines.CoroutineScope
import kotlinx.coroutines.Dispatchers
import kotlinx.coroutines.Job
import kotlinx.coroutines.SupervisorJob
import kotlinx.coroutines.cancel
import kotlinx.coroutines.delay
import kotlinx.coroutines.launch
import org.banyanturn.platform.CacheTier
import org.banyanturn.platform.LoadUnit
import org.banyanturn.platform.http.CachedForm
import org.banyanturn.platform.http.CancelOrder
import org.banyanturn.platform.http.LoadOrder
import org.banyanturn.platform.http.ReportForm
import org.banyanturn.platform.http.UnloadOrder
import org.banyanturn.platform.http.toForm
import org.banyanturn.platform.http.toUnit
import org.banyanturn.platform.http.wireJson

/** A model engine. */
internal class EngineStandin(
    private val settings: EngineSettings,
    private val client: HttpClient,
    private val weightStoreUrl: String?,
) : StandinPart {
    override val name: String = settings.name
    override val port: Int = settings.port
    override val listener: ListenerState = ListenerState()

    private val scope = CoroutineScope(Dispatchers.Default + SupervisorJob())
    private val memory = EngineMemory(settings.memoryMebibytes, settings.checksFencing)
    private val cache = CheckpointCache(settings.memoryCacheMebibytes, settings.diskCacheMebibytes)
    private val slots = BatchSlots(settings.batchSlots)
    private val uptime = Uptime(settings.restartMillis)
    private val generation = EngineGenerationRoutes(settings, listener, memory, slots)
    private val firstIncarnation = System.currentTimeMillis()
    private val reports = LaggedValue(settings.reportLagMillis, currentReport())

    override fun Route.addRoutes() {
        post("/control/load") { unlessDown { handle(listener) { load(decode(call.receiveText())) } } }
        post("/control/unload") { unlessDown { handle(listener) { unload(decode(call.receiveText())) } } }
        post("/control/cancel") { unlessDown { handle(listener) { cancel(decode(call.receiveText())) } } }
        get("/control/report") { unlessDown { handle(listener) { answer(laggedReport()) } } }
        get("/health") { unlessDown { handle(listener) { Answer("{}") } } }
        post("/crash") {
            crash()
            call.send(Answer("{}"))
        }
        get("/counters") { call.send(answer(memory.counters)) }
        listOf("/v1/chat/completions", "/v1/completions").forEach { path ->
            post(path) { unlessDown { generate(path) } }
        }
    }

    override fun close() {
        scope.cancel()
    }

    private suspend fun RoutingContext.unlessDown(action: suspend RoutingContext.() -> Unit) {
        if (uptime.isDown) return call.cutConnection()
        action()
    }

    private suspend fun RoutingContext.generate(path: String) {
        val body = call.receiveText()
        if (settings.poisonText != null && settings.poisonText in body) {
            crash()
            call.cutConnection()
        } else {
            orRefuseMalformed { with(generation) { serve(path, body) { publishReport() } } }
        }
    }

    private fun crash() {
        uptime.crash()
        memory.crash()
        cache.clearMemory()
        generation.cutAll()
        publishReport()
    }

    private suspend fun load(order: LoadOrder): Answer {
        val unit = order.unit.toUnit()
        return when (val start = memory.beginLoad(unit, order.memoryMebibytes, order.fencingNumber)) {
            LoadStart.Fenced -> fencedAnswer()

            LoadStart.ModelMissing -> refusal(HttpStatusCode.Conflict, "the adapter's model is not loaded")

            is LoadStart.Joined -> awaitReady(start.resident)

            is LoadStart.Begun -> {
                scope.launch { transfer(start.resident) }
                publishReport()
                awaitReady(start.resident)
            }
        }
    }

    private suspend fun awaitReady(resident: ResidentUnit): Answer {
        resident.ready.join()
        publishReport()
        return if (resident.isReady) Answer("{}") else refusal(HttpStatusCode.InternalServerError, "the load failed")
    }

    private suspend fun transfer(resident: ResidentUnit) {
        val isTransferred = when (cache.tierOf(resident.unit)) {
            CacheTier.MEMORY -> wait(settings.memoryLoadMillis)
            CacheTier.DISK -> wait(settings.diskLoadMillis)
            CacheTier.REMOTE -> transferFromStore(resident)
        }
        if (isTransferred) {
            cache.put(resident.unit, resident.memoryMebibytes)
            resident.ready.complete(Unit)
        } else {
            memory.remove(resident.unit)
            resident.ready.cancel()
        }
        publishReport()
    }

    private suspend fun wait(millis: Long): Boolean {
        delay((millis * listener.faults.slowFactor).toLong())
        return true
    }

    private suspend fun transferFromStore(resident: ResidentUnit): Boolean {
        val url = weightStoreUrl ?: return true
        val order = TransferOrder(resident.unit.toForm(), resident.memoryMebibytes)
        return try {
            client.post("$url/transfers") { setBody(wireJson.encodeToString(order)) }.status.isSuccess()
        } catch (_: java.io.IOException) {
            false
        }
    }

    private suspend fun unload(order: UnloadOrder): Answer {
        if (!memory.passFence(order.fencingNumber)) return fencedAnswer()
        val unit = order.unit.toUnit()
        memory.residentOrNull(unit)?.ready?.join()
        wait(settings.unloadMillis)
        memory.remove(unit)
        publishReport()
        return Answer("{}")
    }

    private fun fencedAnswer(): Answer = refusal(HttpStatusCode.Conflict, "the fencing number is old")

    private fun cancel(order: CancelOrder): Answer {
        if (generation.cancel(order.attemptId)) memory.count { it.copy(cancelled = it.cancelled + 1) }
        return Answer("{}")
    }

    @Synchronized
    private fun publishReport(): Unit = reports.set(currentReport())

    private fun laggedReport(): ReportForm = reports.get().copy(ageMillis = settings.reportLagMillis)

    private fun currentReport(): ReportForm {
        val (ready, loading) = memory.units().partition(ResidentUnit::isReady)
        return ReportForm(
            incarnation = firstIncarnation + memory.crashes,
            loaded = ready.map { it.unit.toForm() },
            loading = loading.map { it.unit.toForm() },
            cached = cache.tiers().map { (unit, tier) -> CachedForm(unit.toForm(), tier.name.lowercase()) },
            usedMebibytes = memory.usedMebibytes(),
            runningRequests = slots.running,
            waitingRequests = slots.waiting,
            batchSlots = settings.batchSlots,
            ageMillis = 0,
        )
    }
}

/** Returns the message of type [T] in [text]. */
internal inline fun <reified T> decode(text: String): T = wireJson.decodeFromString(text)
