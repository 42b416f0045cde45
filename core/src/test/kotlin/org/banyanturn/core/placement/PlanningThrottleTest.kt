package org.banyanturn.core.placement

import org.junit.jupiter.api.Assertions.assertTrue
import org.junit.jupiter.api.Test

private const val VMS = 95
private const val RUN_MILLIS = 10_000L

class PlanningThrottleTest {
    /**
     * Returns the fraction of the time spent in planning runs of [planMillis] if every VM sends a request each 40 ms.
     */
    private fun planningFraction(planMillis: Long, throttle: PlanningThrottle): Double {
        var nowMillis = 0L
        var planningMillis = 0L
        while (nowMillis < RUN_MILLIS) {
            val requests = (0 until VMS).count { (nowMillis + it) % 40 == 0L }
            if (requests > 0 && throttle.mayPlan(nowMillis)) {
                throttle.onPlanned(nowMillis, nowMillis + planMillis)
                planningMillis += planMillis
                nowMillis += planMillis
            }
            nowMillis++
        }
        return planningMillis.toDouble() / nowMillis
    }

    @Test
    fun `a planner with long planning runs keeps four fifths of its time free`() {
        val fraction = planningFraction(planMillis = 100, PlanningThrottle())
        assertTrue(fraction <= 0.21, "$fraction of the time is spent in planning runs")
        val unthrottledFraction =
            planningFraction(planMillis = 100, PlanningThrottle(minPauseMillis = 0, pauseFactor = 0))
        assertTrue(unthrottledFraction > 0.9, "without throttling: $unthrottledFraction")
    }

    @Test
    fun `a planner with short planning runs may plan again almost immediately`() {
        val throttle = PlanningThrottle()
        throttle.onPlanned(100, 101)
        assertTrue(!throttle.mayPlan(110))
        assertTrue(throttle.mayPlan(111))
    }
}
