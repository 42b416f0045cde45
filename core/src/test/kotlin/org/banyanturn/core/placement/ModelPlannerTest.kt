package org.banyanturn.core.placement

import org.banyanturn.core.AdapterId
import org.banyanturn.core.ModelId
import org.banyanturn.core.TargetId
import org.banyanturn.core.serving.EngineSpec
import org.banyanturn.core.serving.HostWeights
import org.banyanturn.core.serving.ModelSpec
import org.banyanturn.core.serving.WeightsSource
import org.junit.jupiter.api.Assertions.assertEquals
import org.junit.jupiter.api.Assertions.assertFalse
import org.junit.jupiter.api.Assertions.assertNotNull
import org.junit.jupiter.api.Assertions.assertNull
import org.junit.jupiter.api.Assertions.assertTrue
import org.junit.jupiter.api.Test

/** The time of the planning runs, after the simulated demand. */
private const val NOW_MILLIS = 30_000L

private fun model(name: String, adapters: Int = 0): ModelSpec =
    ModelSpec(ModelId(name), 60.0, loadMillis = 6_000, diskLoadMillis = 800, adapters, adapterMegabytes = 0.1)

/** The specification of engines that fit two models each. */
private val spec = EngineSpec(
    slots = 48,
    models = ((0..9).map { model("m$it") } + model("wide", adapters = 20)).associateBy { it.modelId },
    weightsMegabytes = 130.0,
    adapterSlots = 8,
    loadsPerSecond = 3.0,
)

private fun engine(id: String, vararg held: String, onDisk: Set<String> = emptySet()): PlannedEngine =
    PlannedEngine(
        TargetId(id),
        held.associate {
            ModelId(it) to 0
        },
        HostWeights(onDisk = onDisk.mapTo(HashSet(), ::ModelId)),
    )

class ModelPlannerTest {
    private val planner = ModelPlanner()

    /** Records [perSecond] requests per second for [name] until [NOW_MILLIS]. */
    private fun simulateDemand(name: String, perSecond: Double) {
        var dueRequests = 0.0
        for (nowMillis in 0L..NOW_MILLIS step 100) {
            dueRequests += perSecond / 10
            if (dueRequests >= 1) {
                planner.recordDemand(ModelId(name), null, dueRequests.toInt(), nowMillis)
                dueRequests -= dueRequests.toInt()
            }
        }
    }

    private fun nextPlan(vararg engines: PlannedEngine): LoadPlan? =
        planner.nextPlanOrNull(engines.toList(), spec, NOW_MILLIS)

    private fun recordMiss(name: String) = planner.recordMiss(ModelId(name), NOW_MILLIS)

    @Test
    fun `the waiting model with the highest gain is loaded first regardless of request order`() {
        simulateDemand("m0", 0.1)
        simulateDemand("m1", 2.0)
        listOf("m0", "m1").forEach(::recordMiss)
        assertEquals(ModelId("m1"), nextPlan(engine("i-1", "m5", "m6"))?.modelId)
    }

    @Test
    fun `surplus copies of a busy model are evicted before the only copy of a requested model`() {
        simulateDemand("m0", 0.5)
        simulateDemand("m5", 5.0)
        simulateDemand("m6", 1.0)
        recordMiss("m0")
        val plan = nextPlan(engine("i-1", "m5", "m6"), engine("i-2", "m5", "m7"), engine("i-3", "m5", "m8"))
        assertFalse(ModelId("m6") in checkNotNull(plan) { "a load is due" }.victims)
    }

    @Test
    fun `the only copies of busy models are not evicted for a model with less demand`() {
        simulateDemand("m0", 0.5)
        simulateDemand("m5", 3.0)
        simulateDemand("m6", 3.0)
        recordMiss("m0")
        assertNull(nextPlan(engine("i-1", "m5", "m6")))
    }

    @Test
    fun `the only copy of a model with adapters is not evicted even without requests`() {
        simulateDemand("m0", 1.0)
        simulateDemand("m5", 3.0)
        recordMiss("m0")
        assertNull(nextPlan(engine("i-1", "m5", "wide")))
    }

