package org.banyanturn.core.placement

import org.banyanturn.core.AdapterId
import org.banyanturn.core.ModelId
import org.banyanturn.core.serving.EngineSpec
import org.banyanturn.core.serving.HeldModel
import org.banyanturn.core.serving.HostWeights
import org.banyanturn.core.serving.ModelSpec
import org.junit.jupiter.api.Assertions.assertEquals
import org.junit.jupiter.api.Assertions.assertFalse
import org.junit.jupiter.api.Assertions.assertInstanceOf
import org.junit.jupiter.api.Assertions.assertNull
import org.junit.jupiter.api.Assertions.assertTrue
import org.junit.jupiter.api.Test
import kotlin.random.Random

private fun model(name: String, adapters: Int = 0): ModelSpec =
    ModelSpec(ModelId(name), 60.0, loadMillis = 6_000, diskLoadMillis = 800, adapters, adapterMegabytes = 1.0)

private val spec = EngineSpec(
    slots = 8,
    models = listOf(model("m0", adapters = 20), model("m1"), model("m2"), model("m3")).associateBy { it.modelId },
    weightsMegabytes = 130.0,
    adapterSlots = 2,
    loadsPerSecond = 3.0,
)

private fun copy(model: String, adapter: String? = null) = CopyName(ModelId(model), adapter?.let(::AdapterId))

private fun held(vararg models: Pair<String, List<String>>): Map<ModelId, HeldModel> =
    models.associate { (name, adapters) ->
        ModelId(name) to HeldModel(ModelId(name), 1, adapters.mapTo(LinkedHashSet(), ::AdapterId))
    }

class EngineCopyManagerTest {
    private fun manager(vararg models: Pair<String, List<String>>): EngineCopyManager =
        EngineCopyManager(spec).also { it.onReport(1, ordersAccepted = 4, false, held(*models), nowMillis = 0) }

    @Test
    fun `no order is sent before the engine has reported its number of accepted orders`() {
        val manager = EngineCopyManager(spec)
        assertTrue(manager.needsReport(nowMillis = 0))
        assertInstanceOf(CopyRequestResult.Declined::class.java, manager.request(copy("m1"), 10))
        assertNull(manager.nextOrderOrNull(10))
    }

    @Test
    fun `a new owner waits while an order of the previous owner is in progress`() {
        val manager = EngineCopyManager(spec)
        manager.onReport(1, ordersAccepted = 4, isCarryingOutOrder = true, held("m0" to emptyList()), nowMillis = 0)
        assertTrue(manager.needsReport(nowMillis = 0))
        assertInstanceOf(CopyRequestResult.Declined::class.java, manager.request(copy("m1"), 10))
        manager.onReport(
            1,
            5,
            isCarryingOutOrder = false,
            held("m0" to emptyList(), "m1" to emptyList()),
            nowMillis = 6_000,
        )
        assertEquals(CopyRequestResult.Ready, manager.request(copy("m1"), 6_010))
    }

    @Test
    fun `an entry that changes too soon after an order is verified by a report of the engine`() {
        val manager = manager("m0" to emptyList())
        manager.request(copy("m0", "a1"), 5_000)
        val load = checkNotNull(manager.nextOrderOrNull(5_000)) { "an order is due" }
        manager.onOrderAnswered(load, CopyOrderResult.ACCEPTED, 5_010)
        assertTrue(manager.holds(copy("m0", "a1"), 5_100))
        manager.onEntry(1, held("m0" to emptyList()), nowMillis = 5_900)
        assertTrue(manager.holds(copy("m0", "a1"), 5_900), "the entry may be older than the order")
        assertFalse(manager.needsReport(nowMillis = 5_900))
        assertTrue(manager.needsReport(nowMillis = 7_600), "no further entry arrives while the engine does not change")
        manager.onReport(1, ordersAccepted = 5, false, held("m0" to emptyList()), nowMillis = 7_600)
        assertFalse(manager.holds(copy("m0", "a1"), 7_600))
        assertFalse(manager.needsReport(nowMillis = 7_600))
    }

    @Test
    fun `an adapter replaces the least recently used adapter`() {
        val manager = manager("m0" to listOf("a1", "a2"))
        manager.recordUse(copy("m0", "a1"), 5_000)
        assertInstanceOf(CopyRequestResult.Pending::class.java, manager.request(copy("m0", "a3"), 5_100))
        val unload = checkNotNull(manager.nextOrderOrNull(5_100)) { "an order is due" }
        assertEquals(CopyOrder(CopyOrderKind.UNLOAD, copy("m0", "a2"), 4), unload)
        manager.onOrderAnswered(unload, CopyOrderResult.ACCEPTED, 5_110)
        val load = checkNotNull(manager.nextOrderOrNull(5_120)) { "an order is due" }
        assertEquals(CopyOrder(CopyOrderKind.LOAD, copy("m0", "a3"), 5), load)
        manager.onOrderAnswered(load, CopyOrderResult.ACCEPTED, 5_130)
        assertTrue(manager.holds(copy("m0", "a3"), 5_200))
    }

