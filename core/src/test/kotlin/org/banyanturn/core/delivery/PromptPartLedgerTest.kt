package org.banyanturn.core.delivery

import org.banyanturn.core.TargetId
import org.junit.jupiter.api.Assertions.assertEquals
import org.junit.jupiter.api.Assertions.assertFalse
import org.junit.jupiter.api.Assertions.assertNotNull
import org.junit.jupiter.api.Assertions.assertNull
import org.junit.jupiter.api.Assertions.assertTrue
import org.junit.jupiter.api.Test

/** Guards against requests that crash engine after engine because of one part that their prompts share. */
class PromptPartLedgerTest {
    private val poison = PromptPartId("poison")
    private val shared = PromptPartId("shared")
    private val rare = PromptPartId("rare")

    private fun engine(number: Int) = TargetLife(TargetId("e$number"), bornEpochMillis = 1)

    /** Returns the ledger after engines [numbers] crashed, a second apart, each under a request with [parts]. */
    private fun PromptPartLedger.afterCrashes(numbers: IntRange, parts: List<PromptPartId>): PromptPartLedger =
        numbers.fold(this) { ledger, number -> ledger.crashed(engine(number), parts, number * 1_000L) }

    private fun PromptPartLedger.isBlocked(parts: List<PromptPartId>): Boolean =
        blockedForMillisOrNull(parts, nowMillis = 10_000) != null

    @Test
    fun `requests with the common part of three crashes are blocked although no two are alike`() {
        val ledger = PromptPartLedger().completed(listOf(shared), nowMillis = 0)
        assertFalse(ledger.afterCrashes(1..2, listOf(shared, poison)).isBlocked(listOf(shared, poison)))
        assertTrue(ledger.afterCrashes(1..3, listOf(shared, poison)).isBlocked(listOf(shared, poison)))
    }

    @Test
    fun `sound requests that share all parts but the crashing one are not blocked`() {
        val ledger = PromptPartLedger().completed(
            listOf(shared, rare),
            nowMillis = 0,
        ).afterCrashes(1..5, listOf(shared, poison))
        assertFalse(ledger.isBlocked(listOf(shared)))
        assertFalse(ledger.isBlocked(listOf(shared, rare)))
    }

    @Test
    fun `a part that is in complete answers is not blamed beside one that never was`() {
        val ledger = PromptPartLedger().completed(
            listOf(shared),
            nowMillis = 0,
        ).afterCrashes(1..30, listOf(shared, poison))
        assertFalse(ledger.isBlocked(listOf(shared)))
    }

    @Test
    fun `a complete answer lifts a block that other requests on the crashed engines caused`() {
        val ledger = PromptPartLedger().afterCrashes(1..3, listOf(rare))
        assertTrue(ledger.isBlocked(listOf(rare)))
        assertFalse(ledger.completed(listOf(rare), nowMillis = 9_000).isBlocked(listOf(rare)))
    }

    @Test
    fun `a part that was sound before is blocked after five crashes without a complete answer`() {
        val ledger = PromptPartLedger().completed(listOf(shared), nowMillis = 0)
        assertFalse(ledger.afterCrashes(1..4, listOf(shared)).isBlocked(listOf(shared)))
        assertTrue(ledger.afterCrashes(1..5, listOf(shared)).isBlocked(listOf(shared)))
        val recovered = ledger.afterCrashes(1..4, listOf(shared)).completed(listOf(shared), nowMillis = 4_500)
        assertFalse(recovered.crashed(engine(5), listOf(shared), 5_000).isBlocked(listOf(shared)))
    }

    @Test
    fun `connections that break at the same moment count as one crash`() {
        val ledger = (1..8).fold(PromptPartLedger()) { ledger, number ->
            ledger.crashed(engine(number), listOf(rare), nowMillis = 1_000L + number)
        }
        assertFalse(ledger.isBlocked(listOf(rare)))
    }

    @Test
    fun `one life of an engine counts once, however often its connections break`() {
        val ledger = (1..9).fold(PromptPartLedger()) { ledger, number ->
            ledger.crashed(engine(1), listOf(rare), nowMillis = number * 1_000L)
        }
        assertFalse(ledger.isBlocked(listOf(rare)))
    }

    @Test
    fun `a verdict of another VM blocks a part unless a complete answer is known`() {
        assertTrue(PromptPartLedger().blocked(poison, nowMillis = 9_000).isBlocked(listOf(poison)))
        val ledger = PromptPartLedger().completed(listOf(rare), nowMillis = 0).blocked(rare, nowMillis = 9_000)
        assertFalse(ledger.isBlocked(listOf(rare)))
    }

    @Test
    fun `a block ends after its time`() {
        val settings = PromptPartSettings(blockMillis = 60_000)
        val ledger = PromptPartLedger(settings).afterCrashes(1..3, listOf(poison))
        assertEquals(53_000L, ledger.blockedForMillisOrNull(listOf(poison), nowMillis = 10_000))
        assertNull(ledger.blockedForMillisOrNull(listOf(poison), nowMillis = 63_000))
    }

    @Test
    fun `the number of remembered parts is bounded`() {
        val settings = PromptPartSettings(maxParts = 3)
        val ledger = (1..9).fold(PromptPartLedger(settings)) { ledger, number ->
            ledger.completed(listOf(PromptPartId("p$number")), nowMillis = number.toLong())
                .crashed(engine(number), listOf(PromptPartId("q$number")), number * 1_000L)
        }
        assertEquals(3, ledger.completedParts.size)
        assertEquals(3, ledger.suspicions.size)
        assertNotNull(ledger.suspicions[PromptPartId("q9")])
    }
}
