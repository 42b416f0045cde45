package org.banyanturn.core.placement

import org.banyanturn.core.AdapterId
import org.banyanturn.core.ModelId
import org.banyanturn.core.TargetId
import org.banyanturn.core.serving.EngineSpec
import org.banyanturn.core.serving.HostWeights
import org.banyanturn.core.serving.WeightsSource

/**
 * An engine for which loads are planned.
 *
 * @property held the models that the engine holds, each with the number of its adapters on the engine.
 * @property hostWeights the weights cached on the engine's host, which load fast and need no capacity of the weight
 * store.
 */
public data class PlannedEngine(
    val targetId: TargetId,
    val held: Map<ModelId, Int>,
    val hostWeights: HostWeights = HostWeights(),
)

/**
 * A planned load of a model.
 *
 * @property targetId the engine that loads the model.
 * @property victims the models to evict from the engine first.
 * @property source the source from which the engine loads the weights.
 */
public data class LoadPlan(
    val targetId: TargetId,
    val modelId: ModelId,
    val victims: List<ModelId>,
    val source: WeightsSource = WeightsSource.STORE,
) {
    /** Whether the load uses capacity of the weight store. */
    val isFromStore: Boolean
        get() = source == WeightsSource.STORE
}

/**
 * A planned load that has not ended.
 *
 * @property expectedMillis the time at which the load is expected to end.
 * @property loadMillis the duration of the load at full speed, without evictions.
 * @property storeLoads the number of loads from the store that ran when it was recorded, including itself.
 * @property isAdopted whether another planner ordered the load.
 */
internal class PlannedLoad(
    val plan: LoadPlan,
    val startedAtMillis: Long,
    val expectedMillis: Long,
    val loadMillis: Long,
    private val storeLoads: Int,
    val isAdopted: Boolean = false,
) {
    /** The time at which the engine began to load, or the best estimate of it. */
    var loadingSinceMillis = startedAtMillis

    /**
     * Returns the time from the start in which the load ends even if the store serves its loads one after the other.
     *
     * @param runningStoreLoads the number of loads from the store that run now.
     */
    fun patienceMillis(runningStoreLoads: Int): Long =
        (expectedMillis - startedAtMillis) * if (plan.isFromStore) maxOf(storeLoads, runningStoreLoads) else 1
}

/**
 * Decides which models to load on which engines, and which models to evict for them. Not thread-safe.
 *
 * Typical load patterns are simultaneous requests for many rare models while all engines are full, demand that shifts
 * to other models, and more adapters of a busy model in use than an engine has adapter slots. The value of a copy is
 * the number of requests per second that would be lost without it. A model needs as many copies as its load and its
 * adapters require; further copies have almost no value. The copies with the lowest value per size are evicted for the
 * model with the highest gain. Among the models that wait for a load, the one with the highest priority is loaded
 * first: requests that found no copy count the more the longer the model waits, so that each model gets its turn.
 *
 * A load from the weight store takes many times as long as a load from a host cache, and it blocks the engine
 * meanwhile. Therefore a model waits for an engine whose host caches it unless the store is faster, and models that no
 * host caches are loaded before they are requested. Rare models share the memory of an engine whose host caches their
 * weights. Models without running requests are evicted first, because a model in use is unloaded only after its
 * requests have finished, and the engine accepts no other order until then. If a load is overdue, the model is planned
 * on another engine.
 */
public class ModelPlanner(private val settings: ModelPlannerSettings = ModelPlannerSettings()) {
    private val demands = HashMap<ModelId, ModelDemand>()
    private val loads = LinkedHashMap<TargetId, PlannedLoad>()
    private val declinedUntilMillis = HashMap<TargetId, Long>()
    private val misses = HashMap<ModelId, MissRecord>()
    private val loadedAtMillis = HashMap<Pair<TargetId, ModelId>, Long>()
    private val storeLimit = StoreLoadLimit(settings.maxLoads)
    private val storeLoadPeriods = ArrayDeque<LongRange>()
    private var firstRequestMillis: Long? = null
    private var prefillBudget: PrefillBudget? = null

    /**
     * Records that [requests] for [modelId] have arrived, regardless of whether they are served.
     *
     * @param adapterId the adapter that the requests are for, or `null` if they are for the model itself.
     * @param promptTokens the total number of prompt tokens of these requests.
     */
    public fun recordDemand(
        modelId: ModelId,
        adapterId: AdapterId?,
        requests: Int,
        nowMillis: Long,
        promptTokens: Long = 0,
    ) {
        if (firstRequestMillis == null) firstRequestMillis = nowMillis
        demandEstimateOf(modelId).add(adapterId, requests, promptTokens, nowMillis)
    }

