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

    @ParameterizedTest
    @ValueSource(ints = [1, 2, 3])
    fun `models that are asked for through the day are served while engines have room for a third of them`(seed: Int) {
        val fleet = PlanningFleet(
            PlanningFleet.Size(vms = 81, engines = 63, models = 500, heldPerEngine = 3, cachedPerHost = 16),
            seed,
            LOOKUP_MICROS,
        )
        fleet.play(DAY_MILLIS, REQUESTS_PER_SECOND) { it.nextInt(500) }
        val asked = fleet.outcomes.filterValues(::askedThroughTheDay)
        val starved = asked.filterValues { it.served == 0 }.keys.map(ModelId::value)
        val allowed = ALLOWED_MODELS + asked.size * ALLOWED_FRACTION
        assertTrue(asked.size >= MIN_ASKED, "${asked.size} models were asked for through the day")
        assertTrue(starved.size <= allowed, "${starved.size} of ${asked.size} were never served: $starved")
    }

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
