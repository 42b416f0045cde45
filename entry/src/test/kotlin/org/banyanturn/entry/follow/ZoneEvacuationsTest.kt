package org.banyanturn.entry.follow

import com.github.michaelbull.result.Err
import com.github.michaelbull.result.Ok
import com.github.michaelbull.result.Result
import io.netty.handler.codec.http.DefaultFullHttpRequest
import io.netty.handler.codec.http.HttpMethod
import io.netty.handler.codec.http.HttpVersion
import kotlinx.coroutines.CompletableDeferred
import kotlinx.coroutines.ExperimentalCoroutinesApi
import kotlinx.coroutines.delay
import kotlinx.coroutines.launch
import kotlinx.coroutines.test.TestScope
import kotlinx.coroutines.test.currentTime
import kotlinx.coroutines.test.runTest
import kotlinx.coroutines.withTimeoutOrNull
import org.banyanturn.core.Incarnation
import org.banyanturn.core.TargetId
import org.banyanturn.core.VmId
import org.banyanturn.core.ZoneId
import org.banyanturn.core.serving.ServiceName
import org.banyanturn.daemon.ProcessClock
import org.banyanturn.entry.http.SmallResponse
import org.banyanturn.entry.observe.DecisionLog
import org.banyanturn.entry.observe.EntryMetrics
import org.banyanturn.entry.requests.FleetView
import org.banyanturn.platform.KeyedChanges
import org.banyanturn.platform.KeyedRecord
import org.banyanturn.platform.KeyedSnapshot
import org.banyanturn.platform.KeyedTopic
import org.banyanturn.platform.StoreError
import org.banyanturn.platform.hosted.HttpExchangeCall
import org.banyanturn.platform.hosted.HttpExchangeFailure
import org.banyanturn.platform.hosted.HttpExchangeReply
import org.banyanturn.platform.hosted.HttpExchanges
import org.banyanturn.platform.hosted.SocketAddressText
import org.junit.jupiter.api.Assertions.assertEquals
import org.junit.jupiter.api.Assertions.assertTrue
import org.junit.jupiter.api.Test
import kotlin.random.Random

private const val ZONE_VMS = 16
private const val SETTLING_MILLIS = 5_000L
private const val TICK_MILLIS = 20L
private const val PORT = 7_601
private const val KEY = "evacuate/far"

/** Time after the store's confirmation by which no VM may use the targets of an evacuated zone. */
private const val EVACUATION_MILLIS = 5_000L

/** Time within which all VMs should know, without a fault: a read of the store and one held poll of its reader. */
private const val GOAL_MILLIS = 1_000L

/** Tests that all VMs of a zone follow the evacuations that one of them reads, on virtual time and with faults. */
@OptIn(ExperimentalCoroutinesApi::class)
class ZoneEvacuationsTest {
    private val operators = SimulatedTopic()
    private val targets = SimulatedTopic()
    private val vms = ArrayList<EvacuatingVm>()
    private var isStoreDown = false

    private fun TestScope.startZone() {
        vms.clear()
        listOf("i-near" to "near", "i-far" to "far").forEach { (id, zone) ->
            targets.write(id, """{"service":"s","address":"10.0.0.1:80","zone":"$zone","slots":8,"state":"ready"}""")
        }
        repeat(ZONE_VMS) { vms += EvacuatingVm(it, this) }
        vms.forEach { it.start() }
    }

    private fun reader(): EvacuatingVm = vms.single { it.readerSelector.readsStore.value }

    private suspend fun TestScope.millisUntil(condition: () -> Boolean): Long {
        val startMillis = currentTime
        while (!condition() && currentTime - startMillis < 2 * EVACUATION_MILLIS) delay(TICK_MILLIS)
        return currentTime - startMillis
    }

    private fun healthy() = vms.filter { it.isHealthy }

    private fun isUsedBy(vm: EvacuatingVm) = vm.usableTargets() == setOf("i-near", "i-far")

    private fun isLeftBy(vm: EvacuatingVm) = vm.usableTargets() == setOf("i-near")

