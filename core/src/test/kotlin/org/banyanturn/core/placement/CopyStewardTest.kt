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

class CopyStewardTest {
    private fun steward(vararg models: Pair<String, List<String>>): CopySteward =
        CopySteward(spec).also { it.onReport(1, ordersAccepted = 4, false, held(*models), nowMillis = 0) }

    @Test
    fun `nothing is ordered before the engine has told how many orders it has accepted`() {
        val steward = CopySteward(spec)
        assertTrue(steward.needsReport(nowMillis = 0))
        assertInstanceOf(CopyPromise.Declined::class.java, steward.want(copy("m1"), 10))
        assertNull(steward.nextOrderOrNull(10))
    }

    @Test
    fun `a new owner waits while an order of the owner before is in progress`() {
        val steward = CopySteward(spec)
        steward.onReport(1, ordersAccepted = 4, isCarryingOutOrder = true, held("m0" to emptyList()), nowMillis = 0)
        assertTrue(steward.needsReport(nowMillis = 0))
        assertInstanceOf(CopyPromise.Declined::class.java, steward.want(copy("m1"), 10))
        steward.onReport(
            1,
            5,
            isCarryingOutOrder = false,
            held("m0" to emptyList(), "m1" to emptyList()),
            nowMillis = 6_000,
        )
        assertEquals(CopyPromise.Ready, steward.want(copy("m1"), 6_010))
    }

    @Test
    fun `an entry that changed too soon after an order is settled by the engine's report`() {
        val steward = steward("m0" to emptyList())
        steward.want(copy("m0", "a1"), 5_000)
        val load = checkNotNull(steward.nextOrderOrNull(5_000)) { "an order is due" }
        steward.onOrderAnswered(load, CopyOrderResult.ACCEPTED, 5_010)
        assertTrue(steward.holds(copy("m0", "a1"), 5_100))
        steward.onEntry(1, held("m0" to emptyList()), nowMillis = 5_900)
        assertTrue(steward.holds(copy("m0", "a1"), 5_900), "the entry may be older than the order")
        assertFalse(steward.needsReport(nowMillis = 5_900))
        assertTrue(steward.needsReport(nowMillis = 7_600), "no other entry comes while the engine stays as it is")
        steward.onReport(1, ordersAccepted = 5, false, held("m0" to emptyList()), nowMillis = 7_600)
        assertFalse(steward.holds(copy("m0", "a1"), 7_600))
        assertFalse(steward.needsReport(nowMillis = 7_600))
    }

    @Test
    fun `an adapter takes the place of the one that was used least recently`() {
        val steward = steward("m0" to listOf("a1", "a2"))
        steward.noteUse(copy("m0", "a1"), 5_000)
        assertInstanceOf(CopyPromise.Coming::class.java, steward.want(copy("m0", "a3"), 5_100))
        val unload = checkNotNull(steward.nextOrderOrNull(5_100)) { "an order is due" }
        assertEquals(CopyOrder(CopyOrderKind.UNLOAD, copy("m0", "a2"), 4), unload)
        steward.onOrderAnswered(unload, CopyOrderResult.ACCEPTED, 5_110)
        val load = checkNotNull(steward.nextOrderOrNull(5_120)) { "an order is due" }
        assertEquals(CopyOrder(CopyOrderKind.LOAD, copy("m0", "a3"), 5), load)
        steward.onOrderAnswered(load, CopyOrderResult.ACCEPTED, 5_130)
        assertTrue(steward.holds(copy("m0", "a3"), 5_200))
    }

    @Test
    fun `what is in use makes no room`() {
        val steward = steward("m0" to listOf("a1", "a2"))
        listOf("a1", "a2").forEach { steward.noteUse(copy("m0", it), 5_000) }
        val declined = assertInstanceOf(CopyPromise.Declined::class.java, steward.want(copy("m0", "a3"), 5_100))
        assertEquals(CopyDeclineReason.NO_ROOM, declined.reason)
    }

    @Test
    fun `an adapter without its model, and a second model while one loads, are declined`() {
        val steward = steward("m0" to emptyList())
        assertEquals(CopyPromise.Declined(CopyDeclineReason.NO_MODEL), steward.want(copy("m1", "a1"), 10))
        steward.want(copy("m1"), 10)
        val load = checkNotNull(steward.nextOrderOrNull(10)) { "an order is due" }
        steward.onOrderAnswered(load, CopyOrderResult.ACCEPTED, 20)
        assertEquals(CopyPromise.Declined(CopyDeclineReason.BUSY), steward.want(copy("m2"), 30))
    }

    /** Load: adapters of a busy model are asked for while its engine loads a rare one. */
    @Test
    fun `an adapter that is asked for while a model loads is promised for then, and ordered once`() {
        val steward = steward("m0" to emptyList())
        steward.want(copy("m1"), 10)
        val load = checkNotNull(steward.nextOrderOrNull(10)) { "an order is due" }
        steward.onOrderAnswered(load, CopyOrderResult.ACCEPTED, 20)
        val promise = assertInstanceOf(CopyPromise.Coming::class.java, steward.want(copy("m0", "a1"), 1_000))
        assertTrue(promise.inMillis in 5_020..5_100, "the load ends at 6,020: $promise")
        for (nowMillis in 1_000L until 6_020 step 20) assertNull(steward.nextOrderOrNull(nowMillis))
        val adapter = checkNotNull(steward.nextOrderOrNull(6_020)) { "an order is due" }
        assertEquals(copy("m0", "a1"), adapter.copy)
    }

