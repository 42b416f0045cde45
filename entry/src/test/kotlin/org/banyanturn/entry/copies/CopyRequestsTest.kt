package org.banyanturn.entry.copies

import org.banyanturn.core.ModelId
import org.banyanturn.core.TargetId
import org.banyanturn.core.ZoneId
import org.banyanturn.core.placement.CopyName
import org.banyanturn.core.serving.CallerLimits
import org.banyanturn.core.serving.Catalog
import org.banyanturn.core.serving.EngineSpec
import org.banyanturn.core.serving.KnownTarget
import org.banyanturn.core.serving.ModelSpec
import org.banyanturn.core.serving.Service
import org.banyanturn.core.serving.ServiceName
import org.banyanturn.daemon.ProcessClock
import org.banyanturn.entry.observe.DecisionLog
import org.banyanturn.entry.observe.EntryMetrics
import org.banyanturn.entry.requests.CopyOutlook
import org.banyanturn.entry.requests.FleetView
import org.banyanturn.entry.requests.TargetNeed
import org.junit.jupiter.api.Assertions.assertEquals
import org.junit.jupiter.api.Assertions.assertInstanceOf
import org.junit.jupiter.api.Assertions.assertTrue
import org.junit.jupiter.api.Test

private const val TICK_MILLIS = 20L
private const val DISK_LOAD_MILLIS = 840L

/** A request for a rare model, whose planner is slow to answer or silent. */
class CopyRequestsTest {
    private var nowMillis = 0L
    private val clock = ProcessClock { nowMillis }
    private val service = ServiceName("llm")
    private val copy = CopyName(ModelId("m7"))
    private val need = TargetNeed(service, copy, affinityKey = "m7", avoided = emptySet(), holdMillis = 1_000)
    private val view = FleetView(clock, ZoneId("z")).also { it.adopt(catalog()) }
    private val sentAtMillis = ArrayList<Long>()
    private var givenUpAtMillis: Long? = null
    private val requests =
        CopyRequests(view, clock, DecisionLog(clock, EntryMetrics()), generateSequence(1L) { it + 1 }.iterator())
            .also {
                it.questions = Questions()
                it.waiting = Waiting()
            }

    private fun catalog(): Catalog {
        val model = ModelSpec(copy.modelId, 60.0, loadMillis = 7_800, DISK_LOAD_MILLIS, adapterCount = 0, 1.0)
        val engine = EngineSpec(12, mapOf(copy.modelId to model), 200.0, adapterSlots = 8, loadsPerSecond = 18.0)
        return Catalog(
            version = 1,
            routes = emptyList(),
            services = mapOf(service to Service(service, "/health", maxConnections = 100, engine)),
            members = emptyMap(),
            hasMembers = false,
            callerLimits = CallerLimits(16_384, 65_536, 5_000, 15_000),
        )
    }

    private inner class Questions : CopyQuestions {
        override fun askOwner(number: Long, targetId: TargetId, copy: CopyName): Boolean = true

        override fun askPlanner(number: Long, service: ServiceName, copy: CopyName): Boolean {
            sentAtMillis += nowMillis
            return true
        }
    }

    private inner class Waiting : WaitingNeeds {
        override fun needOrNull(copy: CopyName): TargetNeed? = need.takeIf { givenUpAtMillis == null }

        override fun modelHolders(need: TargetNeed): List<KnownTarget> = emptyList()

        override fun giveUp(need: TargetNeed) {
            givenUpAtMillis = nowMillis
        }

        override fun giveUpBefore(copy: CopyName, atMillis: Long) {
            if (atMillis > GIVEN_UP_AFTER_MILLIS) givenUpAtMillis = nowMillis
        }
    }

    private fun runUntil(untilMillis: Long) {
        while (nowMillis < untilMillis) {
            nowMillis += TICK_MILLIS
            requests.tick()
        }
    }

    @Test
    fun `a planner that is busy for a second is waited for, and asked ever more seldom`() {
        val outlook = assertInstanceOf(CopyOutlook.Coming::class.java, requests.want(need, emptyList()))
        assertTrue(outlook.readyInMillis < 2 * DISK_LOAD_MILLIS, "nothing says that the store is needed")
        runUntil(1_000)
        assertEquals(null, givenUpAtMillis, "the request waits on")
        assertTrue(sentAtMillis.size in 4..6, "sent at $sentAtMillis")
        requests.onAnswer(CopyAnswer(number = 1, readyInMillis = 900, targetId = TargetId("i-1"), reason = ""))
        runUntil(1_800)
        assertEquals(null, givenUpAtMillis)
        assertInstanceOf(CopyOutlook.Coming::class.java, requests.want(need, emptyList()))
    }

    @Test
    fun `a planner that stays silent is given up, and the requests are refused at once`() {
        requests.want(need, emptyList())
        runUntil(2_200)
        assertTrue(checkNotNull(givenUpAtMillis) { "refused" } in 2_000..2_100)
        assertInstanceOf(CopyOutlook.Unavailable::class.java, requests.want(need, emptyList()))
    }

    private companion object {
        const val GIVEN_UP_AFTER_MILLIS = 12_000L
    }
}
