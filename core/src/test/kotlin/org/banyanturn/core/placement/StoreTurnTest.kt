package org.banyanturn.core.placement

import org.banyanturn.core.ModelId
import org.banyanturn.core.TargetId
import org.banyanturn.core.serving.EngineSpec
import org.banyanturn.core.serving.HostWeights
import org.banyanturn.core.serving.ModelSpec
import org.junit.jupiter.api.Assertions.assertTrue
import org.junit.jupiter.params.ParameterizedTest
import org.junit.jupiter.params.provider.ValueSource
import kotlin.random.Random

/** Guards against models that wait for the weight store while others are loaded from it again and again. */
class StoreTurnTest {
    private val models = (0 until MODELS).map { ModelId("m$it") }
    private val spec = EngineSpec(
        slots = 24,
        models = (models + ModelId("idle"))
            .associateWith { ModelSpec(it, 60.0, LOAD_MILLIS, diskLoadMillis = 800, adapterCount = 0, 1.0) },
        weightsMegabytes = 130.0,
        adapterSlots = 8,
        loadsPerSecond = 3.0,
    )

    private class Engine(val id: TargetId) {
        val held = LinkedHashSet(listOf(ModelId("idle")))
        val onDisk = LinkedHashSet(held)

        fun planned() = PlannedEngine(id, held.associateWith { 0 }, HostWeights(onDisk = onDisk.toSet()))
    }

    /** Requests every model, the first ones far more often than the others, and returns when each was loaded first. */
    private fun play(seed: Int, newPlannerAtMillis: Long?, lostAtMillis: Long?): Map<ModelId, Long> {
        val random = Random(seed)
        val engines = (0 until ENGINES).mapTo(ArrayList()) { Engine(TargetId("i-$it")) }
        val running = LinkedHashMap<LoadPlan, Long>()
        val loadedAtMillis = LinkedHashMap<ModelId, Long>()
        var planner = ModelPlanner()
        for (nowMillis in 0L..DAY_MILLIS step TICK_MILLIS) {
            if (nowMillis == newPlannerAtMillis) {
                planner = ModelPlanner()
                running.forEach { (plan, endMillis) ->
                    planner.recordProgress(plan, nowMillis - (endMillis - LOAD_MILLIS), LOAD_MILLIS, nowMillis)
                }
            }
            if (nowMillis == lostAtMillis) {
                val lost = engines.removeAt(random.nextInt(engines.size))
                running.keys.filter { it.targetId == lost.id }
                    .forEach { planner.ended(it, wasDeclined = true, nowMillis) }
                running.keys.removeIf { it.targetId == lost.id }
            }
            models.forEachIndexed { index, model ->
                if (random.nextDouble() >= if (index < BUSY_MODELS) BUSY_CHANCE else RARE_CHANCE) return@forEachIndexed
                planner.recordDemand(model, null, 1, nowMillis)
                if (engines.none { model in it.held }) planner.recordMiss(model, nowMillis)
            }
            running.filterValues { it <= nowMillis }.keys.forEach { plan ->
                val engine = engines.first { it.id == plan.targetId }
                engine.held += plan.modelId
                engine.onDisk += plan.modelId
                planner.ended(plan, wasDeclined = false, nowMillis)
                loadedAtMillis.putIfAbsent(plan.modelId, nowMillis)
                running -= plan
            }
            val plan = planner.nextPlanOrNull(engines.map { it.planned() }, spec, nowMillis) ?: continue
            engines.first { it.id == plan.targetId }.held -= plan.victims.toSet()
            val loadMillis = spec.models.getValue(plan.modelId).loadMillisFrom(plan.source)
            planner.started(plan, loadMillis, nowMillis)
            running[plan] = nowMillis + loadMillis
        }
        return loadedAtMillis
    }

    private fun assertAllInTurn(
        seed: Int,
        newPlannerAtMillis: Long? = null,
        lostAtMillis: Long? = null,
        spare: Int = 0,
    ) {
        val loadedAtMillis = play(seed, newPlannerAtMillis, lostAtMillis)
        val late = models.associateWith { loadedAtMillis[it] }
            .filterValues { it == null || it > BOUND_MILLIS + spare * LOAD_MILLIS }
        assertTrue(late.isEmpty(), "not loaded in turn: $late")
    }

    @ParameterizedTest
    @ValueSource(ints = [1, 2, 3, 4, 5, 6, 7, 8])
    fun `a rare model waits no longer than one load of each of the others takes`(seed: Int) = assertAllInTurn(seed)

    @ParameterizedTest
    @ValueSource(ints = [1, 2, 3, 4, 5, 6, 7, 8])
    fun `the same holds under a new planner, which joins the loads that run`(seed: Int) =
        assertAllInTurn(seed, newPlannerAtMillis = 15_000)

    @ParameterizedTest
    @ValueSource(ints = [1, 2, 3, 4, 5, 6, 7, 8])
    fun `a lost engine costs each model one load more at most`(seed: Int) =
        assertAllInTurn(seed, lostAtMillis = 15_000, spare = 1)

    private companion object {
        const val MODELS = 12
        const val BUSY_MODELS = 4

        /** A quarter of the engines, two also after a loss, may load from the store. */
        const val ENGINES = 12
        const val LOAD_MILLIS = 6_000L
        const val TICK_MILLIS = 100L
        const val DAY_MILLIS = 90_000L
        const val BUSY_CHANCE = 0.5
        const val RARE_CHANCE = 0.02

        /** The planner starts with two loads at once; the last tick of each round is on top. */
        const val BOUND_MILLIS = MODELS / 2 * (LOAD_MILLIS + 2 * TICK_MILLIS)
    }
}
