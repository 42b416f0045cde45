package org.banyanturn.core.membership

import org.banyanturn.core.Incarnation
import org.banyanturn.core.TargetId
import org.banyanturn.core.VmId
import org.banyanturn.core.ZoneId
import org.banyanturn.core.state.Change
import org.banyanturn.core.state.DeclareTarget
import org.banyanturn.core.state.FleetState
import org.banyanturn.core.state.JoinVm
import org.banyanturn.core.state.LeaveVm
import org.banyanturn.core.state.LogEntry
import org.banyanturn.core.state.OwnEngine
import org.banyanturn.core.state.TargetKind
import org.banyanturn.core.state.encodeToPayload
import org.banyanturn.core.state.foldRecord
import org.junit.jupiter.api.Assertions.assertEquals
import org.junit.jupiter.api.Assertions.assertNull
import org.junit.jupiter.api.Test

class EngineHandoverTest {
    private val zone = ZoneId("zone1")
    private val policy = HandoverPolicy(leaseMillis = 10_000, maxOrderDelayMillis = 5_000)
    private val incarnations = List(6) { Incarnation(VmId("vm$it"), 1) }
    private val engines = List(40) { TargetId("engine$it") }

    private fun FleetState.with(change: Change, expectedVersion: Long? = null): FleetState =
        foldRecord(nextOffset, LogEntry("r$nextOffset", "vm", change, expectedVersion).encodeToPayload())

    private fun fleet(checksFencing: Boolean = false): FleetState {
        val withVms = incarnations.fold(FleetState()) { state, vm -> state.with(JoinVm(vm, zone, "a", "b")) }
        return engines.fold(withVms) { state, id ->
            state.with(DeclareTarget(id, TargetKind.ENGINE, "a", zone, 100, checksFencing))
        }
    }

    private fun members(vararg failed: Incarnation): List<MemberVm> =
        incarnations.map { vm ->
            val status = if (vm in failed) VmStatus.SUSPECT else VmStatus.LIVE
            MemberVm(vm.vmId, zone, vm, status, 0)
        }

    private fun FleetState.afterTakeovers(members: List<MemberVm>): FleetState =
        incarnations.fold(this) { state, vm ->
            engineTakeovers(state, members, Topology(), vm).fold(state) { next, takeover ->
                next.with(OwnEngine(takeover.targetId, vm), takeover.expectedVersion)
            }
        }

    @Test
    fun `each engine gets one owner and the failure of a VM moves only its own engines`() {
        val owned = fleet().afterTakeovers(members())
        assertEquals(engines.toSet(), owned.owners.keys)
        assertEquals(owned, owned.afterTakeovers(members()))
        val failed = incarnations[2]
        val after = owned.afterTakeovers(members(failed))
        for (engine in engines) {
            val before = owned.owners.getValue(engine)
            if (before.incarnation == failed) assertEquals(true, after.owners.getValue(engine).mustWait)
            if (before.incarnation != failed) assertEquals(before, after.owners.getValue(engine))
        }
        val successors = after.owners.values.filter { owned.owners[it.targetId] != it }.map { it.incarnation }
        for (vm in incarnations - failed) {
            val watched = watchedOwners(owned, members(), Topology(), vm)
            assertEquals(vm in successors, failed.vmId in watched)
        }
    }

    @Test
    fun `a successor waits out the old lease and order delay unless the owner left gracefully`() {
        for (isGraceful in listOf(false, true)) {
            val owned = fleet().afterTakeovers(members())
            val engine = engines.first()
            val owner = owned.owners.getValue(engine)
            val afterLeave = owned.with(
                LeaveVm(owner.incarnation, isGraceful),
            ).afterTakeovers(members(owner.incarnation))
            val successor = afterLeave.owners.getValue(engine)
            val handover = EngineHandover(successor.incarnation, policy).observe(afterLeave, 1_000)
            val beforeWaitEnds = handover.afterReadToEnd(15_999).fencingNumberOrNull(afterLeave, engine, 15_999)
            assertEquals(successor.fencingNumber.takeIf { isGraceful }, beforeWaitEnds)
            val afterWaitEnded = handover.afterReadToEnd(16_000).fencingNumberOrNull(afterLeave, engine, 16_000)
            assertEquals(successor.fencingNumber, afterWaitEnded)
        }
    }

    @Test
    fun `an owner whose lease has expired sends no order to an engine that ignores fencing numbers`() {
        for (checksFencing in listOf(false, true)) {
            val owned = fleet(checksFencing).afterTakeovers(members())
            val owner = owned.owners.getValue(engines.first())
            val handover = EngineHandover(owner.incarnation, policy).observe(owned, 0).afterReadToEnd(0)
            assertEquals(owner.fencingNumber, handover.fencingNumberOrNull(owned, owner.targetId, 9_999))
            val afterLeaseExpired = handover.fencingNumberOrNull(owned, owner.targetId, 10_000)
            assertEquals(owner.fencingNumber.takeIf { checksFencing }, afterLeaseExpired)
            val other = incarnations.first { it != owner.incarnation }
            val afterOwnerChange = owned.with(OwnEngine(owner.targetId, other), owner.fencingNumber)
            assertNull(handover.fencingNumberOrNull(afterOwnerChange, owner.targetId, 1))
        }
    }
}