    /**
     * Load pattern: the prompts for a model with one copy take most of its engine's time, but only few of its slots.
     */
    @Test
    fun `a model whose prefill causes long gaps in streams gets further copies`() {
        for (nowMillis in 0L..NOW_MILLIS step 100) {
            planner.recordDemand(ModelId("m5"), null, 1, nowMillis, promptTokens = 1_200)
        }
        val engines = listOf("i-1", "i-2", "i-3", "i-4").mapIndexed { index, id ->
            engine(id, if (index == 0) "m5" else "m$index", onDisk = setOf("m5"))
        }
        assertNull(planner.nextPlanOrNull(engines, spec, NOW_MILLIS)?.takeIf { it.modelId == ModelId("m5") })
        planner.setPrefillBudget(PrefillBudget(millisPerToken = 0.052, maxGapMillis = 300))
        assertEquals(ModelId("m5"), planner.nextPlanOrNull(engines, spec, NOW_MILLIS)?.modelId)
        val spreadEngines = engines.map { engine(it.targetId.value, "m5", onDisk = setOf("m5")) }
        assertNull(planner.nextPlanOrNull(spreadEngines, spec, NOW_MILLIS)?.takeIf { it.modelId == ModelId("m5") })
    }

    @Test
    fun `further copies of a busy model are loaded from the store one at a time`() {
        for (nowMillis in 0L..NOW_MILLIS step 100) {
            planner.recordDemand(ModelId("m5"), null, 1, nowMillis, promptTokens = 1_200)
        }
        planner.setPrefillBudget(PrefillBudget(millisPerToken = 0.052, maxGapMillis = 300))
        val engines = (1..8).map { engine("i-$it", if (it == 1) "m5" else "m4") }
        fun nextPlanForBusyModel() =
            planner.nextPlanOrNull(engines, spec, NOW_MILLIS)?.takeIf { it.modelId == ModelId("m5") }
        val first = checkNotNull(nextPlanForBusyModel()) { "a further copy is due" }
        planner.started(first, 6_000, NOW_MILLIS)
        assertNull(nextPlanForBusyModel())
    }

    @Test
    fun `a model is loaded where its weights are on disk even if that needs an eviction`() {
        simulateDemand("m0", 1.0)
        recordMiss("m0")
        val plan = nextPlan(engine("i-1", "m5"), engine("i-2", "m6", "m7", onDisk = setOf("m0")))
        assertEquals(TargetId("i-2"), plan?.targetId)
        assertTrue(checkNotNull(plan) { "a load is due" }.source == WeightsSource.HOST_DISK)
    }

    @Test
    fun `an unused model is evicted for a load from disk before a model in use`() {
        simulateDemand("m0", 0.3)
        simulateDemand("m5", 0.2)
        planner.recordDemand(ModelId("m6"), null, 3, NOW_MILLIS - 3_000)
        recordMiss("m0")
        val plan = nextPlan(engine("i-1", "m5", "m6", onDisk = setOf("m0")))
        assertEquals(listOf(ModelId("m6")), plan?.victims)
    }

    @Test
    fun `rare models share an engine whose host caches them and waiting ones get an expected time`() {
        listOf("m0", "m1", "m2").forEach { simulateDemand(it, 0.3) }
        recordMiss("m0")
        val first = checkNotNull(nextPlan(engine("i-1", "m1", "m2", onDisk = setOf("m0")))) { "a load is due" }
        planner.started(first, 800, NOW_MILLIS)
        planner.ended(first, wasDeclined = false, NOW_MILLIS + 800)
        val dropped = first.victims.single()
        val kept = listOf("m1", "m2").map(::ModelId).single { it != dropped }
        val engines = listOf(engine("i-1", "m0", kept.value, onDisk = setOf("m1", "m2")))
        val nowMillis = NOW_MILLIS + 900
        planner.recordMiss(dropped, nowMillis)
        val nextPlan = planner.nextPlanOrNull(engines, spec, nowMillis)
        assertEquals(listOf(kept), nextPlan?.victims, "m0 was just loaded")
        val readyInMillis = planner.expectedMillisOrNull(dropped, engines, spec, nowMillis)
        assertTrue(checkNotNull(readyInMillis) { "the model can be loaded" } in 800..2_000, "$readyInMillis")
    }

    @Test
    fun `a model waits for the engine whose host caches it if the store takes longer`() {
        listOf("m0", "m1").forEach { simulateDemand(it, 0.3) }
        listOf("m0", "m1").forEach(::recordMiss)
        val engines = arrayOf(engine("i-1", "m5", "m6", onDisk = setOf("m0", "m1")), engine("i-2", "m7", "m8"))
        val first = checkNotNull(nextPlan(*engines)) { "a load is due" }
        planner.started(first, 800, NOW_MILLIS)
        val second = nextPlan(*engines)?.modelId
        assertFalse(
            second in setOf(ModelId("m0"), ModelId("m1")),
            "the store takes 6 s, the engine whose host caches the model is free in 0.8 s",
        )
    }

