package org.banyanturn.entry.copies

import org.banyanturn.core.ModelId
import org.banyanturn.core.TargetId
import org.banyanturn.core.ZoneId
import org.banyanturn.core.placement.CopyName
import org.banyanturn.core.placement.LoadPlan
import org.banyanturn.core.placement.StoreLoad
import org.banyanturn.core.routing.PrefillSpeedEstimator
import org.banyanturn.core.serving.CallerLimits
import org.banyanturn.core.serving.Catalog
import org.banyanturn.core.serving.EngineSpec
import org.banyanturn.core.serving.HostWeights
import org.banyanturn.core.serving.ModelSpec
import org.banyanturn.core.serving.Service
import org.banyanturn.core.serving.ServiceName
import org.banyanturn.core.serving.TargetDirectory
import org.banyanturn.core.serving.TargetEntry
import org.banyanturn.daemon.ProcessClock
import org.banyanturn.entry.observe.DecisionLog
import org.banyanturn.entry.observe.EntryMetrics
import org.banyanturn.entry.requests.FleetView
import org.junit.jupiter.api.Assertions.assertEquals
import org.junit.jupiter.api.Assertions.assertNotEquals
import org.junit.jupiter.api.Assertions.assertTrue
import org.junit.jupiter.api.Test

private const val TICK_MILLIS = 20L
private const val STORE_LOAD_MILLIS = 7_000L

/** Plans loads at two engines for a model that neither of them holds. */
class ModelLoadCoordinatorTest {
    private var nowMillis = 0L
    private val clock = ProcessClock { nowMillis }
    private val service = ServiceName("llm")
    private val model = CopyName(ModelId("m7"))
    private val view = FleetView(clock, ZoneId("z")).also {
        it.adopt(catalog())
        it.adopt(TargetDirectory.empty().listed(engine("i-1"), nowMillis).listed(engine("i-2"), nowMillis))
    }
    private val transport = RecordingTransport()
    private val coordinator = ModelLoadCoordinator(
        view,
        clock,
        DecisionLog(clock, EntryMetrics()),
        generateSequence(1L) { it + 1 }.iterator(),
        PrefillSpeedEstimator(),
    ).also { it.transport = transport }

    private fun catalog(): Catalog {
        val spec = ModelSpec(model.modelId, 60.0, STORE_LOAD_MILLIS, diskLoadMillis = 800, adapterCount = 0, 1.0)
        val engines = EngineSpec(12, mapOf(model.modelId to spec), 200.0, adapterSlots = 8, loadsPerSecond = 18.0)
        return Catalog(
            version = 1,
            routes = emptyList(),
            services = mapOf(service to Service(service, "/health", maxConnections = 100, engines)),
            members = emptyMap(),
            hasMembers = false,
            callerLimits = CallerLimits(16_384, 65_536, 5_000, 15_000),
        )
    }

    private fun engine(id: String, zone: String = "z"): TargetEntry {
        val weights = HostWeights(onDisk = setOf(model.modelId))
        return TargetEntry(
            TargetId(id),
            service, "10.0.0.1:80", ZoneId(zone), 12, false, null, null, emptyMap(), weights,
        )
    }

    private class RecordingTransport : ModelLoadTransport {
        val orders = ArrayList<Pair<Long, TargetId>>()
        val answers = ArrayList<CopyAnswer>()

        override fun order(number: Long, plan: LoadPlan): Boolean {
            orders += number to plan.targetId
            return true
        }

        override fun answer(requester: ModelRequester, answer: CopyAnswer) {
            answers += answer
        }
    }

    private fun runUntil(untilMillis: Long) {
        while (nowMillis < untilMillis) {
            nowMillis += TICK_MILLIS
            coordinator.tick()
        }
    }

    private fun refuseConnections(targetId: TargetId) {
        view.recordConnectionRefused(checkNotNull(view.directory.targets[targetId]) { "$targetId is not listed" })
    }

