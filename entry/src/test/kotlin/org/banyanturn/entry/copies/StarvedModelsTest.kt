package org.banyanturn.entry.copies

import org.banyanturn.core.placement.CopyName
import org.junit.jupiter.api.Assertions.assertTrue
import org.junit.jupiter.params.ParameterizedTest
import org.junit.jupiter.params.provider.ValueSource
import kotlin.random.Random

/** Guards against models and adapters that callers ask for through the day and that are never served. */
class StarvedModelsTest {
    /** The users' measure: asked for at least four times, over more than eight seconds. */
    private fun askedThroughTheDay(outcome: CopyOutcome): Boolean =
        outcome.arrivedAtMillis.size >= MIN_REQUESTS &&
            outcome.arrivedAtMillis.last() - outcome.arrivedAtMillis.first() >= MIN_SPAN_MILLIS

    private fun fleet(seed: Int, cachedModels: Int, fullSpeedStoreLoads: Int? = null): PlanningFleet {
        val size = PlanningFleet.Size(
            vms = 81,
            engines = 63,
            models = 500,
            cachedModels = cachedModels,
            heldPerEngine = 3,
            cachedPerHost = 16,
            fullSpeedStoreLoads = fullSpeedStoreLoads ?: 63,
        )
        return PlanningFleet(size, seed, LOOKUP_MICROS)
    }

    private fun assertFewStarve(fleet: PlanningFleet, minAsked: Int) {
        val asked = fleet.outcomes.filterValues(::askedThroughTheDay)
        val starved = asked.filterValues { it.served == 0 }.keys.map(CopyName::toString)
        val allowed = ALLOWED_COPIES + asked.size * ALLOWED_FRACTION
        assertTrue(asked.size >= minAsked, "${asked.size} copies were asked for through the day")
        assertTrue(starved.size <= allowed, "${starved.size} of ${asked.size} were never served: $starved")
    }

    private fun assertFewStarveOnEvenDemand(seed: Int, cachedModels: Int) {
        val fleet = fleet(seed, cachedModels)
        fleet.play(DAY_MILLIS, EVEN_REQUESTS_PER_SECOND) { PlanningFleet.CallerRequest(it.nextInt(500)) }
        assertFewStarve(fleet, MIN_ASKED_EVENLY)
    }

    @ParameterizedTest
    @ValueSource(ints = [1, 2, 3])
    fun `models that are asked for through the day are served while engines have room for a third of them`(seed: Int) =
        assertFewStarveOnEvenDemand(seed, cachedModels = 500)

    @ParameterizedTest
    @ValueSource(ints = [1, 2, 3])
    fun `models that no host caches are served too`(seed: Int) = assertFewStarveOnEvenDemand(seed, cachedModels = 440)

    /** Few models get most requests, callers of the others wait long, and a refused request is repeated once. */
    private fun skewedRequest(random: Random, firstBusy: Int = 0): PlanningFleet.CallerRequest {
        val share = random.nextDouble()
        return when {
            share < BUSIEST_SHARE -> busyRequest(firstBusy + random.nextInt(18), patienceMillis = 8_000, random)
            share < BUSY_SHARE -> busyRequest(firstBusy + random.nextInt(18, 45), patienceMillis = 12_000, random)
            else -> PlanningFleet.CallerRequest(random.nextInt(500), patienceMillis = 25_000, retries = 1)
        }
    }

    private fun busyRequest(model: Int, patienceMillis: Long, random: Random): PlanningFleet.CallerRequest {
        val adapter = if (model % 2 == 0 && random.nextBoolean()) random.nextInt(ADAPTERS) else null
        return PlanningFleet.CallerRequest(model, adapter, patienceMillis, retries = 1)
    }

    @ParameterizedTest
    @ValueSource(ints = [1, 2, 3, 4, 5, 6, 7, 8, 9, 10, 11, 12, 13, 14, 15, 16])
    fun `models starve neither by a store that serves two loads at full speed nor by lost engines and a new planner`(
        seed: Int,
    ) {
        val fleet = fleet(seed, cachedModels = 440, fullSpeedStoreLoads = 2)
        fleet.crashEngines(11, LEAD_MILLIS + 3_500, forMillis = 3_900)
        fleet.loseEngines(11, LEAD_MILLIS + 6_500)
        fleet.replacePlanner(LEAD_MILLIS + 20_000)
        fleet.play(LEAD_MILLIS + DAY_MILLIS, SKEWED_REQUESTS_PER_SECOND, LEAD_MILLIS) { skewedRequest(it) }
        assertFewStarve(fleet, MIN_ASKED_SKEWED)
    }

    @ParameterizedTest
    @ValueSource(ints = [1, 2, 3, 4, 5, 6, 7, 8])
    fun `models do not starve when demand moves to others while engines are lost`(seed: Int) {
        val fleet = fleet(seed, cachedModels = 440, fullSpeedStoreLoads = 2)
        fleet.loseEngines(11, LEAD_MILLIS + 6_500)
        fleet.play(LEAD_MILLIS + DAY_MILLIS, SKEWED_REQUESTS_PER_SECOND, LEAD_MILLIS) {
            skewedRequest(it, firstBusy = if (fleet.nowMillis < LEAD_MILLIS + SHIFT_MILLIS) 0 else SHIFTED_BY)
        }
        assertFewStarve(fleet, MIN_ASKED_SKEWED)
    }

    private companion object {
        const val DAY_MILLIS = 41_000L
        const val LEAD_MILLIS = 16_000L
        const val EVEN_REQUESTS_PER_SECOND = 50.0
        const val SKEWED_REQUESTS_PER_SECOND = 138.0

        /** The share of the requests that the 18 busiest models get, and together with it that of the next 27. */
        const val BUSIEST_SHARE = 0.5
        const val BUSY_SHARE = 0.92
        const val ADAPTERS = 2
        const val SHIFT_MILLIS = 20_000L
        const val SHIFTED_BY = 45

        /** The time that a look-up takes on a third of a processor. */
        const val LOOKUP_MICROS = 1.2
        const val MIN_REQUESTS = 4
        const val MIN_SPAN_MILLIS = 8_000L
        const val MIN_ASKED_EVENLY = 100
        const val MIN_ASKED_SKEWED = 90
        const val ALLOWED_COPIES = 1
        const val ALLOWED_FRACTION = 0.1
    }
}
