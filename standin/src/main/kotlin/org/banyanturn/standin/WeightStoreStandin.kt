package org.banyanturn.standin

import io.ktor.server.request.receiveText
import io.ktor.server.routing.Route
import io.ktor.server.routing.get
import io.ktor.server.routing.post
import kotlinx.coroutines.delay
import kotlinx.serialization.Serializable
import org.banyanturn.platform.http.UnitForm
import org.banyanturn.platform.http.wireJson
import java.util.concurrent.atomic.AtomicInteger
import kotlin.math.ceil

private const val STEP_MILLIS = 5.0
private const val MILLIS_PER_SECOND = 1_000.0

/** Asks a weight store for a checkpoint of [memoryMebibytes]; the answer comes when it is through. */
@Serializable
public data class TransferOrder(val unit: UnitForm, val memoryMebibytes: Long)

/** What a weight store has served. */
@Serializable
public data class TransferCounters(val transfers: Int, val peakLoads: Int, val peakAdapters: Int)

/** A weight store that is slower the more loads it serves at once. */
internal class WeightStoreStandin(private val settings: WeightStoreSettings) : StandinPart {
    override val name: String = settings.name
    override val port: Int = settings.port
    override val listener: ListenerState = ListenerState()

    private val transfers = AtomicInteger()
    private val loads = SharedLink(settings.fullSpeedLoads)
    private val adapters = SharedLink(settings.fullSpeedAdapters)

    override fun Route.addRoutes() {
        post("/transfers") { handle(listener) { transfer(wireJson.decodeFromString(call.receiveText())) } }
        get("/counters") { call.send(answer(counters())) }
    }

    private suspend fun transfer(order: TransferOrder): Answer {
        if (order.unit.adapterId == null) {
            val millis = order.memoryMebibytes * MILLIS_PER_SECOND / settings.mebibytesPerSecond
            loads.transfer(millis) { listener.faults.slowFactor }
        } else {
            adapters.transfer(settings.adapterMillis.toDouble()) { listener.faults.slowFactor }
        }
        transfers.incrementAndGet()
        return answer(counters())
    }

    private fun counters(): TransferCounters = TransferCounters(transfers.get(), loads.peak, adapters.peak)
}

/** A link that gives full speed to [fullSpeedTransfers] transfers and is shared equally beyond. */
internal class SharedLink(private val fullSpeedTransfers: Int) {
    private val running = AtomicInteger()
    private val peakRunning = AtomicInteger()

    val peak: Int get() = peakRunning.get()

    suspend fun transfer(fullSpeedMillis: Double, slowFactor: () -> Double) {
        val count = running.incrementAndGet()
        peakRunning.accumulateAndGet(count, ::maxOf)
        try {
            var remainingMillis = fullSpeedMillis
            while (remainingMillis > 0) {
                val step = minOf(STEP_MILLIS, remainingMillis)
                delay(ceil(step * slowdown() * slowFactor()).toLong())
                remainingMillis -= step
            }
        } finally {
            running.decrementAndGet()
        }
    }

    private fun slowdown(): Double = (running.get().toDouble() / fullSpeedTransfers).coerceAtLeast(1.0)
}
