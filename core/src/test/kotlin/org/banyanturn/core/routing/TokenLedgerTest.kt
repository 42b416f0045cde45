package org.banyanturn.core.routing

import org.junit.jupiter.api.Assertions.assertEquals
import org.junit.jupiter.api.Assertions.assertTrue
import org.junit.jupiter.api.Test

class TokenLedgerTest {
    private fun sizesOf(tokens: Long) = RequestSizes().also { sizes -> repeat(20) { sizes.record(tokens, 0) } }

    @Test
    fun `own requests count with their tokens and those of other VMs with the average`() {
        val ledger = tokenLedgerOf().sent("a", 3_000, 0).reported(requests = 4, atMillis = 1_000)
        assertEquals(3_000 + 3 * 700.0, ledger.heldTokensAt(1_000, sizesOf(700)), 0.1)
        assertEquals(3 * 700.0, ledger.ended("a").heldTokensAt(1_000, sizesOf(700)), 0.1)
    }

    @Test
    fun `a request that was sent just before a report is not assumed to be counted in it`() {
        val ledger = tokenLedgerOf().sent("a", 3_000, 900).reported(requests = 1, atMillis = 1_000)
        assertEquals(3_700.0, ledger.heldTokensAt(1_000, sizesOf(700)), 0.1)
    }

    @Test
    fun `what other VMs send after a report is added and the usual load replaces an old report`() {
        val sizes = sizesOf(700)
        val ledger = tokenLedgerOf().reported(requests = 0, atMillis = 1_000)
        assertEquals(0.0, ledger.heldTokensAt(1_000, sizes), 0.1)
        assertTrue(ledger.heldTokensAt(1_000, sizes, inflow = 0.01) > 4 * 700)
        repeat(40) { sizes.recordOthers(10, 5_000) }
        assertTrue(ledger.heldTokensAt(5_000, sizes) in 6_500.0..7_100.0)
    }

    @Test
    fun `a full fleet that gets no requests is not taken for full for ever`() {
        val sizes = sizesOf(700)
        repeat(40) { sizes.recordOthers(100, 1_000) }
        assertTrue(tokenLedgerOf().heldTokensAt(60_000, sizes) < 700)
    }
}
