package org.banyanturn.core.routing

import org.banyanturn.core.TargetId
import org.junit.jupiter.api.Assertions.assertEquals
import org.junit.jupiter.api.Assertions.assertNull
import org.junit.jupiter.api.Assertions.assertTrue
import org.junit.jupiter.api.Test

class CopyChooserTest {
    private val chooser = copyChooserOf()

    private fun target(id: String, zoneDelayMillis: Double = 0.0, freeBatchSlots: Int = 8, cachedMillis: Double = 0.0) =
        ReadyTarget(TargetId(id), zoneDelayMillis, freeBatchSlots, cachedMillis)

    private fun choose(vararg targets: ReadyTarget, draw: Double = 0.5): String? =
        chooser.chooseOrNull(targets.toList(), draw)?.targetId?.value

    @Test
    fun `a target in the own zone is chosen until its batch is full`() {
        assertEquals("near", choose(target("near"), target("far", zoneDelayMillis = 9.0)))
        assertEquals("far", choose(target("near", freeBatchSlots = -2), target("far", zoneDelayMillis = 9.0)))
    }

    @Test
    fun `a cached prefix outweighs the zone delay but not a queue`() {
        val cached = target("cached", zoneDelayMillis = 9.0, cachedMillis = 300.0)
        assertEquals("cached", choose(target("near"), cached))
        assertEquals("near", choose(target("near"), cached.copy(freeBatchSlots = -4)))
    }

    @Test
    fun `routers with the same outdated reports spread their requests over equal targets`() {
        val targets = List(4) { target("t$it") }
        val chosen = List(100) { chooser.chooseOrNull(targets, it / 100.0) }.groupingBy { it }.eachCount()
        assertTrue(chosen.values.all { it in 20..30 }) { "$chosen" }
    }

    @Test
    fun `a half-open target gets only probes and an open target gets no requests`() {
        val open = target("open").copy(state = CircuitState.OPEN)
        val probing = target("probing").copy(state = CircuitState.HALF_OPEN)
        assertNull(choose(open))
        assertEquals("closed", choose(target("closed", freeBatchSlots = -9), probing))
        assertEquals("probing", choose(target("closed"), probing, draw = 0.01))
        assertEquals("probing", choose(open, probing))
    }

    @Test
    fun `requests sent after a report are added and ended requests of the report are deducted once`() {
        val load = targetLoadOf(batchSlots = 8)
            .sent("old", 900)
            .reported(running = 5, waiting = 0, batchSlots = 8, asOfMillis = 1_000)
            .sent("new", 1_100)
        assertEquals(6, load.requestsAt(1_200))
        assertEquals(5, load.ended("old", 1_200).requestsAt(1_300))
        assertEquals(4, load.ended("old", 1_200).ended("new", 1_250).requestsAt(1_300))
        assertEquals(2, load.requestsAt(60_000))
    }
}
