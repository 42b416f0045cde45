package org.banyanturn.core.routing

import org.banyanturn.core.TargetId
import org.junit.jupiter.api.Assertions.assertEquals
import org.junit.jupiter.api.Assertions.assertFalse
import org.junit.jupiter.api.Assertions.assertNotNull
import org.junit.jupiter.api.Assertions.assertNull
import org.junit.jupiter.api.Assertions.assertTrue
import org.junit.jupiter.api.Test
import org.junit.jupiter.params.ParameterizedTest
import org.junit.jupiter.params.provider.ValueSource

class ColdTargetPermitsTest {
    private val settings = ColdPermitSettings()
    private val rate = ColdPermitRate(requestsPerSecond = 20.0, maxInWindow = 35)
    private val target = TargetId("i-1")

    @Test
    fun `permits start one interval apart, also after a time without requests`() {
        val granter = ColdPermitGranter(settings)
        val intervalMillis = checkNotNull(rate.intervalMillisOrNull(settings)) { "permits may be granted" }
        repeat(3) { assertEquals(ColdPermitAnswer.Granted(it * intervalMillis), granter.request(rate, -9_000, 0)) }
        repeat(2) { assertEquals(ColdPermitAnswer.Granted(it * intervalMillis), granter.request(rate, -9_000, 60_000)) }
    }

    /** Guards against a rate that allows a burst where the bound has neither a factor nor a slack. */
    @Test
    fun `the interval keeps to the bound alone if that is below the sustained rate`() {
        listOf(1, 2, 5, 21).forEach { max ->
            val intervalMillis = ColdPermitRate(21.0, max).intervalMillisOrNull(settings) ?: 0
            val windowMillis = 1_000 + settings.useMillis + settings.deliveryMillis
            assertTrue(windowMillis / intervalMillis + 1 <= max, "$max starts, $intervalMillis ms apart")
        }
        assertNull(ColdPermitRate(21.0, 0).intervalMillisOrNull(settings))
        assertTrue(ColdPermitGranter().request(ColdPermitRate(0.5, 0), -9_000, 0) is ColdPermitAnswer.Refused)
    }

    @Test
    fun `a new owner grants nothing before the permits of the previous one have expired`() {
        val granter = ColdPermitGranter(settings)
        assertTrue(granter.request(rate, grantsFromMillis = 3_000, nowMillis = 0) is ColdPermitAnswer.Refused)
        val answer = granter.request(rate, grantsFromMillis = 3_000, nowMillis = 2_900) as ColdPermitAnswer.Granted
        assertTrue(2_900 + answer.startInMillis > 3_000)
    }

    /** Guards against a permit that is used after a pause of this VM, or after an answer that took too long. */
    @Test
    fun `a permit serves one request, within a time that counts from its request`() {
        val holder = ColdPermitHolder(settings)
        val number = checkNotNull(holder.askOrNull(target, 0)) { "a request is due" }
        assertNull(holder.askOrNull(target, 50), "an answer is expected")
        holder.onAnswer(target, number, ColdPermitAnswer.Granted(startInMillis = 100), 60)
        assertFalse(holder.holdsUsable(target, 159))
        assertTrue(holder.holdsUsable(target, 160))
        val permit = checkNotNull(holder.takeOrNull(target, 160)) { "the permit is usable" }
        assertNull(holder.takeOrNull(target, 161), "it serves one request")
        assertTrue(permit.isUsable(100 + settings.useMillis - 1))
        assertFalse(permit.isUsable(100 + settings.useMillis))
        holder.withdrawAll()
        assertFalse(permit.isUsable(170), "the clock may not have counted all time")
    }

    @Test
    fun `late, repeated and malformed answers give no permit`() {
        val holder = ColdPermitHolder(settings)
        val first = checkNotNull(holder.askOrNull(target, 0)) { "a request is due" }
        val second = checkNotNull(holder.askOrNull(target, settings.answerTimeoutMillis)) { "no answer came" }
        assertEquals(1, holder.unansweredCount)
        holder.onAnswer(target, first, ColdPermitAnswer.Granted(0), 310)
        assertNull(holder.takeOrNull(target, 310))
        holder.onAnswer(target, second, ColdPermitAnswer.Granted(-7), 310)
        holder.onAnswer(target, second, ColdPermitAnswer.Granted(0), 311)
        assertNull(holder.takeOrNull(target, 311))
        val third = checkNotNull(holder.askOrNull(target, 400)) { "a request is due" }
        holder.onAnswer(target, third, ColdPermitAnswer.Granted(0), 400 + settings.useMillis)
        assertNull(holder.takeOrNull(target, 400 + settings.useMillis), "the answer took too long")
        val fourth = checkNotNull(holder.askOrNull(target, 900)) { "a request is due" }
        holder.onAnswer(target, fourth, ColdPermitAnswer.Refused(200), 910)
        assertNull(holder.askOrNull(target, 1_109))
        assertNotNull(holder.askOrNull(target, 1_110))
    }

    /** Guards against permits that hundreds of VMs ask for in vain while the target could take more requests. */
    @ParameterizedTest
    @ValueSource(ints = [1, 8, 87, 490])
    fun `without faults the target gets about what it sustains`(vmCount: Int) {
        val fleet = ColdTargetFleet(vmCount, rate, settings, seed = 1, hasFaults = false)
        fleet.runUntil(20_000)
        val perSecond = fleet.arrivalsBetween(5_000, 20_000) / 15.0
        println(
            "$vmCount VMs: $perSecond requests a second, ${fleet.asksPerSecond} requests for permits a second, " +
                "at most ${fleet.maxInWindow()} in a second",
        )
        assertTrue(fleet.maxInWindow() <= rate.maxInWindow, "${fleet.maxInWindow()} in a window")
        assertTrue(perSecond in 0.7 * rate.requestsPerSecond..rate.requestsPerSecond, "$perSecond requests a second")
        assertTrue(fleet.asksPerSecond <= 0.7 * vmCount + 45, "${fleet.asksPerSecond} requests for permits")
    }

    /** Guards against two VMs that grant permits at once, and against permits that outlive a pause or their owner. */
    @ParameterizedTest
    @ValueSource(ints = [8, 87, 490])
    fun `the bound holds in every window while VMs come, go, freeze and don't hear each other`(vmCount: Int) {
        listOf(rate, ColdPermitRate(20.0, maxInWindow = 20)).forEach { checked ->
            repeat(if (vmCount > 100) 3 else 10) { seed ->
                val fleet = ColdTargetFleet(vmCount, checked, settings, seed, hasFaults = true)
                fleet.runUntil(40_000)
                println(
                    "$vmCount VMs, seed $seed: ${fleet.arrivalsBetween(0, 40_000)} requests in 40 s, at most " +
                        "${fleet.maxInWindow()} of ${checked.maxInWindow} in a second, ${fleet.ownerChanges} owners",
                )
                assertTrue(fleet.maxInWindow() <= checked.maxInWindow, "seed $seed: ${fleet.maxInWindow()} in a window")
                assertTrue(fleet.ownerChanges >= 2, "the target changes hands")
                assertTrue(fleet.arrivalsBetween(0, 40_000) > 30, "requests are sent at all")
            }
        }
    }
}