    /** Sets the prefill budget; until then the number of copies does not depend on prompt lengths. */
    public fun setPrefillBudget(prefillBudget: PrefillBudget) {
        this.prefillBudget = prefillBudget
    }

    /** Records that a request for [modelId] found no copy. */
    public fun recordMiss(modelId: ModelId, nowMillis: Long) {
        val earlier = misses[modelId] ?: MissRecord(count = 0, firstMillis = nowMillis, latestMillis = nowMillis)
        misses[modelId] = earlier.copy(count = earlier.count + 1, latestMillis = nowMillis)
    }

    /** Records that a request that found no copy of [modelId] is still waiting. */
    public fun recordStillWaiting(modelId: ModelId, nowMillis: Long) {
        val earlier = misses[modelId] ?: MissRecord(count = 0, firstMillis = nowMillis, latestMillis = nowMillis)
        misses[modelId] = earlier.copy(latestMillis = nowMillis)
    }

    /** Returns the estimated demand for [modelId] in requests per second. */
    public fun demandPerSecond(modelId: ModelId, nowMillis: Long): Double =
        demandEstimateOf(modelId).perSecond(firstRequestMillis ?: nowMillis, nowMillis)

    private fun demandEstimateOf(modelId: ModelId): ModelDemand =
        demands.getOrPut(modelId) { ModelDemand(settings.demand) }

    /** Returns the next load to start, or `null` if nothing should be loaded now. */
    public fun nextPlanOrNull(engines: List<PlannedEngine>, spec: EngineSpec, nowMillis: Long): LoadPlan? {
        val evaluator = evaluator(engines, spec, nowMillis)
        if (!evaluator.hasFreeEngine) return null
        return evaluator.loadable.firstNotNullOfOrNull { evaluator.planOrNull(it) }
    }

    /**
     * Returns the expected time in milliseconds until a copy of [modelId] is loaded, or `null` if no engine would evict
     * enough models for it.
     *
     * The model must not be held by any engine. Models with a higher priority per size are expected first.
     */
    public fun expectedMillisOrNull(
        modelId: ModelId,
        engines: List<PlannedEngine>,
        spec: EngineSpec,
        nowMillis: Long,
    ): Long? = expectations(engines, spec, nowMillis).expectedMillisOrNull(modelId)

    /** Returns when loads can be expected, evaluated once for any number of models. */
    public fun expectations(engines: List<PlannedEngine>, spec: EngineSpec, nowMillis: Long): LoadExpectations {
        val evaluator = evaluator(engines, spec, nowMillis)
        val storeLoadsRemainingMillis = loads.values.filter { it.plan.isFromStore }
            .map { (it.expectedMillis - nowMillis).coerceAtLeast(0) }
        return LoadExpectations(evaluator, storeLoadsRemainingMillis, settings.evictionMillis)
    }

    /** Returns the requested models that no engine holds and that do not load yet, the longest waiting ones first. */
    public fun waitingModels(engines: List<PlannedEngine>, spec: EngineSpec, nowMillis: Long): List<WaitingModel> =
        evaluator(engines, spec, nowMillis).waitingModels()

    private fun evaluator(engines: List<PlannedEngine>, spec: EngineSpec, nowMillis: Long): PlacementEvaluator {
        removeExpired(nowMillis)
        val state = PlannerState(
            demands = demands,
            loads = loads,
            declinedEngines = declinedUntilMillis.keys,
            misses = misses,
            loadedAtMillis = loadedAtMillis,
            firstRequestMillis = firstRequestMillis,
            prefillBudget = prefillBudget,
            storeLimit = storeLimit.limitOrNull,
        )
        return PlacementEvaluator(settings, state, engines, spec, nowMillis)
    }

    /**
     * Records that the load of [plan] was ordered.
     *
     * @param loadMillis the duration of the load at full speed.
     * @param overheadMillis the time that evictions and messages take beside it.
     * @return the expected time in milliseconds until the load ends.
     */
    public fun started(plan: LoadPlan, loadMillis: Long, nowMillis: Long, overheadMillis: Long = 0): Long {
        val slowdown = if (plan.isFromStore) nextSlowdown() else 1
        val expectedInMillis = overheadMillis + loadMillis * slowdown
        val expectedMillis = nowMillis + expectedInMillis
        val load = PlannedLoad(plan, nowMillis, expectedMillis, loadMillis, storeLoads = runningStoreLoads() + 1)
        load.loadingSinceMillis = nowMillis + overheadMillis
        loads[plan.targetId] = load
        return expectedInMillis
    }

