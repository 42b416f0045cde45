package org.banyanturn.entry.turns

import org.banyanturn.core.MemberId
import org.banyanturn.core.TargetId
import org.banyanturn.core.ZoneId
import org.banyanturn.core.routing.PrefillSpeedEstimator
import org.banyanturn.core.routing.PromptUrgency
import org.banyanturn.core.serving.CallerLimits
import org.banyanturn.core.serving.Catalog
import org.banyanturn.core.serving.KnownTarget
import org.banyanturn.core.serving.Route
import org.banyanturn.core.serving.RouteKind
import org.banyanturn.core.serving.RouteTarget
import org.banyanturn.core.serving.ServiceName
import org.banyanturn.core.serving.TargetDirectory
import org.banyanturn.core.serving.TargetEntry
import org.banyanturn.daemon.ProcessClock
import org.banyanturn.entry.requests.FleetView
import org.junit.jupiter.api.Assertions.assertEquals
import org.junit.jupiter.api.Test

private const val TICK_MILLIS = 20L
private const val PROMPT_TOKENS = 2_000L

/** Two VMs send prompts to one engine, which the first VM owns. */
class PromptTurnCoordinatorTest {
    private var nowMillis = 0L
    private val clock = ProcessClock { nowMillis }
    private val service = ServiceName("llm")
    private val target = KnownTarget(
        TargetEntry(TargetId("i-1"), service, "10.0.0.1:80", ZoneId("z"), 12, false, null, null, emptyMap()),
        entryAtMillis = 0,
    )
    private val log = ArrayList<String>()
    private val views = ArrayList<FleetView>()
    private var isOwnerSilent = false
    private val owner = turnsOf("vm-1")
    private val other = turnsOf("vm-2")

    private fun catalog(): Catalog {
        val routing = listOf(RouteTarget(service, 1.0))
        val route =
            Route("r", "h", "/r/", RouteKind.STREAM, routing, 15_000, 1_000, 1, 1, false, false, gapMillis = 300)
        val limits = CallerLimits(16_384, 65_536, 5_000, 15_000)
        return Catalog(version = 1, listOf(route), emptyMap(), emptyMap(), hasMembers = false, limits)
    }

    /** An engine processes a prompt token in 0.05 ms, so each prompt here takes 100 ms. */
    private fun knownSpeed() = PrefillSpeedEstimator().also { speed ->
        repeat(20) { speed.record(promptTokens = 400L * (1 + it % 4), firstPartMillis = 30L + 20 * (1 + it % 4)) }
    }

    private fun turnsOf(host: String): PromptTurnCoordinator {
        val view = FleetView(clock, ZoneId("z")).also { views += it }
        view.adopt(catalog())
        view.adopt(TargetDirectory.empty().listed(target.entry, nowMillis))
        return PromptTurnCoordinator(view, clock, knownSpeed()).also { it.transport = TransportOf(host) }
    }

    private inner class TransportOf(private val self: String) : TurnTransport {
        override fun turnOwnerOrNull(targetId: TargetId) = TurnOwner(if (self == "vm-1") null else "vm-1")

        override fun sendTurn(host: String, message: TurnMessage) {
            if (isOwnerSilent) return
            (if (host == "vm-1") owner else other).onMessage(message, self)
        }
    }

    private fun PromptTurnCoordinator.take(name: String, untilMillis: Long = 800, rank: Int? = null): PromptTurn =
        turnAt(target, promptOf(rank), untilMillis).also { turn ->
            turn.await({ log += "$name sent" }, { log += "$name queued" })
        }

    private fun promptOf(rank: Int?) =
        PendingPrompt(MemberId("growers"), PROMPT_TOKENS, rank?.let { PromptUrgency(it, nowMillis + 700, 400.0) })

    private fun runUntil(untilMillis: Long) {
        while (nowMillis < untilMillis) {
            nowMillis += TICK_MILLIS
            owner.tick()
            other.tick()
        }
    }

    @Test
    fun `prompts of two VMs that together exceed the allowed gap are sent one after the other`() {
        val first = owner.take("a")
        val second = other.take("b")
        val third = owner.take("c")
        assertEquals(listOf("a sent", "b queued", "c queued"), log)
        runUntil(100)
        first.end()
        assertEquals("b sent", log.last())
        second.end()
        assertEquals("c sent", log.last())
        third.end()
        assertEquals(false, owner.isBusy || other.isBusy)
    }

    @Test
    fun `a turn that ends before it is granted is skipped`() {
        val first = owner.take("a")
        val second = other.take("b")
        other.take("c")
        second.end()
        first.end()
        assertEquals(listOf("a sent", "b queued", "c queued", "c sent"), log)
    }

    @Test
    fun `a prompt is sent without a grant after its time limit or when the owner does not respond`() {
        owner.take("a")
        other.take("b", untilMillis = 200)
        runUntil(200)
        assertEquals(listOf("a sent", "b queued", "b sent"), log)
        isOwnerSilent = true
        other.take("c", untilMillis = 1_000)
        runUntil(260)
        assertEquals("c sent", log.last())
    }

    /** Guards against prompts that wait for an engine which they may not be sent to any more. */
    @Test
    fun `turns at an engine whose zone is evacuated end at once, so that their requests choose again`() {
        owner.take("a")
        other.take("b")
        assertEquals(listOf("a sent", "b queued"), log)
        views.forEach { it.setEvacuatedZones(setOf(ZoneId("z"))) }
        runUntil(TICK_MILLIS)
        assertEquals("b sent", log.last(), "the request checks whether the engine is still eligible")
    }

    @Test
    fun `an invalid message is ignored`() {
        owner.onMessage(TurnMessage(number = 1, stepNumber = 99, targetId = "i-1"), "vm-2")
        owner.onMessage(TurnMessage(number = 1, stepNumber = 1, targetId = "no id\n"), "vm-2")
        owner.onMessage(TurnMessage(number = 7, stepNumber = 3), "vm-2")
        assertEquals(emptyList<String>(), log)
        assertEquals(false, owner.isBusy)
    }

    /** Load: the owner's own prompts and those of another VM differ in rank. */
    @Test
    fun `an urgent prompt of another VM gets its turn before a less urgent one of the owner`() {
        val first = owner.take("a", rank = 2)
        owner.take("b", rank = 2)
        other.take("c", rank = 0)
        runUntil(100)
        first.end()
        assertEquals("c sent", log.last())
    }

    /** Failure: a VM dies while it holds a turn, and never reports that its prompt was processed. */
    @Test
    fun `the turn of a VM that dies is free after the completion timeout`() {
        other.take("a", untilMillis = 5_000, rank = 0)
        owner.take("b", untilMillis = 5_000, rank = 1)
        runUntil(1_000)
        assertEquals(listOf("a sent", "b queued"), log)
        runUntil(1_000 + 2 * TICK_MILLIS)
        assertEquals("b sent", log.last())
    }

    @Test
    fun `implausible values in a message are limited`() {
        owner.take("a", rank = 0)
        val huge = Long.MAX_VALUE
        owner.onMessage(TurnMessage(1, 1, "i-1", 10_000, 800, 0, "growers", Int.MAX_VALUE, huge, huge), "vm-2")
        owner.onMessage(TurnMessage(2, 1, "i-1", 10_000, 800, 0, "growers", 0, -huge, -huge), "vm-2")
        runUntil(900)
        assertEquals(listOf("a sent"), log)
    }
}
