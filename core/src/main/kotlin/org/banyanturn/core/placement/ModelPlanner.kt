package org.banyanturn.core.placement

import org.banyanturn.core.AdapterId
import org.banyanturn.core.ModelId
import org.banyanturn.core.TargetId
import org.banyanturn.core.serving.EngineSpec
import org.banyanturn.core.serving.HostWeights
import org.banyanturn.core.serving.ModelSpec
import org.banyanturn.core.serving.WeightsSource

/**
 * An engine as the planner sees it.
 *
 * @property held the models that it holds, each with the number of its adapters there.
 * @property hostWeights the weights that its host keeps, which load fast and take nothing of the store.
 */
public data class PlannedEngine(
    val targetId: TargetId,
    val held: Map<ModelId, Int>,
    val hostWeights: HostWeights = HostWeights(),
)

/**
 * Where a model is to be loaded, and which models make room for it there.
 *
 * @property source where the engine takes the weights from.
 */
public data class LoadPlan(
    val targetId: TargetId,
    val modelId: ModelId,
    val victims: List<ModelId>,
    val source: WeightsSource = WeightsSource.STORE,
) {
    /** Whether the load takes a part of what the weight store can do. */
    val isFromStore: Boolean
        get() = source == WeightsSource.STORE
}

/** A load that was planned and has not ended. */
internal class PlannedLoad(val plan: LoadPlan, val startedAtMillis: Long, val expectedMillis: Long)

/**
 * Decides which models are loaded where, and what makes room for them; not safe for use by several threads.
 *
 * Load patterns: many rare models are asked for at once while all engines are full; demand moves to other models; the
 * adapters of a busy model exceed an engine's places. A copy is worth the requests a second that would be lost without
 * it: a model needs as many copies as its load and its adapters take up, copies beyond that are worth next to nothing,
 * and the room of what is worth least by its size goes to the model that gains most. Of the models that wait for a load
 * the one that gains most goes first, not the one that was asked for first.
 *
 * A load from the store takes many times as long as one from a host, and holds its engine all the while. So a model
 * waits for an engine whose host keeps it unless the store is sooner, and what no host keeps is fetched before it is
 * asked for. Rare models take turns in the room of an engine whose host keeps their weights: what nobody uses at the
 * moment makes room first, since a model in use goes only when its runs have ended, and the engine takes no other order
 * until then. A load that is stuck doesn't hold its model up: another engine is tried.
 */
public class ModelPlanner(private val settings: ModelPlannerSettings = ModelPlannerSettings()) {
    private val demands = HashMap<ModelId, ModelDemand>()
    private val loads = LinkedHashMap<TargetId, PlannedLoad>()
    private val declinedUntilMillis = HashMap<TargetId, Long>()
    private val misses = HashMap<ModelId, Int>()
    private val wantedAtMillis = HashMap<ModelId, Long>()
    private val loadedAtMillis = HashMap<Pair<TargetId, ModelId>, Long>()
    private var startMillis: Long? = null
    private var pace: PrefillBudget? = null

    /**
     * Notes that [requests] for [modelId], with the adapter [adapterId] of it or none, have arrived, served or not.
     *
     * @param promptTokens how many tokens their prompts have together.
     */
    public fun recordDemand(
        modelId: ModelId,
        adapterId: AdapterId?,
        requests: Int,
        nowMillis: Long,
        promptTokens: Long = 0,
    ) {
        if (startMillis == null) startMillis = nowMillis
        demandOf(modelId).add(adapterId, requests, promptTokens, nowMillis)
    }

    /** Notes how fast engines read prompts and which pauses callers allow; what prompts take is left out before. */
    public fun setPrefillBudget(pace: PrefillBudget) {
        this.pace = pace
    }

    /** Notes that a request for [modelId] found no copy. */
    public fun recordMiss(modelId: ModelId, nowMillis: Long) {
        misses.merge(modelId, 1, Int::plus)
        recordStillWaiting(modelId, nowMillis)
    }

    /** Notes that a request that found no copy of [modelId] waits on. */
    public fun recordStillWaiting(modelId: ModelId, nowMillis: Long) {
        wantedAtMillis[modelId] = nowMillis
    }

