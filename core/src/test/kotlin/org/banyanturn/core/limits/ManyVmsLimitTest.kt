package org.banyanturn.core.limits

import org.junit.jupiter.api.Assertions.assertAll
import org.junit.jupiter.api.Assertions.assertTrue
import org.junit.jupiter.api.Test
import org.junit.jupiter.api.function.Executable
import kotlin.random.Random

private const val END_MILLIS = 40_000L

/** Time after the last request in which all waiting ones are decided. */
private const val SETTLE_MILLIS = 4_000L

private class TestMember(
    val name: String,
    rate: Double,
    burst: Double,
    val perSecond: Double,
    val costs: ClosedFloatingPointRange<Double> = 300.0..1_500.0,
) {
    val limit = TestLimit(rate, burst)
}

private val MEMBERS = listOf(
    TestMember("large burst", 29_000.0, 232_230.0, perSecond = 22.0),
    TestMember("medium", 12_000.0, 36_000.0, perSecond = 10.0),
    TestMember("burst of one second", 36_000.0, 36_000.0, perSecond = 30.0),
    TestMember("small", 4_000.0, 12_000.0, perSecond = 3.0),
    TestMember("large requests", 20_000.0, 60_000.0, perSecond = 4.0, costs = 1_000.0..6_000.0),
)

private val VM_COUNTS = listOf(6, 74, 490)

/**
 * Limits over many VMs, compared with one bucket that sees all requests; the failures guarded against are refusals
 * inside a member's limit, and use beyond it.
 */
class ManyVmsLimitTest {
    private class Result(val fleet: ManyVmsFleet, val requests: Int, val ofOneBucket: Int) {
        val refused: List<TestRequest>
            get() = fleet.refused
    }

    private fun run(
        count: Int,
        member: TestMember,
        requests: (Random) -> List<TestRequest>,
        onMillis: ManyVmsFleet.(Long) -> Unit = {},
    ): Result {
        val random = Random(20_261_206)
        val arrived = requests(random)
        val fleet = ManyVmsFleet(count, member.limit, random)
        fleet.run(arrived, END_MILLIS + SETTLE_MILLIS) { nowMillis ->
            if (nowMillis == 0L) fleet.collectorVm = 0
            fleet.onMillis(nowMillis)
        }
        return Result(fleet, arrived.size, refusalsOfOneBucket(member.limit, arrived))
    }

    private fun steady(count: Int, member: TestMember): (Random) -> List<TestRequest> =
        { unevenRequests(it, (0 until count).shuffled(it), member.perSecond, 0L..END_MILLIS, member.costs) }

    private fun flood(count: Int, member: TestMember, periodMillis: LongRange = 5_000L..30_000L) = { random: Random ->
        unevenRequests(random, (0 until count).toList(), member.perSecond * 8, periodMillis, member.costs)
    }

    /** Checks that at most [maxExcess] of all requests are refused beyond what one bucket refuses, and one more. */
    private fun checkExcess(
        load: String,
        maxExcess: Double,
        requests: (Int, TestMember) -> (Random) -> List<TestRequest> = ::steady,
        cutVms: Set<Int> = emptySet(),
        onMillis: ManyVmsFleet.(Long) -> Unit = {},
    ): Unit = forAll(VM_COUNTS) { count, member ->
        val result = run(count, member, requests(count, member), onMillis)
        val text = "$load, $count VMs, ${member.name}: ${result.refused.size} of ${result.requests}, " +
            "one bucket ${result.ofOneBucket}, waited ${result.fleet.delayedCount}"
        println(text)
        assertTrue(result.refused.size <= result.ofOneBucket + 1 + maxExcess * result.requests, text)
        assertTrue(cutVms.isEmpty() || result.refused.count { it.vm !in cutVms } <= result.ofOneBucket + 1, text)
    }

    private fun forAll(counts: List<Int>, check: (Int, TestMember) -> Unit): Unit =
        assertAll(counts.flatMap { count -> MEMBERS.map { Executable { check(count, it) } } })

    private fun checkBound(
        load: String,
        requests: (Int, TestMember) -> (Random) -> List<TestRequest> = { count, member -> flood(count, member) },
        onMillis: ManyVmsFleet.(Long) -> Unit,
    ): Unit = forAll(listOf(6, 8, 74, 490)) { count, member ->
        val cost = run(count, member, requests(count, member), onMillis).fleet.maxCostInWindow()
        val text = "$load, $count VMs, ${member.name}: ${(100 * cost / member.limit.maxInWindow).toInt()} %"
        println(text)
        assertTrue(cost <= member.limit.maxInWindow, text)
    }

    @Test
    fun `sparse requests inside the limit are not refused`() = checkExcess("steady", maxExcess = 0.0)

    @Test
    fun `requests inside the limit are not refused while no collector is known after a start`() =
        checkExcess("start", maxExcess = 0.0) { nowMillis ->
            if (nowMillis == 0L) collectorVm = null
            if (nowMillis == 1_200L) collectorVm = 0
        }

    @Test
    fun `requests inside the limit are not refused while the collector changes in an orderly way`() =
        checkExcess("handover", maxExcess = 0.0) { nowMillis ->
            if (nowMillis == 17_000L) collectorVm = null
            if (nowMillis == 17_300L) collectorVm = 1
        }

    @Test
    fun `requests inside the limit are not refused while the collector answers after 300 ms`() =
        checkExcess("slow collector", maxExcess = 0.0) { nowMillis ->
            if (nowMillis == 15_000L) extraDelayMillis = 150
            if (nowMillis == 25_000L) extraDelayMillis = 0
        }