    @Test
    fun `copies in use are not evicted`() {
        val manager = manager("m0" to listOf("a1", "a2"))
        listOf("a1", "a2").forEach { manager.recordUse(copy("m0", it), 5_000) }
        val declined =
            assertInstanceOf(CopyRequestResult.Declined::class.java, manager.request(copy("m0", "a3"), 5_100))
        assertEquals(CopyDeclineReason.NO_ROOM, declined.reason)
    }

    @Test
    fun `an adapter without its model and a second model during a load are declined`() {
        val manager = manager("m0" to emptyList())
        assertEquals(CopyRequestResult.Declined(CopyDeclineReason.NO_MODEL), manager.request(copy("m1", "a1"), 10))
        manager.request(copy("m1"), 10)
        val load = checkNotNull(manager.nextOrderOrNull(10)) { "an order is due" }
        manager.onOrderAnswered(load, CopyOrderResult.ACCEPTED, 20)
        assertEquals(CopyRequestResult.Declined(CopyDeclineReason.BUSY), manager.request(copy("m2"), 30))
    }

    /** Load pattern: adapters of a busy model are requested while its engine loads a rarely used model. */
    @Test
    fun `an adapter requested during a model load is expected after the load and ordered once`() {
        val manager = manager("m0" to emptyList())
        manager.request(copy("m1"), 10)
        val load = checkNotNull(manager.nextOrderOrNull(10)) { "an order is due" }
        manager.onOrderAnswered(load, CopyOrderResult.ACCEPTED, 20)
        val result = assertInstanceOf(CopyRequestResult.Pending::class.java, manager.request(copy("m0", "a1"), 1_000))
        assertTrue(result.readyInMillis in 5_020..5_100, "the load ends at 6,020: $result")
        for (nowMillis in 1_000L until 6_020 step 20) assertNull(manager.nextOrderOrNull(nowMillis))
        val adapter = checkNotNull(manager.nextOrderOrNull(6_020)) { "an order is due" }
        assertEquals(copy("m0", "a1"), adapter.copy)
    }

    @Test
    fun `an adapter requested before a pending model load is ordered also waits for it`() {
        val manager = manager("m0" to emptyList(), "m2" to emptyList())
        manager.request(copy("m1"), 5_000, victims = listOf(ModelId("m2")))
        val result = assertInstanceOf(CopyRequestResult.Pending::class.java, manager.request(copy("m0", "a1"), 5_000))
        assertTrue(result.readyInMillis >= 6_000, "the model is loaded first: $result")
    }

    @Test
    fun `no adapter is ordered after its model was evicted for another model`() {
        val manager = manager("m0" to emptyList(), "m2" to emptyList())
        manager.request(copy("m2", "a1"), 5_000)
        manager.request(copy("m1"), 5_000, victims = listOf(ModelId("m2")))
        assertEquals(CopyRequestResult.Declined(CopyDeclineReason.NO_MODEL), manager.request(copy("m2", "a2"), 5_000))
        var nowMillis = 5_000L
        val ordered = ArrayList<CopyOrder>()
        while (nowMillis < 9_000) {
            nowMillis += 10
            val order = manager.nextOrderOrNull(nowMillis) ?: continue
            ordered += order
            manager.onOrderAnswered(order, CopyOrderResult.ACCEPTED, nowMillis)
        }
        val unloadIndex = ordered.indexOf(CopyOrder(CopyOrderKind.UNLOAD, copy("m2"), ordered[0].expectedOrders + 1))
        assertTrue(ordered.drop(unloadIndex + 1).none { it.copy.modelId == ModelId("m2") }, "$ordered")
    }

    @Test
    fun `reports are requested around the possible end of a load from every source of weights`() {
        val manager = manager("m0" to emptyList())
        manager.request(copy("m1"), 0)
        val load = checkNotNull(manager.nextOrderOrNull(0)) { "an order is due" }
        manager.onOrderAnswered(load, CopyOrderResult.ACCEPTED, 0)
        val reportTimes = (0L..7_000 step 100).filter(manager::needsReport)
        assertEquals((800L..1_200 step 100) + (6_000L..7_000 step 100), reportTimes)
        manager.onReport(1, 5, false, held("m0" to emptyList(), "m1" to emptyList()), nowMillis = 7_000)
        assertFalse(manager.needsReport(nowMillis = 7_000))
    }

