package org.banyanturn.entry.requests

import org.banyanturn.core.MemberId
import org.banyanturn.core.ModelId
import org.banyanturn.core.TargetId
import org.banyanturn.core.ZoneId
import org.banyanturn.core.placement.CopyName
import org.banyanturn.core.queueing.StartTerms
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
import org.banyanturn.entry.observe.DecisionLog
import org.banyanturn.entry.observe.EntryMetrics
import org.banyanturn.entry.observe.RankedWaitLog
import org.junit.jupiter.api.Assertions.assertEquals
import org.junit.jupiter.api.Test
import kotlin.random.Random

/** Requests of several ranks wait for two engines with one slot each, which hold one copy each. */
class RankedWaitQueueTest {
    private var nowMillis = 0L
    private val clock = ProcessClock { nowMillis }
    private val service = ServiceName("llm")
    private val view = FleetView(clock, ZoneId("z"))
    private val metrics = EntryMetrics()
    private val log = DecisionLog(clock, metrics)
    private val guard = EngineMemoryGuard(view, clock, isEnabled = false, { 1 }, log, metrics)
    private val selector = TargetSelector(view, clock, Random(1), guard, { 1 }, coldTargets(view, clock, metrics))
    private val queue = WaitQueue(selector, clock, view, RankedWaitLog(log, metrics))
    private val started = ArrayList<String>()
    private val refused = ArrayList<String>()
    private val engines = listOf("i-1", "i-2").map { id ->
        KnownTarget(
            TargetEntry(TargetId(id), service, "10.0.0.1:80", ZoneId("z"), 1, false, null, null, emptyMap()),
            entryAtMillis = 0,
        )
    }
    private val copies = listOf("m1", "m2").map { CopyName(ModelId(it)) }

    private fun adoptCatalog(vararg ranks: Int) {
        val routes = ranks.mapIndexed { index, rank ->
            val targets = listOf(RouteTarget(service, 1.0))
            Route("r$index", "h", "/r$index/", RouteKind.STREAM, targets, 9_000, 1_000, rank, 1, false, false, 300)
        }
        val limits = CallerLimits(16_384, 65_536, 5_000, 15_000)
        view.adopt(Catalog(version = 1, routes, emptyMap(), emptyMap(), hasMembers = false, limits))
        view.adopt(engines.fold(TargetDirectory.empty()) { all, one -> all.listed(one.entry, nowMillis) })
        engines.zip(copies).forEach { (engine, copy) -> view.recordCopyPresence(engine, copy, isPresent = true) }
    }

    private var onTimeMillis = 900L

    private inner class Waiting(val id: String, val copy: CopyName, val rank: Int, val member: String) :
        WaitingRequest {
        override val requirements = TargetRequirements(service, copy, "key", emptySet(), 100)
        override val startTerms = StartTerms(MemberId(member), rank, nowMillis, nowMillis + onTimeMillis, 0, 100.0)

        override fun onTarget(target: KnownTarget) {
            started += id
            occupy(target, id)
        }

        override fun onNoTarget(expectedInMillis: Long?) {
            refused += id
        }
    }

    private fun occupy(target: KnownTarget, attempt: String) {
        val state = view.stateOf(target)
        state.load = state.load.sent(attempt, nowMillis)
    }

    private fun free(engine: Int, attempt: String) {
        val state = view.stateOf(engines[engine])
        state.load = state.load.ended(attempt, nowMillis)
        queue.dispatch()
    }

    private fun enqueue(id: String, copy: Int, rank: Int, member: String = "growers", forMillis: Long = 2_000) {
        val request = Waiting(id, copies[copy], rank, member)
        queue.enqueue(id, MemberId(member), request, nowMillis + forMillis)
    }

    @Test
    fun `requests for all copies compete in one order, and a busy engine does not block the others`() {
        adoptCatalog(0, 1, 2)
        engines.forEachIndexed { index, engine -> occupy(engine, "a$index") }
        enqueue("draft1", copy = 0, rank = 2)
        enqueue("draft2", copy = 1, rank = 2)
        enqueue("tag1", copy = 0, rank = 0)
        enqueue("chat2", copy = 1, rank = 1)
        queue.dispatch()
        assertEquals(emptyList<String>(), started)
        free(1, "a1")
        assertEquals(listOf("chat2"), started, "the most urgent request waits for the other engine")
        free(0, "a0")
        assertEquals(listOf("chat2", "tag1"), started)
        free(0, "tag1")
        free(1, "chat2")
        assertEquals(listOf("chat2", "tag1", "draft1", "draft2"), started)
        assertEquals(0, queue.size)
    }

    /** Without routes of several ranks the order is that of the turns of members, as before. */
    @Test
    fun `ranks decide nothing if all routes of the service have the same`() {
        adoptCatalog(1, 1)
        occupy(engines[0], "a0")
        enqueue("first", copy = 0, rank = 2)
        enqueue("second", copy = 0, rank = 0)
        free(0, "a0")
        assertEquals(listOf("first"), started)
    }

    @Test
    fun `a request is refused at its latest start time, or when it is refused for its copy`() {
        adoptCatalog(0, 1)
        engines.forEachIndexed { index, engine -> occupy(engine, "a$index") }
        enqueue("short", copy = 0, rank = 0, forMillis = 100)
        enqueue("long", copy = 0, rank = 0)
        enqueue("other", copy = 1, rank = 0)
        nowMillis = 100
        queue.expire()
        assertEquals(listOf("short"), refused)
        queue.refuseExpiringBefore(copies[0], atMillis = 2_500)
        assertEquals(listOf("short", "long"), refused)
        queue.remove("other")
        assertEquals(0, queue.size)
    }

    /** Load: an engine takes ten requests per second, and hundreds wait for it. */
    @Test
    fun `a request that can't be started in time is refused at once, and one that can is not`() {
        adoptCatalog(0, 1)
        onTimeMillis = 60_000
        occupy(engines[0], "a0")
        repeat(40) { enqueue("r$it", copy = 0, rank = 1, forMillis = 60_000) }
        var running = "a0"
        repeat(20) {
            nowMillis += 100
            view.recordCopyPresence(engines[0], copies[0], isPresent = true)
            free(0, running)
            running = started.last()
        }
        assertEquals(20, started.size)
        enqueue("patient", copy = 0, rank = 1, forMillis = 3_000)
        assertEquals(emptyList<String>(), refused)
        enqueue("hasty", copy = 0, rank = 1, forMillis = 500)
        assertEquals(listOf("hasty"), refused)
        enqueue("urgent", copy = 0, rank = 0, forMillis = 500)
        assertEquals(listOf("hasty"), refused)
    }
}
