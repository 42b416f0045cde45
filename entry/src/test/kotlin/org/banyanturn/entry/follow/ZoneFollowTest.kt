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
import org.banyanturn.core.VmId
import org.banyanturn.core.ZoneId
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
private const val TARGETS = 90
private const val HEARTBEAT_MILLIS = 1_200L
private const val SETTLING_MILLIS = 5_000L
private const val TICK_MILLIS = 20L
private const val PORT = 7_601

/** Time after the store's confirmation by which no VM may send to a draining target; the shortest one required. */
private const val DRAIN_MILLIS = 2_000L

/**
 * Tests that the VMs of a zone keep a list of 90 targets up to date while all targets rewrite their entries
 * periodically, on virtual time and with faults of the VM that reads the store for the others.
 */
@OptIn(ExperimentalCoroutinesApi::class)
class ZoneFollowTest {
    private val store = SimulatedTargetTopic()
    private val vms = ArrayList<FollowingVm>()

    private fun TestScope.startZone() {
        repeat(TARGETS) { store.write("i-$it", entry("ready", sequence = 0), currentTime) }
        repeat(ZONE_VMS) { vms += FollowingVm(it, this) }
        vms.forEach { it.start() }
        backgroundScope.launch {
            var writes = 0L
            while (true) {
                delay(HEARTBEAT_MILLIS / TARGETS)
                val target = (writes % TARGETS).toInt()
                writes++
                if (target !in store.draining) store.write("i-$target", entry("ready", sequence = writes), currentTime)
            }
        }
    }

    private fun entry(state: String, sequence: Long): String =
        """
            {"service": "llm", "address": "10.0.0.1:80", "zone": "z", "slots": 8, "state": "$state",
             "sequence": $sequence, "born": 1}
        """

    private fun drain(target: Int, nowMillis: Long) {
        store.draining += target
        store.write("i-$target", entry("draining", sequence = 0), nowMillis)
    }

    private fun countKnowingVms(target: Int): Int = vms.count { vm -> vm.isAlive && vm.knowsDraining("i-$target") }

    private fun readers(): List<FollowingVm> = vms.filter { it.isAlive && it.readerSelector.readsStore.value }

    @Test
    fun `one VM reads the store for its zone, so that calls do not grow with the number of VMs`() = runTest {
        startZone()
        delay(SETTLING_MILLIS)
        val reader = readers().single()
        val callsBefore = store.calls
        delay(10_000)
        val calls = store.calls - callsBefore
        assertTrue(store.callsOf(reader.number) >= calls, "the calls are the reader's")
        assertTrue(calls <= 25, "$calls calls in 10 s by $ZONE_VMS VMs, 20 by one that reads every 0.5 s")
    }

    @Test
    fun `all healthy VMs know in time that a target drains, whatever happens to the reader`() {
        listOf<(FollowingVm) -> Unit>(
            { },
            { it.isAlive = false },
            { it.isFrozen = true },
            { it.isRejectedByStore = true },
            { it.isIsolatedFromStore = true },
        ).forEachIndexed { case, fault ->
            runTest {
                vms.clear()
                startZone()
                delay(SETTLING_MILLIS)
                val reader = readers().single()
                fault(reader)
                delay(Random(case).nextLong(400))
                drain(target = 7, currentTime)
                delay(DRAIN_MILLIS)
                val healthy =
                    vms.count { it.isAlive && !it.isFrozen && !it.isRejectedByStore && !it.isIsolatedFromStore }
                val known = vms.count { it.isHealthy && it.knowsDraining("i-7") }
                assertEquals(healthy, known, "fault $case, of ${vms.size} VMs")
            }
        }
    }

    @Test
    fun `after an outage of the store all VMs have its list again, and calls during the outage stay few`() = runTest {
        startZone()
        delay(SETTLING_MILLIS)
        store.isDown = true
        val callsBefore = store.calls
        delay(10_000)
        val callsPerVm = (store.calls - callsBefore) / ZONE_VMS
        assertTrue(callsPerVm <= 25, "$callsPerVm calls of a VM in 10 s that the store refused")
        store.isDown = false
        drain(target = 3, currentTime)
        delay(DRAIN_MILLIS)
        assertEquals(ZONE_VMS, countKnowingVms(target = 3))
    }

