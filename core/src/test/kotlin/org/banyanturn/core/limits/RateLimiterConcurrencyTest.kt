package org.banyanturn.core.limits

import org.banyanturn.core.Incarnation
import org.banyanturn.core.VmId
import org.junit.jupiter.api.Assertions.assertTrue
import org.junit.jupiter.api.Test
import java.util.concurrent.Callable
import java.util.concurrent.Executors
import kotlin.random.Random

private const val THREADS = 4
private const val ATTEMPTS_PER_THREAD = 50_000

class RateLimiterConcurrencyTest {
    @Test
    fun `concurrent threads admit the whole burst but for a last token lost to rounding, and no more`() {
        val fleet = ShareFleet(vmCount = 1, Random(1), NetworkFaults())
        fleet.create(ratePerSecond = 10_000.0, burst = 50_000.0)
        val limiter = RateLimiter(Incarnation(VmId("vm0"), 1)).apply { onPolicy(fleet.state, 0) }
        val pool = Executors.newFixedThreadPool(THREADS)
        val attempts = Callable {
            (1..ATTEMPTS_PER_THREAD).count { limiter.tryAcquire(fleet.memberId, 1.0, 10_000) == RateDecision.Admitted }
        }
        val admitted = pool.invokeAll(List(THREADS) { attempts }).sumOf { it.get() }
        pool.shutdown()
        assertTrue(admitted in 49_999..50_000) { "admitted $admitted of 50000" }
    }
}