    /** Guards against VMs that keep sending to an evacuated zone because the VM that reads for them has failed. */
    @Test
    fun `all healthy VMs leave a zone in time and use it again, whatever happens to the reader`() {
        listOf<(EvacuatingVm) -> Unit>(
            { },
            { it.isAlive = false },
            { it.isFrozen = true },
            { it.isRejectedByStore = true },
            { it.isIsolatedFromStore = true },
        ).forEachIndexed { case, fault ->
            runTest {
                startZone()
                delay(SETTLING_MILLIS)
                assertTrue(vms.all(::isUsedBy), "the zone is used")
                fault(reader())
                delay(Random(case).nextLong(400))
                operators.write(KEY, "{}")
                val leftMillis = millisUntil { healthy().all(::isLeftBy) }
                operators.write(KEY, null)
                val usedMillis = millisUntil { healthy().all(::isUsedBy) }
                println("fault $case: left after $leftMillis ms, used again after $usedMillis ms")
                assertTrue(maxOf(leftMillis, usedMillis) <= if (case == 0) GOAL_MILLIS else EVACUATION_MILLIS) {
                    "fault $case: left after $leftMillis ms, used again after $usedMillis ms"
                }
            }
        }
    }

    /** Guards against an outage of the store that ends an evacuation, and against one that hides its end. */
    @Test
    fun `while the store can't be read the last known state applies, and afterwards the current one`() = runTest {
        startZone()
        delay(SETTLING_MILLIS)
        operators.write(KEY, "{}")
        delay(GOAL_MILLIS)
        isStoreDown = true
        repeat(20) {
            delay(1_000)
            assertTrue(vms.all(::isLeftBy), "$it s into the outage")
        }
        operators.write(KEY, null)
        isStoreDown = false
        val usedMillis = millisUntil { vms.all(::isUsedBy) }
        assertTrue(usedMillis <= EVACUATION_MILLIS, "used again after $usedMillis ms")
    }

    /** Guards against a zone that stays evacuated because the record that ended it is no longer kept. */
    @Test
    fun `an evacuation ends when its key is absent from a new snapshot`() = runTest {
        startZone()
        delay(SETTLING_MILLIS)
        operators.write(KEY, "{}")
        delay(GOAL_MILLIS)
        operators.expireWithout(KEY)
        val usedMillis = millisUntil { vms.all(::isUsedBy) }
        assertTrue(usedMillis <= EVACUATION_MILLIS, "used again after $usedMillis ms")
    }

    @Test
    fun `keys that name no zone, and messages with an impossible age, change nothing`() = runTest {
        val vm = EvacuatingVm(0, this)
        val invalid = listOf("evacuate/", "evacuate/a b", "evacuate", "evacuated/z")
        vm.evacuations.onChanges(invalid.map { KeyedRecord(it, byteArrayOf(1), 0) })
        vm.evacuations.onMessage(EvacuationsMessage(ageMillis = -5, zones = listOf("far")), "h")
        vm.evacuations.onMessage(EvacuationsMessage(zones = listOf("far")), "h")
        assertEquals(emptySet<ZoneId>(), vm.view.evacuatedZones)
    }

