package org.banyanturn.core.limits

import io.kotest.common.ExperimentalKotest
import io.kotest.property.Arb
import io.kotest.property.PropTestConfig
import io.kotest.property.arbitrary.long
import io.kotest.property.checkAll
import kotlinx.coroutines.test.runTest
import org.banyanturn.core.state.SetRate
import org.junit.jupiter.api.Assertions.assertEquals
import org.junit.jupiter.api.Assertions.assertTrue
import org.junit.jupiter.api.Test
import kotlin.random.Random

private const val TOLERANCE = 1e-6

@OptIn(ExperimentalKotest::class)
class RateBoundTest {
    private val seed = 20_260_404L
    private val rates = listOf(1.0, 8.0, 40.0, 200.0)
    private val requestChances = listOf(0.3, 0.0, 0.01)
    private val bursts = listOf(2.0, 10.0, 60.0)

    @Test
    fun `all VMs together never admit more than one bucket through any mix of faults`() =
        runTest {
            println("seed $seed")
            checkAll(PropTestConfig(seed = seed, iterations = 50), Arb.long(0, Long.MAX_VALUE)) { scheduleSeed ->
                val excess = FaultSchedule(Random(scheduleSeed), mayChangePolicy = false).run()
                assertTrue(excess <= TOLERANCE) { "schedule $scheduleSeed admitted $excess above the bound" }
            }
        }

    @Test
    fun `a change of the rate never adds the shares of the old rate to those of the new`() =
        runTest {
            println("seed $seed")
            checkAll(PropTestConfig(seed = seed, iterations = 50), Arb.long(0, Long.MAX_VALUE)) { scheduleSeed ->
                val excess = FaultSchedule(Random(scheduleSeed), mayChangePolicy = true).run()
                assertTrue(excess <= TOLERANCE) { "schedule $scheduleSeed admitted $excess above the bound" }
            }
        }

    /** One random run of 20 s with faults, overload and idle times at changing VMs; checks the bound throughout. */
    private inner class FaultSchedule(private val random: Random, private val mayChangePolicy: Boolean) {
        private val settings = ShareSettings()
        private val faults = NetworkFaults(random.nextDouble(0.3), random.nextDouble(0.5), random.nextInt(1, 400))
        private val fleet = ShareFleet(vmCount = 4, random, faults)
        private var rate = rates.random(random)
        private var burst = bursts.random(random)
        private val faultIntervalMillis = random.nextInt(400, 4_000)

        /** Starts empty, as the home does, so that no unused burst can mask an excess. */
        private val bound = SingleBucket(rate, burst, fleet.nowMillis, tokens = 0.0)
        private var boundTightensAtMillis = 0L
        private var busiestVm = 0
        private var requestChance = requestChances.first()
        private var maxExcess = Double.NEGATIVE_INFINITY

        fun run(): Double {
            fleet.create(rate, burst)
            repeat(20_000) {
                fleet.step()
                if (random.nextInt(faultIntervalMillis) == 0) injectFault()
                if (mayChangePolicy && random.nextInt(3_000) == 0) changePolicy()
                if (fleet.nowMillis == boundTightensAtMillis) tightenBound()
                if (random.nextInt(100) == 0) busiestVm = random.nextInt(fleet.vms.size)
                if (random.nextInt(2_000) == 0) requestChance = requestChances.random(random)
                if (random.nextDouble() < requestChance) request()
            }
            return maxExcess
        }

        private fun request() {
            val isSpread = random.nextInt(4) == 0
            val index = if (isSpread) random.nextInt(fleet.vms.size) else busiestVm.coerceAtMost(fleet.vms.lastIndex)
            val vm = fleet.vms[index]
            if (fleet.nowMillis < vm.pausedUntilMillis) return
            val cost = random.nextDouble(0.1, 2.0)
            if (vm.limiter.tryAcquire(fleet.memberId, cost, fleet.nowMillis) != RateDecision.Admitted) return
            maxExcess = maxOf(maxExcess, bound.excessAfter(cost, fleet.nowMillis))
        }

        private fun injectFault() {
            val vm = fleet.vms.random(random)
            when (random.nextInt(4)) {
                0 -> vm.pausedUntilMillis = fleet.nowMillis + random.nextLong(5_000)
                1 -> vm.isCutOff = !vm.isCutOff
                2 -> fleet.restart(vm)
                3 -> if (fleet.vms.size > 2) fleet.leave(vm)
            }
        }

        /** Changes the policy; the larger rate is the bound until all leases under the old rate have expired. */
        private fun changePolicy() {
            if (boundTightensAtMillis > fleet.nowMillis || fleet.vms.any { it.isCutOff || isPaused(it) }) return
            rate = rates.random(random)
            burst = bursts.random(random)
            fleet.append(SetRate(fleet.memberId, rate, burst))
            bound.advance(fleet.nowMillis)
            bound.ratePerSecond = maxOf(rate, bound.ratePerSecond)
            bound.burst = maxOf(burst, bound.burst)
            boundTightensAtMillis = fleet.nowMillis + 5_000 + settings.leaseMillis + settings.leaseMarginMillis
        }

        private fun tightenBound() {
            bound.advance(fleet.nowMillis)
            bound.ratePerSecond = rate
            bound.burst = burst
            bound.advance(fleet.nowMillis)
        }

        private fun isPaused(vm: ShareFleet.LimiterVm): Boolean = fleet.nowMillis < vm.pausedUntilMillis
    }

    @Test
    fun `a VM that was paused past its lease admits nothing before a new grant arrives`() {
        val fleet = ShareFleet(vmCount = 2, Random(1), NetworkFaults())
        fleet.create(ratePerSecond = 100.0, burst = 100.0)
        repeat(3_000) {
            fleet.step()
            fleet.vms.forEach { vm -> vm.limiter.tryAcquire(fleet.memberId, 0.02, fleet.nowMillis) }
        }
        fleet.vms.forEach { vm ->
            assertEquals(RateDecision.Admitted, vm.limiter.tryAcquire(fleet.memberId, 0.1, fleet.nowMillis))
            val resumedAtMillis = fleet.nowMillis + ShareSettings().leaseMillis
            val decision = vm.limiter.tryAcquire(fleet.memberId, 0.1, resumedAtMillis)
            val isHome = fleet.state.rateHomes.values.any { it.incarnation == vm.incarnation }
            if (!isHome) assertTrue(decision !is RateDecision.Admitted) { "$decision" }
        }
    }

    @Test
    fun `a member whose requests all move to one VM gets its whole rate there within two seconds`() {
        val fleet = ShareFleet(vmCount = 8, Random(2), NetworkFaults(maxDelayMillis = 10))
        fleet.create(ratePerSecond = 50.0, burst = 25.0)
        repeat(5_000) {
            fleet.step()
            if (it % 10 == 0) fleet.vms[0].limiter.tryAcquire(fleet.memberId, 1.0, fleet.nowMillis)
        }
        repeat(2_000) {
            fleet.step()
            if (it % 10 == 0) fleet.vms[1].limiter.tryAcquire(fleet.memberId, 1.0, fleet.nowMillis)
        }
        var admitted = 0
        repeat(10_000) {
            fleet.step()
            if (it % 10 != 0) return@repeat
            val decision = fleet.vms[1].limiter.tryAcquire(fleet.memberId, 1.0, fleet.nowMillis)
            if (decision == RateDecision.Admitted) admitted++
        }
        assertTrue(admitted >= 475) { "admitted $admitted of 500 in 10 s" }
    }
}
