package org.banyanturn.core.placement

import org.junit.jupiter.api.Assertions.assertTrue
import org.junit.jupiter.api.Test

private const val VMS = 95
private const val RUN_MILLIS = 10_000L

class PlanningThrottleTest {
    /** Every VM asks every 40 ms; returns the part of the time that goes into looks of [lookMillis] each. */
    private fun lookingFraction(lookMillis: Long, pacer: PlanningThrottle): Double {
        var nowMillis = 0L
        var spentMillis = 0L
        while (nowMillis < RUN_MILLIS) {
            val asked = (0 until VMS).count { (nowMillis + it) % 40 == 0L }
            if (asked > 0 && pacer.mayPlan(nowMillis)) {
                pacer.onPlanned(nowMillis, nowMillis + lookMillis)
                spentMillis += lookMillis
                nowMillis += lookMillis
            }
            nowMillis++
        }
        return spentMillis.toDouble() / nowMillis
    }

    @Test
    fun `a planner on a weak VM keeps four fifths of its time for answers while all VMs ask`() {
        val fraction = lookingFraction(lookMillis = 100, PlanningThrottle())
        assertTrue(fraction <= 0.21, "$fraction of the time goes into looks")
        val unpaced = lookingFraction(lookMillis = 100, PlanningThrottle(minPauseMillis = 0, pauseFactor = 0))
        assertTrue(unpaced > 0.9, "without the mechanism: $unpaced")
    }

    @Test
    fun `a planner whose looks are short looks nearly at once`() {
        val pacer = PlanningThrottle()
        pacer.onPlanned(100, 101)
        assertTrue(!pacer.mayPlan(110))
        assertTrue(pacer.mayPlan(111))
    }
}
