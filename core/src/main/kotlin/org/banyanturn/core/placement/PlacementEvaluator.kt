package org.banyanturn.core.placement

import org.banyanturn.core.ModelId
import org.banyanturn.core.TargetId
import org.banyanturn.core.serving.EngineSpec
import org.banyanturn.core.serving.ModelSpec
import org.banyanturn.core.serving.WeightsSource
import kotlin.math.ceil

/**
 * A read-only view of the state of a [ModelPlanner].
 *
 * @property demands the demand estimates by model.
 * @property loads the running loads by engine.
 * @property declinedEngines the engines that declined a load recently.
 * @property misses the number of requests that found no copy since the model was loaded last.
 * @property recentlyMissedModels the models of which a recent request found no copy.
 * @property loadedAtMillis the times at which recently loaded copies became ready.
 * @property firstRequestMillis the time at which the first request arrived, or `null` before it.
 * @property prefillBudget the prefill budget of the engines, or `null` while it is not known.
 */
internal class PlannerState(
    val demands: Map<ModelId, ModelDemand>,
    val loads: Map<TargetId, PlannedLoad>,
    val declinedEngines: Set<TargetId>,
    val misses: Map<ModelId, Int>,
    val recentlyMissedModels: Set<ModelId>,
    val loadedAtMillis: Map<Pair<TargetId, ModelId>, Long>,
    val firstRequestMillis: Long?,
    val prefillBudget: PrefillBudget?,
)

/**
 * A possible load of a model, with its costs.
 *
 * @property victimsValue the requests per second that are lost with the evicted models.
 * @property blockedValue the requests per second that wait while the engine loads.
 * @property readyInMillis the time from the start of the load until the model is ready, including evictions.
 */
internal class LoadOption(
    val plan: LoadPlan,
    val victimsValue: Double,
    val blockedValue: Double,
    val readyInMillis: Long,
)