    @Test
    fun `a model whose weights the host caches is expected after the shorter load time`() {
        val manager = EngineCopyManager(spec)
        val host = HostWeights(inMemory = setOf(ModelId("m2")), onDisk = setOf(ModelId("m1"), ModelId("m2")))
        manager.onReport(1, ordersAccepted = 4, false, held("m0" to emptyList()), nowMillis = 0, host)
        assertEquals(CopyRequestResult.Pending(800), manager.request(copy("m1"), 10))
        val load = checkNotNull(manager.nextOrderOrNull(10)) { "an order is due" }
        manager.onOrderAnswered(load, CopyOrderResult.ACCEPTED, 20)
        assertEquals(CopyRequestResult.Pending(700), manager.request(copy("m1"), 120))
    }

    @Test
    fun `an order without a response is resent unchanged and occupies memory until a report`() {
        val manager = manager("m0" to emptyList())
        manager.request(copy("m1"), 10)
        val load = checkNotNull(manager.nextOrderOrNull(10)) { "an order is due" }
        manager.onOrderAnswered(load, CopyOrderResult.UNKNOWN, 300)
        assertTrue(manager.needsReport(nowMillis = 0))
        assertEquals(load, manager.nextOrderOrNull(1_000))
        manager.onOrderAnswered(load, CopyOrderResult.CONFLICT, 1_010)
        manager.onReport(1, ordersAccepted = 5, true, held("m0" to emptyList()), 1_100)
        assertInstanceOf(CopyRequestResult.Declined::class.java, manager.request(copy("m2"), 1_200))
        manager.onReport(1, ordersAccepted = 5, false, held("m0" to emptyList(), "m1" to emptyList()), 7_000)
        assertTrue(manager.holds(copy("m1"), 7_000))
    }

    /** Returns what a manager reports one second after it has begun to load [model], with "m1" on the host's disk. */
    private fun storeLoadOf(model: String): StoreLoad? {
        val manager = EngineCopyManager(spec)
        val weights = HostWeights(onDisk = setOf(ModelId("m1")))
        manager.onReport(1, ordersAccepted = 4, false, held("m0" to emptyList()), nowMillis = 0, weights)
        manager.request(copy(model), 5_000)
        val load = checkNotNull(manager.nextOrderOrNull(5_000)) { "an order is due" }
        assertNull(manager.storeLoadOrNull(5_000))
        manager.onOrderAnswered(load, CopyOrderResult.ACCEPTED, 5_010)
        return manager.storeLoadOrNull(6_010)
    }

    @Test
    fun `a load from the store is reported with its duration, one from the host is not`() {
        assertEquals(StoreLoad(ModelId("m2"), elapsedMillis = 1_000), storeLoadOf("m2"))
        assertNull(storeLoadOf("m1"))
    }

    @Test
    fun `a restarted engine holds none of its earlier copies`() {
        val manager = manager("m0" to emptyList(), "m1" to emptyList())
        manager.onEntry(bornEpochMillis = 2, held(), nowMillis = 10_000)
        assertTrue(manager.needsReport(nowMillis = 0))
        assertNull(manager.nextOrderOrNull(10_000))
        manager.onReport(2, ordersAccepted = 0, false, held(), 10_100)
        assertInstanceOf(CopyRequestResult.Pending::class.java, manager.request(copy("m0"), 10_200))
        assertEquals(0, manager.nextOrderOrNull(10_200)?.expectedOrders)
    }

    @Test
    fun `models named as victims are evicted even while in use`() {
        val manager = manager("m0" to emptyList(), "m1" to emptyList())
        listOf("m0", "m1").forEach { manager.recordUse(copy(it), 10_000) }
        assertInstanceOf(CopyRequestResult.Declined::class.java, manager.request(copy("m2"), 10_010))
        assertInstanceOf(
            CopyRequestResult.Pending::class.java,
            manager.request(copy("m2"), 10_010, listOf(ModelId("m1"))),
        )
        assertEquals(copy("m1"), manager.nextOrderOrNull(10_010)?.copy)
    }

