package org.banyanturn.core.placement

import org.banyanturn.core.Incarnation
import org.banyanturn.core.ModelId
import org.banyanturn.core.TargetId
import org.banyanturn.core.VmId
import org.banyanturn.core.ZoneId
import org.banyanturn.core.state.Change
import org.banyanturn.core.state.Copy
import org.banyanturn.core.state.CopyKey
import org.banyanturn.core.state.DeclareModel
import org.banyanturn.core.state.DeclareTarget
import org.banyanturn.core.state.FleetState
import org.banyanturn.core.state.JoinVm
import org.banyanturn.core.state.LogEntry
import org.banyanturn.core.state.NO_VERSION
import org.banyanturn.core.state.OwnEngine
import org.banyanturn.core.state.TargetKind
import org.banyanturn.core.state.encodeToPayload
import org.banyanturn.core.state.foldRecord
import org.junit.jupiter.api.Assertions.assertEquals
import org.junit.jupiter.api.Assertions.assertTrue
import org.junit.jupiter.api.Test

class EngineOwnerMachineTest {
    private val targetId = TargetId("e1")
    private val incarnation = Incarnation(VmId("v1"), 1)
    private val copy = CopyKey(targetId, ModelId("a"), null, "1")
    private var log = FleetState()
    private var machine = engineOwnerMachineOf(EngineOwnerSettings(targetId, incarnation, 100, checksFencing = true))

    private fun append(entry: LogEntry) {
        log = log.foldRecord(log.nextOffset, entry.encodeToPayload())
    }

    private fun declare(change: Change) = append(LogEntry("op-${log.nextOffset}", "operator", change))

    private fun handle(event: EngineOwnerEvent, nowMillis: Long): List<EngineOwnerDecision> {
        val step = machine.handle(event, nowMillis)
        machine = step.machine
        step.decisions.filterIsInstance<EngineOwnerDecision.Append>().forEach { append(it.entry) }
        return step.decisions
    }

    private fun readLog(nowMillis: Long) = handle(EngineOwnerEvent.LogRead(log, nowMillis, isAtHead = true), nowMillis)

    private fun becomeOwner() {
        declare(DeclareTarget(targetId, TargetKind.ENGINE, "-", ZoneId("z"), 100, true))
        declare(DeclareModel(ModelId("a"), "1", 60, copies = 1))
        declare(JoinVm(incarnation, ZoneId("z"), "-", "-"))
        readLog(0)
        handle(EngineOwnerEvent.OwnershipRequested, 0)
        readLog(0)
    }

    /** Makes this VM the owner after another VM that held a claim on [copy]. */
    private fun takeOverFromFormerOwner() {
        val former = Incarnation(VmId("v0"), 1)
        declare(JoinVm(former, ZoneId("z"), "-", "-"))
        declare(DeclareTarget(targetId, TargetKind.ENGINE, "-", ZoneId("z"), 100, true))
        declare(DeclareModel(ModelId("a"), "1", 60, copies = 1))
        append(LogEntry("own", "v0", OwnEngine(targetId, former), NO_VERSION))
        declare(copy.claim(former))
        becomeOwner()
    }

    private fun requestLoad(nowMillis: Long) =
        handle(EngineOwnerEvent.LoadRequested(copy, 60, nowMillis + 5_000), nowMillis)

    private fun sendLoad(nowMillis: Long): EngineOwnerDecision.SendLoad {
        requestLoad(nowMillis)
        return readLog(nowMillis).filterIsInstance<EngineOwnerDecision.SendLoad>().single()
    }

    /** Covers the whole life cycle of a copy: claim, load order, response, confirmation, unload and release. */
    @Test
    fun `a copy is claimed, loaded and confirmed, and its claim is released after the unload`() {
        becomeOwner()
        assertTrue(requestLoad(10).any { it is EngineOwnerDecision.Append })
        val order = readLog(20).filterIsInstance<EngineOwnerDecision.SendLoad>().single()
        assertEquals(machine.fencingNumberOrNull, order.fencingNumber)
        val answer = EngineOwnerEvent.OrderAnswered(order.orderId, OrderOutcome.CONFIRMED)
        assertTrue(EngineOwnerDecision.CopyReady(copy) in handle(answer, 900))
        assertEquals(true, log.copies[copy]?.isReady)
        readLog(6_000)
        val unload = handle(EngineOwnerEvent.UnloadRequested(copy), 6_000)
            .filterIsInstance<EngineOwnerDecision.SendUnload>().single()
        handle(EngineOwnerEvent.OrderAnswered(unload.orderId, OrderOutcome.CONFIRMED), 6_100)
        readLog(6_200)
        assertEquals(0, machine.ledger.reservedMebibytes)
        assertTrue(log.copies.isEmpty())
    }