    @Test
    fun `requests inside the limit are not refused while VMs come and go`() =
        checkExcess("restarts", maxExcess = 0.0) { nowMillis ->
            if (nowMillis > 5_000 && nowMillis % 500 == 0L) restart(1 + (nowMillis / 500).toInt() % 5)
        }

    @Test
    fun `requests inside the limit are not refused at a few VMs, also in a burst at one of them`() {
        checkExcess(
            "few VMs",
            maxExcess = 0.0,
            requests = { _, member ->
                { random ->
                    unevenRequests(random, listOf(1, 2, 3), member.perSecond * 0.8, 0L..END_MILLIS, member.costs) +
                        unevenRequests(random, listOf(5), member.perSecond * 2, 20_000L..21_000L, member.costs)
                }
            },
        )
    }

    /** The level of the new collector is low at first, so that some requests that arrived in between are refused. */
    @Test
    fun `few requests inside the limit are refused while the collector is lost for 3 s`() =
        checkExcess("collector lost", maxExcess = 0.06) { nowMillis ->
            if (nowMillis == 17_000L) collectorVm = null
            if (nowMillis == 20_000L) collectorVm = 1
        }

    /** A quarter of the VMs is cut off for 8 of 40 s; each of them has only its fixed part, smaller than a request. */
    @Test
    fun `only requests at VMs that are cut off from the collector are refused inside the limit`() {
        val cut = (1 until 490 step 4).toSet()
        checkExcess("cut off", maxExcess = 0.09, cutVms = cut) { nowMillis ->
            if (nowMillis == 15_000L) cutVms = cut
            if (nowMillis == 23_000L) cutVms = emptySet()
        }
    }

    @Test
    fun `the limit holds in a flood, also while the collector is lost`() {
        checkBound("flood") {}
        checkBound("flood from the loss on", { count, member -> flood(count, member, 16_500L..30_000L) }) {
            if (it == 17_000L) collectorVm = null
            if (it == 20_000L) collectorVm = 1
        }
        checkBound("flood, handovers") { nowMillis ->
            if (nowMillis == 10_000L || nowMillis == 19_000L || nowMillis == 28_000L) collectorVm = 1
        }
    }

    @Test
    fun `the limit holds while the old collector's side of a partition is flooded, and then the other`() =
        checkBound("flooded sides", { count, member ->
            { random ->
                val cut = (0 until count).filter { it % 3 == 0 }
                unevenRequests(random, cut, member.perSecond * 8, 1_000L..17_500L, member.costs) +
                    unevenRequests(
                        random,
                        (0 until count).toList(),
                        member.perSecond * 8,
                        17_500L..30_000L,
                        member.costs,
                    )
            }
        }) { nowMillis ->
            if (nowMillis == 17_000L) cutVms = (0 until 490 step 3).toSet()
            if (nowMillis == 17_000L) collectorVm = null
            if (nowMillis == 19_500L) collectorVm = 1
            if (nowMillis == 27_000L) cutVms = emptySet()
        }

    @Test
    fun `the limit holds while grants don't reach a third of the VMs`() =
        checkBound("grants lost") { nowMillis ->
            if (nowMillis == 8_000L) mutedVms = (0 until 490 step 3).toSet()
            if (nowMillis == 20_000L) mutedVms = emptySet()
        }

    /** Parts that VMs hold from earlier requests must not be used beside the whole burst elsewhere. */
    @Test
    fun `the limit holds when requests move from VM to VM and then arrive at all of them`() =
        checkBound("moving requests", { _, member ->
            { random ->
                (0 until 6).flatMap { vm ->
                    val periodMillis = vm * 2_000L..(vm + 1) * 2_000L
                    unevenRequests(random, listOf(vm), member.perSecond, periodMillis, member.costs)
                } + unevenRequests(random, (0 until 6).toList(), member.perSecond * 30, 20_000L..28_000L, member.costs)
            }
        }) {}

    @Test
    fun `the limit holds when all VMs restart in a flood`() =
        checkBound("restart of all") { nowMillis ->
            if (nowMillis == 15_000L) restartAll()
            if (nowMillis == 16_500L) collectorVm = 1
        }

    @Test
    fun `a lowered limit holds 3 s later on all VMs`() {
        forAll(VM_COUNTS) { count, member ->
            val lowered = TestLimit(member.limit.rate / 4, member.limit.burst / 4)
            val result = run(count, member, flood(count, member, 12_000L..30_000L)) { nowMillis ->
                if (nowMillis == 15_000L) changeLimit(lowered)
            }
            val cost = result.fleet.maxCostInWindow(fromMillis = 18_000)
            assertTrue(cost <= lowered.maxInWindow, "$count VMs, ${member.name}: $cost of ${lowered.maxInWindow}")
        }
    }

    /** Sixteen members at 490 VMs must leave most of the 3 KB per second and VM to other messages. */
    @Test
    fun `the messages of a member stay few`() {
        for (member in MEMBERS) {
            val result = run(490, member, steady(490, member))
            val bytesPerSecond = result.fleet.bytes * 1_000 / (END_MILLIS + SETTLE_MILLIS) / 490
            println("messages, ${member.name}: $bytesPerSecond bytes per second and VM")
            assertTrue(bytesPerSecond <= 60, "${member.name}: $bytesPerSecond bytes per second and VM")
        }
    }
}
