package org.banyanturn.core.placement

import org.banyanturn.core.ModelId
import org.banyanturn.core.serving.EngineSpec
import org.banyanturn.core.serving.ModelSpec
import kotlin.math.ceil

/** The demand for models and the values of their copies at one point in time, in requests per second. */
internal class ModelValues(
    private val settings: ModelPlannerSettings,
    private val state: PlannerState,
    private val engines: List<PlannedEngine>,
    private val spec: EngineSpec,
    private val activeLoads: Map<ModelId, Int>,
    private val nowMillis: Long,
) {
    private val copies = engines.flatMap { it.held.keys }.groupingBy { it }.eachCount()
    private val demands = HashMap<ModelId, Double>()
    private val neededCopies = HashMap<ModelId, Int>()
    private val gains = HashMap<ModelId, Double>()
    private val priorities = HashMap<ModelId, Double>()
    private val copyValues = HashMap<ModelId, Double>()
    private val elapsedMillis = nowMillis - (state.firstRequestMillis ?: nowMillis)

    /** Whether requests have been observed for too short a time to know which models are in use. */
    private val isWarmingUp = elapsedMillis < settings.demand.recentWindowMillis

    /** Returns the number of engines that hold [modelId]. */
    fun copiesOf(modelId: ModelId): Int = copies[modelId] ?: 0

    /** Returns the number of engines that hold or load [modelId]. */
    fun copiesAndLoadsOf(modelId: ModelId): Int = copiesOf(modelId) + (activeLoads[modelId] ?: 0)

    /** Returns the estimated demand for [modelId]. */
    fun demandPerSecond(modelId: ModelId): Double =
        demands.getOrPut(modelId) {
            demandEstimateOf(modelId).perSecond(state.firstRequestMillis ?: nowMillis, nowMillis)
        }

    /** Returns the time of the latest request for [modelId]. */
    fun lastRequestMillis(modelId: ModelId): Long = state.demands[modelId]?.lastRequestMillis ?: NEVER_MILLIS

    private fun demandEstimateOf(modelId: ModelId): ModelDemand = state.demands[modelId] ?: ModelDemand(settings.demand)

    /** Returns the number of copies that [model] needs for its load, its adapters and its prompts, at least 1. */
    fun neededCopies(model: ModelSpec): Int = neededCopies.getOrPut(model.modelId) { computeNeededCopies(model) }

    private fun computeNeededCopies(model: ModelSpec): Int {
        val busySlots = demandPerSecond(model.modelId) * settings.runSeconds
        val copiesForLoad = ceil(busySlots / (spec.slots * settings.targetSlotUtilization)).toInt()
        val adapters = if (model.adapterCount == 0) 0 else demandEstimateOf(model.modelId).activeAdapters(nowMillis)
        val copiesForAdapterSlots =
            if (spec.adapterSlots > 0) ceil(adapters.toDouble() / spec.adapterSlots).toInt() else 0
        return maxOf(maxOf(copiesForLoad, copiesForAdapterSlots), copiesForPrefill(model), 1)
    }

    /** Returns the number of copies over which the prompts for [model] must be spread to avoid long gaps in streams. */
    private fun copiesForPrefill(model: ModelSpec): Int {
        val prefillBudget = state.prefillBudget ?: return 1
        val meanPromptTokens = demandEstimateOf(model.modelId).meanPromptTokens()
        val prefillMillis = demandPerSecond(model.modelId) * meanPromptTokens * prefillBudget.millisPerToken
        return ceil(prefillMillis / MILLIS_PER_SECOND / prefillBudget.maxPrefillFraction(meanPromptTokens)).toInt()
            .coerceAtMost(maxOf(1, (engines.size * settings.maxPrefillSpreadFraction).toInt()))
    }

    /** Returns the gain of a further copy of [model]; for a model without copies, every miss increases the gain. */
    fun gainOf(model: ModelSpec): Double = gains.getOrPut(model.modelId) { computeGain(model) }

    private fun computeGain(model: ModelSpec): Double {
        val count = copiesAndLoadsOf(model.modelId)
        val demandPerSecond = demandPerSecond(model.modelId)
        if (count == 0) return demandPerSecond * (1 + settings.missWeight * missesOf(model.modelId))
        val needed = neededCopies(model)
        return demandPerSecond * settings.replicaValue * (needed - count).coerceAtLeast(0) / needed
    }

    private fun missesOf(modelId: ModelId): Int = state.misses[modelId]?.count ?: 0

    /**
     * Returns the priority of a load of [model] over others, which is its gain unless requests found no copy.
     *
     * Each of these requests counts the same, whatever the demand for the model, and the longer ago the first of them
     * is, the more. A model that is loaded starts anew. So each waiting model gets its turn, however many others are
     * requested more often.
     */
    fun priorityOf(model: ModelSpec): Double = priorities.getOrPut(model.modelId) { computePriority(model) }

    private fun computePriority(model: ModelSpec): Double {
        val misses = state.misses[model.modelId]
        if (misses == null || misses.count == 0 || copiesAndLoadsOf(model.modelId) > 0) return gainOf(model)
        val waitedMillis = (nowMillis - misses.firstMillis).toDouble()
        val agingFactor = 1 + waitedMillis / settings.missAgingMillis
        return demandPerSecond(model.modelId) + settings.missWeight * misses.count * agingFactor
    }

    /** Returns the requests per second that would be lost or slowed down if one copy of [modelId] were evicted. */
    fun valueOf(modelId: ModelId): Double = copyValues.getOrPut(modelId) { computeValue(modelId) }

    private fun computeValue(modelId: ModelId): Double {
        val model = spec.models[modelId] ?: return 0.0
        val count = copiesOf(modelId).coerceAtLeast(1)
        if (!isWarmingUp && count > neededCopies(model)) return demandPerSecond(modelId) * settings.surplusCopyValue
        val minDemand = if (model.adapterCount > 0) settings.minAdapterModelDemand else 0.0
        val assumedDemand = if (isWarmingUp && count > 1) count * settings.replicatedModelDemand else 0.0
        return settings.reloadLossFraction * maxOf(minDemand, assumedDemand, demandPerSecond(modelId)) / count
    }

    private companion object {
        const val MILLIS_PER_SECOND = 1_000.0
        const val NEVER_MILLIS = Long.MIN_VALUE / 2
    }
}
