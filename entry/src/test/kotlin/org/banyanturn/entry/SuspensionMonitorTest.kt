package org.banyanturn.entry

import org.junit.jupiter.api.Assertions.assertEquals
import org.junit.jupiter.api.Test

class SuspensionMonitorTest {
    private var steadyNow = 1_000L
    private var epochNow = 1_700_000_000_000L
    private val monitor = SuspensionMonitor({ steadyNow }, { epochNow })

    private fun advance(steadyMillis: Long, epochMillis: Long) {
        steadyNow += steadyMillis
        epochNow += epochMillis
    }

    @Test
    fun `a gap that only the time of day counted is reported once as a suspension`() {
        advance(20, 20)
        assertEquals(0, monitor.takeGapMillis())
        advance(20, 3_020)
        assertEquals(3_000, monitor.takeGapMillis())
        assertEquals(0, monitor.takeGapMillis())
    }

    @Test
    fun `a backward step of the time of day is reported as well, a small drift is not`() {
        advance(20, -1_980)
        assertEquals(-2_000, monitor.takeGapMillis())
        advance(1_000, 1_100)
        assertEquals(0, monitor.takeGapMillis())
    }
}
