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

    /** For each rank, the number of models before it that only the store can load. */
    private val storeRanks: IntArray by lazy {
        var before = 0
        IntArray(evaluator.candidates.size) { rank ->
            before.also { if (evaluator.isOnlyInStore(evaluator.candidates[rank])) before++ }
        }
    }

    /** The times until each place for a load from the store is free, the first free one first. */
    private val storeFreeInMillis: List<Long> by lazy {
        val running = storeLoadsRemainingMillis.sorted()
        val free = List((evaluator.maxStoreLoads - running.size).coerceAtLeast(0)) { 0L }
        (free + running.takeLast(evaluator.maxStoreLoads)).ifEmpty { listOf(0L) }
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

    /** Returns the time in milliseconds until a load from the store is done if the models ranked before are first. */
    private fun storeReadyMillisOrNull(model: ModelSpec, rank: Int): Long? {
        val before = storeRanks[rank]
        if (before >= MAX_STORE_ROUNDS * evaluator.maxStoreLoads) return null
        val freeInMillis = storeFreeInMillis[before % storeFreeInMillis.size]
        val loadMillis = model.loadMillis + evictionMillis
        return freeInMillis + (before / storeFreeInMillis.size + 1) * loadMillis
    }

    private companion object {
        /** The number of loads after one another beyond which nobody is told to wait. */
        const val MAX_STORE_ROUNDS = 3
    }
}