    @Test
    fun `loads from the store leave most engines free for models cached on their hosts`() {
        val engines = (1..8).map { engine("i-$it", "m9") }.toTypedArray()
        (0..3).forEach { simulateDemand("m$it", 0.3) }
        (0..3).forEach { recordMiss("m$it") }
        repeat(2) { planner.started(checkNotNull(nextPlan(*engines)) { "load $it is due" }, 6_000, NOW_MILLIS) }
        assertNull(nextPlan(*engines))
    }

    @Test
    fun `a model that no host caches is loaded before it is requested`() {
        val kept = (0..8).mapTo(HashSet()) { "m$it" }
        val plan = planner.nextPlanOrNull(listOf(engine("i-1", "m5", "m6", onDisk = kept)), spec, nowMillis = 0)
        assertTrue(plan?.modelId in setOf(ModelId("m9"), ModelId("wide")), "$plan")
    }

    @Test
    fun `a load from the store uses the engine whose host caches the least requested models`() {
        listOf("m0", "m1", "m2").forEach { simulateDemand(it, 0.3) }
        recordMiss("m0")
        val plan = nextPlan(
            engine("i-1", "m5", "m6", onDisk = setOf("m1", "m2")),
            engine("i-2", "m7", "m8"),
            engine("i-3", "m4", "m9", onDisk = setOf("m1", "m2")),
        )
        assertEquals(TargetId("i-2"), plan?.targetId)
    }

    @Test
    fun `a model with an overdue load is planned on another engine`() {
        simulateDemand("m0", 0.3)
        recordMiss("m0")
        val engines = listOf("i-1", "i-2").map { engine(it, "m5", "m6", onDisk = setOf("m0")) }
        val first = checkNotNull(planner.nextPlanOrNull(engines, spec, NOW_MILLIS)) { "a load is due" }
        planner.started(first, 800, NOW_MILLIS)
        assertFalse(planner.nextPlanOrNull(engines, spec, NOW_MILLIS + 900)?.modelId == first.modelId)
        val second = planner.nextPlanOrNull(engines, spec, NOW_MILLIS + 1_700)
        assertEquals(first.modelId, second?.modelId)
        assertFalse(first.targetId == second?.targetId)
    }

    @Test
    fun `a model with high demand may evict recently loaded models`() {
        simulateDemand("m1", 0.3)
        simulateDemand("m0", 8.0)
        val plan = LoadPlan(TargetId("i-1"), ModelId("m1"), emptyList(), WeightsSource.HOST_DISK)
        planner.started(plan, 800, NOW_MILLIS)
        planner.ended(plan, wasDeclined = false, NOW_MILLIS)
        recordMiss("m0")
        assertEquals(ModelId("m0"), nextPlan(engine("i-1", "m1", "m2", onDisk = setOf("m0", "m1", "m2")))?.modelId)
    }

    @Test
    fun `an expected time is given even if all held models were just loaded`() {
        listOf("m0", "m1", "m2").forEach { simulateDemand(it, 0.3) }
        val engines = listOf(engine("i-1", "m1", "m2", onDisk = setOf("m0", "m1", "m2")))
        for (modelId in listOf("m1", "m2").map(::ModelId)) {
            val plan = LoadPlan(TargetId("i-1"), modelId, emptyList(), WeightsSource.HOST_DISK)
            planner.started(plan, 800, NOW_MILLIS)
            planner.ended(plan, wasDeclined = false, NOW_MILLIS)
        }
        recordMiss("m0")
        assertNull(planner.nextPlanOrNull(engines, spec, NOW_MILLIS + 100)?.takeIf { it.modelId == ModelId("m0") })
        assertNotNull(planner.expectedMillisOrNull(ModelId("m0"), engines, spec, NOW_MILLIS + 100))
    }

    @Test
    fun `free memory is filled but no model is evicted for an unrequested one`() {
        val allModels = spec.models.keys.mapTo(HashSet()) { it.value }
        assertNotNull(nextPlan(engine("i-1", "m5", onDisk = allModels)))
        assertNull(nextPlan(engine("i-1", "m5", "m6", onDisk = allModels)))
    }

