package org.banyanturn.entry

import org.junit.jupiter.api.Assertions.assertEquals
import org.junit.jupiter.api.Test

class SuspensionMonitorTest {
    private var steady = 1_000L
    private var epoch = 1_700_000_000_000L
    private val monitor = SuspensionMonitor({ steady }, { epoch })

    private fun pass(steadyMillis: Long, epochMillis: Long) {
        steady += steadyMillis
        epoch += epochMillis
    }

    @Test
    fun `time that only the time of day counted is a suspension, and is told once`() {
        pass(20, 20)
        assertEquals(0, monitor.takeGapMillis())
        pass(20, 3_020)
        assertEquals(3_000, monitor.takeGapMillis())
        assertEquals(0, monitor.takeGapMillis())
    }

    @Test
    fun `a step back of the time of day counts as well, a small drift does not`() {
        pass(20, -1_980)
        assertEquals(-2_000, monitor.takeGapMillis())
        pass(1_000, 1_100)
        assertEquals(0, monitor.takeGapMillis())
    }
}
