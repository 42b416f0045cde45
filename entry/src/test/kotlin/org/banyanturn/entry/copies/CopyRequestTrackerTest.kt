package org.banyanturn.entry.copies

import org.banyanturn.core.AdapterId
import org.banyanturn.core.ModelId
import org.banyanturn.core.TargetId
import org.banyanturn.core.ZoneId
import org.banyanturn.core.placement.CopyName
import org.banyanturn.core.serving.CallerLimits
import org.banyanturn.core.serving.Catalog
import org.banyanturn.core.serving.EngineSpec
import org.banyanturn.core.serving.HeldModel
import org.banyanturn.core.serving.KnownTarget
import org.banyanturn.core.serving.ModelSpec
import org.banyanturn.core.serving.Service
import org.banyanturn.core.serving.ServiceName
import org.banyanturn.core.serving.TargetDirectory
import org.banyanturn.core.serving.TargetEntry
import org.banyanturn.daemon.ProcessClock
import org.banyanturn.entry.observe.DecisionLog
import org.banyanturn.entry.observe.EntryMetrics
import org.banyanturn.entry.requests.CopyAvailability
import org.banyanturn.entry.requests.FleetView
import org.banyanturn.entry.requests.TargetRequirements
import org.junit.jupiter.api.Assertions.assertEquals
import org.junit.jupiter.api.Assertions.assertInstanceOf
import org.junit.jupiter.api.Assertions.assertTrue
import org.junit.jupiter.api.Test

private const val TICK_MILLIS = 20L
private const val DISK_LOAD_MILLIS = 840L

