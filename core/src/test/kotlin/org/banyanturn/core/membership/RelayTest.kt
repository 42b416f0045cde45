package org.banyanturn.core.membership

import kotlinx.collections.immutable.persistentMapOf
import org.banyanturn.core.RegionId
import org.banyanturn.core.VmId
import org.banyanturn.core.ZoneId
import org.banyanturn.core.state.FollowAction
import org.banyanturn.core.state.FollowEvent
import org.banyanturn.core.state.FollowPolicy
import org.banyanturn.core.state.LogFollower
import org.banyanturn.core.state.PeerOffset
import org.junit.jupiter.api.Assertions.assertEquals
import org.junit.jupiter.api.Assertions.assertTrue
import org.junit.jupiter.api.Test
import java.util.PriorityQueue
import kotlin.random.Random

private const val SEED = 45L
private const val VMS = 490
private const val ZONES = 16
private const val REGIONS = 5
private const val BOUND_MILLIS = 11_000L
private const val DELAY_MILLIS = 40L
private const val LOG_TIMEOUT_MILLIS = 3_000L

/**
 * Simulates a fleet of the target size in which only the VMs in [connected] reach the log. The heartbeat rounds of each
 * VM have their own phase.
 */
private class RelayFleet(private val connected: Set<Int>, private val policy: FanOutPolicy, random: Random) {
    private class Event(val atMillis: Long, val order: Long, val run: () -> Unit)

    private val zones = List(ZONES) { ZoneId("zone%02d".format(it)) }
    private val topology = Topology(
        zones.withIndex().fold(persistentMapOf()) { map, (index, zone) ->
            map.putting(zone, RegionId("region${index % REGIONS}"))
        },
    )
    private val members = List(VMS) { index ->
        MemberVm(VmId("vm%03d".format(index)), zones[index % ZONES], null, VmStatus.LIVE, 0)
    }
    private val indexes = members.withIndex().associate { (index, member) -> member.vmId to index }
    private val followers = Array(VMS) { index ->
        LogFollower(FollowPolicy(), seed = index.toLong()).onEvent(FollowEvent.LogBatchRead(1), 0)
    }
    private val knownOffsets = Array(VMS) { mutableMapOf<VmId, Long>() }
    private val queue = PriorityQueue<Event>(compareBy<Event> { it.atMillis }.thenBy { it.order })
    val rounds = LongArray(VMS)
    val phases = List(VMS) { random.nextLong(policy.intervalMillis) }
    val reachedAtMillis = LongArray(VMS) { -1 }
    var heartbeatCount = 0
    var logOffset = 1L
    private var nextOrder = 0L

    private fun schedule(millis: Long, run: () -> Unit) {
        queue += Event(millis, nextOrder++, run)
    }

    fun run(untilMillis: Long) {
        for (vm in 0 until VMS) schedule(phases[vm]) { sendHeartbeats(vm, phases[vm]) }
        for (vm in 0 until VMS) schedule(0) { decide(vm, 0) }
        while (queue.isNotEmpty() && queue.peek().atMillis <= untilMillis) queue.remove().run()
    }

    private fun sendHeartbeats(vm: Int, nowMillis: Long) {
        for (peer in policy.heartbeatPeers(members[vm], members, topology, rounds[vm]++)) {
            val peerIndex = indexes.getValue(peer.vmId)
            heartbeatCount++
            schedule(nowMillis + DELAY_MILLIS) { receiveHeartbeat(peerIndex, vm, nowMillis + DELAY_MILLIS) }
            schedule(nowMillis + 2 * DELAY_MILLIS) { receiveHeartbeat(vm, peerIndex, nowMillis + 2 * DELAY_MILLIS) }
        }
        schedule(nowMillis + policy.intervalMillis) { sendHeartbeats(vm, nowMillis + policy.intervalMillis) }
    }

    private fun receiveHeartbeat(vm: Int, from: Int, nowMillis: Long) {
        knownOffsets[vm][members[from].vmId] = followers[from].nextOffset
        decide(vm, nowMillis)
    }

    private fun decide(vm: Int, nowMillis: Long) {
        val step = followers[vm].decide(knownOffsets[vm].map { PeerOffset(it.key, it.value) }, nowMillis)
        followers[vm] = step.follower
        step.actions.forEach { start(vm, it, nowMillis) }
        if (step.wakeAtMillis in nowMillis + 1 until Long.MAX_VALUE) {
            schedule(step.wakeAtMillis) { decide(vm, step.wakeAtMillis) }
        }
    }

    private fun start(vm: Int, action: FollowAction, nowMillis: Long) {
        val isPeer = action is FollowAction.ReadPeer
        val endMillis = nowMillis + if (vm in connected || isPeer) 2 * DELAY_MILLIS else LOG_TIMEOUT_MILLIS
        schedule(endMillis) {
            val event = when {
                action is FollowAction.ReadPeer -> {
                    val peer = indexes.getValue(action.vmId)
                    FollowEvent.PeerBatchRead(action.vmId, followers[peer].nextOffset)
                }

                vm in connected -> FollowEvent.LogBatchRead(logOffset)

                else -> FollowEvent.LogReadFailed
            }
            followers[vm] = followers[vm].onEvent(event, endMillis)
            if (followers[vm].nextOffset >= 2 && reachedAtMillis[vm] < 0) reachedAtMillis[vm] = endMillis
            decide(vm, endMillis + if (event is FollowEvent.LogBatchRead) policy.intervalMillis / 10 else 0)
        }
    }

    fun publishAt(millis: Long) = schedule(millis) { logOffset = 2 }
}

class RelayTest {
    @Test
    fun `a change reaches all VMs of the target size within the bound although only one VM can read the log`() {
        val policy = FanOutPolicy()
        val times = List(3) { run ->
            val fleet = RelayFleet(setOf(17 * run), policy, Random(SEED + run))
            val publishedAtMillis = 20_000L
            fleet.publishAt(publishedAtMillis)
            fleet.run(publishedAtMillis + 30_000)
            assertEquals(0, fleet.reachedAtMillis.count { it < 0 }, "VMs that were never reached, seed ${SEED + run}")
            val perRound = fleet.heartbeatCount.toDouble() / fleet.rounds.sum()
            assertTrue(perRound <= policy.zonePeers + policy.regionPeers + policy.remotePeers, "exchanges: $perRound")
            fleet.reachedAtMillis.max() - publishedAtMillis
        }
        println("seed $SEED: the last of $VMS VMs is reached after $times ms")
        assertTrue(times.all { it <= BOUND_MILLIS }, "$times")
    }
}
