package org.banyanturn.core.placement

import org.banyanturn.core.AdapterId
import kotlin.math.exp
import kotlin.math.max

/**
 * Settings of the demand estimate.
 *
 * @property decayMillis the time constant of the long-term average, which decides for rarely requested models.
 * @property recentWindowMillis the length of the recent window, within which a change of demand is detected.
 * @property activeAdapterMillis the time for which an adapter counts as in use after a request, which is about the
 * duration of a request.
 * @property priorPerSecond the demand in requests per second that is assumed for a model without observations.
 * @property priorMillis the observation time that corresponds to the weight of this prior.
 */
public data class ModelDemandSettings(
    val decayMillis: Long = 20_000,
    val recentWindowMillis: Long = 4_000,
    val activeAdapterMillis: Long = 2_000,
    val priorPerSecond: Double = 0.3,
    val priorMillis: Long = 4_000,
)

/** The number of requests by which the count in the recent window may differ from its mean by chance. */
private const val RECENT_COUNT_TOLERANCE = 1.5

private const val MILLIS_PER_SECOND = 1_000.0

/**
 * Estimates the demand for one model.
 *
 * Most models are requested occasionally and a few continuously, and which models are busy changes within seconds. A
 * long-term average ranks the rarely requested models. The count in the recent window overrides it if the two differ by
 * more than chance explains.
 */
internal class ModelDemand(private val settings: ModelDemandSettings) {
    private val recentArrivalsMillis = ArrayDeque<Long>()
    private val adapterLastUsedMillis = HashMap<AdapterId, Long>()
    private var decayedCount = 0.0
    private var decayedPromptTokens = 0.0
    private var updatedMillis = 0L

    /** The time at which the latest request arrived. */
    var lastRequestMillis = Long.MIN_VALUE / 2
        private set

    /** Records [requests] that arrived at [nowMillis], with [promptTokens] in total. */
    fun add(adapterId: AdapterId?, requests: Int, promptTokens: Long, nowMillis: Long) {
        decay(nowMillis)
        decayedCount += requests
        decayedPromptTokens += promptTokens
        if (requests > 0) lastRequestMillis = nowMillis
        repeat(requests) { recentArrivalsMillis.addLast(nowMillis) }
        if (adapterId != null) adapterLastUsedMillis[adapterId] = nowMillis
    }

    /** Returns the estimated demand in requests per second, given that observation started at [firstRequestMillis]. */
    fun perSecond(firstRequestMillis: Long, nowMillis: Long): Double {
        decay(nowMillis)
        dropExpired(nowMillis)
        val observedMillis =
            settings.decayMillis * (1 - exp(-(nowMillis - firstRequestMillis) / settings.decayMillis.toDouble()))
        val priorRequests = settings.priorPerSecond * settings.priorMillis / MILLIS_PER_SECOND
        val averagePerSecond =
            (decayedCount + priorRequests) / (observedMillis + settings.priorMillis) * MILLIS_PER_SECOND
        val recentSeconds = settings.recentWindowMillis / MILLIS_PER_SECOND
        val lowerBound = (recentArrivalsMillis.size - RECENT_COUNT_TOLERANCE) / recentSeconds
        val upperBound = (recentArrivalsMillis.size + RECENT_COUNT_TOLERANCE) / recentSeconds
        return max(0.0, averagePerSecond.coerceIn(lowerBound, upperBound))
    }

    /** Returns the mean number of prompt tokens per request, or 0 if it is not known. */
    fun meanPromptTokens(): Double = if (decayedCount > 0) decayedPromptTokens / decayedCount else 0.0

    /** Returns the number of different adapters in use. */
    fun activeAdapters(nowMillis: Long): Int {
        adapterLastUsedMillis.values.removeIf { nowMillis - it > settings.activeAdapterMillis }
        return adapterLastUsedMillis.size
    }

    private fun dropExpired(nowMillis: Long) {
        while (
            recentArrivalsMillis.isNotEmpty() &&
            nowMillis - recentArrivalsMillis.first() > settings.recentWindowMillis
        ) {
            recentArrivalsMillis.removeFirst()
        }
    }

    private fun decay(nowMillis: Long) {
        if (nowMillis <= updatedMillis) return
        val decayFactor = exp(-(nowMillis - updatedMillis) / settings.decayMillis.toDouble())
        decayedCount *= decayFactor
        decayedPromptTokens *= decayFactor
        updatedMillis = nowMillis
    }
}
