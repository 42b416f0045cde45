package org.banyanturn.core.placement

import org.banyanturn.core.ModelId
import org.banyanturn.core.TargetId
import org.banyanturn.core.serving.HostWeights

/**
 * A model that an engine holds, with what its eviction would cost.
 *
 * @property weightsMegabytes the memory that the weights alone occupy.
 * @property megabytes the memory that the model and its adapters on the engine occupy.
 * @property value the requests per second that are lost or slowed down without this copy.
 * @property adapterDemand the requests per second that need adapters of the model on this engine.
 * @property isInUse whether requests for the model may still be running on the engine.
 * @property isRecentlyLoaded whether the model has not yet stayed for the minimum time.
 * @property isOnHost whether the engine's host caches the weights.
 */
internal class HeldCopy(
    val modelId: ModelId,
    val weightsMegabytes: Double,
    val megabytes: Double,
    val value: Double,
    val adapterDemand: Double,
    val isInUse: Boolean,
    val isRecentlyLoaded: Boolean,
    val isOnHost: Boolean,
)

/**
 * An engine with the costs of evicting its models, computed once for all models that may be loaded there.
 *
 * @property evictionOrder the models on the engine in the order in which they are evicted, unused ones first.
 */
internal class EvaluatedEngine(private val engine: PlannedEngine, held: List<HeldCopy>) {
    val evictionOrder: List<HeldCopy> =
        held.sortedWith(compareBy<HeldCopy> { it.isInUse }.thenBy { it.value / it.weightsMegabytes })

    /** The memory that models and adapters occupy. */
    val usedMegabytes: Double = held.sumOf { it.megabytes }

    /** The requests per second that need adapters of the models on this engine. */
    val adapterDemand: Double = held.sumOf { it.adapterDemand }

    val targetId: TargetId
        get() = engine.targetId

    val hostWeights: HostWeights
        get() = engine.hostWeights

    /** Returns whether the engine holds [modelId]. */
    fun holds(modelId: ModelId): Boolean = modelId in engine.held

    /**
     * Returns the models to evict so that [missingMegabytes] become free, or `null` if that is not possible.
     *
     * @param includesRecentLoads whether recently loaded models may be evicted.
     */
    fun victimsOrNull(missingMegabytes: Double, includesRecentLoads: Boolean): List<HeldCopy>? {
        if (missingMegabytes <= 0) return emptyList()
        val victims = ArrayList<HeldCopy>()
        var stillMissingMegabytes = missingMegabytes
        val evictable = evictionOrder.filter { includesRecentLoads || !it.isRecentlyLoaded }
        for (copy in evictable) {
            if (stillMissingMegabytes <= 0) break
            victims += copy
            stillMissingMegabytes -= copy.megabytes
        }
        return victims.takeIf { stillMissingMegabytes <= 0 }
    }
}
