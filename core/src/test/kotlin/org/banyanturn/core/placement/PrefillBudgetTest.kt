package org.banyanturn.core.placement

import org.junit.jupiter.api.Assertions.assertEquals
import org.junit.jupiter.api.Assertions.assertTrue
import org.junit.jupiter.api.Test
import kotlin.math.ln
import kotlin.random.Random

private const val MILLIS_PER_TOKEN = 0.052
private const val MEAN_TOKENS = 1_200.0
private const val PAUSE_MILLIS = 300L

class PrefillBudgetTest {
    private val pace = PrefillBudget(MILLIS_PER_TOKEN, PAUSE_MILLIS)

    private fun exponential(random: Random, mean: Double): Double = -ln(1 - random.nextDouble()) * mean

    /** Returns the part of pauses in which an engine that reads [fraction] of its time gets more prompts than fit. */
    private fun brokenPauses(fraction: Double): Double {
        val random = Random(20_261_212)
        val promptMillis = MEAN_TOKENS * MILLIS_PER_TOKEN
        val rounds = 20_000
        val broken = (1..rounds).count {
            var readMillis = 0.0
            var atMillis = exponential(random, promptMillis / fraction)
            while (atMillis < PAUSE_MILLIS) {
                readMillis += exponential(random, promptMillis)
                atMillis += exponential(random, promptMillis / fraction)
            }
            readMillis > PAUSE_MILLIS
        }
        return broken.toDouble() / rounds
    }

    /** Load: a busy model's prompts arrive independently at the engines that hold it. */
    @Test
    fun `prompts of one pause seldom take longer than it at this fraction, and often beyond it`() {
        val fraction = pace.maxPrefillFraction(MEAN_TOKENS)
        assertTrue(brokenPauses(fraction) < 0.05, "${brokenPauses(fraction)} at $fraction")
        assertTrue(brokenPauses(fraction * 2) > 0.1, "${brokenPauses(fraction * 2)} at twice $fraction")
    }

    @Test
    fun `shorter prompts and longer pauses let an engine read more of its time`() {
        val fraction = pace.maxPrefillFraction(MEAN_TOKENS)
        assertTrue(pace.maxPrefillFraction(MEAN_TOKENS / 4) > fraction)
        assertTrue(PrefillBudget(MILLIS_PER_TOKEN, PAUSE_MILLIS * 2).maxPrefillFraction(MEAN_TOKENS) > fraction)
        assertEquals(0.9, pace.maxPrefillFraction(0.0), 0.001)
    }
}
