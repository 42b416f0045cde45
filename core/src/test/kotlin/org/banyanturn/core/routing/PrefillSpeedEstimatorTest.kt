package org.banyanturn.core.routing

import org.junit.jupiter.api.Assertions.assertNull
import org.junit.jupiter.api.Assertions.assertTrue
import org.junit.jupiter.api.Test
import kotlin.math.ln
import kotlin.random.Random

private const val MILLIS_PER_TOKEN = 0.052
private const val FIXED_MILLIS = 30.0

class PrefillSpeedEstimatorTest {
    private val speed = PrefillSpeedEstimator()

    private fun exponential(random: Random, mean: Double): Double = -ln(1 - random.nextDouble()) * mean

    @Test
    fun `there is no estimate before enough samples were recorded`() {
        repeat(4) {
            speed.record(promptTokens = 100, firstPartMillis = 35)
            speed.record(promptTokens = 2_000, firstPartMillis = 134)
        }
        speed.record(promptTokens = 0, firstPartMillis = 1)
        assertNull(speed.millisPerTokenOrNull())
    }

    /** Load: half of the tokens of 30 % of the prompts are in the engines' prefix caches; 20 % of the prompts wait. */
    @Test
    fun `prompts with a cached prefix hardly affect the estimate`() {
        repeat(20) { seed ->
            val random = Random(seed)
            val estimator = PrefillSpeedEstimator()
            repeat(200) {
                val tokens = exponential(random, 1_200.0).toLong() + 50
                val readTokens = if (random.nextDouble() < 0.3) tokens / 2 else tokens
                val waitMillis = if (random.nextDouble() < 0.2) exponential(random, 80.0) else 0.0
                estimator.record(tokens, (FIXED_MILLIS + readTokens * MILLIS_PER_TOKEN + waitMillis).toLong())
            }
            val estimated = checkNotNull(estimator.millisPerTokenOrNull()) { "enough answers" }
            assertTrue(estimated in MILLIS_PER_TOKEN * 0.6..MILLIS_PER_TOKEN * 1.5, "seed $seed: $estimated")
        }
    }

    /** Load: prompts of all sizes, 40 % of which wait for other prompts at their engine. */
    @Test
    fun `queueing at the engine hardly affects the estimate`() {
        repeat(20) { seed ->
            val random = Random(seed)
            val estimator = PrefillSpeedEstimator()
            repeat(200) {
                val tokens = exponential(random, 1_200.0).toLong() + 50
                val waitMillis = if (random.nextDouble() < 0.4) exponential(random, 80.0) else 0.0
                estimator.record(tokens, (FIXED_MILLIS + tokens * MILLIS_PER_TOKEN + waitMillis).toLong())
            }
            val estimated = checkNotNull(estimator.millisPerTokenOrNull()) { "enough answers" }
            assertTrue(estimated in MILLIS_PER_TOKEN / 2..MILLIS_PER_TOKEN * 2, "seed $seed: $estimated")
        }
    }
}