    @Test
    fun `a refused load releases its claim at once for another engine`() {
        becomeOwner()
        val order = sendLoad(10)
        val decisions = handle(EngineOwnerEvent.OrderAnswered(order.orderId, OrderOutcome.REFUSED), 500)
        assertTrue(decisions.any { it is EngineOwnerDecision.RefuseLoad && it.reason == LoadRefusalReason.LOAD_FAILED })
        assertTrue(log.copies.isEmpty())
    }

    @Test
    fun `a load whose response is lost keeps its memory until a report shows the copy`() {
        becomeOwner()
        val order = sendLoad(10)
        handle(EngineOwnerEvent.OrderAnswered(order.orderId, OrderOutcome.UNCONFIRMED), 2_000)
        assertEquals(60, machine.ledger.reservedMebibytes)
        val early = EngineSnapshot(1, asOfMillis = 3_000)
        handle(EngineOwnerEvent.SnapshotReceived(early), 3_100)
        assertEquals(60, machine.ledger.reservedMebibytes)
        val late = EngineSnapshot(1, loaded = early.loaded.adding(copy), asOfMillis = 5_510)
        assertTrue(EngineOwnerDecision.CopyReady(copy) in handle(EngineOwnerEvent.SnapshotReceived(late), 6_000))
    }

    @Test
    fun `an owner cut off from the log reloads claimed copies and refuses others at once`() {
        becomeOwner()
        val order = sendLoad(10)
        handle(EngineOwnerEvent.OrderAnswered(order.orderId, OrderOutcome.CONFIRMED), 900)
        val restarted = EngineSnapshot(2, asOfMillis = 60_000)
        val gone = handle(EngineOwnerEvent.SnapshotReceived(restarted), 60_100)
        assertTrue(EngineOwnerDecision.CopyUnavailable(copy) in gone)
        assertTrue(requestLoad(60_200).any { it is EngineOwnerDecision.SendLoad })
        val other = EngineOwnerEvent.LoadRequested(copy.copy(modelId = ModelId("b")), 10, 70_000)
        val refusal = handle(other, 60_300).filterIsInstance<EngineOwnerDecision.RefuseLoad>().single()
        assertEquals(LoadRefusalReason.LOG_UNREACHABLE, refusal.reason)
    }

    @Test
    fun `an unload waits for earlier loads to arrive and is cancelled by a new request`() {
        becomeOwner()
        val order = sendLoad(10)
        handle(EngineOwnerEvent.OrderAnswered(order.orderId, OrderOutcome.CONFIRMED), 900)
        fun unloads(decisions: List<EngineOwnerDecision>) = decisions.count { it is EngineOwnerDecision.SendUnload }
        assertEquals(0, unloads(handle(EngineOwnerEvent.UnloadRequested(copy), 1_000)))
        assertTrue(EngineOwnerDecision.CopyReady(copy) in requestLoad(2_000))
        assertEquals(0, unloads(handle(EngineOwnerEvent.Tick, 5_010)))
        handle(EngineOwnerEvent.UnloadRequested(copy), 5_000)
        assertEquals(0, unloads(handle(EngineOwnerEvent.Tick, 5_509)))
        assertEquals(1, unloads(handle(EngineOwnerEvent.Tick, 5_510)))
    }