/** Evaluates the possible loads at one point in time; values, gains and costs are in requests per second. */
internal class PlacementEvaluator(
    private val settings: ModelPlannerSettings,
    private val state: PlannerState,
    private val engines: List<PlannedEngine>,
    private val spec: EngineSpec,
    private val nowMillis: Long,
) {
    private val copies = engines.flatMap { it.held.keys }.groupingBy { it }.eachCount()
    private val storeLoads = state.loads.values.count { it.plan.isFromStore }

    /** The number of running loads by model, without overdue loads. */
    private val activeLoads = state.loads.values
        .filter { nowMillis < it.expectedMillis + settings.overdueMillis }
        .groupingBy { it.plan.modelId }
        .eachCount()
    private val hostCachedModels = engines.flatMapTo(HashSet()) { it.hostWeights.inMemory + it.hostWeights.onDisk }
    private val demands = HashMap<ModelId, Double>()
    private val freeEngines =
        engines.filter { it.targetId !in state.loads && it.targetId !in state.declinedEngines }
    private val hasRequests = state.firstRequestMillis != null
    private val elapsedMillis = nowMillis - (state.firstRequestMillis ?: nowMillis)

    /** Whether requests have been observed for too short a time to know which models are in use. */
    private val isWarmingUp = elapsedMillis < settings.demand.recentWindowMillis

    /** The maximum number of concurrent loads from the store. */
    val maxStoreLoads: Int =
        if (hasRequests) {
            (engines.size * settings.maxLoadingFraction).toInt().coerceIn(1, settings.maxLoads)
        } else {
            settings.maxLoads
        }

    /** Whether any engine can start a load now. */
    val hasFreeEngine: Boolean
        get() = freeEngines.isNotEmpty()

    /** Returns the models that need a copy for which no load is running, with the highest gain per size first. */
    fun candidates(): List<ModelSpec> =
        spec.models.values.filter(::lacksCopy).sortedByDescending { gainOf(it) / it.weightsMegabytes }

    private fun lacksCopy(model: ModelSpec): Boolean {
        val count = copiesOf(model.modelId) + (activeLoads[model.modelId] ?: 0)
        return count == 0 || (hasRequests && count < neededCopies(model))
    }

    private fun copiesOf(modelId: ModelId): Int = copies[modelId] ?: 0

    private fun demandEstimateOf(modelId: ModelId): ModelDemand = state.demands[modelId] ?: ModelDemand(settings.demand)

    private fun demandPerSecond(modelId: ModelId): Double =
        demands.getOrPut(modelId) {
            demandEstimateOf(modelId).perSecond(state.firstRequestMillis ?: nowMillis, nowMillis)
        }

    /** Returns the number of copies that [model] needs for its load, its adapters and its prompts, at least 1. */
    private fun neededCopies(model: ModelSpec): Int {
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
    private fun gainOf(model: ModelSpec): Double {
        val count = copiesOf(model.modelId)
        val demandPerSecond = demandPerSecond(model.modelId)
        if (count == 0) return demandPerSecond * (1 + settings.missWeight * (state.misses[model.modelId] ?: 0))
        val needed = neededCopies(model)
        return demandPerSecond * settings.replicaValue * (needed - count).coerceAtLeast(0) / needed
    }

    /** Returns the cheapest load of [model], or `null` if none is due or waiting for an engine's host is faster. */
    fun planOrNull(model: ModelSpec): LoadPlan? {
        val (fromStore, fromHost) = options(model, freeEngines).partition { it.plan.isFromStore }
        val best = fromHost.minByOrNull { costOf(it, model) } ?: bestFromStoreOrNull(fromStore, model)
        return best?.plan
    }

    private fun bestFromStoreOrNull(fromStore: List<LoadOption>, model: ModelSpec): LoadOption? {
        if (fromStore.isEmpty() || storeLoads >= maxLoadsFor(model)) return null
        val hostReadyMillis = hostReadyMillisOrNull(model, rank = 0) ?: Long.MAX_VALUE
        return fromStore.filter { it.readyInMillis < hostReadyMillis }.minByOrNull { costOf(it, model) }
    }

    private fun maxLoadsFor(model: ModelSpec): Int =
        when {
            hasRequests && copiesOf(model.modelId) > 0 -> settings.maxReplicaLoads
            isUrgent(model) -> maxStoreLoads + settings.extraUrgentLoads
            else -> maxStoreLoads
        }

    /** Returns whether the gain of [model] is so high that recently loaded models may be evicted for it too. */
    private fun isUrgent(model: ModelSpec): Boolean = gainOf(model) >= settings.urgentGain

    /**
     * Returns the cost of [option]: the requests per second that are lost, and that wait or are blocked until its end.
     */
    private fun costOf(option: LoadOption, model: ModelSpec): Double {
        val waitSeconds = option.readyInMillis / MILLIS_PER_SECOND
        return option.victimsValue + (option.blockedValue + gainOf(model)) * waitSeconds * settings.waitWeight
    }

    /**
     * Returns the time in milliseconds until an engine whose host caches the weights of [model] has loaded it, or
     * `null` if there is no such engine.
     *
     * @param rank the number of models that are loaded before.
     */
    fun hostReadyMillisOrNull(model: ModelSpec, rank: Int): Long? {
        val earliestMillis = options(model, engines, includesRecentLoads = true)
            .filterNot { it.plan.isFromStore }
            .minOfOrNull { freeInMillis(it.plan.targetId) + it.readyInMillis } ?: return null
        return earliestMillis + rank / engines.size * earliestMillis
    }

    /** Returns the time in milliseconds until the planned load on the engine [targetId] ends, or 0 without a load. */
    private fun freeInMillis(targetId: TargetId): Long {
        val load = state.loads[targetId] ?: return 0
        return (load.expectedMillis - nowMillis).coerceAtLeast(0)
    }

    /** Returns whether any engine could load [model], now or after its current load and the minimum residence time. */
    fun canEverLoad(model: ModelSpec): Boolean = options(model, engines, includesRecentLoads = true).isNotEmpty()

    /**
     * Returns the loads of [model] whose gain justifies the evictions.
     *
     * @param includesRecentLoads whether recently loaded models count as evictable, for loads that can start later.
     */
    private fun options(
        model: ModelSpec,
        among: List<PlannedEngine>,
        includesRecentLoads: Boolean = false,
    ): List<LoadOption> {
        val gain = gainOf(model)
        return among
            .filter { model.modelId !in it.held }
            .mapNotNull { optionOrNull(it, model, includesRecentLoads) }
            .filter { it.plan.victims.isEmpty() || mayEvictFor(model, gain, it) }
    }

    /**
     * Returns whether models may be evicted for [option].
     *
     * A model that no request waits for and no engine holds is loaded only into free memory, unless no host caches it.
     */
    private fun mayEvictFor(model: ModelSpec, gain: Double, option: LoadOption): Boolean {
        val isRequestedOrHeld = model.modelId in state.recentlyMissedModels || model.modelId in copies
        return (isRequestedOrHeld || model.modelId !in hostCachedModels) &&
            gain >= option.victimsValue * minGainFactorOf(option.plan)
    }

    private fun minGainFactorOf(plan: LoadPlan): Double =
        if (plan.isFromStore) settings.minGainFactor else settings.minHostGainFactor

    private fun optionOrNull(engine: PlannedEngine, model: ModelSpec, includesRecentLoads: Boolean): LoadOption? {
        val victims = victimsOrNull(engine, model, includesRecentLoads) ?: return null
        val source = engine.hostWeights.sourceOf(model.modelId)
        val evictionMillis = if (victims.any { isInUse(engine.targetId, it) }) settings.evictionMillis else 0
        return LoadOption(
            plan = LoadPlan(engine.targetId, model.modelId, victims, source),
            victimsValue = victims.sumOf { lossOf(engine, it, source) },
            blockedValue = blockedValue(engine, victims),
            readyInMillis = evictionMillis + model.loadMillisFrom(source),
        )
    }

    /** Returns the models to evict from [engine] for [model], unused ones first, or `null` if that is not enough. */
    private fun victimsOrNull(engine: PlannedEngine, model: ModelSpec, includesRecentLoads: Boolean): List<ModelId>? {
        val usedMegabytes = engine.held.entries.sumOf { (held, adapters) -> megabytesOf(held, adapters) }
        var missingMegabytes = usedMegabytes + model.weightsMegabytes - spec.weightsMegabytes
        val victims = ArrayList<ModelId>()
        val evictionOrder = engine.held.keys
            .filter { includesRecentLoads || isUrgent(model) || !isRecentlyLoaded(engine.targetId, it) }
            .sortedWith(compareBy({ isInUse(engine.targetId, it) }, { valueOf(it) / weightsMegabytesOf(it) }))
        for (candidate in evictionOrder) {
            if (missingMegabytes <= 0) break
            victims += candidate
            missingMegabytes -= megabytesOf(candidate, engine.held.getValue(candidate))
        }
        return victims.takeIf { missingMegabytes <= 0 }
    }

    /** Returns the loss from evicting the copy of [modelId] from [engine] for a load from [source]. */
    private fun lossOf(engine: PlannedEngine, modelId: ModelId, source: WeightsSource): Double {
        val canReloadFromHost =
            source != WeightsSource.STORE && engine.hostWeights.sourceOf(modelId) != WeightsSource.STORE
        val isIdle = !isInUse(engine.targetId, modelId)
        return valueOf(modelId) * if (canReloadFromHost && isIdle) settings.idleLossFraction else 1.0
    }

    /** Returns the requests per second that would be lost or slowed down if one copy of [modelId] were evicted. */
    private fun valueOf(modelId: ModelId): Double {
        val model = spec.models[modelId] ?: return 0.0
        val count = copiesOf(modelId).coerceAtLeast(1)
        if (!isWarmingUp && count > neededCopies(model)) return demandPerSecond(modelId) * settings.surplusCopyValue
        val minDemand = if (model.adapterCount > 0) settings.minAdapterModelDemand else 0.0
        val assumedDemand = if (isWarmingUp && count > 1) count * settings.replicatedModelDemand else 0.0
        return settings.reloadLossFraction * maxOf(minDemand, assumedDemand, demandPerSecond(modelId)) / count
    }

    private fun isRecentlyLoaded(targetId: TargetId, modelId: ModelId): Boolean {
        val loadedMillis = state.loadedAtMillis[targetId to modelId] ?: return false
        return nowMillis - loadedMillis < settings.minResidenceMillis
    }

    /** Returns whether requests for [modelId] may still be running on the engine [targetId]. */
    private fun isInUse(targetId: TargetId, modelId: ModelId): Boolean {
        val loadedMillis = state.loadedAtMillis[targetId to modelId] ?: Long.MIN_VALUE / 2
        val usedMillis = maxOf(loadedMillis, demandEstimateOf(modelId).lastRequestMillis)
        return nowMillis - usedMillis < settings.inUseMillis
    }

    /**
     * Returns the demand that is blocked while [engine] loads: the demand for adapters of the models on the engine, and
     * the demand for the models cached on its host.
     */
    private fun blockedValue(engine: PlannedEngine, victims: List<ModelId>): Double =
        adapterDemand(engine, victims) + hostDemand(engine)

    private fun adapterDemand(engine: PlannedEngine, victims: List<ModelId>): Double =
        (engine.held.keys - victims.toSet())
            .filter { (spec.models[it]?.adapterCount ?: 0) > 0 }
            .sumOf { demandPerSecond(it) / copiesOf(it).coerceAtLeast(1) }

    /** Returns the share of the engine's host in the demand for models that no engine holds. */
    private fun hostDemand(engine: PlannedEngine): Double = hostDemands.getValue(engine.targetId)

    private val hostDemands: Map<TargetId, Double> by lazy {
        val hosts = HashMap<ModelId, MutableList<TargetId>>()
        engines.forEach { engine ->
            val cachedModels = engine.hostWeights.inMemory + engine.hostWeights.onDisk
            cachedModels.filter { copiesOf(it) == 0 }.forEach { hosts.getOrPut(it) { ArrayList() } += engine.targetId }
        }
        val demands = engines.associateTo(HashMap()) { it.targetId to 0.0 }
        hosts.forEach { (modelId, targetIds) ->
            targetIds.forEach { demands.merge(it, demandPerSecond(modelId) / targetIds.size, Double::plus) }
        }
        demands
    }

    private fun weightsMegabytesOf(modelId: ModelId): Double =
        spec.models[modelId]?.weightsMegabytes ?: spec.weightsMegabytes

    private fun megabytesOf(modelId: ModelId, adapters: Int): Double =
        weightsMegabytesOf(modelId) + adapters * (spec.models[modelId]?.adapterMegabytes ?: 0.0)

    private companion object {
        const val MILLIS_PER_SECOND = 1_000.0
    }
}
