package org.banyanturn.entry.copies

import org.banyanturn.core.ModelId
import org.junit.jupiter.api.Assertions.assertTrue
import org.junit.jupiter.params.ParameterizedTest
import org.junit.jupiter.params.provider.ValueSource

/** Guards against models that callers ask for through the day and that are never served. */
class StarvedModelsTest {
    /** The users' measure: asked for at least four times, over more than eight seconds. */
    private fun askedThroughTheDay(outcome: ModelOutcome): Boolean =
        outcome.arrivedAtMillis.size >= MIN_REQUESTS &&
            outcome.arrivedAtMillis.last() - outcome.arrivedAtMillis.first() >= MIN_SPAN_MILLIS

    private fun assertFewStarve(seed: Int, cachedModels: Int, requestedModels: IntRange, perSecond: Double) {
        val size = PlanningFleet.Size(
            vms = 81,
            engines = 63,
            models = 500,
            cachedModels = cachedModels,
            heldPerEngine = 3,
            cachedPerHost = 16,
        )
        val fleet = PlanningFleet(size, seed, LOOKUP_MICROS)
        fleet.play(DAY_MILLIS, perSecond) { requestedModels.random(it) }
        val asked = fleet.outcomes.filterValues(::askedThroughTheDay)
        val starved = asked.filterValues { it.served == 0 }.keys.map(ModelId::value)
        val allowed = ALLOWED_MODELS + asked.size * ALLOWED_FRACTION
        assertTrue(asked.size >= MIN_ASKED, "${asked.size} models were asked for through the day")
        assertTrue(starved.size <= allowed, "${starved.size} of ${asked.size} were never served: $starved")
    }

    @ParameterizedTest
    @ValueSource(ints = [1, 2, 3])
    fun `models that are asked for through the day are served while engines have room for a third of them`(seed: Int) =
        assertFewStarve(seed, cachedModels = 500, requestedModels = 0 until 500, REQUESTS_PER_SECOND)

    @ParameterizedTest
    @ValueSource(ints = [1, 2, 3])
    fun `models that no host caches are served too`(seed: Int) =
        assertFewStarve(seed, cachedModels = 440, requestedModels = 0 until 500, REQUESTS_PER_SECOND)

    private companion object {
        const val DAY_MILLIS = 41_000L
        const val REQUESTS_PER_SECOND = 50.0

        /** The time that a look-up takes on a third of a processor. */
        const val LOOKUP_MICROS = 1.2
        const val MIN_REQUESTS = 4
        const val MIN_SPAN_MILLIS = 8_000L
        const val MIN_ASKED = 100
        const val ALLOWED_MODELS = 1
        const val ALLOWED_FRACTION = 0.1
    }
}
