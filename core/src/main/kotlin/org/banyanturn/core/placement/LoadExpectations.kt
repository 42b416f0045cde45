package org.banyanturn.core.placement

import org.banyanturn.core.ModelId
import org.banyanturn.core.serving.ModelSpec

/**
 * The expected times of loads at one point in time.
 *
 * All models and engines are evaluated once, so that many requests for models can be answered at little cost.
 */
public class LoadExpectations internal constructor(
    private val evaluator: PlacementEvaluator,
    private val storeLoadsRemainingMillis: List<Long>,
    private val evictionMillis: Long,
) {
    private val ranks = HashMap<ModelId, Int>().also { ranks ->
        evaluator.candidates.forEachIndexed { rank, model -> ranks[model.modelId] = rank }
    }

    /** Returns whether [modelId] lacked a copy when the loads were evaluated. */
    public fun isMissing(modelId: ModelId): Boolean = modelId in ranks

    /**
     * Returns the expected time in milliseconds until a copy of [modelId] is loaded, or `null` if it was not missing or
     * no engine would evict enough models for it.
     */
    public fun expectedMillisOrNull(modelId: ModelId): Long? {
        val rank = ranks[modelId] ?: return null
        val model = evaluator.candidates[rank]
        if (!evaluator.canEverLoad(model)) return null
        val hostReadyMillis = evaluator.hostReadyMillisOrNull(model, rank)
        return listOfNotNull(hostReadyMillis, storeReadyMillisOrNull(model, rank)).minOrNull()
    }

    /** Returns the time in milliseconds until a load from the store is done for the model with zero-based [rank]. */
    private fun storeReadyMillisOrNull(model: ModelSpec, rank: Int): Long? {
        val freeLoads = evaluator.maxStoreLoads - storeLoadsRemainingMillis.size
        val storeFreeInMillis =
            if (rank < freeLoads) 0 else storeLoadsRemainingMillis.getOrNull(rank - freeLoads) ?: return null
        return storeFreeInMillis + model.loadMillis + evictionMillis
    }
}