    @Test
    fun `a repeated request for a model is answered only once`() {
        repeat(3) {
            coordinator.request(service, model, ModelRequester("vm-2", number = 70))
            runUntil(nowMillis + 500)
        }
        val (number, target) = transport.orders.last()
        transport.answers.clear()
        coordinator.onAnswer(CopyAnswer(number, readyInMillis = 0, target, reason = ""))
        assertEquals(listOf(70L), transport.answers.map { it.number })
    }

    /** Guards against requests that wait in vain when an engine fails while it loads their model. */
    @Test
    fun `a model whose engine fails during the load is loaded at another engine, and its requester is notified`() {
        coordinator.request(service, model, ModelRequester("vm-2", number = 70))
        runUntil(TICK_MILLIS)
        val (number, first) = transport.orders.single()
        coordinator.onAnswer(CopyAnswer(number, readyInMillis = 800, first, reason = ""))
        runUntil(200)
        transport.answers.clear()

        refuseConnections(first)
        runUntil(400)
        val second = transport.orders.last()
        assertNotEquals(first, second.second)
        coordinator.onAnswer(CopyAnswer(second.first, readyInMillis = 0, second.second, reason = ""))
        val last = transport.answers.last()
        assertEquals(70, last.number)
        assertEquals(0L, last.readyInMillis)
        assertEquals(second.second, last.targetId)
        assertTrue(transport.answers.all { it.readyInMillis != null }, "no answer declines the model")
    }

    /** Guards against a new planner that orders a load again which its predecessor has ordered. */
    @Test
    fun `a load from the store that another planner has ordered is joined until its engine is listed with the model`() {
        coordinator.recordStoreLoad(service, TargetId("i-1"), StoreLoad(model.modelId, elapsedMillis = 2_000))
        coordinator.request(service, model, ModelRequester("vm-2", number = 70))
        runUntil(200)
        assertEquals(emptyList<Pair<Long, TargetId>>(), transport.orders)
        assertEquals(STORE_LOAD_MILLIS - 2_000, transport.answers.single().readyInMillis)

        val holder = checkNotNull(view.directory.targets[TargetId("i-1")]) { "i-1 is listed" }
        view.recordCopyPresence(holder, model, isPresent = true)
        runUntil(400)
        assertEquals(70L to 0L, transport.answers.last().let { it.number to it.readyInMillis })
    }

    /** Guards against requests that wait for a copy on an engine that may not be used when the copy is ready. */
    @Test
    fun `a model that is being loaded in a zone that is evacuated is loaded in another zone`() {
        view.adopt(view.directory.listed(engine("i-1", zone = "far"), nowMillis).missing(TargetId("i-2"), false, 0))
        coordinator.request(service, model, ModelRequester("vm-2", number = 70))
        runUntil(TICK_MILLIS)
        val (number, first) = transport.orders.single()
        coordinator.onAnswer(CopyAnswer(number, readyInMillis = 800, first, reason = ""))
        view.adopt(view.directory.listed(engine("i-2"), nowMillis))
        view.setEvacuatedZones(setOf(ZoneId("far")))
        runUntil(200)
        assertEquals(TargetId("i-2"), transport.orders.last().second)
    }

    @Test
    fun `a load on an engine that refuses connections is not joined`() {
        refuseConnections(TargetId("i-1"))
        coordinator.recordStoreLoad(service, TargetId("i-1"), StoreLoad(model.modelId, elapsedMillis = 2_000))
        coordinator.request(service, model, ModelRequester("vm-2", number = 70))
        runUntil(200)
        assertEquals(TargetId("i-2"), transport.orders.first().second)
    }

    @Test
    fun `a load on an engine that is not listed any more is planned elsewhere`() {
        coordinator.request(service, model, ModelRequester("vm-2", number = 70))
        runUntil(TICK_MILLIS)
        val (number, first) = transport.orders.single()
        coordinator.onAnswer(CopyAnswer(number, readyInMillis = 800, first, reason = ""))
        val other = if (first == TargetId("i-1")) "i-2" else "i-1"
        view.adopt(TargetDirectory.empty().listed(engine(other), nowMillis))
        runUntil(200)
        assertEquals(TargetId(other), transport.orders.last().second)
    }
}
