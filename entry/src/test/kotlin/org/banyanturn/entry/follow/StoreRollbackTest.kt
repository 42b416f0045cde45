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
import org.banyanturn.entry.observe.StoreEpochLog
import org.banyanturn.entry.requests.FleetView
import org.banyanturn.platform.hosted.HostedStore
import org.banyanturn.platform.hosted.HttpExchangeCall
import org.banyanturn.platform.hosted.HttpExchangeFailure
import org.banyanturn.platform.hosted.HttpExchangeReply
import org.banyanturn.platform.hosted.HttpExchanges
import org.banyanturn.platform.hosted.SocketAddressText
import org.junit.jupiter.api.Assertions.assertEquals
import org.junit.jupiter.api.Assertions.assertTrue
import org.junit.jupiter.api.Test
import kotlin.random.Random

private const val VMS = 6
private const val ENGINES = 24
private const val HEARTBEAT_MILLIS = 1_000L
private const val SETTLING_MILLIS = 8_000L
private const val TICK_MILLIS = 20L
private const val PORT = 7_601
private const val SEEDS = 12
private const val OBSERVATION_MILLIS = 20_000L

/** The least time between orders of two VMs to one engine, and how long a new owner waits for it. */
private const val ORDER_LEASE_MILLIS = 1_000L
private const val TAKEOVER_MILLIS = ORDER_LEASE_MILLIS + 300L

/** A join within 0.5 s, the lease of 2 s of owners from before the rollback, the takeover, and one more join. */
private const val ORDERS_BOUND_MILLIS = 500 + 2_000 + TAKEOVER_MILLIS + 700

/** A read within 1 s, and a heartbeat of each engine that the rolled-back store doesn't list. */
private const val LIST_BOUND_MILLIS = 1_000 + HEARTBEAT_MILLIS + 700

/**
 * Tests that VMs with a store that goes back by some seconds never send orders with a decreasing fencing number or two
 * at once, never send to a target that drains, and return to normal service within the stated bounds.
 */
@OptIn(ExperimentalCoroutinesApi::class)
class StoreRollbackTest {
    private class Order(val fencingNumber: Long, val vm: Int, val atMillis: Long)

    private inner class Fleet(val scope: TestScope, statesEpoch: Boolean = true) {
        val store = SimulatedStore(statesEpoch) { scope.currentTime }
        val vms = ArrayList<Vm>()
        val orders = HashMap<Int, Order>()
        val draining = HashSet<Int>()
        val gone = HashSet<Int>()
        val faults = ArrayList<String>()
        val live: List<Int>
            get() = (0 until ENGINES).filter { it !in gone }

        suspend fun start() {
            repeat(ENGINES) { heartbeat(it) }
            repeat(VMS) { addVm() }
            scope.backgroundScope.launch { repeatHeartbeats() }
            delay(SETTLING_MILLIS)
            assertTrue(isNormal(), "normal before the fault")
        }

        private suspend fun repeatHeartbeats() {
            while (true) {
                repeat(ENGINES) { engine ->
                    delay(HEARTBEAT_MILLIS / ENGINES)
                    if (engine !in gone && !store.isDown) heartbeat(engine)
                }
            }
        }

        fun addVm() = Vm(vms.size, this).also {
            vms += it
            it.start()
        }

        fun heartbeat(engine: Int) {
            val state = if (engine in draining) "draining" else "ready"
            val entry = """
                {"service":"llm","address":"10.0.0.1:80","zone":"z","slots":8,"state":"$state","born":1,
                 "sequence":${scope.currentTime}}
            """
            store.write("i-$engine", entry)
        }

        fun drain(engine: Int) {
            draining += engine
            heartbeat(engine)
        }

        fun removeEngine(engine: Int) {
            gone += engine
            store.write("i-$engine", null)
        }

        /** Records an order and checks it as the engine does, and against the rules that the engine can't check. */
        fun order(engine: Int, vm: Int, fencingNumber: Long) {
            val last = orders[engine]
            val order = Order(fencingNumber, vm, scope.currentTime)
            if (last != null) {
                if (fencingNumber < last.fencingNumber) faults += "$engine: lower number of vm $vm"
                if (vm != last.vm && fencingNumber == last.fencingNumber) faults += "$engine: two owners of a number"
                if (vm != last.vm && order.atMillis - last.atMillis < ORDER_LEASE_MILLIS) {
                    faults += "$engine: orders of vm $vm ${order.atMillis - last.atMillis} ms after vm ${last.vm}"
                }
            }
            orders[engine] = order
        }

        fun isListed(): Boolean = vms.filter { it.isHealthy }.all { it.readyEngines() == live.toSet() - draining }

        fun isOrdered(): Boolean = live.all { engine -> vms.any { it.isHealthy && it.mayOrder(engine) } }

        fun isNormal(): Boolean = isListed() && isOrdered()

        /** Observes the fleet for 20 s and checks when the lists and the orders were last not normal. */
        suspend fun awaitNormal(scenario: String, ordersBoundMillis: Long = ORDERS_BOUND_MILLIS) {
            val startMillis = scope.currentTime
            var listedMillis = 0L
            var orderedMillis = 0L
            while (scope.currentTime - startMillis < OBSERVATION_MILLIS) {
                delay(TICK_MILLIS)
                if (!isListed()) listedMillis = scope.currentTime - startMillis
                if (!isOrdered()) orderedMillis = scope.currentTime - startMillis
            }
            println("$scenario: lists normal after $listedMillis ms, orders after $orderedMillis ms")
            assertTrue(orderedMillis <= ordersBoundMillis, "$scenario: orders after $orderedMillis ms")
            assertTrue(listedMillis <= LIST_BOUND_MILLIS, "$scenario: lists after $listedMillis ms")
            assertNoFaults(scenario)
        }

        fun assertNoFaults(scenario: String): Unit = assertEquals(emptyList<String>(), faults, scenario)
    }

