package org.banyanturn.core.delivery

import org.banyanturn.core.Incarnation
import org.banyanturn.core.TargetId
import org.banyanturn.core.VmId
import org.junit.jupiter.api.Assertions.assertEquals
import org.junit.jupiter.api.Assertions.assertTrue
import org.junit.jupiter.api.Test

class CrashLedgerTest {
    private val poisonRequest = RequestFingerprint("p")
    private val otherRequests = listOf("a", "b", "q", "z").map(::RequestFingerprint)
    private val firstTarget = TargetId("t1")
    private val secondTarget = TargetId("t2")

    private fun crash(target: TargetId, atMillis: Long, vm: String, suspects: List<RequestFingerprint>) =
        CrashRecord.TargetCrashed(
            target,
            Incarnation(VmId(vm), 1),
            atMillis,
            suspects.map { CrashSuspect(it, hasAnswered = false) },
        )

    private fun CrashLedger.plus(record: CrashRecord): CrashLedger = foldRecord(nextOffset, record.encodeToPayload())

    private val firstCrash = CrashLedger()
        .plus(crash(firstTarget, 0, "vm-1", listOf(poisonRequest, otherRequests[0], otherRequests[1])))
        .plus(crash(firstTarget, 50, "vm-2", listOf(otherRequests[2], otherRequests[3])))

    @Test
    fun `two crashed targets block a request, counted over VMs and retries`() {
        val ledger = firstCrash.plus(crash(secondTarget, 500, "vm-3", listOf(poisonRequest)))
        assertEquals(FingerprintStatus.Blocked(900_500), ledger.statusOf(poisonRequest, 600))
        otherRequests.forEach { assertTrue(ledger.statusOf(it, 600) is FingerprintStatus.Suspect) }
    }

    @Test
    fun `reports of several VMs on one crash count once`() {
        val ledger = firstCrash.plus(crash(firstTarget, 90, "vm-3", listOf(poisonRequest)))
        assertTrue(ledger.statusOf(poisonRequest, 100) is FingerprintStatus.Suspect)
    }

    @Test
    fun `an earlier suspect in the same crash neither protects the cause nor blocks a new request`() {
        val newRequest = RequestFingerprint("newcomer")
        val ledger = firstCrash
            .plus(crash(secondTarget, 5_000, "vm-1", listOf(newRequest, otherRequests[0])))
            .plus(crash(TargetId("t3"), 9_000, "vm-1", listOf(newRequest)))
        assertTrue(
            firstCrash.plus(crash(secondTarget, 5_000, "vm-1", listOf(newRequest, poisonRequest)))
                .mayRun(newRequest, 5_100),
        )
        assertTrue(ledger.statusOf(newRequest, 9_100) is FingerprintStatus.Blocked)
    }

    private fun CrashLedger.mayRun(fingerprint: RequestFingerprint, atMillis: Long): Boolean =
        statusOf(fingerprint, atMillis) !is FingerprintStatus.Blocked

    @Test
    fun `suspects of one crash are spread by rank and an answered one is cleared`() {
        val ranks = (otherRequests + poisonRequest)
            .map { (firstCrash.statusOf(it, 100) as FingerprintStatus.Suspect).rank }
        assertEquals(setOf(0, 1, 2, 3, 4), ranks.toSet())
        val cleared = firstCrash.plus(CrashRecord.SuspectCleared(otherRequests[0]))
        assertEquals(FingerprintStatus.Clear, cleared.statusOf(otherRequests[0], 100))
    }

    @Test
    fun `a crash is attributed only to the suspects that had not begun to answer`() {
        val record = crash(secondTarget, 500, "vm-1", listOf(poisonRequest, otherRequests[0]))
        val answered = record.suspects.map { it.copy(hasAnswered = it.fingerprint == otherRequests[0]) }
        val ledger = firstCrash.plus(record.copy(suspects = answered))
        assertTrue(ledger.statusOf(otherRequests[0], 600) is FingerprintStatus.Suspect)
        assertTrue(ledger.statusOf(poisonRequest, 600) is FingerprintStatus.Blocked)
    }

    @Test
    fun `a starting VM derives the same statuses from a peer's records`() {
        val ledger = firstCrash.plus(crash(secondTarget, 500, "vm-1", listOf(poisonRequest)))
        val copy = ledger.records(Incarnation(VmId("vm-1"), 1)).fold(CrashLedger(), CrashLedger::apply)
        (otherRequests + poisonRequest).forEach { assertEquals(ledger.statusOf(it, 600), copy.statusOf(it, 600)) }
    }

    @Test
    fun `a blocked fingerprint is released after a time or by an operator`() {
        val blocked = firstCrash.plus(crash(secondTarget, 500, "vm-1", listOf(poisonRequest)))
        assertEquals(FingerprintStatus.Clear, blocked.statusOf(poisonRequest, 900_500))
        val released = blocked.plus(CrashRecord.FingerprintReleased(poisonRequest, "operator"))
        assertEquals(FingerprintStatus.Clear, released.statusOf(poisonRequest, 600))
    }
}