/** A request for a rare model, whose planner is slow to answer or silent. */
class CopyRequestTrackerTest {
    private var nowMillis = 0L
    private val clock = ProcessClock { nowMillis }
    private val service = ServiceName("llm")
    private val copy = CopyName(ModelId("m7"))
    private val requirements =
        TargetRequirements(service, copy, affinityKey = "m7", avoidedTargetIds = emptySet(), holdMillis = 1_000)
    private val view = FleetView(clock, ZoneId("z")).also { it.adopt(catalog()) }
    private val plannerRequestsAtMillis = ArrayList<Long>()
    private val ownerRequests = ArrayList<Pair<Long, TargetId>>()
    private var waitingRequirements = requirements
    private var holders = emptyList<KnownTarget>()
    private var refusedAtMillis: Long? = null
    private val requests =
        CopyRequestTracker(view, clock, DecisionLog(clock, EntryMetrics()), generateSequence(1L) { it + 1 }.iterator())
            .also {
                it.transport = RecordingTransport()
                it.waiting = FakePendingRequests()
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

    private inner class RecordingTransport : CopyRequestTransport {
        override fun requestFromOwner(number: Long, targetId: TargetId, copy: CopyName): Boolean {
            ownerRequests += number to targetId
            return true
        }

        override fun requestFromPlanner(number: Long, service: ServiceName, copy: CopyName): Boolean {
            plannerRequestsAtMillis += nowMillis
            return true
        }
    }

    private inner class FakePendingRequests : PendingRequests {
        override fun requirementsOrNull(copy: CopyName): TargetRequirements? = waitingRequirements.takeIf {
            refusedAtMillis == null &&
                it.copy == copy
        }

        override fun modelHolders(requirements: TargetRequirements): List<KnownTarget> = holders

        override fun refuse(requirements: TargetRequirements) {
            refusedAtMillis = nowMillis
        }

        override fun refuseExpiringBefore(copy: CopyName, atMillis: Long) {
            if (atMillis > MAX_EXPECTED_MILLIS) refusedAtMillis = nowMillis
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
        val availability =
            assertInstanceOf(CopyAvailability.Expected::class.java, requests.request(requirements, emptyList()))
        assertTrue(availability.readyInMillis < 2 * DISK_LOAD_MILLIS, "nothing says that the store is needed")
        runUntil(1_000)
        assertEquals(null, refusedAtMillis, "the request waits on")
        assertTrue(plannerRequestsAtMillis.size in 4..6, "sent at $plannerRequestsAtMillis")
        requests.onAnswer(CopyAnswer(number = 1, readyInMillis = 900, targetId = TargetId("i-1"), reason = ""))
        runUntil(1_800)
        assertEquals(null, refusedAtMillis)
        assertInstanceOf(CopyAvailability.Expected::class.java, requests.request(requirements, emptyList()))
    }

    @Test
    fun `a planner that stays silent is given up, and the requests are refused at once`() {
        requests.request(requirements, emptyList())
        runUntil(2_200)
        assertTrue(checkNotNull(refusedAtMillis) { "refused" } in 2_000..2_100)
        assertInstanceOf(CopyAvailability.Unavailable::class.java, requests.request(requirements, emptyList()))
    }

    /** Load: the planner that promised a model is replaced, or its word that the model is there gets lost. */
    @Test
    fun `a promise is confirmed now and then, and what is told last counts`() {
        requests.request(requirements, emptyList())
        requests.onAnswer(CopyAnswer(number = 1, readyInMillis = 8_000, targetId = null, reason = ""))
        runUntil(480)
        assertEquals(1, plannerRequestsAtMillis.size)
        runUntil(520)
        assertEquals(2, plannerRequestsAtMillis.size)
        requests.onAnswer(CopyAnswer(number = 1, readyInMillis = 9_000, targetId = null, reason = ""))
        assertEquals(CopyAvailability.Expected(9_000), requests.request(requirements, emptyList()))
        runUntil(1_000)
        requests.onAnswer(CopyAnswer(number = 1, readyInMillis = 14_000, targetId = null, reason = ""))
        assertEquals(1_000L, refusedAtMillis, "they can't wait so long")
    }

    /** Load: the planner freezes after its promise; the engine's owner has the order and carries it out. */
    @Test
    fun `a promise whose planner falls silent holds until it is overdue`() {
        requests.request(requirements, emptyList())
        requests.onAnswer(CopyAnswer(number = 1, readyInMillis = 8_000, targetId = null, reason = ""))
        runUntil(8_000)
        assertEquals(null, refusedAtMillis)
        assertTrue(plannerRequestsAtMillis.size in 10..30, "asked ${plannerRequestsAtMillis.size} times")
        requests.onReady(TargetId("i-1"), copy)
        runUntil(12_000)
        assertEquals(null, refusedAtMillis)
    }

    private fun holder(id: String): KnownTarget {
        val held = mapOf(copy.modelId to HeldModel(copy.modelId, 1, emptySet()))
        return KnownTarget(
            TargetEntry(TargetId(id), service, "10.0.0.1:80", ZoneId("z"), 12, false, null, null, held),
            entryAtMillis = 0,
        )
    }

    private fun requestAdapter(vararg holderIds: String): CopyAvailability {
        waitingRequirements = TargetRequirements(service, CopyName(copy.modelId, AdapterId("a1")), "m7", emptySet(), 1_000)
        holders = holderIds.map(::holder)
        listTargets(*holderIds)
        return requests.request(waitingRequirements, holders)
    }

    private fun decline(reason: String) {
        val (number, targetId) = ownerRequests.last()
        requests.onAnswer(CopyAnswer(number, readyInMillis = null, targetId, reason))
    }

    /** Load: adapters of a busy model are asked for while its engine, or who owns it, is busy with something else. */
    @Test
    fun `an adapter whose engine is busy for a moment is asked for again, and its requests wait on`() {
        assertInstanceOf(CopyAvailability.Expected::class.java, requestAdapter("i-1"))
        listOf("busy", "not_owner", "busy").forEachIndexed { index, reason ->
            decline(reason)
            runUntil(nowMillis + 320)
            assertEquals(index + 2, ownerRequests.size, "asked again after $reason")
        }
        assertEquals(null, refusedAtMillis)
        requests.onReady(TargetId("i-1"), checkNotNull(waitingRequirements.copy) { "an adapter is wanted" })
        runUntil(nowMillis + 1_000)
        assertEquals(4, ownerRequests.size, "it has come")
    }

    @Test
    fun `requests that come while an adapter is to be asked for again wait with the others`() {
        requestAdapter("i-1")
        decline("busy")
        assertInstanceOf(CopyAvailability.Expected::class.java, requestAdapter("i-1"))
    }

    private fun listTargets(vararg ids: String) {
        val listed = ids.fold(TargetDirectory.empty()) { known, id -> known.listed(holder(id).entry, nowMillis) }
        view.adopt(listed)
    }

    private fun refuseConnections(id: String): Boolean =
        view.recordConnectionRefused(checkNotNull(view.directory.targets[TargetId(id)]) { "$id is listed" })

    /** Load: the engine with the only copy of a busy model has died; the planner, on another VM, has forgotten so. */
    @Test
    fun `a model that is promised at an engine which turns connections away is asked for again`() {
        listTargets("i-1")
        requests.request(requirements, emptyList())
        refuseConnections("i-1")
        requests.onAnswer(CopyAnswer(number = 1, readyInMillis = 0, TargetId("i-1"), reason = ""))
        runUntil(nowMillis + 320)
        assertEquals(2, plannerRequestsAtMillis.size)
        assertInstanceOf(
            CopyAvailability.Expected::class.java,
            requests.request(requirements, emptyList()),
            "the requests wait on",
        )
        assertEquals(null, refusedAtMillis)
    }

    /** Load: the engine that loads an adapter dies, and its owner has not heard of it. */
    @Test
    fun `an adapter is asked for at another engine when the first one turns connections away`() {
        requestAdapter("i-1", "i-2")
        val (number, first) = ownerRequests.single()
        requests.onAnswer(CopyAnswer(number, readyInMillis = 400, first, reason = ""))
        refuseConnections(first.value)
        holders = holders.filterNot { it.entry.targetId == first }
        runUntil(nowMillis + TICK_MILLIS)
        assertEquals(2, ownerRequests.size)
        assertTrue(ownerRequests.last().second != first, "another engine is asked")
        assertEquals(null, refusedAtMillis)
    }

    /** Load: the only engine with a model dies while requests for its adapters wait, and no plan makes room for it. */
    @Test
    fun `requests for an adapter are refused at once when its model is gone and can't be loaded`() {
        waitingRequirements = TargetRequirements(service, CopyName(copy.modelId, AdapterId("a1")), "m7", emptySet(), 1_000)
        requests.onCopyMissing(waitingRequirements)
        assertEquals(1, plannerRequestsAtMillis.size, "the planner is asked for the model")
        assertEquals(null, refusedAtMillis)
        requests.onAnswer(CopyAnswer(number = 1, readyInMillis = null, targetId = null, reason = "no_plan"))
        requests.onCopyMissing(waitingRequirements)
        assertEquals(nowMillis, refusedAtMillis)
    }

    @Test
    fun `an adapter for which there is no room at any engine is refused at once`() {
        requestAdapter("i-1", "i-2")
        decline("no_room")
        assertEquals(2, ownerRequests.map { it.second }.distinct().size, "the other engine is asked")
        decline("no_room")
        assertEquals(nowMillis, refusedAtMillis)
    }

    private companion object {
        const val MAX_EXPECTED_MILLIS = 12_000L
    }
}