    private fun rollback(statesEpoch: Boolean = true, scenario: suspend Fleet.() -> Unit) = runTest {
        val fleet = Fleet(this, statesEpoch)
        fleet.start()
        fleet.scenario()
    }

    @Test
    fun `service is normal within 4,5 s after a rollback at any moment`() = repeat(SEEDS) { seed ->
        rollback {
            val random = Random(seed)
            delay(random.nextLong(1_500))
            if (seed % 3 == 0) addVm()
            delay(random.nextLong(1_500))
            store.rollBack(lostMillis = 200 + random.nextLong(5_000))
            awaitNormal("seed $seed")
        }
    }

    @Test
    fun `a store that is away for 2 s and comes back older leaves normal service within 4,5 s`() = rollback {
        store.isDown = true
        delay(2_000)
        store.rollBack(lostMillis = 5_000)
        store.isDown = false
        awaitNormal("outage of 2 s")
    }

    @Test
    fun `a second rollback 700 ms after the first starts the wait again and does not add to it`() = rollback {
        store.rollBack(lostMillis = 3_000)
        delay(700)
        store.rollBack(lostMillis = 2_000)
        awaitNormal("twice in a row")
    }

    @Test
    fun `two rollbacks of which no VM sees the first count as one`() = rollback {
        vms.forEach { it.link.isCut = true }
        store.rollBack(lostMillis = 3_000)
        delay(1_000)
        store.rollBack(lostMillis = 3_000)
        vms.forEach { it.link.isCut = false }
        awaitNormal("twice unseen", ORDERS_BOUND_MILLIS + 1_500)
    }

    @Test
    fun `a rollback during a handover never lets two VMs send orders to an engine`() = rollback {
        vms[1].leave()
        delay(300)
        store.rollBack(lostMillis = 2_500)
        awaitNormal("handover by leaving", ORDERS_BOUND_MILLIS + 2_500)
        addVm()
        delay(600)
        store.rollBack(lostMillis = 1_000)
        awaitNormal("handover by joining")
    }

    @Test
    fun `a VM that was frozen over the rollback sends no order under its former lease`() = rollback {
        vms[2].link.isFrozen = true
        delay(300)
        store.rollBack(lostMillis = 2_000)
        delay(1_500)
        vms[2].link.isFrozen = false
        awaitNormal("frozen for 1.8 s")
    }

    @Test
    fun `a VM that sees the rollback 1,5 s late keeps its lease, and the new owner waits for its end`() = rollback {
        vms.drop(1).forEach { it.link.losesResponses = true }
        store.rollBack(lostMillis = 5_000)
        delay(1_500)
        vms.forEach { it.link.losesResponses = false }
        awaitNormal("one VM before the others", ORDERS_BOUND_MILLIS + 1_500)
    }

    @Test
    fun `a VM whose responses are lost for 5 s does not delay the others`() = rollback {
        vms[3].link.losesResponses = true
        store.rollBack(lostMillis = 3_000)
        delay(5_000)
        vms[3].link.losesResponses = false
        awaitNormal("responses lost for 5 s")
    }

    @Test
    fun `engines that drain, leave or register in the lost seconds are used as they last reported`() = rollback {
        removeEngine(9)
        delay(2_000)
        drain(5)
        removeEngine(7)
        gone -= 9
        heartbeat(9)
        delay(1_200)
        val seen = HashSet<Int>()
        val watch = scope.backgroundScope.launch {
            while (true) {
                vms.forEach { seen += it.readyEngines() }
                vms.forEach { if (9 !in it.readyEngines()) faults += "vm ${it.number} lost engine 9" }
                delay(TICK_MILLIS)
            }
        }
        store.rollBack(lostMillis = 2_500)
        delay(4_000)
        watch.cancel()
        assertTrue(5 !in seen, "a draining engine was ready again")
        assertTrue(7 !in seen, "an engine that had left was ready again")
        awaitNormal("changes in the lost seconds")
    }

