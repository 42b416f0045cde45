package org.banyanturn.core.placement

import org.banyanturn.core.AdapterId
import org.banyanturn.core.ModelId
import org.banyanturn.core.serving.EngineSpec
import org.banyanturn.core.serving.HeldModel
import org.banyanturn.core.serving.ModelSpec
import org.junit.jupiter.api.Assertions.assertEquals
import org.junit.jupiter.api.Assertions.assertTrue
import org.junit.jupiter.api.Test

/** Guards against adapters that are never loaded because others are in use all the time. */
class AdapterTurnTest {
    private val model = ModelSpec(ModelId("m0"), 60.0, 6_000, diskLoadMillis = 800, adapterCount = 10, 1.0)
    private val spec = EngineSpec(24, mapOf(model.modelId to model), 130.0, adapterSlots = 8, loadsPerSecond = 3.0)
    private val adapters = (0 until model.adapterCount).map { CopyName(model.modelId, AdapterId("a$it")) }

    private fun carryOutOrders(manager: EngineCopyManager, nowMillis: Long) {
        val order = manager.nextOrderOrNull(nowMillis) ?: return
        manager.onOrderAnswered(order, CopyOrderResult.ACCEPTED, nowMillis)
    }

    private fun manager(): EngineCopyManager {
        val held = mapOf(model.modelId to HeldModel(model.modelId, 1, emptySet()))
        return EngineCopyManager(spec)
            .also { it.onReport(1, ordersAccepted = 0, isCarryingOutOrder = false, held, nowMillis = 0) }
    }

    /** Requests all [adapters] again and again, and returns when each was served. */
    private fun play(manager: EngineCopyManager, untilMillis: Long): Map<CopyName, List<Long>> {
        val servedAtMillis = adapters.associateWith { ArrayList<Long>() }
        for (nowMillis in 0L..untilMillis step TICK_MILLIS) {
            carryOutOrders(manager, nowMillis)
            if (nowMillis % REQUEST_MILLIS != 0L) continue
            adapters.filter { manager.request(it, nowMillis) == CopyRequestResult.Ready }.forEach {
                manager.recordUse(it, nowMillis)
                servedAtMillis.getValue(it) += nowMillis
            }
        }
        return servedAtMillis
    }

    @Test
    fun `an adapter that is asked for through the day is served though all adapter places are in use`() {
        val gapsMillis = play(manager(), DAY_MILLIS).mapValues { (_, served) ->
            (listOf(0L) + served + DAY_MILLIS).zipWithNext { earlier, later -> later - earlier }.max()
        }
        assertTrue(gapsMillis.values.all { it <= MAX_GAP_MILLIS }, "$gapsMillis")
    }

    @Test
    fun `turns leave most of the service as it is`() {
        val served = play(manager(), DAY_MILLIS).values.sumOf { it.size }
        val possible = spec.adapterSlots * DAY_MILLIS / REQUEST_MILLIS
        assertTrue(served >= possible * 0.9, "$served of $possible")
    }

    @Test
    fun `a draining adapter is refused, and announced once`() {
        val manager = manager()
        play(manager, untilMillis = 4_800)
        val draining = listOfNotNull(manager.takeDrainingAdapterOrNull(4_800), manager.takeDrainingAdapterOrNull(4_800))
        assertEquals(listOf(adapters.first()), draining)
        val noRoom = CopyRequestResult.Declined(CopyDeclineReason.NO_ROOM)
        assertEquals(noRoom, manager.request(draining.single(), 4_900))
    }

    @Test
    fun `an adapter whose requests do not end keeps its place after the time to drain`() {
        val manager = manager()
        play(manager, untilMillis = 4_800)
        val draining = checkNotNull(manager.takeDrainingAdapterOrNull(4_800)) { "an adapter drains" }
        for (nowMillis in 4_800L..8_900L step TICK_MILLIS) {
            adapters.forEach { manager.recordUse(it, nowMillis) }
            carryOutOrders(manager, nowMillis)
        }
        assertEquals(CopyRequestResult.Ready, manager.request(draining, 8_900))
    }

    private companion object {
        const val DAY_MILLIS = 41_000L
        const val TICK_MILLIS = 20L
        const val REQUEST_MILLIS = 400L

        /** Two adapters wait for a place at any time, and one of them gets it every four seconds. */
        const val MAX_GAP_MILLIS = 12_000L
    }
}
