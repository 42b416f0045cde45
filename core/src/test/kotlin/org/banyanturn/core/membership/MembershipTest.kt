package org.banyanturn.core.membership

import org.banyanturn.core.Incarnation
import org.banyanturn.core.VmId
import org.banyanturn.core.ZoneId
import org.junit.jupiter.api.Assertions.assertEquals
import org.junit.jupiter.api.Assertions.assertNull
import org.junit.jupiter.api.Test

class MembershipTest {
    private val vm = VmId("vm1")
    private val zone = ZoneId("zone1")
    private val policy = MembershipPolicy()

    private fun heartbeat(progress: Long, number: Long = 1, isDraining: Boolean = false) =
        MembershipEvent.HeartbeatReceived(Incarnation(vm, number), zone, progress, 0, isDraining)

    private fun listed(status: ListedStatus) = MembershipEvent.VmsListed(listOf(ListedVm(vm, zone, status)))

    private val nothingListed = MembershipEvent.VmsListed(emptyList())

    /** Returns the membership after a heartbeat per second to [untilMillis], without progress after [stuckAfter]. */
    private fun Membership.withHeartbeats(
        fromMillis: Long,
        untilMillis: Long,
        number: Long = 1,
        stuckAfter: Long = Long.MAX_VALUE,
    ) =
        (fromMillis..untilMillis step 1_000).fold(this) { membership, millis ->
            membership.onEvent(heartbeat(minOf(millis, stuckAfter), number), millis)
        }

    private fun Membership.withTicks(fromMillis: Long, untilMillis: Long) =
        (fromMillis..untilMillis step 1_000).fold(this) { membership, millis ->
            membership.onEvent(MembershipEvent.Tick, millis)
        }

    private val start = Membership(VmId("self"), policy, 0)

    @Test
    fun `a peer is suspected for missing progress and not for one missed heartbeat`() {
        val live = start.withHeartbeats(0, 10_000)
        assertEquals(VmStatus.LIVE, live.withTicks(11_000, 12_000).statusOrNull(vm, 12_500))
        assertEquals(VmStatus.SUSPECT, live.withTicks(11_000, 16_000).statusOrNull(vm, 16_000))
        val stuck = start.withHeartbeats(0, 20_000, stuckAfter = 10_000)
        assertEquals(VmStatus.SUSPECT, stuck.statusOrNull(vm, 20_000))
        assertEquals(VmStatus.LIVE, stuck.onEvent(heartbeat(20_001), 20_001).statusOrNull(vm, 20_001))
    }

    @Test
    fun `the suspicion timeout of a peer with rare heartbeats follows its own intervals`() {
        val rare = (0L..100_000L step 10_000).fold(start) { membership, millis ->
            membership.withTicks(millis - 9_000, millis - 1_000).onEvent(heartbeat(millis), millis)
        }
        assertEquals(VmStatus.LIVE, rare.withTicks(101_000, 130_000).statusOrNull(vm, 130_000))
        assertEquals(VmStatus.SUSPECT, rare.withTicks(101_000, 141_000).statusOrNull(vm, 141_000))
    }

    @Test
    fun `a VM suspects no peer because of its own pause`() {
        val resumed = start.withHeartbeats(0, 10_000).onEvent(MembershipEvent.Tick, 100_000)
        assertEquals(VmStatus.LIVE, resumed.statusOrNull(vm, 100_000))
        assertEquals(VmStatus.SUSPECT, resumed.withTicks(101_000, 106_000).statusOrNull(vm, 106_000))
    }

    @Test
    fun `a leaving VM is detected by the list or by its heartbeat`() {
        val live = start.withHeartbeats(0, 3_000)
        assertEquals(VmStatus.LEAVING, live.onEvent(listed(ListedStatus.LEAVING), 3_000).statusOrNull(vm, 3_000))
        val draining = live.onEvent(heartbeat(4_000, isDraining = true), 4_000)
        assertEquals(VmStatus.LEAVING, draining.statusOrNull(vm, 4_000))
        assertEquals(VmStatus.LEAVING, draining.onEvent(heartbeat(4_500), 4_500).statusOrNull(vm, 4_500))
    }

    @Test
    fun `a gone incarnation stays gone and a higher one is live again`() {
        val listedLive = start.onEvent(listed(ListedStatus.LIVE), 0).withHeartbeats(0, 3_000)
        val gone = listedLive.onEvent(nothingListed, 3_000).withTicks(4_000, 10_000)
        assertEquals(VmStatus.GONE, gone.statusOrNull(vm, 10_000))
        assertEquals(listOf(Incarnation(vm, 1)), gone.goneIncarnations(10_000))
        val late = gone.onEvent(heartbeat(9_999), 10_500)
        assertEquals(VmStatus.GONE, late.statusOrNull(vm, 10_500))
        val restarted = late.onEvent(heartbeat(1, number = 2), 11_000)
        assertEquals(VmStatus.LIVE, restarted.statusOrNull(vm, 11_000))
        assertEquals(VmStatus.LIVE, restarted.onEvent(nothingListed, 11_500).statusOrNull(vm, 11_500))
        assertEquals(VmStatus.LIVE, restarted.onEvent(heartbeat(99_999, number = 1), 12_000).statusOrNull(vm, 12_000))
        assertNull(start.statusOrNull(vm, 0))
    }

    @Test
    fun `a lagging list does not make a VM gone that makes progress`() {
        val listedGone = start.onEvent(
            listed(ListedStatus.LIVE),
            0,
        ).withHeartbeats(0, 3_000).onEvent(listed(ListedStatus.GONE), 3_000)
        val live = listedGone.withHeartbeats(4_000, 20_000)
        assertEquals(VmStatus.LIVE, live.onEvent(listed(ListedStatus.GONE), 20_000).statusOrNull(vm, 20_000))
    }
}