    @Test
    fun `an adapter that is asked for before a model is ordered waits for it too`() {
        val steward = steward("m0" to emptyList(), "m2" to emptyList())
        steward.want(copy("m1"), 5_000, victims = listOf(ModelId("m2")))
        val promise = assertInstanceOf(CopyPromise.Coming::class.java, steward.want(copy("m0", "a1"), 5_000))
        assertTrue(promise.inMillis >= 6_000, "the model goes first: $promise")
    }

    @Test
    fun `no adapter is ordered whose model has made room for another`() {
        val steward = steward("m0" to emptyList(), "m2" to emptyList())
        steward.want(copy("m2", "a1"), 5_000)
        steward.want(copy("m1"), 5_000, victims = listOf(ModelId("m2")))
        assertEquals(CopyPromise.Declined(CopyDeclineReason.NO_MODEL), steward.want(copy("m2", "a2"), 5_000))
        var nowMillis = 5_000L
        val ordered = ArrayList<CopyOrder>()
        while (nowMillis < 9_000) {
            nowMillis += 10
            val order = steward.nextOrderOrNull(nowMillis) ?: continue
            ordered += order
            steward.onOrderAnswered(order, CopyOrderResult.ACCEPTED, nowMillis)
        }
        val dropped = ordered.indexOf(CopyOrder(CopyOrderKind.UNLOAD, copy("m2"), ordered[0].expectedOrders + 1))
        assertTrue(ordered.drop(dropped + 1).none { it.copy.modelId == ModelId("m2") }, "$ordered")
    }

    @Test
    fun `reports are asked for when a load may have ended, from wherever the weights come`() {
        val steward = steward("m0" to emptyList())
        steward.want(copy("m1"), 0)
        val load = checkNotNull(steward.nextOrderOrNull(0)) { "an order is due" }
        steward.onOrderAnswered(load, CopyOrderResult.ACCEPTED, 0)
        val asked = (0L..7_000 step 100).filter(steward::needsReport)
        assertEquals((800L..1_200 step 100) + (6_000L..7_000 step 100), asked)
        steward.onReport(1, 5, false, held("m0" to emptyList(), "m1" to emptyList()), nowMillis = 7_000)
        assertFalse(steward.needsReport(nowMillis = 7_000))
    }

    @Test
    fun `a model whose weights the host keeps is promised soon`() {
        val steward = CopySteward(spec)
        val host = HostWeights(inMemory = setOf(ModelId("m2")), onDisk = setOf(ModelId("m1"), ModelId("m2")))
        steward.onReport(1, ordersAccepted = 4, false, held("m0" to emptyList()), nowMillis = 0, host)
        assertEquals(CopyPromise.Coming(800), steward.want(copy("m1"), 10))
        val load = checkNotNull(steward.nextOrderOrNull(10)) { "an order is due" }
        steward.onOrderAnswered(load, CopyOrderResult.ACCEPTED, 20)
        assertEquals(CopyPromise.Coming(700), steward.want(copy("m1"), 120))
    }

    @Test
    fun `an order without an answer is sent again as it was, and takes room until the engine says otherwise`() {
        val steward = steward("m0" to emptyList())
        steward.want(copy("m1"), 10)
        val load = checkNotNull(steward.nextOrderOrNull(10)) { "an order is due" }
        steward.onOrderAnswered(load, CopyOrderResult.UNKNOWN, 300)
        assertTrue(steward.needsReport(nowMillis = 0))
        assertEquals(load, steward.nextOrderOrNull(1_000))
        steward.onOrderAnswered(load, CopyOrderResult.CONFLICT, 1_010)
        steward.onReport(1, ordersAccepted = 5, true, held("m0" to emptyList()), 1_100)
        assertInstanceOf(CopyPromise.Declined::class.java, steward.want(copy("m2"), 1_200))
        steward.onReport(1, ordersAccepted = 5, false, held("m0" to emptyList(), "m1" to emptyList()), 7_000)
        assertTrue(steward.holds(copy("m1"), 7_000))
    }

    @Test
    fun `an engine that started again holds nothing of before`() {
        val steward = steward("m0" to emptyList(), "m1" to emptyList())
        steward.onEntry(bornEpochMillis = 2, held(), nowMillis = 10_000)
        assertTrue(steward.needsReport(nowMillis = 0))
        assertNull(steward.nextOrderOrNull(10_000))
        steward.onReport(2, ordersAccepted = 0, false, held(), 10_100)
        assertInstanceOf(CopyPromise.Coming::class.java, steward.want(copy("m0"), 10_200))
        assertEquals(0, steward.nextOrderOrNull(10_200)?.expectedOrders)
    }

