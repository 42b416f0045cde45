package org.banyanturn.core.delivery

import org.banyanturn.core.Incarnation
import org.banyanturn.core.TargetId
import org.banyanturn.core.VmId
import org.junit.jupiter.api.Assertions.assertEquals
import org.junit.jupiter.api.Assertions.assertTrue
import org.junit.jupiter.api.Test

class CrashLedgerTest {
    private val poison = RequestFingerprint("p")
    private val innocents = listOf("a", "b", "q", "z").map(::RequestFingerprint)
    private val first = TargetId("t1")
    private val second = TargetId("t2")

    private fun crash(target: TargetId, atMillis: Long, vm: String, suspects: List<RequestFingerprint>) =
        CrashRecord.TargetCrashed(
            target,
            Incarnation(VmId(vm), 1),
            atMillis,
            suspects.map { CrashSuspect(it, hasAnswered = false) },
        )

    private fun CrashLedger.plus(record: CrashRecord): CrashLedger = foldRecord(nextOffset, record.encodeToPayload())

    private val once = CrashLedger()
        .plus(crash(first, 0, "vm-1", listOf(poison, innocents[0], innocents[1])))
        .plus(crash(first, 50, "vm-2", listOf(innocents[2], innocents[3])))

    @Test
    fun `two crashed targets block a request, counted over VMs and retries`() {
        val ledger = once.plus(crash(second, 500, "vm-3", listOf(poison)))
        assertEquals(FingerprintStatus.Blocked(900_500), ledger.statusOf(poison, 600))
        innocents.forEach { assertTrue(ledger.statusOf(it, 600) is FingerprintStatus.Suspect) }
    }

    @Test
    fun `reports of several VMs on one crash count once`() {
        val ledger = once.plus(crash(first, 90, "vm-3", listOf(poison)))
        assertTrue(ledger.statusOf(poison, 100) is FingerprintStatus.Suspect)
    }

    @Test
    fun `an earlier suspect in the same crash neither protects the cause nor blocks a new request`() {
        val newcomer = RequestFingerprint("newcomer")
        val ledger = once
            .plus(crash(second, 5_000, "vm-1", listOf(newcomer, innocents[0])))
            .plus(crash(TargetId("t3"), 9_000, "vm-1", listOf(newcomer)))
        assertTrue(once.plus(crash(second, 5_000, "vm-1", listOf(newcomer, poison))).mayRun(newcomer, 5_100))
        assertTrue(ledger.statusOf(newcomer, 9_100) is FingerprintStatus.Blocked)
    }

    private fun CrashLedger.mayRun(fingerprint: RequestFingerprint, atMillis: Long): Boolean =
        statusOf(fingerprint, atMillis) !is FingerprintStatus.Blocked

    @Test
    fun `suspects of one crash are spread by rank and an answered one is cleared`() {
        val ranks = (innocents + poison).map { (once.statusOf(it, 100) as FingerprintStatus.Suspect).rank }
        assertEquals(setOf(0, 1, 2, 3, 4), ranks.toSet())
        val cleared = once.plus(CrashRecord.SuspectCleared(innocents[0]))
        assertEquals(FingerprintStatus.Clear, cleared.statusOf(innocents[0], 100))
    }

    @Test
    fun `a crash is attributed only to the suspects that had not begun to answer`() {
        val record = crash(second, 500, "vm-1", listOf(poison, innocents[0]))
        val answered = record.suspects.map { it.copy(hasAnswered = it.fingerprint == innocents[0]) }
        val ledger = once.plus(record.copy(suspects = answered))
        assertTrue(ledger.statusOf(innocents[0], 600) is FingerprintStatus.Suspect)
        assertTrue(ledger.statusOf(poison, 600) is FingerprintStatus.Blocked)
    }

    @Test
    fun `a starting VM derives the same statuses from a peer's records`() {
        val ledger = once.plus(crash(second, 500, "vm-1", listOf(poison)))
        val copy = ledger.records(Incarnation(VmId("vm-1"), 1)).fold(CrashLedger(), CrashLedger::apply)
        (innocents + poison).forEach { assertEquals(ledger.statusOf(it, 600), copy.statusOf(it, 600)) }
    }

    @Test
    fun `a blocked fingerprint is released after a time or by an operator`() {
        val blocked = once.plus(crash(second, 500, "vm-1", listOf(poison)))
        assertEquals(FingerprintStatus.Clear, blocked.statusOf(poison, 900_500))
        val released = blocked.plus(CrashRecord.FingerprintReleased(poison, "operator"))
        assertEquals(FingerprintStatus.Clear, released.statusOf(poison, 600))
    }
}
