package org.banyanturn.core.placement

import org.banyanturn.core.ModelId
import org.banyanturn.core.TargetId
import org.banyanturn.core.serving.EngineSpec
import org.banyanturn.core.serving.ModelSpec
import org.junit.jupiter.api.Assertions.assertEquals
import org.junit.jupiter.api.Test

/** Guards against models that are asked for through the day and never loaded. */
class RareModelStarvationTest {
    private val rare = ModelId("rare")
    private val busy = (0 until BUSY_MODELS).map { ModelId("m$it") }
    private val spec = EngineSpec(
        slots = 48,
        models = (busy + rare).map { ModelSpec(it, 60.0, LOAD_MILLIS, LOAD_MILLIS, 0, 0.1) }.associateBy { it.modelId },
        weightsMegabytes = 130.0,
        adapterSlots = 8,
        loadsPerSecond = 3.0,
    )
    private val planner = ModelPlanner()
    private val held = (0 until ENGINES).associateTo(LinkedHashMap()) {
        TargetId("e$it") to mutableSetOf(busy[2 * it], busy[2 * it + 1])
    }
    private val running = LinkedHashMap<LoadPlan, Long>()
    private val loaded = HashSet<ModelId>()

    private fun request(modelId: ModelId, nowMillis: Long) {
        planner.recordDemand(modelId, null, 1, nowMillis)
        if (held.values.none { modelId in it }) planner.recordMiss(modelId, nowMillis)
    }

    private fun startLoads(nowMillis: Long) {
        val engines = held.map { (targetId, models) -> PlannedEngine(targetId, models.associateWith { 0 }) }
        val plan = planner.nextPlanOrNull(engines, spec, nowMillis) ?: return
        held.getValue(plan.targetId) -= plan.victims.toSet()
        planner.started(plan, LOAD_MILLIS, nowMillis)
        running[plan] = nowMillis + LOAD_MILLIS
    }

    private fun endLoads(nowMillis: Long) {
        running.filterValues { it <= nowMillis }.keys.toList().forEach { plan ->
            running -= plan
            held.getValue(plan.targetId) += plan.modelId
            loaded += plan.modelId
            planner.ended(plan, wasDeclined = false, nowMillis)
        }
    }

    @Test
    fun `a model that is asked for every ten seconds is loaded within some minutes beside busier ones`() {
        for (nowMillis in 0L..DAY_MILLIS step STEP_MILLIS) {
            endLoads(nowMillis)
            busy.forEachIndexed { index, modelId ->
                if ((nowMillis / STEP_MILLIS + index) % BUSY_STEPS == 0L) request(modelId, nowMillis)
            }
            if (nowMillis % RARE_MILLIS == 0L) request(rare, nowMillis)
            startLoads(nowMillis)
        }
        assertEquals(emptySet<ModelId>(), (busy + rare).toSet() - loaded - held.values.flatten().toSet())
    }

    private companion object {
        const val ENGINES = 4
        const val BUSY_MODELS = 16
        const val LOAD_MILLIS = 6_000L
        const val STEP_MILLIS = 250L
        const val DAY_MILLIS = 300_000L

        /** Steps between two requests for a busy model: one every two seconds. */
        const val BUSY_STEPS = 8L
        const val RARE_MILLIS = 10_000L
    }
}