    /** Represents a VM of the zone; it reads the store, or another VM through a simulated network. */
    private inner class EvacuatingVm(private val number: Int, private val scope: TestScope) {
        private val clock = ProcessClock { scope.currentTime }
        private val log = DecisionLog(clock, EntryMetrics())
        private val peer = Peer(Incarnation(VmId("vm-$number"), 1), ZoneId("near"), "10.1.0.$number")
        val view = FleetView(clock, ZoneId("near"))
        val evacuations = ZoneEvacuations(view, clock, log)
        var isAlive = true
        var isFrozen = false
        var isRejectedByStore = false
        var isIsolatedFromStore = false

        val isHealthy: Boolean
            get() = isAlive && !isFrozen && !isRejectedByStore && !isIsolatedFromStore

        private val network = HttpExchanges { address, call ->
            vms.first { it.peer.host == address.host }.answer(call)
        }
        val readerSelector = ZoneReaderSelector(
            peer,
            { vms.mapTo(HashSet()) { it.peer } },
            { PeerTargetList(SocketAddressText(it.host, PORT), network, evacuations::onMessage) { _, _ -> } },
            clock,
            log,
        )
        private val targetFollower = TargetFollower(
            StoredTargetList(targets.topicFor(this), StoreOutageTracker("targets", clock, log), log),
            readerSelector,
            view,
            clock,
            log,
            Random(number),
        )
        private val catalogFollower = CatalogFollower(
            operators.topicFor(this),
            view,
            StoreOutageTracker("catalog", clock, log),
            log,
            readerSelector.readsStore,
            evacuations,
            Random(number),
        )
        private val feed =
            TargetFeed(targetFollower, catalogFollower::isUpToDate, { 1 }, clock, evacuations::messageOrNull)

        fun start() {
            targetFollower.onRead = feed::onRead
            evacuations.onChange = feed::onCatalogChange
            scope.backgroundScope.launch { targetFollower.run() }
            scope.backgroundScope.launch { catalogFollower.run() }
            scope.backgroundScope.launch {
                while (true) {
                    delay(TICK_MILLIS)
                    if (!isFrozen) feed.tick()
                }
            }
        }

        fun usableTargets(): Set<String> {
            val usable = view.usableTargets(ServiceName("s")).mapTo(HashSet()) { it.entry.targetId.value }
            check(usable == listOf("i-near", "i-far").filterTo(HashSet()) { view.isUsable(TargetId(it)) })
            return usable
        }

        private suspend fun answer(call: HttpExchangeCall): Result<HttpExchangeReply, HttpExchangeFailure> {
            delay(1)
            if (!isAlive) return Err(HttpExchangeFailure(wasSent = false, "refused"))
            val answered = CompletableDeferred<SmallResponse>()
            val request = DefaultFullHttpRequest(HttpVersion.HTTP_1_1, HttpMethod.GET, call.pathAndQuery)
            if (!isFrozen) feed.handle(request) { answered.complete(it) }
            val answer = withTimeoutOrNull(call.timeoutMillis) {
                answered.await().also { while (isFrozen) delay(TICK_MILLIS) }
            }
            if (answer == null) return Err(HttpExchangeFailure(wasSent = true, "no answer"))
            return Ok(HttpExchangeReply(answer.status.code(), emptyMap(), answer.content))
        }

        suspend fun <T> callStore(answer: suspend () -> T): Result<T, StoreError> {
            delay(4)
            while (isFrozen) delay(TICK_MILLIS)
            if (isStoreDown || isRejectedByStore) return Err(StoreError.Refused(503))
            if (isIsolatedFromStore) {
                delay(1_500)
                return Err(StoreError.Unreachable("no answer"))
            }
            return Ok(answer())
        }
    }

    /** Simulates a topic of the store. */
    private class SimulatedTopic {
        private val records = ArrayList<KeyedRecord>()
        private var firstOffset = 0L

        fun write(key: String, value: String?) {
            records += KeyedRecord(key, value?.encodeToByteArray(), records.size.toLong())
        }

        /** Drops the key without a record, as if the record that dropped it were no longer kept. */
        fun expireWithout(key: String) {
            records.removeIf { it.key == key }
            repeat(5) { write("other", "{}") }
            firstOffset = records.size.toLong()
        }

        fun topicFor(vm: EvacuatingVm): KeyedTopic = object : KeyedTopic {
            override suspend fun snapshot(): Result<KeyedSnapshot, StoreError> = vm.callStore {
                val newest = records.groupBy { it.key }.values.map { it.last() }.filter { it.value != null }
                KeyedSnapshot(newest, records.size.toLong())
            }

            override suspend fun changes(fromOffset: Long, waitMillis: Long): Result<KeyedChanges, StoreError> =
                vm.callStore {
                    withTimeoutOrNull(waitMillis) { while (records.size <= fromOffset) delay(1) }
                    if (fromOffset < firstOffset) return@callStore KeyedChanges.Expired
                    KeyedChanges.Records(records.drop(fromOffset.toInt()), records.size.toLong())
                }
        }
    }
}