    @Test
    fun `named models make room though they are in use`() {
        val steward = steward("m0" to emptyList(), "m1" to emptyList())
        listOf("m0", "m1").forEach { steward.noteUse(copy(it), 10_000) }
        assertInstanceOf(CopyPromise.Declined::class.java, steward.want(copy("m2"), 10_010))
        assertInstanceOf(CopyPromise.Coming::class.java, steward.want(copy("m2"), 10_010, listOf(ModelId("m1"))))
        assertEquals(copy("m1"), steward.nextOrderOrNull(10_010)?.copy)
    }

    /** An engine that answers, loses answers and carries orders out late, and crashes if it is given too much. */
    private class FaultyEngine(private val random: Random) {
        val held = LinkedHashSet<CopyName>(listOf(copy("m0"), copy("m1")))
        var accepted = 4L
        var busyUntilMillis = 0L
        var wasOverfilled = false
        private var inProgress: CopyOrder? = null
        private val late = ArrayList<Pair<Long, CopyOrder>>()

        fun receive(order: CopyOrder, nowMillis: Long): CopyOrderResult {
            if (random.nextInt(4) == 0) {
                late += (nowMillis + random.nextLong(2_000, 12_000)) to order
                return CopyOrderResult.UNKNOWN
            }
            return carryOut(order, nowMillis)
        }

        private fun carryOut(order: CopyOrder, nowMillis: Long): CopyOrderResult {
            settle(nowMillis)
            if (inProgress != null || order.expectedOrders != accepted) return CopyOrderResult.CONFLICT
            if ((order.copy in held) == (order.kind == CopyOrderKind.LOAD)) return CopyOrderResult.HELD_ALREADY
            accepted++
            inProgress = order
            busyUntilMillis = nowMillis + if (order.copy.isAdapter) 10 else 1_500
            val after = if (order.kind == CopyOrderKind.LOAD) held + order.copy else held
            val megabytes = after.sumOf { if (it.isAdapter) 1.0 else 60.0 }
            if (megabytes > spec.weightsMegabytes ||
                after.count { it.isAdapter } > spec.adapterSlots
            ) {
                wasOverfilled = true
            }
            return CopyOrderResult.ACCEPTED
        }

        fun settle(nowMillis: Long) {
            val order = inProgress ?: return
            if (nowMillis < busyUntilMillis) return
            inProgress = null
            if (order.kind == CopyOrderKind.LOAD) held += order.copy
            if (order.kind == CopyOrderKind.UNLOAD) {
                held -= order.copy
                if (!order.copy.isAdapter) held.removeIf { it.modelId == order.copy.modelId }
            }
        }

        fun step(nowMillis: Long) {
            settle(nowMillis)
            val due = late.filter { it.first <= nowMillis }
            late.removeAll(due)
            due.forEach { carryOut(it.second, nowMillis) }
        }

        val isBusy: Boolean get() = inProgress != null

        fun heldModels(): Map<ModelId, HeldModel> =
            held.filterNot { it.isAdapter }.associate { model ->
                val adapters = held.filter {
                    it.isAdapter && it.modelId == model.modelId
                }.mapNotNullTo(LinkedHashSet()) { it.adapterId }
                model.modelId to HeldModel(model.modelId, 1, adapters)
            }
    }

    private class Report(val atMillis: Long, val accepted: Long, val isBusy: Boolean, val held: Map<ModelId, HeldModel>)

    @Test
    fun `an engine is never ordered to hold more than fits, whatever is lost, late or reported late`() {
        repeat(60) { seed ->
            val random = Random(seed)
            val engine = FaultyEngine(random)
            val steward = steward("m0" to emptyList(), "m1" to emptyList())
            val reports = ArrayDeque<Report>()
            var served = 0
            for (nowMillis in 0L..60_000L step 10) {
                engine.step(nowMillis)
                reports.addLast(Report(nowMillis, engine.accepted, engine.isBusy, engine.heldModels()))
                if (reports.size > 40) reports.removeFirst()
                if (random.nextInt(20) == 0) {
                    val name = "m" + random.nextInt(4)
                    val wish = copy(name, if (random.nextBoolean()) "a" + random.nextInt(5) else null)
                    if (steward.want(wish, nowMillis, listOf(ModelId("m" + random.nextInt(4)))) ==
                        CopyPromise.Ready
                    ) {
                        served++
                    }
                }
                if (steward.needsReport(nowMillis) && nowMillis % 300 == 0L) {
                    val report = reports.first()
                    steward.onReport(1, report.accepted, report.isBusy, report.held, nowMillis)
                }
                if (nowMillis % 1_200 == 0L) steward.onEntry(1, reports.first().held, nowMillis)
                val order = steward.nextOrderOrNull(nowMillis)
                if (order != null) steward.onOrderAnswered(order, engine.receive(order, nowMillis), nowMillis)
            }
            assertFalse(engine.wasOverfilled, "seed $seed")
            assertTrue(served > 0, "seed $seed: no wish was ever met")
        }
    }
}
