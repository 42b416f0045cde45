package org.banyanturn.core.admission

import org.junit.jupiter.api.Assertions.assertEquals
import org.junit.jupiter.api.Assertions.assertTrue
import org.junit.jupiter.api.Test
import kotlin.random.Random

class FleetRetryBudgetTest {
    private val limit = FleetRetryLimit(ratio = 0.2, slack = 56.0, windowMillis = 10_000)

    @Test
    fun `the retries of all VMs stay within the ratio and slack in any window`() {
        val random = Random(20_261_204)
        val budgets = List(8) { FleetRetryBudget(limit) }
        val requests = ArrayList<Long>()
        val retries = ArrayList<Long>()
        for (nowMillis in 0L..40_000L step 10) {
            val perSecond = if (nowMillis in 10_000..20_000) 100 else 30
            if (random.nextInt(100) >= perSecond) continue
            val vm = random.nextInt(8)
            budgets[vm].recordRequest(nowMillis)
            requests += nowMillis
            repeat(3) { if (budgets[vm].tryTake(vmCount = 8, nowMillis)) retries += nowMillis }
        }
        for (start in 0L..30_000L step 250) {
            fun countIn(events: List<Long>, from: Long) = events.count { it in from until from + limit.windowMillis }
            val requestCount = listOf(start, start - 5_000, start - 10_000).maxOf { countIn(requests, it) }
            val allowed = limit.ratio * requestCount + limit.slack
            assertTrue(countIn(retries, start) <= allowed, "at $start: ${countIn(retries, start)} of $allowed")
        }
        assertTrue(retries.size > 100, "the budget is used")
    }

    @Test
    fun `a VM without requests may only use its share of the slack`() {
        val budget = FleetRetryBudget(limit)
        assertEquals(4, (1..20).count { budget.tryTake(vmCount = 8, nowMillis = 0) })
    }
}
