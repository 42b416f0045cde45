package org.banyanturn.core.placement

import org.banyanturn.core.ModelId

/**
 * A requested model that no engine holds and for which no load runs, with what its load depends on.
 *
 * @property misses the number of requests that found no copy since the model was loaded last.
 * @property waitingMillis the time since the first of these requests.
 * @property rank the number of models that are considered before this one.
 * @property hosts the number of usable engines whose hosts cache the weights.
 * @property freeHosts how many of these engines can start a load now.
 */
public data class WaitingModel(
    val modelId: ModelId,
    val misses: Int,
    val waitingMillis: Long,
    val rank: Int,
    val hosts: Int,
    val freeHosts: Int,
)