    @Test
    fun `without the header no VM is stuck, and numbers do not decrease`() = repeat(SEEDS) { seed ->
        rollback(statesEpoch = false) {
            val random = Random(seed)
            addVm()
            delay(2_000 + random.nextLong(2_000))
            store.rollBack(lostMillis = 2_000 + random.nextLong(3_000))
            awaitNormal("without the header, seed $seed", WITHHELD_BOUND_MILLIS)
        }
    }

    @Test
    fun `a generation that is given out again without the header is passed by a VM that joins anew`() = rollback(
        false,
    ) {
        // The new VM's joins follow those of the others, so these see the lower generation before it rises again.
        delay(250)
        addVm()
        delay(600)
        store.rollBack(lostMillis = 1_000)
        awaitNormal("generation given out again", WITHHELD_BOUND_MILLIS)
    }

    private inner class Vm(val number: Int, private val fleet: Fleet) {
        private val scope = fleet.scope
        private val clock = ProcessClock { scope.currentTime }
        private val metrics = EntryMetrics()
        private val log = DecisionLog(clock, metrics)
        private val view = FleetView(clock, ZoneId("z"))
        private val self = Peer(Incarnation(VmId("vm-$number"), 1), ZoneId("z"), "10.1.0.$number")
        private var hasLeft = false
        val link = StoreLink()

        val isHealthy: Boolean
            get() = !hasLeft && !link.isFrozen && !link.isCut && !link.losesResponses

        private val store = HostedStore(
            SocketAddressText("10.9.1.1", 8225),
            fleet.store.exchangesFor(link),
            epochListener = StoreEpochLog(log, metrics),
        )
        private val ownership = Ownership(
            store.ownershipGroup("g", self.toMemberName(), List(8) { "ownership-$it" }, partitionsPerTopic = 12),
            self,
            OwnershipSettings(),
            StoreOutageTracker("group", clock, log),
            clock,
            log,
            storeEpoch = store::epoch,
        )
        private val network = HttpExchanges { address, call ->
            fleet.vms.first { it.self.host == address.host }.answer(call)
        }
        private val follower = TargetFollower(
            StoredTargetList(store.targets, StoreOutageTracker("targets", clock, log), log),
            ZoneReaderSelector(
                self,
                ownership::peers,
                { PeerTargetList(SocketAddressText(it.host, PORT), network) { _, _ -> } },
                clock,
                log,
            ),
            view,
            clock,
            log,
            Random(number),
        )
        private val feed = TargetFeed(follower, { true }, { 1 }, clock)

        fun start() {
            follower.onRead = feed::onRead
            scope.backgroundScope.launch { follower.run() }
            scope.backgroundScope.launch { ownership.run() }
            scope.backgroundScope.launch {
                while (true) {
                    delay(TICK_MILLIS)
                    if (!link.isFrozen) tick()
                }
            }
        }

        private fun tick() {
            feed.tick()
            repeat(ENGINES) { if (mayOrder(it)) fleet.order(it, number, ownership.fencingNumber) }
        }

        suspend fun leave() {
            hasLeft = true
            ownership.leave()
        }

        fun mayOrder(engine: Int): Boolean {
            val sinceMillis = ownership.ownedSinceMillisOrNull("engine/i-$engine") ?: return false
            return clock.nowMillis() - sinceMillis >= TAKEOVER_MILLIS
        }

        fun readyEngines(): Set<Int> =
            view.directory.targets.values.filter { it.takesRequests }
                .mapTo(HashSet()) { it.entry.targetId.value.removePrefix("i-").toInt() }

        private suspend fun answer(call: HttpExchangeCall): Result<HttpExchangeReply, HttpExchangeFailure> {
            delay(1)
            if (hasLeft) return Err(HttpExchangeFailure(wasSent = false, "refused"))
            val answered = CompletableDeferred<SmallResponse>()
            val request = DefaultFullHttpRequest(HttpVersion.HTTP_1_1, HttpMethod.GET, call.pathAndQuery)
            if (!link.isFrozen) feed.handle(request) { answered.complete(it) }
            val answer = withTimeoutOrNull(call.timeoutMillis) {
                answered.await().also { while (link.isFrozen) delay(TICK_MILLIS) }
            }
            if (answer == null) return Err(HttpExchangeFailure(wasSent = true, "no answer"))
            return Ok(HttpExchangeReply(answer.status.code(), emptyMap(), answer.content))
        }
    }

    private companion object {
        /** Without an epoch the generation must first pass the former numbers; a VM leaves after 3 to 8 s for this. */
        const val WITHHELD_BOUND_MILLIS = 3_000 + 5_000 + ORDERS_BOUND_MILLIS + 2_500
    }
}