    /** Lets the store serve as many loads at full speed as the planner ever starts at once. */
    private fun simulateFastStore() {
        for (loads in 1..ModelPlannerSettings().maxLoads) {
            val plans = (1..loads).map { LoadPlan(TargetId("x-$it"), ModelId("m8"), emptyList()) }
            plans.forEach { planner.started(it, loadMillis = 6_000, NOW_MILLIS - 7_000) }
            plans.forEach { planner.ended(it, wasDeclined = false, NOW_MILLIS - 1_000) }
        }
    }

    @Test
    fun `concurrent loads from the store are limited except for models with very high demand`() {
        simulateFastStore()
        val engines = (1..40).map { engine("i-$it", "m9") }.toTypedArray()
        val settings = ModelPlannerSettings()
        (0 until settings.maxLoads).forEach { index ->
            recordMiss("m$index")
            planner.started(checkNotNull(nextPlan(*engines)) { "load $index is due" }, 6_000, NOW_MILLIS)
        }
        recordMiss("m7")
        assertNull(nextPlan(*engines))
        simulateDemand("m7", 5.0)
        assertEquals(ModelId("m7"), nextPlan(*engines)?.modelId)
    }

    @Test
    fun `a model with more adapters in use than adapter slots gets a further copy`() {
        for (nowMillis in 0L..NOW_MILLIS step 100) {
            planner.recordDemand(ModelId("wide"), AdapterId("a" + nowMillis / 100 % 20), 1, nowMillis)
        }
        val plan = nextPlan(engine("i-1", "wide", "m5"), engine("i-2", "m6", "m7"))
        assertEquals(ModelId("wide"), plan?.modelId)
    }

    @Test
    fun `a model that was just loaded is not evicted at once`() {
        simulateDemand("m0", 0.2)
        simulateDemand("m1", 0.9)
        recordMiss("m0")
        val first = checkNotNull(nextPlan(engine("i-1", "m5"))) { "a load is due" }
        planner.started(first, 6_000, NOW_MILLIS)
        planner.ended(first, wasDeclined = false, NOW_MILLIS)
        recordMiss("m1")
        val plan = checkNotNull(nextPlan(engine("i-1", "m5", first.modelId.value))) { "a load is due" }
        assertFalse(first.modelId in plan.victims)
    }

    @Test
    fun `demand drops within seconds after requests stop but persists for rarely requested models`() {
        simulateDemand("m5", 10.0)
        simulateDemand("m0", 0.4)
        assertTrue(planner.demandPerSecond(ModelId("m5"), NOW_MILLIS) > 8)
        assertTrue(planner.demandPerSecond(ModelId("m5"), NOW_MILLIS + 4_500) < 0.5)
        assertTrue(planner.demandPerSecond(ModelId("m0"), NOW_MILLIS + 4_500) > 0.2)
    }

    @Test
    fun `a load that must wait for the store is expected after a running load ends`() {
        simulateFastStore()
        val engines = (1..40).map { engine("i-$it", "m9") }
        repeat(ModelPlannerSettings().maxLoads) { index ->
            recordMiss("m$index")
            val plan = checkNotNull(planner.nextPlanOrNull(engines, spec, NOW_MILLIS)) { "load $index is due" }
            planner.started(plan, 6_000, NOW_MILLIS)
        }
        recordMiss("m8")
        val readyInMillis = planner.expectedMillisOrNull(ModelId("m8"), engines, spec, NOW_MILLIS)
        assertTrue(checkNotNull(readyInMillis) { "m8 waits" } in 12_000..14_000, "$readyInMillis")
    }

    /** Lets [count] loads that start at once take [tookMillis] each, where 6 s are stated. */
    private fun simulateStoreLoads(count: Int, tookMillis: Long) {
        val plans = (1..count).map { LoadPlan(TargetId("x-$it"), ModelId("m8"), emptyList()) }
        plans.forEach { planner.started(it, loadMillis = 6_000, NOW_MILLIS - tookMillis) }
        plans.forEach { planner.ended(it, wasDeclined = false, NOW_MILLIS) }
    }

    private fun startedStoreLoads(): Int {
        val engines = (1..40).map { engine("i-$it", "m9") }.toTypedArray()
        (0..7).forEach { recordMiss("m$it") }
        return generateSequence { nextPlan(*engines)?.also { planner.started(it, 6_000, NOW_MILLIS) } }.count()
    }

    @Test
    fun `no more loads run from the store than it has served at full speed`() {
        assertEquals(2, startedStoreLoads())
    }

