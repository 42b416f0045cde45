package org.banyanturn.core.admission

import io.kotest.common.ExperimentalKotest
import io.kotest.property.Arb
import io.kotest.property.PropTestConfig
import io.kotest.property.arbitrary.long
import io.kotest.property.checkAll
import kotlinx.coroutines.test.runTest
import org.banyanturn.core.MemberId
import org.junit.jupiter.api.Assertions.assertEquals
import org.junit.jupiter.api.Assertions.assertTrue
import org.junit.jupiter.api.Test
import kotlin.math.abs
import kotlin.random.Random

@OptIn(ExperimentalKotest::class)
class AdmissionTest {
    private val seed = 20_260_406L

    private fun busyCopy(random: Random): CopyLoad =
        CopyLoad(
            slots = 4,
            reportedRequests = 4,
            sentSinceReport = 0,
            costPerSecond = random.nextDouble(1.0, 20.0),
            readyAfterMillis = if (random.nextBoolean()) random.nextLong(5_000) else 0,
        )

    /** A reference implementation that simulates the work of the copies in steps of a millisecond. */
    private fun simulatedWaitMillis(copies: List<CopyLoad>, cost: Double): Long {
        var remaining = cost
        var millis = 0L
        while (remaining > 0) {
            remaining -= copies.filter { it.readyAfterMillis <= millis }.sumOf { it.costPerSecond } / 1_000
            millis++
        }
        return millis
    }

    @Test
    fun `the predicted wait equals that of a simulation in steps of a millisecond`() =
        runTest {
            println("seed $seed")
            checkAll(PropTestConfig(seed = seed, iterations = 200), Arb.long()) { scheduleSeed ->
                val random = Random(scheduleSeed)
                val copies = List(random.nextInt(1, 5)) { busyCopy(random) }
                val cost = random.nextDouble(0.5, 50.0)
                val predicted = checkNotNull(predictWaitMillisOrNull(copies, cost - copies.size, averageCost = 1.0))
                val expected = simulatedWaitMillis(copies, cost)
                assertTrue(abs(predicted - expected) <= 2) {
                    "$scheduleSeed: predicted $predicted, simulated $expected"
                }
            }
        }

    @Test
    fun `a retry after the Retry-After time is accepted if the copies have worked meanwhile`() =
        runTest {
            checkAll(PropTestConfig(seed = seed, iterations = 200), Arb.long()) { scheduleSeed ->
                val random = Random(scheduleSeed)
                val copies = List(random.nextInt(1, 5)) { busyCopy(random).copy(readyAfterMillis = 0) }
                val request = AdmissionRequest(2_000, random.nextLong(1, 1_000), random.nextDouble(0.0, 400.0))
                val decision = decideAdmission(request, copies, queuedRequests = 0, averageCost = 1.0)
                if (decision !is AdmissionDecision.Refused) return@checkAll
                val workedCost = copies.sumOf { it.costPerSecond } * decision.retryAfterMillis / 1_000
                val later = request.copy(costAhead = request.costAhead - workedCost)
                val second = decideAdmission(later, copies, queuedRequests = 0, averageCost = 1.0)
                assertTrue(second is AdmissionDecision.Accepted) { "$scheduleSeed: $decision then $second" }
            }
        }

    @Test
    fun `requests sent since the last report count as running`() {
        val copy = CopyLoad(slots = 2, reportedRequests = 0, sentSinceReport = 1, costPerSecond = 1.0)
        assertEquals(0L, predictWaitMillisOrNull(listOf(copy), costAhead = 0.0, averageCost = 1.0))
        val full = copy.copy(sentSinceReport = 2)
        assertEquals(1_000L, predictWaitMillisOrNull(listOf(full), costAhead = 0.0, averageCost = 1.0))
    }

    @Test
    fun `a request that cannot meet its deadline is refused with a retry delay`() {
        val copy = CopyLoad(slots = 1, reportedRequests = 1, sentSinceReport = 0, costPerSecond = 1.0)
        val request = AdmissionRequest(remainingMillis = 3_000, serviceMillis = 1_000, costAhead = 4.0)
        val decision = decideAdmission(request, listOf(copy), queuedRequests = 0, averageCost = 1.0)
        assertEquals(AdmissionDecision.Refused(RefusalReason.DEADLINE_TOO_CLOSE, retryAfterMillis = 3_000), decision)
    }

    @Test
    fun `retries stay within their ratio to first attempts once the saved ones are spent`() {
        val budget = RetryBudget(retriesPerAttempt = 0.125, maxSavedRetries = 4.0)
        val member = MemberId("growers")
        repeat(4) { assertTrue(budget.tryRetry(member)) }
        val allowed = (1..800).count {
            budget.recordFirstAttempt(member)
            budget.tryRetry(member)
        }
        assertEquals(100, allowed)
    }
}
