package org.banyanturn.entry.requests

import org.banyanturn.core.MemberId
import org.banyanturn.core.ModelId
import org.banyanturn.core.TargetId
import org.banyanturn.core.ZoneId
import org.banyanturn.core.placement.CopyName
import org.banyanturn.core.queueing.StartTerms
import org.banyanturn.core.serving.CallerLimits
import org.banyanturn.core.serving.Catalog
import org.banyanturn.core.serving.EngineSpec
import org.banyanturn.core.serving.HeldModel
import org.banyanturn.core.serving.KnownTarget
import org.banyanturn.core.serving.Service
import org.banyanturn.core.serving.ServiceName
import org.banyanturn.core.serving.TargetDirectory
import org.banyanturn.core.serving.TargetEntry
import org.banyanturn.daemon.ProcessClock
import org.banyanturn.entry.observe.DecisionLog
import org.banyanturn.entry.observe.EntryMetrics
import org.banyanturn.entry.observe.RankedWaitLog
import org.junit.jupiter.api.Assertions.assertEquals
import org.junit.jupiter.api.Test
import kotlin.random.Random

/** Guards against engines that crash because their memory is exceeded, and against requests that are lost over it. */
class EngineMemoryGuardTest {
    private var nowMillis = 10_000L
    private val clock = ProcessClock { nowMillis }
    private val service = ServiceName("llm")
    private val copy = CopyName(ModelId("m0"))
    private val view = FleetView(clock, ZoneId("z"))
    private val metrics = EntryMetrics()
    private val target = KnownTarget(
        TargetEntry(
            TargetId("i-1"),
            service,
            "10.0.0.1:80",
            ZoneId("z"),
            slots = 12,
            isDraining = false,
            bornEpochMillis = null,
            remainingMillis = null,
            heldModels = mapOf(copy.modelId to HeldModel(copy.modelId, 1, emptySet())),
        ),
        entryAtMillis = 0,
    )

    init {
        val engine = EngineSpec(12, emptyMap(), 130.0, 8, 3.0, memoryTokens = 10_000)
        val limits = CallerLimits(16_384, 65_536, 5_000, 15_000)
        val services = mapOf(service to Service(service, "/health", 100, engine))
        view.adopt(Catalog(version = 1, emptyList(), services, emptyMap(), hasMembers = false, limits))
        view.adopt(TargetDirectory.empty().listed(target.entry, nowMillis))
    }

    private fun selector(isEnabled: Boolean = true): TargetSelector {
        val guard = EngineMemoryGuard(view, clock, isEnabled, { 1 }, DecisionLog(clock, metrics), metrics)
        return TargetSelector(view, clock, Random(1), guard, { 1 }, coldTargets(view, clock, metrics))
    }

    private fun requirements(promptTokens: Long) =
        TargetRequirements(service, copy, "m0", emptySet(), 1_000, 500, promptTokens, maxOutputTokens = 100)

    private fun hold(tokens: Long) {
        val state = view.stateOf(target)
        state.ledger = state.ledger.sent("held", tokens, nowMillis)
    }

    @Test
    fun `a request is withheld while the engine lacks the memory for it and only where memory is bounded`() {
        hold(6_000)
        assertEquals(TargetSelection.MemoryFull, selector().select(requirements(4_000)))
        assertEquals(1.0, metrics.memoryWithheld.get())
        assertEquals(true, selector().select(requirements(3_900)) is TargetSelection.Selected)
        assertEquals(true, selector(isEnabled = false).select(requirements(4_000)) is TargetSelection.Selected)
    }

    @Test
    fun `a request larger than the memory can never be held`() {
        assertEquals(true, selector().isTooLarge(service, 10_001))
        assertEquals(false, selector().isTooLarge(service, 10_000))
        assertEquals(false, selector(isEnabled = false).isTooLarge(service, 10_001))
    }

    private inner class Waiting(override val requirements: TargetRequirements) : WaitingRequest {
        override val startTerms = StartTerms(MemberId("growers"), 0, nowMillis, nowMillis + 900, nowMillis + 900, 100.0)
        var result = "waits"

        override fun onTarget(target: KnownTarget) {
            result = "sent"
        }

        override fun onNoTarget(expectedInMillis: Long?) {
            result = "refused"
        }
    }

    @Test
    fun `a waiting request keeps its turn until the engine has the memory for it`() {
        hold(6_000)
        val queue = WaitQueue(selector(), clock, view, RankedWaitLog(DecisionLog(clock, metrics), metrics))
        val large = Waiting(requirements(8_000))
        queue.enqueue("large", MemberId("growers"), large, nowMillis + 900)
        repeat(3) { queue.dispatch() }
        assertEquals("waits", large.result)
        view.stateOf(target).ledger = view.stateOf(target).ledger.ended("held")
        queue.dispatch()
        assertEquals("sent", large.result)
    }
}
