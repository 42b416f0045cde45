package org.banyanturn.core.placement

import org.banyanturn.core.AdapterId
import kotlin.math.exp
import kotlin.math.max

/**
 * How demand is estimated.
 *
 * @property horizonMillis how far back requests count for models that few ask for.
 * @property recentMillis the time within which a change of demand shows.
 * @property adapterMillis how long an adapter counts as in use after a request; about as long as requests run.
 * @property priorPerSecond demand that a model is taken to have while nothing is known of it.
 * @property priorMillis how much observed time that weighs.
 */
public data class ModelDemandSettings(
    val horizonMillis: Long = 20_000,
    val recentMillis: Long = 4_000,
    val adapterMillis: Long = 2_000,
    val priorPerSecond: Double = 0.3,
    val priorMillis: Long = 4_000,
)

/** Requests by which a count over the recent time may differ from its mean by chance. */
private const val CHANCE_REQUESTS = 1.5

private const val MILLIS_PER_SECOND = 1_000.0

/**
 * How often one model is asked for.
 *
 * Load pattern: most models are asked for now and then, a few are asked for all the time, and which these are changes
 * within seconds. A long average keeps rare models apart from each other; a recent count that is too far from it to be
 * chance goes before it.
 */
internal class ModelDemand(private val settings: ModelDemandSettings) {
    private val recentMillis = ArrayDeque<Long>()
    private val adapterSeenMillis = HashMap<AdapterId, Long>()
    private var decayedCount = 0.0
    private var decayedPromptTokens = 0.0
    private var updatedMillis = 0L

    /** When the latest request arrived. */
    var latestMillis = Long.MIN_VALUE / 2
        private set

    fun add(adapterId: AdapterId?, requests: Int, promptTokens: Long, nowMillis: Long) {
        decay(nowMillis)
        decayedCount += requests
        decayedPromptTokens += promptTokens
        if (requests > 0) latestMillis = nowMillis
        repeat(requests) { recentMillis.addLast(nowMillis) }
        if (adapterId != null) adapterSeenMillis[adapterId] = nowMillis
    }

    /** Returns the estimate in requests a second, where requests are counted since [startMillis]. */
    fun perSecond(startMillis: Long, nowMillis: Long): Double {
        decay(nowMillis)
        dropOld(nowMillis)
        val seenMillis =
            settings.horizonMillis * (1 - exp(-(nowMillis - startMillis) / settings.horizonMillis.toDouble()))
        val prior = settings.priorPerSecond * settings.priorMillis / MILLIS_PER_SECOND
        val average = (decayedCount + prior) / (seenMillis + settings.priorMillis) * MILLIS_PER_SECOND
        val recentSeconds = settings.recentMillis / MILLIS_PER_SECOND
        val least = (recentMillis.size - CHANCE_REQUESTS) / recentSeconds
        val most = (recentMillis.size + CHANCE_REQUESTS) / recentSeconds
        return max(0.0, average.coerceIn(least, most))
    }

    /** Returns how many tokens the prompts of its requests have on average, 0 while that is not known. */
    fun meanPromptTokens(): Double = if (decayedCount > 0) decayedPromptTokens / decayedCount else 0.0

    /** Returns how many different adapters are in use. */
    fun activeAdapters(nowMillis: Long): Int {
        adapterSeenMillis.values.removeIf { nowMillis - it > settings.adapterMillis }
        return adapterSeenMillis.size
    }

    private fun dropOld(nowMillis: Long) {
        while (recentMillis.isNotEmpty() &&
            nowMillis - recentMillis.first() > settings.recentMillis
        ) {
            recentMillis.removeFirst()
        }
    }

    private fun decay(nowMillis: Long) {
        if (nowMillis <= updatedMillis) return
        val kept = exp(-(nowMillis - updatedMillis) / settings.horizonMillis.toDouble())
        decayedCount *= kept
        decayedPromptTokens *= kept
        updatedMillis = nowMillis
    }
}
