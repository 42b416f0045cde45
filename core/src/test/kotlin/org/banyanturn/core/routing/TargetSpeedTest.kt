package org.banyanturn.core.routing

import org.junit.jupiter.api.Assertions.assertEquals
import org.junit.jupiter.api.Assertions.assertFalse
import org.junit.jupiter.api.Assertions.assertTrue
import org.junit.jupiter.api.Test

class TargetSpeedTest {
    private fun reported(workPercent: Int, times: Int = 20, speed: TargetSpeed = targetSpeedOf()): TargetSpeed =
        (1..times).fold(speed) { current, number -> current.reported(workPercent, number * 300L) }

    @Test
    fun `a target that has never reported a speed counts as normal whatever its responses show`() {
        val speed = targetSpeedOf().responded(3.0, 100).responded(3.0, 200)
        assertFalse(speed.hasReported)
        assertEquals(1.0, speed.workFactorAt(300))
    }

    @Test
    fun `a short slowdown is forgotten within seconds and a permanent one is remembered for longer`() {
        val slowdown = reported(100).reported(250, 6_100)
        assertTrue(slowdown.workFactorAt(6_100) > 1.7)
        assertTrue(slowdown.workFactorAt(8_000) < 1.25)
        val permanent = reported(1_000)
        assertTrue(permanent.workFactorAt(12_000) > 5.0)
        assertTrue(permanent.workFactorAt(200_000) < 1.1)
    }

    @Test
    fun `responses correct a target that reports a false speed in either direction`() {
        val tooLow = (1..20).fold(reported(100)) { speed, number -> speed.responded(8.0, number * 300L) }
        assertTrue(tooLow.workFactorAt(6_000) > 5.0) { "${tooLow.workFactorAt(6_000)}" }
        val tooHigh = (1..20).fold(reported(400)) { speed, number -> speed.responded(1.0, number * 300L) }
        assertTrue(tooHigh.workFactorAt(6_000) < 1.5) { "${tooHigh.workFactorAt(6_000)}" }
    }

    @Test
    fun `reports that are out of order or invalid change nothing`() {
        val speed = reported(100)
        assertEquals(speed.workFactorAt(7_000), speed.reported(900, 10).reported(0, 6_500).workFactorAt(7_000))
    }

    @Test
    fun `a few very slow targets do not move the typical duration`() {
        val typical = TypicalDuration()
        repeat(300) { typical.record(if (it % 10 == 0) 300.0 else 30.0) }
        assertEquals(10.0, typical.record(300.0)!!, 1.0)
    }
}