    private fun runningStoreLoads(): Int = loads.values.count { it.plan.isFromStore }

    /** Returns how much slower than at full speed another load from the store is expected to be. */
    private fun nextSlowdown(): Int {
        val limit = storeLimit.limitOrNull ?: settings.maxLoads
        return maxOf(1, (runningStoreLoads() + 1) / limit)
    }

    /**
     * Records that the engine of [plan] has been loading for [elapsedMillis], as its owner reports.
     *
     * A load that another planner has ordered counts like an own one from then on. A report on an engine that has
     * declined a load recently is ignored, as its owner may not know yet that the engine has failed.
     *
     * @param loadMillis the duration of the load at full speed.
     * @return the expected time in milliseconds until the load ends, or `null` if the load is not a new one.
     */
    public fun recordProgress(plan: LoadPlan, elapsedMillis: Long, loadMillis: Long, nowMillis: Long): Long? {
        val known = loads[plan.targetId]
        if (known != null && known.plan.modelId == plan.modelId) {
            known.loadingSinceMillis = nowMillis - elapsedMillis
            return null
        }
        val isEngineDeclined = nowMillis < (declinedUntilMillis[plan.targetId] ?: Long.MIN_VALUE)
        if (known != null || isEngineDeclined) return null
        val startedAtMillis = nowMillis - elapsedMillis
        val expectedInMillis = (loadMillis - elapsedMillis).coerceAtLeast(loadMillis / OVERDUE_DIVISOR)
        loads[plan.targetId] =
            PlannedLoad(
                plan,
                startedAtMillis,
                nowMillis + expectedInMillis,
                loadMillis,
                storeLoads = runningStoreLoads() + 1,
                isAdopted = true,
            )
        return expectedInMillis
    }

    /** Records that the load of [plan] has ended; if it [wasDeclined], its engine is not considered for a while. */
    public fun ended(plan: LoadPlan, wasDeclined: Boolean, nowMillis: Long) {
        val load = loads[plan.targetId]?.takeIf { it.plan.modelId == plan.modelId } ?: return
        loads -= plan.targetId
        if (wasDeclined) {
            declinedUntilMillis[plan.targetId] = nowMillis + settings.declineBackoffMillis
            return
        }
        misses.computeIfPresent(plan.modelId) { _, earlier ->
            MissRecord(count = 0, firstMillis = earlier.latestMillis, latestMillis = earlier.latestMillis)
        }
        loadedAtMillis[plan.targetId to plan.modelId] = nowMillis
        if (plan.isFromStore) recordStoreLoad(load, nowMillis)
    }

    private fun recordStoreLoad(load: PlannedLoad, nowMillis: Long) {
        val sinceMillis = load.loadingSinceMillis
        val running = loads.values.count { it.plan.isFromStore && it.loadingSinceMillis <= sinceMillis }
        val ended = storeLoadPeriods.count { sinceMillis in it }
        storeLoadPeriods += sinceMillis..nowMillis
        if (storeLoadPeriods.size > MAX_STORE_LOAD_PERIODS) storeLoadPeriods.removeFirst()
        val slowdown = (nowMillis - sinceMillis).toDouble() / load.loadMillis
        if (!load.isAdopted) storeLimit.record(loadsAtStart = running + ended + 1, slowdown)
    }

    private fun removeExpired(nowMillis: Long) {
        val storeLoads = runningStoreLoads()
        loads.values.removeIf {
            val patienceMillis = 2 * it.patienceMillis(storeLoads) + LOST_LOAD_GRACE_MILLIS
            nowMillis - it.startedAtMillis > patienceMillis
        }
        declinedUntilMillis.values.removeIf { it <= nowMillis }
        loadedAtMillis.values.removeIf { nowMillis - it > maxOf(settings.minResidenceMillis, settings.inUseMillis) }
    }

    private companion object {
        /** The time after twice its expected duration at which a load counts as lost. */
        const val LOST_LOAD_GRACE_MILLIS = 2_000L

        /** The number of ended loads from the store that are remembered; more never overlap with a later one. */
        const val MAX_STORE_LOAD_PERIODS = 32

        /** An overdue load is assumed to need another 1/4 of its time. */
        const val OVERDUE_DIVISOR = 4
    }
}
