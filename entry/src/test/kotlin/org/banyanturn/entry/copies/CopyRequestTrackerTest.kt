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

/** Requests copies from planners and owners that decline, answer late or do not answer. */
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
    fun `requests to a planner that does not answer for a second are resent at growing intervals`() {
        val availability =
            assertInstanceOf(CopyAvailability.Expected::class.java, requests.request(requirements, emptyList()))
        assertTrue(availability.readyInMillis < 2 * DISK_LOAD_MILLIS, "a load from disk is estimated")
        runUntil(1_000)
        assertEquals(null, refusedAtMillis, "the request keeps waiting")
        assertTrue(plannerRequestsAtMillis.size in 4..6, "sent at $plannerRequestsAtMillis")
        requests.onAnswer(CopyAnswer(number = 1, readyInMillis = 900, targetId = TargetId("i-1"), reason = ""))
        runUntil(1_800)
        assertEquals(null, refusedAtMillis)
        assertInstanceOf(CopyAvailability.Expected::class.java, requests.request(requirements, emptyList()))
    }

    @Test
    fun `waiting requests are refused as soon as the planner times out`() {
        requests.request(requirements, emptyList())
        runUntil(2_200)
        assertTrue(checkNotNull(refusedAtMillis) { "the request was not refused" } in 2_000..2_100)
        assertInstanceOf(CopyAvailability.Unavailable::class.java, requests.request(requirements, emptyList()))
    }

    /** Guards against waiting in vain after the accepting planner is replaced or its ready message is lost. */
    @Test
    fun `an accepted request is confirmed at intervals, and the latest answer applies`() {
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
        assertEquals(1_000L, refusedAtMillis, "the request expires before the expected time")
    }

    /** Guards against refusals when the planner freezes after accepting while the engine's owner executes the order. */
    @Test
    fun `an accepted request whose planner stops answering stays pending until it is overdue`() {
        requests.request(requirements, emptyList())
        requests.onAnswer(CopyAnswer(number = 1, readyInMillis = 8_000, targetId = null, reason = ""))
        runUntil(8_000)
        assertEquals(null, refusedAtMillis)
        assertTrue(plannerRequestsAtMillis.size in 10..30, "sent ${plannerRequestsAtMillis.size} times")
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
        waitingRequirements =
            TargetRequirements(service, CopyName(copy.modelId, AdapterId("a1")), "m7", emptySet(), 1_000)
        holders = holderIds.map(::holder)
        listTargets(*holderIds)
        return requests.request(waitingRequirements, holders)
    }

    private fun decline(reason: String) {
        val (number, targetId) = ownerRequests.last()
        requests.onAnswer(CopyAnswer(number, readyInMillis = null, targetId, reason))
    }

    /** Guards against refusals while the model's engine or its owner is briefly busy with something else. */
    @Test
    fun `an adapter whose engine is briefly busy is requested again while its requests keep waiting`() {
        assertInstanceOf(CopyAvailability.Expected::class.java, requestAdapter("i-1"))
        listOf("busy", "not_owner", "busy").forEachIndexed { index, reason ->
            decline(reason)
            runUntil(nowMillis + 320)
            assertEquals(index + 2, ownerRequests.size, "requested again after $reason")
        }
        assertEquals(null, refusedAtMillis)
        requests.onReady(TargetId("i-1"), checkNotNull(waitingRequirements.copy) { "no adapter was requested" })
        runUntil(nowMillis + 1_000)
        assertEquals(4, ownerRequests.size, "no further request once the adapter is ready")
    }

    @Test
    fun `new requests for an adapter wait while its request is deferred`() {
        requestAdapter("i-1")
        decline("busy")
        assertInstanceOf(CopyAvailability.Expected::class.java, requestAdapter("i-1"))
    }

    private fun listTargets(vararg ids: String) {
        val directory = ids.fold(TargetDirectory.empty()) { known, id -> known.listed(holder(id).entry, nowMillis) }
        view.adopt(directory)
    }

    private fun refuseConnections(id: String): Boolean =
        view.recordConnectionRefused(checkNotNull(view.directory.targets[TargetId(id)]) { "$id is not listed" })

    /** Guards against relying on a planner that still lists the only copy of a model on a failed engine. */
    @Test
    fun `a model reported at an engine that refuses connections is requested again`() {
        listTargets("i-1")
        requests.request(requirements, emptyList())
        refuseConnections("i-1")
        requests.onAnswer(CopyAnswer(number = 1, readyInMillis = 0, TargetId("i-1"), reason = ""))
        runUntil(nowMillis + 320)
        assertEquals(2, plannerRequestsAtMillis.size)
        assertInstanceOf(
            CopyAvailability.Expected::class.java,
            requests.request(requirements, emptyList()),
            "the requests keep waiting",
        )
        assertEquals(null, refusedAtMillis)
    }

    /** Guards against waiting for an engine that fails during an adapter load before its owner has noticed. */
    @Test
    fun `an adapter is requested at another engine when the first one refuses connections`() {
        requestAdapter("i-1", "i-2")
        val (number, first) = ownerRequests.single()
        requests.onAnswer(CopyAnswer(number, readyInMillis = 400, first, reason = ""))
        refuseConnections(first.value)
        holders = holders.filterNot { it.entry.targetId == first }
        runUntil(nowMillis + TICK_MILLIS)
        assertEquals(2, ownerRequests.size)
        assertTrue(ownerRequests.last().second != first, "the request goes to another engine")
        assertEquals(null, refusedAtMillis)
    }

    /**
     * Guards against requests that wait in vain for an adapter.
     *
     * The only engine with the model has failed, and no plan makes room for the model elsewhere.
     */
    @Test
    fun `requests for an adapter are refused immediately when its model is lost and can't be loaded`() {
        waitingRequirements =
            TargetRequirements(service, CopyName(copy.modelId, AdapterId("a1")), "m7", emptySet(), 1_000)
        requests.onCopyMissing(waitingRequirements)
        assertEquals(1, plannerRequestsAtMillis.size, "the model is requested from the planner")
        assertEquals(null, refusedAtMillis)
        requests.onAnswer(CopyAnswer(number = 1, readyInMillis = null, targetId = null, reason = "no_plan"))
        requests.onCopyMissing(waitingRequirements)
        assertEquals(nowMillis, refusedAtMillis)
    }

    @Test
    fun `requests for an adapter are refused immediately when no engine has room for it`() {
        requestAdapter("i-1", "i-2")
        decline("no_room")
        assertEquals(2, ownerRequests.map { it.second }.distinct().size, "the request is repeated at the other engine")
        decline("no_room")
        assertEquals(nowMillis, refusedAtMillis)
    }

    private companion object {
        const val MAX_EXPECTED_MILLIS = 12_000L
    }
}