    /**
     * An engine that loses responses and executes orders late, and records whether it was ordered to exceed its memory
     * or its adapter slots.
     */
    private class FaultyEngine(private val random: Random) {
        val held = LinkedHashSet<CopyName>(listOf(copy("m0"), copy("m1")))
        var acceptedOrders = 4L
        var busyUntilMillis = 0L
        var hasExceededCapacity = false
        private var runningOrder: CopyOrder? = null
        private val delayedOrders = ArrayList<Pair<Long, CopyOrder>>()

        fun receive(order: CopyOrder, nowMillis: Long): CopyOrderResult {
            if (random.nextInt(4) == 0) {
                delayedOrders += (nowMillis + random.nextLong(2_000, 12_000)) to order
                return CopyOrderResult.UNKNOWN
            }
            return execute(order, nowMillis)
        }

        private fun execute(order: CopyOrder, nowMillis: Long): CopyOrderResult {
            completeFinishedOrder(nowMillis)
            if (runningOrder != null || order.expectedOrders != acceptedOrders) return CopyOrderResult.CONFLICT
            if ((order.copy in held) == (order.kind == CopyOrderKind.LOAD)) return CopyOrderResult.HELD_ALREADY
            acceptedOrders++
            runningOrder = order
            busyUntilMillis = nowMillis + if (order.copy.isAdapter) 10 else 1_500
            val copiesAfter = if (order.kind == CopyOrderKind.LOAD) held + order.copy else held
            val megabytes = copiesAfter.sumOf { if (it.isAdapter) 1.0 else 60.0 }
            if (megabytes > spec.weightsMegabytes || copiesAfter.count { it.isAdapter } > spec.adapterSlots) {
                hasExceededCapacity = true
            }
            return CopyOrderResult.ACCEPTED
        }

        fun completeFinishedOrder(nowMillis: Long) {
            val order = runningOrder ?: return
            if (nowMillis < busyUntilMillis) return
            runningOrder = null
            if (order.kind == CopyOrderKind.LOAD) held += order.copy
            if (order.kind == CopyOrderKind.UNLOAD) {
                held -= order.copy
                if (!order.copy.isAdapter) held.removeIf { it.modelId == order.copy.modelId }
            }
        }

        fun advance(nowMillis: Long) {
            completeFinishedOrder(nowMillis)
            val dueOrders = delayedOrders.filter { it.first <= nowMillis }
            delayedOrders.removeAll(dueOrders)
            dueOrders.forEach { execute(it.second, nowMillis) }
        }

        val isBusy: Boolean get() = runningOrder != null

        fun heldModels(): Map<ModelId, HeldModel> =
            held.filterNot { it.isAdapter }.associate { model ->
                val adapters = held.filter {
                    it.isAdapter && it.modelId == model.modelId
                }.mapNotNullTo(LinkedHashSet()) { it.adapterId }
                model.modelId to HeldModel(model.modelId, 1, adapters)
            }
    }

    private class RecordedReport(
        val atMillis: Long,
        val acceptedOrders: Long,
        val isBusy: Boolean,
        val held: Map<ModelId, HeldModel>,
    )

    @Test
    fun `an engine is never ordered to exceed its memory despite lost or late messages`() {
        repeat(60) { seed ->
            val random = Random(seed)
            val engine = FaultyEngine(random)
            val manager = manager("m0" to emptyList(), "m1" to emptyList())
            val reports = ArrayDeque<RecordedReport>()
            var served = 0
            for (nowMillis in 0L..60_000L step 10) {
                engine.advance(nowMillis)
                reports.addLast(RecordedReport(nowMillis, engine.acceptedOrders, engine.isBusy, engine.heldModels()))
                if (reports.size > 40) reports.removeFirst()
                if (random.nextInt(20) == 0) {
                    val name = "m" + random.nextInt(4)
                    val requestedCopy = copy(name, if (random.nextBoolean()) "a" + random.nextInt(5) else null)
                    if (manager.request(requestedCopy, nowMillis, listOf(ModelId("m" + random.nextInt(4)))) ==
                        CopyRequestResult.Ready
                    ) {
                        served++
                    }
                }
                if (manager.needsReport(nowMillis) && nowMillis % 300 == 0L) {
                    val report = reports.first()
                    manager.onReport(1, report.acceptedOrders, report.isBusy, report.held, nowMillis)
                }
                if (nowMillis % 1_200 == 0L) manager.onEntry(1, reports.first().held, nowMillis)
                val order = manager.nextOrderOrNull(nowMillis)
                if (order != null) manager.onOrderAnswered(order, engine.receive(order, nowMillis), nowMillis)
            }
            assertFalse(engine.hasExceededCapacity, "seed $seed")
            assertTrue(served > 0, "seed $seed: no request was ever satisfied")
        }
    }
}