    @Test
    fun `an engine that ignores fencing numbers receives no order after the lease has expired`() {
        machine = engineOwnerMachineOf(EngineOwnerSettings(targetId, incarnation, 100, checksFencing = false))
        becomeOwner()
        assertEquals(10 + ORDER_SEND_WINDOW_MILLIS, sendLoad(10).sendDeadlineMillis)
        assertTrue(machine.maySendOrders(10_009))
        val refusal = handle(EngineOwnerEvent.LoadRequested(copy.copy(modelVersion = "2"), 10, 20_000), 10_010)
            .filterIsInstance<EngineOwnerDecision.RefuseLoad>().single()
        assertEquals(LoadRefusalReason.LEASE_LAPSED, refusal.reason)
    }

    @Test
    fun `an order must be sent soon after its decision`() {
        becomeOwner()
        assertEquals(10 + ORDER_SEND_WINDOW_MILLIS, sendLoad(10).sendDeadlineMillis)
    }

    @Test
    fun `an order to an engine that ignores fencing numbers must be sent within the lease`() {
        machine = engineOwnerMachineOf(EngineOwnerSettings(targetId, incarnation, 100, checksFencing = false))
        becomeOwner()
        requestLoad(9_700)
        val order = handle(EngineOwnerEvent.LogRead(log, 10, isAtHead = true), 9_800)
            .filterIsInstance<EngineOwnerDecision.SendLoad>().single()
        assertEquals(10_010, order.sendDeadlineMillis)
    }

    @Test
    fun `a new owner trusts no report before the engine has seen its fencing number`() {
        takeOverFromFormerOwner()
        assertEquals(60, machine.ledger.reservedMebibytes)
        val decisions = handle(EngineOwnerEvent.SnapshotReceived(EngineSnapshot(1, asOfMillis = 50)), 60)
        val fencingOrder = decisions.single() as EngineOwnerDecision.SendUnload
        assertEquals(true, log.copies.containsKey(copy))
        handle(EngineOwnerEvent.OrderAnswered(fencingOrder.orderId, OrderOutcome.CONFIRMED), 90)
        assertTrue(log.copies.isEmpty())
    }

    @Test
    fun `a record of an earlier ownership is rejected after ownership was acquired again`() {
        becomeOwner()
        val claim = requestLoad(10).filterIsInstance<EngineOwnerDecision.Append>().single().entry
        append(LogEntry("again", "v1", OwnEngine(targetId, incarnation), claim.expectedVersion))
        append(LogEntry("late", "v1", copy.release(incarnation), claim.expectedVersion))
        assertTrue(copy in log.copies)
    }

    @Test
    fun `an owner that is fenced off stops at once`() {
        becomeOwner()
        val order = sendLoad(10)
        val decisions = handle(EngineOwnerEvent.OrderAnswered(order.orderId, OrderOutcome.FENCED_OFF), 100)
        assertEquals(null, machine.fencingNumberOrNull)
        assertTrue(decisions.none { it is EngineOwnerDecision.Append || it is EngineOwnerDecision.SendLoad })
    }

    @Test
    fun `a refused load does not release a copy that a former owner may have loaded`() {
        takeOverFromFormerOwner()
        val order = requestLoad(10).filterIsInstance<EngineOwnerDecision.SendLoad>().single()
        handle(EngineOwnerEvent.OrderAnswered(order.orderId, OrderOutcome.REFUSED), 20)
        assertEquals(ReservationPhase.UNKNOWN, machine.ledger.reservations[copy]?.phase)
        assertTrue(copy in log.copies)
    }

    @Test
    fun `a state of the log that is older than the latest one is ignored`() {
        becomeOwner()
        val order = sendLoad(10)
        handle(EngineOwnerEvent.OrderAnswered(order.orderId, OrderOutcome.REFUSED), 100)
        handle(EngineOwnerEvent.LogRead(log, 200, isAtHead = true), 200)
        val withClaim = log.copy(nextOffset = log.nextOffset - 1, copies = log.copies.putting(copy, readyCopy()))
        handle(EngineOwnerEvent.LoadRequested(copy, 60, 9_000), 300)
        val decisions = handle(EngineOwnerEvent.LogRead(withClaim, 200, isAtHead = true), 310)
        assertTrue(decisions.none { it is EngineOwnerDecision.SendLoad })
    }

    private fun readyCopy() = Copy(copy, isReady = true, version = 0, memoryMebibytes = 60)
}
