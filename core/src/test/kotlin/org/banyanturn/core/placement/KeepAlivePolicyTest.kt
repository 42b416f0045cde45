package org.banyanturn.core.placement

import org.junit.jupiter.api.Assertions.assertEquals
import org.junit.jupiter.api.Assertions.assertNotNull
import org.junit.jupiter.api.Assertions.assertTrue
import org.junit.jupiter.api.Test

private const val HOUR_MILLIS = 3_600_000L
private const val COLD_MILLIS = 2_000L
private const val MEMORY_SHARE = 0.5

class KeepAlivePolicyTest {
    private val policy = keepAlivePolicyOf(KeepAliveSettings(idleMillisPerColdMillis = 100.0))

    private fun gapsOf(vararg gapMillis: Long) = gapMillis.fold(gapHistogramOf(), GapHistogram::record)

    private fun regular(gapMillis: Long) = gapsOf(*LongArray(30) { gapMillis })

    @Test
    fun `a model requested every few seconds stays loaded and one requested daily is unloaded soon`() {
        assertTrue(policy.plan(regular(5_000), COLD_MILLIS, MEMORY_SHARE).unloadAfterMillis >= 5_000)
        assertTrue(policy.plan(regular(24 * HOUR_MILLIS), COLD_MILLIS, MEMORY_SHARE).unloadAfterMillis < 60_000)
    }

    @Test
    fun `a model requested at regular intervals is loaded shortly before the next request only`() {
        val settings = KeepAliveSettings(idleMillisPerColdMillis = 500.0)
        val plan = keepAlivePolicyOf(settings).plan(regular(2 * HOUR_MILLIS), COLD_MILLIS, MEMORY_SHARE)
        val prewarm = assertNotNull(plan.prewarm).let { checkNotNull(plan.prewarm) }
        assertTrue(plan.unloadAfterMillis < HOUR_MILLIS)
        assertTrue(2 * HOUR_MILLIS in prewarm.readyAtMillis..prewarm.unloadAtMillis)
        assertTrue(prewarm.unloadAtMillis - prewarm.readyAtMillis < HOUR_MILLIS)
    }

    @Test
    fun `a higher weight of cold starts keeps a copy loaded longer`() {
        val gaps = gapsOf(20_000, 40_000, 60_000, 120_000, 240_000, 600_000, 1_800_000, 3_600_000)
        val kept = listOf(1.0, 50.0, 2_000.0).map { weight ->
            keepAlivePolicyOf(KeepAliveSettings(weight)).plan(gaps, COLD_MILLIS, MEMORY_SHARE).unloadAfterMillis
        }
        assertEquals(kept.sorted(), kept)
        assertTrue(kept.first() < kept.last())
    }

    @Test
    fun `the copy with the earliest expected request has the highest eviction cost`() {
        val soon = policy.evictionCostMillis(regular(60_000), idleMillis = 30_000, reloadMillis = COLD_MILLIS)
        val far = policy.evictionCostMillis(regular(HOUR_MILLIS), idleMillis = 30_000, reloadMillis = COLD_MILLIS)
        assertTrue(soon > 0.8 * COLD_MILLIS && far < 0.2 * COLD_MILLIS) { "soon $soon, far $far" }
    }

    @Test
    fun `a copy that was just loaded is not evicted`() {
        assertEquals(listOf(false, true), listOf(5_999L, 6_000L).map { policy.mayEvict(it, COLD_MILLIS) })
    }
}
