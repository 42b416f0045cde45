package org.banyanturn.entry.copies

import org.banyanturn.core.ModelId
import org.banyanturn.core.TargetId
import org.banyanturn.core.placement.LoadExpectations
import org.banyanturn.core.placement.ModelPlanner
import org.banyanturn.core.placement.PlannedEngine
import org.banyanturn.core.serving.EngineSpec
import org.banyanturn.core.serving.ModelSpec
import org.banyanturn.core.serving.ServiceName
import org.banyanturn.daemon.ProcessClock
import org.junit.jupiter.api.Assertions.assertEquals
import org.junit.jupiter.api.Test

/** Guards against an evaluation of all models for each request, which lets the planner fall behind. */
class LoadExpectationCacheTest {
    private var nowMillis = 0L
    private var evaluations = 0
    private var evaluationMillis = 0L
    private val held = ModelId("held")
    private val missing = ModelId("missing")
    private val service = ServiceName("llm")
    private val cache = LoadExpectationCache(ProcessClock { nowMillis })
    private val spec = EngineSpec(
        slots = 12,
        models = listOf(held, missing).associateWith { ModelSpec(it, 60.0, 6_000, 800, adapterCount = 0, 1.0) },
        weightsMegabytes = 130.0,
        adapterSlots = 8,
        loadsPerSecond = 3.0,
    )

    private fun evaluate(startMillis: Long): LoadExpectations {
        evaluations++
        nowMillis += evaluationMillis
        return ModelPlanner().expectations(listOf(PlannedEngine(TargetId("i-1"), mapOf(held to 0))), spec, startMillis)
    }

    private fun request(modelId: ModelId, atMillis: Long) {
        nowMillis = atMillis
        cache.current(service, modelId, ::evaluate)
    }

    @Test
    fun `many requests are answered from one evaluation`() {
        (0L until 100L).forEach { request(missing, it) }
        assertEquals(1, evaluations)
        request(missing, 100)
        assertEquals(2, evaluations)
    }

    @Test
    fun `an evaluation that takes long is used for four times as long`() {
        evaluationMillis = 50
        request(missing, 0)
        request(missing, 249)
        assertEquals(1, evaluations)
        request(missing, 250)
        assertEquals(2, evaluations)
    }

    @Test
    fun `a model that has lost its copy since the evaluation is evaluated at once`() {
        request(missing, 0)
        request(held, 1)
        assertEquals(2, evaluations)
    }
}