    /** Represents a VM of the zone; it reads [SimulatedTargetTopic], or other VMs through a simulated network. */
    private inner class FollowingVm(val number: Int, private val scope: TestScope) {
        private val clock = ProcessClock { scope.currentTime }
        private val log = DecisionLog(clock, EntryMetrics())
        private val view = FleetView(clock, ZoneId("z"))
        val peer = Peer(Incarnation(VmId("vm-$number"), 1), ZoneId("z"), "10.1.0.$number")
        var isAlive = true
        var isFrozen = false
        var isRejectedByStore = false
        var isIsolatedFromStore = false

        val isHealthy: Boolean
            get() = isAlive && !isFrozen && !isRejectedByStore && !isIsolatedFromStore

        val readerSelector = ZoneReaderSelector(
            peer,
            { vms.mapTo(HashSet()) { it.peer } },
            { PeerTargetList(SocketAddressText(it.host, PORT), network) { _, _ -> } },
            clock,
            log,
        )
        private val follower = TargetFollower(
            StoredTargetList(store.topicFor(this), StoreOutageTracker("targets", clock, log), log),
            readerSelector,
            view,
            clock,
            log,
            Random(number),
        )
        private val feed = TargetFeed(follower, { true }, { 1 }, clock)

        private val network = HttpExchanges { address, call ->
            vms.first { it.peer.host == address.host }.answer(call)
        }

        fun start() {
            follower.onRead = feed::onRead
            scope.backgroundScope.launch { follower.run() }
            scope.backgroundScope.launch {
                while (true) {
                    delay(TICK_MILLIS)
                    if (!isFrozen) feed.tick()
                }
            }
        }

        fun knowsDraining(targetId: String): Boolean =
            view.directory.targets.values.any { it.entry.targetId.value == targetId && it.entry.isDraining }

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
    }

    /** Simulates the store's topic of targets and counts the calls of each VM. */
    private class SimulatedTargetTopic {
        private val records = ArrayList<KeyedRecord>()
        private val callsByVm = HashMap<Int, Int>()
        val draining = HashSet<Int>()
        var isDown = false

        val calls: Int
            get() = callsByVm.values.sum()

        fun callsOf(vmNumber: Int): Int = callsByVm[vmNumber] ?: 0

        fun write(key: String, value: String, nowMillis: Long) {
            check(nowMillis >= 0) { "the time must not be negative" }
            records += KeyedRecord(key, value.encodeToByteArray(), records.size.toLong())
        }

        fun topicFor(vm: FollowingVm): KeyedTopic = object : KeyedTopic {
            override suspend fun snapshot(): Result<KeyedSnapshot, StoreError> = call(vm) {
                KeyedSnapshot(records.groupBy { it.key }.values.map { it.last() }, records.size.toLong())
            }

            override suspend fun changes(fromOffset: Long, waitMillis: Long): Result<KeyedChanges, StoreError> =
                call(vm) {
                    withTimeoutOrNull(waitMillis) { while (records.size <= fromOffset) delay(1) }
                    KeyedChanges.Records(records.drop(fromOffset.toInt()), records.size.toLong())
                }
        }

        private suspend fun <T> call(vm: FollowingVm, answer: suspend () -> T): Result<T, StoreError> {
            callsByVm.merge(vm.number, 1, Int::plus)
            delay(4)
            while (vm.isFrozen) delay(TICK_MILLIS)
            if (isDown || vm.isRejectedByStore) return Err(StoreError.Refused(503))
            if (vm.isIsolatedFromStore) {
                delay(1_500)
                return Err(StoreError.Unreachable("no answer"))
            }
            return Ok(answer())
        }
    }
}
