package org.banyanturn.core.placement

import org.banyanturn.core.ModelId
import org.banyanturn.core.TargetId
import org.banyanturn.core.serving.EngineSpec
import org.banyanturn.core.serving.ModelSpec
import org.banyanturn.core.serving.WeightsSource

/**
 * A read-only view of the state of a [ModelPlanner].
 *
 * @property demands the demand estimates by model.
 * @property loads the running loads by engine.
 * @property declinedEngines the engines that declined a load recently.
 * @property misses the requests that found no copy, by model.
 * @property loadedAtMillis the times at which recently loaded copies became ready.
 * @property firstRequestMillis the time at which the first request arrived, or `null` before it.
 * @property prefillBudget the prefill budget of the engines, or `null` while it is not known.
 * @property storeLimit the number of loads from the store that may run at once, or `null` if it has shown no bound.
 */
internal class PlannerState(
    val demands: Map<ModelId, ModelDemand>,
    val loads: Map<TargetId, PlannedLoad>,
    val declinedEngines: Set<TargetId>,
    val misses: Map<ModelId, MissRecord>,
    val loadedAtMillis: Map<Pair<TargetId, ModelId>, Long>,
    val firstRequestMillis: Long?,
    val prefillBudget: PrefillBudget?,
    val storeLimit: Int?,
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
    private val storeLoads = state.loads.values.count { it.plan.isFromStore }

    /** The number of running loads by model, without overdue loads. */
    private val activeLoads = state.loads.values
        .filterNot(::isOverdue)
        .groupingBy { it.plan.modelId }
        .eachCount()
    private val values = ModelValues(settings, state, engines, spec, activeLoads, nowMillis)
    private val evaluatedEngines = HashMap<TargetId, EvaluatedEngine>()

    /** The engines whose hosts cache the weights of each model. */
    private val hosts = HashMap<ModelId, MutableList<PlannedEngine>>().also { hosts ->
        engines.forEach { engine ->
            (engine.hostWeights.inMemory + engine.hostWeights.onDisk)
                .forEach { hosts.getOrPut(it) { ArrayList() } += engine }
        }
    }
    private val freeEngines =
        engines.filter { it.targetId !in state.loads && it.targetId !in state.declinedEngines }
    private val freeTargetIds = freeEngines.mapTo(HashSet()) { it.targetId }
    private val hasRequests = state.firstRequestMillis != null

    /** The maximum number of concurrent loads from the store that leaves most engines free for other loads. */
    private val maxLoadingEngines: Int =
        if (hasRequests) {
            (engines.size * settings.maxLoadingFraction).toInt().coerceIn(1, settings.maxLoads)
        } else {
            settings.maxLoads
        }

    /** The maximum number of concurrent loads from the store. */
    val maxStoreLoads: Int = minOf(state.storeLimit ?: settings.maxLoads, maxLoadingEngines)

    /** The same maximum for urgent loads. */
    private val maxUrgentLoads: Int = (maxLoadingEngines + settings.extraUrgentLoads).let { most ->
        state.storeLimit?.let { minOf(it, most) } ?: most
    }

    /** Whether any engine can start a load now. */
    val hasFreeEngine: Boolean
        get() = freeEngines.isNotEmpty()

    /** The models that need a copy for which no load is running, with the highest priority per size first. */
    val candidates: List<ModelSpec> by lazy {
        spec.models.values.filter(::lacksCopy).sortedByDescending { values.priorityOf(it) / it.weightsMegabytes }
    }

    /** The candidates to evaluate for the next load, in their order; those that hosts cache hide none of the others. */
    val loadable: Sequence<ModelSpec>
        get() {
            val isStoreFree = storeLoads < maxUrgentLoads
            val cached = candidates.asSequence().filterNot(::isOnlyInStore).take(settings.maxCandidates)
            val onlyInStore = candidates.asSequence().filter(::isOnlyInStore).take(settings.maxStoreCandidates)
            val evaluated = cached.toSet() + if (isStoreFree) onlyInStore.toSet() else emptySet()
            return candidates.asSequence().filter { it in evaluated }
        }

    private fun isOverdue(load: PlannedLoad): Boolean =
        nowMillis >= load.startedAtMillis + load.patienceMillis(storeLoads) + settings.overdueMillis

    private fun lacksCopy(model: ModelSpec): Boolean {
        val count = values.copiesAndLoadsOf(model.modelId)
        return count == 0 || (hasRequests && count < values.neededCopies(model))
    }

    /** Returns the cheapest load of [model], or `null` if none is due or waiting for an engine's host is faster. */
    fun planOrNull(model: ModelSpec): LoadPlan? {
        val fromHost = options(model, hostsOf(model).filter { it.targetId in freeTargetIds })
        val best = fromHost.minByOrNull { costOf(it, model) } ?: bestFromStoreOrNull(model)
        return best?.plan
    }

    /** Returns the requested models that no engine holds and that do not load yet, the longest waiting ones first. */
    fun waitingModels(): List<WaitingModel> =
        candidates.withIndex()
            .filter { (_, model) -> values.copiesOf(model.modelId) == 0 }
            .mapNotNull { (rank, model) -> waitingModelOrNull(model, rank) }
            .sortedByDescending { it.waitingMillis }

    private fun waitingModelOrNull(model: ModelSpec, rank: Int): WaitingModel? {
        val misses = state.misses[model.modelId]?.takeIf { it.count > 0 } ?: return null
        return WaitingModel(
            modelId = model.modelId,
            misses = misses.count,
            waitingMillis = nowMillis - misses.firstMillis,
            rank = rank,
            hosts = hostsOf(model).size,
            freeHosts = hostsOf(model).count { it.targetId in freeTargetIds },
        )
    }

    /** Returns whether no host caches the weights of [model]. */
    fun isOnlyInStore(model: ModelSpec): Boolean = model.modelId !in hosts

    private fun hostsOf(model: ModelSpec): List<PlannedEngine> = hosts[model.modelId].orEmpty()

    private fun bestFromStoreOrNull(model: ModelSpec): LoadOption? {
        if (storeLoads >= maxLoadsFor(model)) return null
        val fromStore = options(model, freeEngines).filter { it.plan.isFromStore }
        if (fromStore.isEmpty()) return null
        val hostReadyMillis = hostReadyMillisOrNull(model, rank = 0) ?: Long.MAX_VALUE
        return fromStore.filter { it.readyInMillis < hostReadyMillis }.minByOrNull { costOf(it, model) }
    }

    private fun maxLoadsFor(model: ModelSpec): Int =
        when {
            values.copiesAndLoadsOf(model.modelId) > 0 -> if (isStoreAwaited) 0 else settings.maxReplicaLoads
            isUrgent(model) -> maxUrgentLoads
            else -> maxStoreLoads
        }

    /** Whether requests have found no copy of a model that only the store can load. */
    private val isStoreAwaited: Boolean by lazy {
        candidates.any {
            isOnlyInStore(it) && values.copiesAndLoadsOf(it.modelId) == 0 && hasMisses(it.modelId)
        }
    }

    /** Returns whether the gain of [model] is so high that recently loaded models may be evicted for it too. */
    private fun isUrgent(model: ModelSpec): Boolean = values.gainOf(model) >= settings.urgentGain

    /**
     * Returns the cost of [option]: the requests per second that are lost, and that wait or are blocked until its end.
     */
    private fun costOf(option: LoadOption, model: ModelSpec): Double {
        val waitSeconds = option.readyInMillis / MILLIS_PER_SECOND
        return option.victimsValue + (option.blockedValue + values.gainOf(model)) * waitSeconds * settings.waitWeight
    }

    /**
     * Returns the time in milliseconds until an engine whose host caches the weights of [model] has loaded it, or
     * `null` if there is no such engine.
     *
     * @param rank the number of models that are loaded before.
     */
    fun hostReadyMillisOrNull(model: ModelSpec, rank: Int): Long? {
        val earliestMillis = options(model, hostsOf(model), includesRecentLoads = true)
            .minOfOrNull { freeInMillis(it.plan.targetId) + it.readyInMillis } ?: return null
        return earliestMillis + rank / engines.size * earliestMillis
    }

    /** Returns the time in milliseconds until the planned load on the engine [targetId] ends, or 0 without a load. */
    private fun freeInMillis(targetId: TargetId): Long {
        val load = state.loads[targetId] ?: return 0
        return (load.expectedMillis - nowMillis).coerceAtLeast(0)
    }

    /** Returns whether any engine could load [model], now or after its current load and the minimum residence time. */
    fun canEverLoad(model: ModelSpec): Boolean =
        engines.any { optionOrNull(it, model, includesRecentLoads = true) != null }

    /**
     * Returns the loads of [model] whose gain justifies the evictions.
     *
     * @param includesRecentLoads whether recently loaded models count as evictable, for loads that can start later.
     */
    private fun options(
        model: ModelSpec,
        among: List<PlannedEngine>,
        includesRecentLoads: Boolean = false,
    ): List<LoadOption> = among.mapNotNull { optionOrNull(it, model, includesRecentLoads) }

    private fun optionOrNull(engine: PlannedEngine, model: ModelSpec, includesRecentLoads: Boolean): LoadOption? {
        if (model.modelId in engine.held) return null
        val option = possibleOptionOrNull(evaluated(engine), model, includesRecentLoads || isUrgent(model))
        return option?.takeIf { it.plan.victims.isEmpty() || mayEvictFor(model, it) }
    }

    /**
     * Returns whether models may be evicted for [option].
     *
     * A model that no request waits for and no engine holds is loaded only into free memory, unless no host caches it.
     */
    private fun mayEvictFor(model: ModelSpec, option: LoadOption): Boolean {
        val isRequestedOrHeld = isRecentlyMissed(model.modelId) || values.copiesOf(model.modelId) > 0
        return (isRequestedOrHeld || model.modelId !in hosts) &&
            values.gainOf(model) >= option.victimsValue * minGainFactorOf(option.plan)
    }

    private fun hasMisses(modelId: ModelId): Boolean = (state.misses[modelId]?.count ?: 0) > 0

    private fun isRecentlyMissed(modelId: ModelId): Boolean {
        val misses = state.misses[modelId] ?: return false
        return nowMillis - misses.latestMillis <= settings.missWindowMillis
    }

    private fun minGainFactorOf(plan: LoadPlan): Double =
        if (plan.isFromStore) settings.minGainFactor else settings.minHostGainFactor

    private fun possibleOptionOrNull(
        engine: EvaluatedEngine,
        model: ModelSpec,
        includesRecentLoads: Boolean,
    ): LoadOption? {
        val missingMegabytes = engine.usedMegabytes + model.weightsMegabytes - spec.weightsMegabytes
        val victims = engine.victimsOrNull(missingMegabytes, includesRecentLoads) ?: return null
        val source = engine.hostWeights.sourceOf(model.modelId)
        val evictionMillis = if (victims.any { it.isInUse }) settings.evictionMillis else 0
        return LoadOption(
            plan = LoadPlan(engine.targetId, model.modelId, victims.map { it.modelId }, source),
            victimsValue = victims.sumOf { lossOf(it, source) },
            blockedValue = engine.adapterDemand - victims.sumOf { it.adapterDemand } + hostDemand(engine),
            readyInMillis = evictionMillis + model.loadMillisFrom(source),
        )
    }

    /** Returns the loss from evicting [copy] for a load from [source]. */
    private fun lossOf(copy: HeldCopy, source: WeightsSource): Double {
        val canReloadFromHost = source != WeightsSource.STORE && copy.isOnHost
        return copy.value * if (canReloadFromHost && !copy.isInUse) settings.idleLossFraction else 1.0
    }

    private fun evaluated(engine: PlannedEngine): EvaluatedEngine =
        evaluatedEngines.getOrPut(engine.targetId) {
            EvaluatedEngine(engine, engine.held.map { (modelId, adapters) -> heldCopy(engine, modelId, adapters) })
        }

    private fun heldCopy(engine: PlannedEngine, modelId: ModelId, adapters: Int): HeldCopy {
        val model = spec.models[modelId]
        val weightsMegabytes = model?.weightsMegabytes ?: spec.weightsMegabytes
        val hasAdapters = model != null && model.adapterCount > 0
        return HeldCopy(
            modelId = modelId,
            weightsMegabytes = weightsMegabytes,
            megabytes = weightsMegabytes + adapters * (model?.adapterMegabytes ?: 0.0),
            value = values.valueOf(modelId),
            adapterDemand = if (hasAdapters) values.demandPerSecond(modelId) / values.copiesOf(modelId) else 0.0,
            isInUse = isInUse(engine.targetId, modelId),
            isRecentlyLoaded = isRecentlyLoaded(engine.targetId, modelId),
            isOnHost = engine.hostWeights.sourceOf(modelId) != WeightsSource.STORE,
        )
    }

    private fun isRecentlyLoaded(targetId: TargetId, modelId: ModelId): Boolean {
        val loadedMillis = state.loadedAtMillis[targetId to modelId] ?: return false
        return nowMillis - loadedMillis < settings.minResidenceMillis
    }

    /** Returns whether requests for [modelId] may still be running on the engine [targetId]. */
    private fun isInUse(targetId: TargetId, modelId: ModelId): Boolean {
        val loadedMillis = state.loadedAtMillis[targetId to modelId] ?: Long.MIN_VALUE / 2
        val usedMillis = maxOf(loadedMillis, values.lastRequestMillis(modelId))
        return nowMillis - usedMillis < settings.inUseMillis
    }

    /** Returns the share of the engine's host in the demand for models that no engine holds. */
    private fun hostDemand(engine: EvaluatedEngine): Double = hostDemands[engine.targetId] ?: 0.0

    private val hostDemands: Map<TargetId, Double> by lazy {
        val demands = HashMap<TargetId, Double>()
        hosts.filterKeys { values.copiesOf(it) == 0 }.forEach { (modelId, among) ->
            among.forEach { demands.merge(it.targetId, values.demandPerSecond(modelId) / among.size, Double::plus) }
        }
        demands
    }

    private companion object {
        const val MILLIS_PER_SECOND = 1_000.0
    }
}
