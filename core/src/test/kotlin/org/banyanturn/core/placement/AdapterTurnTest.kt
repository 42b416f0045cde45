package org.banyanturn.core.placement

import org.banyanturn.core.AdapterId
import org.banyanturn.core.ModelId
import org.banyanturn.core.serving.EngineSpec
import org.banyanturn.core.serving.HeldModel
import org.banyanturn.core.serving.ModelSpec
import org.junit.jupiter.api.Assertions.assertEquals
import org.junit.jupiter.api.Tag
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

    @Test
    @Tag("known-red")
    fun `an adapter that is asked for through the day is served though all adapter places are in use`() {
        val manager = EngineCopyManager(spec)
        val held = mapOf(model.modelId to HeldModel(model.modelId, 1, emptySet()))
        manager.onReport(1, ordersAccepted = 0, isCarryingOutOrder = false, held, nowMillis = 0)
        val served = HashSet<CopyName>()
        for (nowMillis in 0L..DAY_MILLIS step TICK_MILLIS) {
            carryOutOrders(manager, nowMillis)
            if (nowMillis % REQUEST_MILLIS != 0L) continue
            adapters.filter { manager.request(it, nowMillis) == CopyRequestResult.Ready }.forEach {
                manager.recordUse(it, nowMillis)
                served += it
            }
        }
        assertEquals(adapters.toSet(), served)
    }

    private companion object {
        const val DAY_MILLIS = 41_000L
        const val TICK_MILLIS = 20L
        const val REQUEST_MILLIS = 400L
    }
}