    /** Returns how many requests a second ask for [modelId], as far as can be told. */
    public fun demandPerSecond(modelId: ModelId, nowMillis: Long): Double =
        demandOf(modelId).perSecond(startMillis ?: nowMillis, nowMillis)

    private fun demandOf(modelId: ModelId): ModelDemand = demands.getOrPut(modelId) { ModelDemand(settings.demand) }

    /** Returns the load that gains most now, or `null` if nothing should be loaded. */
    public fun nextPlanOrNull(engines: List<PlannedEngine>, spec: EngineSpec, nowMillis: Long): LoadPlan? {
        val outlook = outlook(engines, spec, nowMillis)
        if (!outlook.hasFreeEngine) return null
        return outlook.candidates().take(settings.maxTried).firstNotNullOfOrNull { outlook.planOrNull(it) }
    }

    /**
     * Returns when a copy of [modelId], which no engine holds, can be expected in the turn of its gain, in
     * milliseconds, or `null` if nothing would make room for it.
     */
    public fun expectedMillisOrNull(
        modelId: ModelId,
        engines: List<PlannedEngine>,
        spec: EngineSpec,
        nowMillis: Long,
    ): Long? {
        val outlook = outlook(engines, spec, nowMillis)
        val waiting = outlook.candidates()
        val rank = waiting.indexOfFirst { it.modelId == modelId }
        if (rank < 0 || !outlook.mayEverLoad(waiting[rank])) return null
        val hostMillis = outlook.hostMillisOrNull(waiting[rank], rank)
        val storeMillis = storeMillisOrNull(waiting[rank], rank, outlook.maxStoreLoads, nowMillis)
        return listOfNotNull(hostMillis, storeMillis).minOrNull()
    }

    /** Returns when the store has the turn of the model that is the [rank]th to wait, counted from 0. */
    private fun storeMillisOrNull(model: ModelSpec, rank: Int, maxLoads: Int, nowMillis: Long): Long? {
        val ends = loads.values.filter { it.plan.isFromStore }
            .map { (it.expectedMillis - nowMillis).coerceAtLeast(0) }
            .sorted()
        val free = maxLoads - ends.size
        val startMillis = if (rank < free) 0 else ends.getOrNull(rank - free) ?: return null
        return startMillis + model.loadMillis + settings.evictionMillis
    }

    private fun outlook(engines: List<PlannedEngine>, spec: EngineSpec, nowMillis: Long): PlacementEvaluator {
        dropStale(nowMillis)
        val memory = PlannerState(
            demands = demands,
            loads = loads,
            declinedEngines = declinedUntilMillis.keys,
            misses = misses,
            wantedModels = wantedAtMillis.keys,
            loadedAtMillis = loadedAtMillis,
            startMillis = startMillis,
            pace = pace,
        )
        return PlacementEvaluator(settings, memory, engines, spec, nowMillis)
    }

    /** Notes that the load of [plan] was ordered and is expected in [readyInMillis]. */
    public fun started(plan: LoadPlan, readyInMillis: Long, nowMillis: Long) {
        loads[plan.targetId] = PlannedLoad(plan, nowMillis, nowMillis + readyInMillis)
    }

    /** Notes that the load of [plan] has ended; its engine is passed over for a while if it [wasDeclined]. */
    public fun ended(plan: LoadPlan, wasDeclined: Boolean, nowMillis: Long) {
        if (loads[plan.targetId]?.plan?.modelId != plan.modelId) return
        loads -= plan.targetId
        if (wasDeclined) {
            declinedUntilMillis[plan.targetId] = nowMillis + settings.declinedMillis
        } else {
            misses -= plan.modelId
            loadedAtMillis[plan.targetId to plan.modelId] = nowMillis
        }
    }

    private fun dropStale(nowMillis: Long) {
        loads.values.removeIf {
            nowMillis - it.startedAtMillis >
                2 * (it.expectedMillis - it.startedAtMillis) + STALE_MILLIS
        }
        declinedUntilMillis.values.removeIf { it <= nowMillis }
        wantedAtMillis.values.removeIf { nowMillis - it > settings.missWindowMillis }
        loadedAtMillis.values.removeIf { nowMillis - it > maxOf(settings.residenceMillis, settings.useMillis) }
    }

    private companion object {
        /** Time beyond twice the expected one after which a load counts as lost. */
        const val STALE_MILLIS = 2_000L
    }
}