    @Test
    fun `a store that slows loads down gets fewer of them, urgent ones too`() {
        simulateFastStore()
        simulateStoreLoads(4, tookMillis = 12_000)
        (0..7).forEach { simulateDemand("m$it", 5.0) }
        assertEquals(2, startedStoreLoads())
    }

    @Test
    fun `a load from the store that others slow down is not started again elsewhere`() {
        val engines = (1..40).map { engine("i-$it", "m9") }.toTypedArray()
        simulateDemand("m0", 0.2)
        simulateDemand("m1", 0.2)
        listOf("m0", "m1").forEach(::recordMiss)
        repeat(2) { planner.started(checkNotNull(nextPlan(*engines)) { "load $it is due" }, 6_000, NOW_MILLIS) }
        val plan = planner.nextPlanOrNull(engines.toList(), spec, NOW_MILLIS + 11_000)
        assertFalse(plan?.modelId in setOf(ModelId("m0"), ModelId("m1")), "$plan")
    }

    @Test
    fun `a second copy of a model is not loaded from the store while its first copy loads and others wait`() {
        val engines = (1..40).map { engine("i-$it", "m9") }.toTypedArray()
        simulateDemand("m0", 50.0)
        recordMiss("m0")
        val first = checkNotNull(nextPlan(*engines)) { "a load is due" }
        planner.started(first, 6_000, NOW_MILLIS)
        recordMiss("m1")
        assertEquals(listOf("m0", "m1"), listOf(first, nextPlan(*engines)).map { it?.modelId?.value })
    }

    @Test
    fun `a model that has waited long is loaded before one with more demand that has not`() {
        simulateDemand("m0", 0.1)
        simulateDemand("m1", 2.0)
        repeat(3) { planner.recordMiss(ModelId("m0"), NOW_MILLIS - 20_000) }
        recordMiss("m1")
        assertEquals(ModelId("m0"), nextPlan(engine("i-1", "m5", "m6"))?.modelId)
    }

    @Test
    fun `models that hosts cache hide none that only the store has, however many they are`() {
        val many = (0 until 400).map { model("b$it") }
        val wide = EngineSpec(48, (many + model("m0")).associateBy { it.modelId }, 130.0, 8, loadsPerSecond = 3.0)
        val busyHost = engine("i-1", onDisk = many.mapTo(HashSet()) { it.modelId.value })
        many.forEach { planner.recordDemand(it.modelId, null, 5, NOW_MILLIS) }
        (many.map { it.modelId } + ModelId("m0")).forEach { planner.recordMiss(it, NOW_MILLIS) }
        val running = LoadPlan(busyHost.targetId, ModelId("b0"), emptyList(), WeightsSource.HOST_DISK)
        planner.started(running, 800, NOW_MILLIS)
        val plan = planner.nextPlanOrNull(listOf(busyHost, engine("i-2")), wide, NOW_MILLIS)
        assertEquals(ModelId("m0"), plan?.modelId)
    }

    @Test
    fun `a report on a load is ignored while its engine has just declined one`() {
        val plan = LoadPlan(TargetId("i-1"), ModelId("m0"), emptyList())
        planner.started(plan, 6_000, NOW_MILLIS)
        planner.ended(plan, wasDeclined = true, NOW_MILLIS + 100)
        assertNull(planner.recordProgress(plan, elapsedMillis = 200, loadMillis = 6_000, NOW_MILLIS + 200))
    }

    @Test
    fun `a load that another planner has ordered counts like an own one`() {
        val engines = (1..40).map { engine("i-$it", "m9") }.toTypedArray()
        (1..2).forEach {
            val plan = LoadPlan(TargetId("i-$it"), ModelId("m${it + 3}"), emptyList())
            assertNotNull(planner.recordProgress(plan, elapsedMillis = 2_000, loadMillis = 6_000, NOW_MILLIS))
            assertNull(planner.recordProgress(plan, elapsedMillis = 2_250, loadMillis = 6_000, NOW_MILLIS + 250))
        }
        recordMiss("m0")
        assertNull(nextPlan(*engines))
    }

    @Test
    fun `models that only the store has are told to wait for its next loads`() {
        val engines = (1..40).map { engine("i-$it", "m9") }
        (0..5).forEach { recordMiss("m$it") }
        val expectations = planner.expectations(engines, spec, NOW_MILLIS)
        val expectedMillis = (0..5).mapNotNull { expectations.expectedMillisOrNull(ModelId("m$it")) }.sorted()
        assertEquals(listOf(7_000L, 7_000L, 14_000L, 14_000L, 21_000L, 21_000L), expectedMillis)
    }
}
