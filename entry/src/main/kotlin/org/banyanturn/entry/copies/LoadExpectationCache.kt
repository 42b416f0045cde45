package org.banyanturn.entry.copies

import org.banyanturn.core.ModelId
import org.banyanturn.core.placement.LoadExpectations
import org.banyanturn.core.serving.ServiceName
import org.banyanturn.daemon.ProcessClock

/** Minimum time for which the expected times of loads are used without another evaluation. */
private const val MIN_TTL_MILLIS = 100L

/** The same time as a multiple of the duration of the evaluation, which grows with the deployment. */
private const val TTL_FACTOR = 4

/** Keeps the expected times of loads for a while, so that requests for models do not evaluate all models each time. */
internal class LoadExpectationCache(private val clock: ProcessClock) {
    private val known = HashMap<ServiceName, KnownExpectations>()

    /**
     * Returns the expected times of the loads for [service].
     *
     * They are evaluated anew by [evaluate] if they are old, or if [modelId] had a copy when they were evaluated.
     */
    fun current(
        service: ServiceName,
        modelId: ModelId,
        evaluate: (nowMillis: Long) -> LoadExpectations,
    ): LoadExpectations {
        val startMillis = clock.nowMillis()
        val latest = known[service]?.takeIf { startMillis < it.validUntilMillis && it.expectations.isMissing(modelId) }
        if (latest != null) return latest.expectations
        val evaluated = evaluate(startMillis)
        val endMillis = clock.nowMillis()
        val ttlMillis = maxOf(MIN_TTL_MILLIS, (endMillis - startMillis) * TTL_FACTOR)
        known[service] = KnownExpectations(evaluated, endMillis + ttlMillis)
        return evaluated
    }
}

/** The expected times of loads, used until [validUntilMillis]. */
private class KnownExpectations(val expectations: LoadExpectations, val validUntilMillis: Long)
