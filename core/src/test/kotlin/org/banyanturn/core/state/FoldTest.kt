package org.banyanturn.core.state

import org.banyanturn.core.AdapterId
import org.banyanturn.core.Incarnation
import org.banyanturn.core.KeyId
import org.banyanturn.core.MemberId
import org.banyanturn.core.ModelId
import org.banyanturn.core.TargetId
import org.banyanturn.core.VmId
import org.banyanturn.core.ZoneId
import org.junit.jupiter.api.Assertions.assertEquals
import org.junit.jupiter.api.Assertions.assertNull
import org.junit.jupiter.api.Test

class FoldTest {
    private val member = CreateMember(MemberId("growers"), ratePerSecond = 5.0, burst = 10.0)

    @Test
    fun `a record that was appended twice takes effect once`() {
        val payload = LogEntry("r1", "operator", member).encodeToPayload()
        val state = FleetState().foldRecord(0, payload).foldRecord(1, payload)
        assertEquals(Verdict.Accepted(0), state.verdicts["r1"])
        assertEquals(2, state.nextOffset)
    }

    @Test
    fun `a broken record is skipped and counted`() {
        val state = FleetState().foldRecord(0, "{not json").foldRecord(1, """{"change":{"type":"new-kind"}}""")
        assertEquals(2, state.skippedRecords)
        assertEquals(2, state.nextOffset)
    }

    @Test
    fun `a withdrawn key is not live`() {
        val state = FleetState()
            .foldRecord(0, LogEntry("r1", "operator", member).encodeToPayload())
            .foldRecord(1, LogEntry("r2", "operator", GrantKey(KeyId("k1"), member.memberId, "hash")).encodeToPayload())
        assertEquals(KeyId("k1"), state.liveKeyOrNull("hash")?.keyId)
        val after = state.foldRecord(2, LogEntry("r3", "operator", WithdrawKey(KeyId("k1"))).encodeToPayload())
        assertNull(after.liveKeyOrNull("hash"))
    }

    @Test
    fun `the second of two changes that expect the same version is rejected`() {
        val state = FleetState()
            .foldRecord(0, LogEntry("r1", "operator", member).encodeToPayload())
            .foldRecord(
                1,
                LogEntry("r2", "a", SetRate(member.memberId, 1.0, 1.0), expectedVersion = 0).encodeToPayload(),
            )
            .foldRecord(
                2,
                LogEntry("r3", "b", SetRate(member.memberId, 2.0, 2.0), expectedVersion = 0).encodeToPayload(),
            )
        assertEquals(Verdict.Accepted(1), state.verdicts["r2"])
        assertEquals(Verdict.Rejected(2, RejectionReason.VERSION_CONFLICT), state.verdicts["r3"])
        assertEquals(1.0, state.members[member.memberId]?.ratePerSecond)
    }

    @Test
    fun `redeclaring a model keeps the reserved memory and the count of its claimed copies`() {
        val engine = TargetId("engine1")
        val vm = Incarnation(VmId("vm1"), 1)
        val model = DeclareModel(ModelId("model1"), "v1", memoryMebibytes = 30, copies = 2)
        val adapter = DeclareAdapter(AdapterId("adapter1"), model.modelId, "v1", memoryMebibytes = 10)
        val claim = ClaimCopy(engine, model.modelId, null, "v1", vm)
        val state = FleetState()
            .with(DeclareTarget(engine, TargetKind.ENGINE, "a", ZoneId("zone1"), memoryMebibytes = 100))
            .with(JoinVm(vm, ZoneId("zone1"), "a", "b"))
            .with(OwnEngine(engine, vm), NO_VERSION)
            .with(model).with(adapter).with(claim)
            .with(claim.copy(adapterId = adapter.adapterId))
            .with(model.copy(version = "v2", memoryMebibytes = 50, copies = 1))
        assertEquals(40, state.reservedMebibytesOn(engine))
        val rejected = state.with(claim.copy(version = "v2"))
        assertEquals(RejectionReason.NO_COPY_LEFT, (rejected.lastVerdict() as Verdict.Rejected).reason)
        val released = rejected.with(ReleaseCopy(engine, model.modelId, null, "v1", vm))
        assertEquals(10, released.reservedMebibytesOn(engine))
        assertEquals(60, released.with(claim.copy(version = "v2")).reservedMebibytesOn(engine))
    }

    private fun FleetState.with(change: Change, expectedVersion: Long? = null): FleetState =
        foldRecord(nextOffset, LogEntry("r$nextOffset", "vm", change, expectedVersion).encodeToPayload())

    private fun FleetState.lastVerdict(): Verdict = verdicts.getValue("r${nextOffset - 1}")
}
