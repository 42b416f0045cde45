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

private const val LEARNT_MILLIS = 30_000L

private fun model(name: String, adapters: Int = 0): ModelSpec =
    ModelSpec(ModelId(name), 60.0, loadMillis = 6_000, diskLoadMillis = 800, adapters, adapterMegabytes = 0.1)

/** Engines with room for two models each. */
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

    /** Lets [perSecond] requests for [name] arrive for the time until [LEARNT_MILLIS]. */
    private fun demand(name: String, perSecond: Double) {
        var dueRequests = 0.0
        for (nowMillis in 0L..LEARNT_MILLIS step 100) {
            dueRequests += perSecond / 10
            if (dueRequests >= 1) {
                planner.recordDemand(ModelId(name), null, dueRequests.toInt(), nowMillis)
                dueRequests -= dueRequests.toInt()
            }
        }
    }

    private fun next(vararg engines: PlannedEngine): LoadPlan? =
        planner.nextPlanOrNull(engines.toList(), spec, LEARNT_MILLIS)

    private fun miss(name: String) = planner.recordMiss(ModelId(name), LEARNT_MILLIS)

    @Test
    fun `of the models that wait the one that gains most is loaded, not the one that was asked for first`() {
        demand("m0", 0.1)
        demand("m1", 2.0)
        listOf("m0", "m1").forEach(::miss)
        assertEquals(ModelId("m1"), next(engine("i-1", "m5", "m6"))?.modelId)
    }

    @Test
    fun `spare copies of a busy model make room before the only copy of one that is asked for`() {
        demand("m0", 0.5)
        demand("m5", 5.0)
        demand("m6", 1.0)
        miss("m0")
        val plan = next(engine("i-1", "m5", "m6"), engine("i-2", "m5", "m7"), engine("i-3", "m5", "m8"))
        assertFalse(ModelId("m6") in checkNotNull(plan) { "a load is due" }.victims)
    }

    @Test
    fun `the only copies of what is asked for stay while what is missing is asked for less`() {
        demand("m0", 0.5)
        demand("m5", 3.0)
        demand("m6", 3.0)
        miss("m0")
        assertNull(next(engine("i-1", "m5", "m6")))
    }

    @Test
    fun `the only copy of a model with adapters stays though nobody asks for it now`() {
        demand("m0", 1.0)
        demand("m5", 3.0)
        miss("m0")
        assertNull(next(engine("i-1", "m5", "wide")))
    }

    /** Load: a model with one copy gets prompts that take most of its engine's time, though few of its slots. */
    @Test
    fun `a model whose prompts break the pauses of its engine's streams gets further copies`() {
        for (nowMillis in 0L..LEARNT_MILLIS step 100) {
            planner.recordDemand(ModelId("m5"), null, 1, nowMillis, promptTokens = 1_200)
        }
        val engines = listOf("i-1", "i-2", "i-3", "i-4").mapIndexed { index, id ->
            engine(id, if (index == 0) "m5" else "m$index", onDisk = setOf("m5"))
        }
        assertNull(planner.nextPlanOrNull(engines, spec, LEARNT_MILLIS)?.takeIf { it.modelId == ModelId("m5") })
        planner.setPrefillBudget(PrefillBudget(millisPerToken = 0.052, maxGapMillis = 300))
        assertEquals(ModelId("m5"), planner.nextPlanOrNull(engines, spec, LEARNT_MILLIS)?.modelId)
        val spread = engines.map { engine(it.targetId.value, "m5", onDisk = setOf("m5")) }
        assertNull(planner.nextPlanOrNull(spread, spec, LEARNT_MILLIS)?.takeIf { it.modelId == ModelId("m5") })
    }

    @Test
    fun `further copies of a busy model come from the store one at a time`() {
        for (nowMillis in 0L..LEARNT_MILLIS step 100) {
            planner.recordDemand(ModelId("m5"), null, 1, nowMillis, promptTokens = 1_200)
        }
        planner.setPrefillBudget(PrefillBudget(millisPerToken = 0.052, maxGapMillis = 300))
        val engines = (1..8).map { engine("i-$it", if (it == 1) "m5" else "m4") }
        fun nextOfBusy() = planner.nextPlanOrNull(engines, spec, LEARNT_MILLIS)?.takeIf { it.modelId == ModelId("m5") }
        val first = checkNotNull(nextOfBusy()) { "a further copy is due" }
        planner.started(first, 6_000, LEARNT_MILLIS)
        assertNull(nextOfBusy())
    }

    @Test
    fun `a model goes where it lies on disk, though more must make room there`() {
        demand("m0", 1.0)
        miss("m0")
        val plan = next(engine("i-1", "m5"), engine("i-2", "m6", "m7", onDisk = setOf("m0")))
        assertEquals(TargetId("i-2"), plan?.targetId)
        assertTrue(checkNotNull(plan) { "a load is due" }.source == WeightsSource.HOST_DISK)
    }

    @Test
    fun `a model that nobody uses makes room for one on the host's disk before one in use, which blocks the engine`() {
        demand("m0", 0.3)
        demand("m5", 0.2)
        planner.recordDemand(ModelId("m6"), null, 3, LEARNT_MILLIS - 3_000)
        miss("m0")
        val plan = next(engine("i-1", "m5", "m6", onDisk = setOf("m0")))
        assertEquals(listOf(ModelId("m6")), plan?.victims)
    }

    @Test
    fun `rare models take turns at an engine whose host keeps them, and a wait for the turn is promised`() {
        listOf("m0", "m1", "m2").forEach { demand(it, 0.3) }
        miss("m0")
        val first = checkNotNull(next(engine("i-1", "m1", "m2", onDisk = setOf("m0")))) { "a load is due" }
        planner.started(first, 800, LEARNT_MILLIS)
        planner.ended(first, wasDeclined = false, LEARNT_MILLIS + 800)
        val dropped = first.victims.single()
        val kept = listOf("m1", "m2").map(::ModelId).single { it != dropped }
        val engines = listOf(engine("i-1", "m0", kept.value, onDisk = setOf("m1", "m2")))
        val nowMillis = LEARNT_MILLIS + 900
        planner.recordMiss(dropped, nowMillis)
        val next = planner.nextPlanOrNull(engines, spec, nowMillis)
        assertEquals(listOf(kept), next?.victims, "m0 has just come")
        val readyInMillis = planner.expectedMillisOrNull(dropped, engines, spec, nowMillis)
        assertTrue(checkNotNull(readyInMillis) { "its turn comes" } in 800..2_000, "$readyInMillis")
    }

    @Test
    fun `a model waits for the engine whose host keeps it, since the store takes longer`() {
        listOf("m0", "m1").forEach { demand(it, 0.3) }
        listOf("m0", "m1").forEach(::miss)
        val engines = arrayOf(engine("i-1", "m5", "m6", onDisk = setOf("m0", "m1")), engine("i-2", "m7", "m8"))
        val first = checkNotNull(next(*engines)) { "a load is due" }
        planner.started(first, 800, LEARNT_MILLIS)
        val second = next(*engines)?.modelId
        assertFalse(
            second in setOf(ModelId("m0"), ModelId("m1")),
            "the store takes 6 s, the host's turn comes in 0.8 s",
        )
    }

    @Test
    fun `loads from the store leave most engines free for what their hosts keep`() {
        val engines = (1..8).map { engine("i-$it", "m9") }.toTypedArray()
        (0..3).forEach { demand("m$it", 0.3) }
        (0..3).forEach { miss("m$it") }
        repeat(2) { planner.started(checkNotNull(next(*engines)) { "load $it is due" }, 6_000, LEARNT_MILLIS) }
        assertNull(next(*engines))
    }

    @Test
    fun `what no host keeps is fetched before it is asked for`() {
        val kept = (0..8).mapTo(HashSet()) { "m$it" }
        val plan = planner.nextPlanOrNull(listOf(engine("i-1", "m5", "m6", onDisk = kept)), spec, nowMillis = 0)
        assertTrue(plan?.modelId in setOf(ModelId("m9"), ModelId("wide")), "$plan")
    }

    @Test
    fun `a load from the store goes where it keeps the fewest waiting models from their host`() {
        listOf("m0", "m1", "m2").forEach { demand(it, 0.3) }
        miss("m0")
        val plan = next(
            engine("i-1", "m5", "m6", onDisk = setOf("m1", "m2")),
            engine("i-2", "m7", "m8"),
            engine("i-3", "m4", "m9", onDisk = setOf("m1", "m2")),
        )
        assertEquals(TargetId("i-2"), plan?.targetId)
    }

    @Test
    fun `a load that is stuck does not hold its model up`() {
        demand("m0", 0.3)
        miss("m0")
        val engines = listOf("i-1", "i-2").map { engine(it, "m5", "m6", onDisk = setOf("m0")) }
        val first = checkNotNull(planner.nextPlanOrNull(engines, spec, LEARNT_MILLIS)) { "a load is due" }
        planner.started(first, 800, LEARNT_MILLIS)
        assertFalse(planner.nextPlanOrNull(engines, spec, LEARNT_MILLIS + 900)?.modelId == first.modelId)
        val second = planner.nextPlanOrNull(engines, spec, LEARNT_MILLIS + 1_700)
        assertEquals(first.modelId, second?.modelId)
        assertFalse(first.targetId == second?.targetId)
    }

    @Test
    fun `a model that many ask for does not wait until what has just come was used`() {
        demand("m1", 0.3)
        demand("m0", 8.0)
        val plan = LoadPlan(TargetId("i-1"), ModelId("m1"), emptyList(), WeightsSource.HOST_DISK)
        planner.started(plan, 800, LEARNT_MILLIS)
        planner.ended(plan, wasDeclined = false, LEARNT_MILLIS)
        miss("m0")
        assertEquals(ModelId("m0"), next(engine("i-1", "m1", "m2", onDisk = setOf("m0", "m1", "m2")))?.modelId)
    }

    @Test
    fun `a wait is promised also while all that is held has just come`() {
        listOf("m0", "m1", "m2").forEach { demand(it, 0.3) }
        val engines = listOf(engine("i-1", "m1", "m2", onDisk = setOf("m0", "m1", "m2")))
        for (modelId in listOf("m1", "m2").map(::ModelId)) {
            val plan = LoadPlan(TargetId("i-1"), modelId, emptyList(), WeightsSource.HOST_DISK)
            planner.started(plan, 800, LEARNT_MILLIS)
            planner.ended(plan, wasDeclined = false, LEARNT_MILLIS)
        }
        miss("m0")
        assertNull(planner.nextPlanOrNull(engines, spec, LEARNT_MILLIS + 100)?.takeIf { it.modelId == ModelId("m0") })
        assertNotNull(planner.expectedMillisOrNull(ModelId("m0"), engines, spec, LEARNT_MILLIS + 100))
    }

    @Test
    fun `room that stands empty is filled, and nothing makes room for what nobody waits for`() {
        val allModels = spec.models.keys.mapTo(HashSet()) { it.value }
        assertNotNull(next(engine("i-1", "m5", onDisk = allModels)))
        assertNull(next(engine("i-1", "m5", "m6", onDisk = allModels)))
    }

    @Test
    fun `no more models are loaded at once than the store serves well, unless one is asked for very often`() {
        val engines = (1..40).map { engine("i-$it", "m9") }.toTypedArray()
        val settings = ModelPlannerSettings()
        (0 until settings.maxLoads).forEach { index ->
            miss("m$index")
            planner.started(checkNotNull(next(*engines)) { "load $index is due" }, 6_000, LEARNT_MILLIS)
        }
        miss("m7")
        assertNull(next(*engines))
        demand("m7", 5.0)
        assertEquals(ModelId("m7"), next(*engines)?.modelId)
    }

    @Test
    fun `a model whose adapters need more places than its engines have gets a further copy`() {
        for (nowMillis in 0L..LEARNT_MILLIS step 100) {
            planner.recordDemand(ModelId("wide"), AdapterId("a" + nowMillis / 100 % 20), 1, nowMillis)
        }
        val plan = next(engine("i-1", "wide", "m5"), engine("i-2", "m6", "m7"))
        assertEquals(ModelId("wide"), plan?.modelId)
    }

    @Test
    fun `a model that was just loaded stays for a while`() {
        demand("m0", 0.2)
        demand("m1", 0.9)
        miss("m0")
        val first = checkNotNull(next(engine("i-1", "m5"))) { "a load is due" }
        planner.started(first, 6_000, LEARNT_MILLIS)
        planner.ended(first, wasDeclined = false, LEARNT_MILLIS)
        miss("m1")
        val plan = checkNotNull(next(engine("i-1", "m5", first.modelId.value))) { "a load is due" }
        assertFalse(first.modelId in plan.victims)
    }

    @Test
    fun `a model that falls silent loses its demand within seconds, one that is asked for now and then keeps it`() {
        demand("m5", 10.0)
        demand("m0", 0.4)
        assertTrue(planner.demandPerSecond(ModelId("m5"), LEARNT_MILLIS) > 8)
        assertTrue(planner.demandPerSecond(ModelId("m5"), LEARNT_MILLIS + 4_500) < 0.5)
        assertTrue(planner.demandPerSecond(ModelId("m0"), LEARNT_MILLIS + 4_500) > 0.2)
    }

    @Test
    fun `a load whose turn has not come is promised for when a running one ends`() {
        val engines = (1..40).map { engine("i-$it", "m9") }
        repeat(ModelPlannerSettings().maxLoads) { index ->
            miss("m$index")
            val plan = checkNotNull(planner.nextPlanOrNull(engines, spec, LEARNT_MILLIS)) { "load $index is due" }
            planner.started(plan, 6_000, LEARNT_MILLIS)
        }
        miss("m8")
        val readyInMillis = planner.expectedMillisOrNull(ModelId("m8"), engines, spec, LEARNT_MILLIS)
        assertTrue(checkNotNull(readyInMillis) { "m8 waits" } in 12_000..14_000, "$readyInMillis")
    }
}
