package org.banyanturn.core.membership

import org.banyanturn.core.VmId
import org.junit.jupiter.api.Assertions.assertEquals
import org.junit.jupiter.api.Assertions.assertNull
import org.junit.jupiter.api.Assertions.assertTrue
import org.junit.jupiter.api.Test

class RendezvousTest {
    private val candidates = List(31) { VmId("vm-10-0-0-$it") }
    private val keys = List(3_000) { "engine/e$it" }

    @Test
    fun `the keys of a failed VM, and only those, move evenly to the others`() {
        val before = keys.associateWith { rendezvousOwnerOrNull(it, candidates) }
        for (failed in candidates.take(5)) {
            val after = keys.associateWith { rendezvousOwnerOrNull(it, candidates - failed) }
            val moved = keys.filter { before[it] != after[it] }
            assertEquals(keys.filter { before[it] == failed }, moved)
            assertTrue(moved.map { after[it] }.distinct().size > candidates.size / 2)
        }
        val shares = candidates.map { vm -> before.values.count { it == vm } }
        val mean = keys.size.toDouble() / candidates.size
        assertTrue(shares.max() < 1.5 * mean && shares.min() > 0.6 * mean, "$shares")
    }

    @Test
    fun `the order gives the next owner when earlier ones are removed, for any order of candidates`() {
        for (key in keys.take(50)) {
            val order = rendezvousOrder(key, candidates.reversed())
            for (gone in 0..3) {
                assertEquals(
                    order[gone],
                    rendezvousOwnerOrNull(
                        key,
                        candidates - order.take(gone).toSet(),
                    ),
                )
            }
            assertEquals(2, rendezvousRankOrNull(key, candidates, order[2]))
        }
        assertNull(rendezvousOwnerOrNull("k", emptyList()))
        assertNull(rendezvousRankOrNull("k", candidates, VmId("unknown")))
    }
}
