package org.banyanturn.core.routing

import org.banyanturn.core.TargetId
import org.junit.jupiter.api.Assertions.assertEquals
import org.junit.jupiter.api.Assertions.assertTrue
import org.junit.jupiter.api.Test

class UnevenEnginesTest {
    /** The mean time to completion over fixed seeds, in milliseconds. */
    private fun meanMillis(policy: Policy, fault: ReportFault, utilization: Double): Double =
        SEEDS.map { UnevenFleet(UnevenFleetSettings(policy, fault, it, utilization = utilization)).run() }
            .flatMap { it.completionMillis }.average()

    /** Guards against herding on the engine that old reports show as the fastest, and against false reports. */
    @Test
    fun `the choice by expected time is not worse than power of two choices under any fault of the reports`() {
        val faults = ReportFault.entries - ReportFault.WITHOUT_SPEED
        faults.flatMap { fault -> listOf(0.3, 0.6).map { fault to it } }.forEach { (fault, utilization) ->
            val millis = meanMillis(Policy.EXPECTED_TIME, fault, utilization)
            val powerOfTwoMillis = meanMillis(Policy.POWER_OF_TWO, fault, utilization)
            println("uneven engines, $fault at $utilization: $millis ms, power of two choices $powerOfTwoMillis ms")
            assertTrue(millis <= powerOfTwoMillis * SAMPLING_TOLERANCE) { "$fault $millis $powerOfTwoMillis" }
        }
    }

    /** Guards against engines that crash under requests of many VMs that see the same old reports. */
    @Test
    fun `no engine holds more than its memory`() {
        ReportFault.entries.forEach { fault ->
            val settings = UnevenFleetSettings(Policy.EXPECTED_TIME, fault, memoryTokens = 61_361)
            val fleet = UnevenFleet(settings).run()
            assertTrue(fleet.maxHeldTokens <= 61_361) { "$fault: ${fleet.maxHeldTokens}" }
        }
    }

    /** Guards against a different choice at deployments whose targets report no speed. */
    @Test
    fun `without reported speeds the sizes of prompt and output change nothing`() {
        val chooser = copyChooserOf()
        val targets = List(4) { ReadyTarget(TargetId("t$it"), zoneDelayMillis = it * 3.0, freeBatchSlots = 8 - it) }
        val described = targets.map { it.copy(runningRequests = 9, promptMillis = 80.0, holdMillis = 900.0) }
        repeat(100) { draw ->
            val chosen = chooser.chooseOrNull(described, draw / 100.0)?.targetId
            assertEquals(chooser.chooseOrNull(targets, draw / 100.0)?.targetId, chosen)
        }
    }

    private companion object {
        val SEEDS = listOf(3, 4, 5)

        /** Means of three seeds differ by about 1 % between sets of seeds. */
        const val SAMPLING_TOLERANCE = 1.01
    }
}
