package org.banyanturn.core.placement

import org.junit.jupiter.api.Assertions.assertEquals
import org.junit.jupiter.api.Assertions.assertTrue
import org.junit.jupiter.api.Test
import kotlin.math.ln
import kotlin.random.Random

private const val MILLIS_PER_TOKEN = 0.052
private const val MEAN_TOKENS = 1_200.0
private const val GAP_MILLIS = 300L

class PrefillBudgetTest {
    private val budget = PrefillBudget(MILLIS_PER_TOKEN, GAP_MILLIS)

    private fun exponential(random: Random, mean: Double): Double = -ln(1 - random.nextDouble()) * mean

    /**
     * Returns the fraction of gaps in which the arriving prompts take longer than the gap, on an engine that spends
     * [fraction] of its time on prefill.
     */
    private fun exceededGapFraction(fraction: Double): Double {
        val random = Random(20_261_212)
        val promptMillis = MEAN_TOKENS * MILLIS_PER_TOKEN
        val samples = 20_000
        val exceeded = (1..samples).count {
            var prefillMillis = 0.0
            var atMillis = exponential(random, promptMillis / fraction)
            while (atMillis < GAP_MILLIS) {
                prefillMillis += exponential(random, promptMillis)
                atMillis += exponential(random, promptMillis / fraction)
            }
            prefillMillis > GAP_MILLIS
        }
        return exceeded.toDouble() / samples
    }

    /** Load pattern: the prompts for a busy model arrive independently at the engines that hold it. */
    @Test
    fun `prefill rarely exceeds the gap at the returned fraction but often does at twice of it`() {
        val fraction = budget.maxPrefillFraction(MEAN_TOKENS)
        assertTrue(exceededGapFraction(fraction) < 0.05, "${exceededGapFraction(fraction)} at $fraction")
        assertTrue(exceededGapFraction(fraction * 2) > 0.1, "${exceededGapFraction(fraction * 2)} at twice $fraction")
    }

    @Test
    fun `shorter prompts and a larger gap allow a higher prefill fraction`() {
        val fraction = budget.maxPrefillFraction(MEAN_TOKENS)
        assertTrue(budget.maxPrefillFraction(MEAN_TOKENS / 4) > fraction)
        assertTrue(PrefillBudget(MILLIS_PER_TOKEN, GAP_MILLIS * 2).maxPrefillFraction(MEAN_TOKENS) > fraction)
        assertEquals(0.9, budget.maxPrefillFraction(0.0), 0.001)
    }
}
