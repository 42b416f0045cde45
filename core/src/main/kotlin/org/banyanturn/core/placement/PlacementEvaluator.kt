package org.banyanturn.core.placement

import org.banyanturn.core.ModelId
import org.banyanturn.core.TargetId
import org.banyanturn.core.serving.EngineSpec
import org.banyanturn.core.serving.ModelSpec
import org.banyanturn.core.serving.WeightsSource
import kotlin.math.ceil

/**
 * What the planner remembers, read only.
 *
 * @property loads the loads under way, by engine.
 * @property misses requests that found no copy since the model was loaded last.
 * @property wantedModels models that a request lately found no copy of.
 * @property loadedAtMillis when copies came that are new.
 * @property startMillis when the first request came, or `null` before it.
 * @property pace what prompts take at the engines, or `null` while that is not known.
 */
internal class PlannerState(
    val demands: Map<ModelId, ModelDemand>,
    val loads: Map<TargetId, PlannedLoad>,
    val declinedEngines: Set<TargetId>,
    val misses: Map<ModelId, Int>,
    val wantedModels: Set<ModelId>,
    val loadedAtMillis: Map<Pair<TargetId, ModelId>, Long>,
    val startMillis: Long?,
    val pace: PrefillBudget?,
)

/** One way to load a model, with the requests a second that it loses and blocks. */
internal class LoadOption(
    val plan: LoadPlan,
    val victimsValue: Double,
    val blockedValue: Double,
    val readyInMillis: Long,
)

/** What the planner knows at one moment, and what follows from it; values are in requests a second. */
internal class PlacementEvaluator(
    private val settings: ModelPlannerSettings,
    private val memory: PlannerState,
    private val engines: List<PlannedEngine>,
    private val spec: EngineSpec,
    private val nowMillis: Long,
) {
    private val copies = engines.flatMap { it.held.keys }.groupingBy { it }.eachCount()
    private val storeLoads = memory.loads.values.count { it.plan.isFromStore }
    private val coming = memory.loads.values
        .filter { nowMillis < it.expectedMillis + settings.overdueMillis }
        .groupingBy { it.plan.modelId }
        .eachCount()
    private val atHosts = engines.flatMapTo(HashSet()) { it.hostWeights.inMemory + it.hostWeights.onDisk }
    private val demands = HashMap<ModelId, Double>()
    private val freeEngines =
        engines.filter { it.targetId !in memory.loads && it.targetId !in memory.declinedEngines }
    private val hasRequests = memory.startMillis != null
    private val sinceStartMillis = nowMillis - (memory.startMillis ?: nowMillis)

    /** Whether too little has been asked for yet to tell which models are in use. */
    private val isLearning = sinceStartMillis < settings.demand.recentMillis

    /** How many loads from the store may run at once. */
    val maxStoreLoads: Int =
        if (hasRequests) {
            (engines.size * settings.loadingFraction).toInt().coerceIn(1, settings.maxLoads)
        } else {
            settings.maxLoads
        }

    /** Whether any engine can take a load now. */
    val hasFreeEngine: Boolean
        get() = freeEngines.isNotEmpty()

    /** Returns the models that lack a copy which is not coming, those first that gain most by their size. */
    fun candidates(): List<ModelSpec> =
        spec.models.values.filter(::lacksCopy).sortedByDescending { gainOf(it) / it.weightsMegabytes }

    private fun lacksCopy(model: ModelSpec): Boolean {
        val count = copiesOf(model.modelId) + (coming[model.modelId] ?: 0)
        return count == 0 || (hasRequests && count < neededCopies(model))
    }

    private fun copiesOf(modelId: ModelId): Int = copies[modelId] ?: 0

    private fun demandOf(modelId: ModelId): ModelDemand = memory.demands[modelId] ?: ModelDemand(settings.demand)

    private fun demand(modelId: ModelId): Double =
        demands.getOrPut(modelId) { demandOf(modelId).perSecond(memory.startMillis ?: nowMillis, nowMillis) }

    /** Returns how many copies the load and the adapters of [model] take up. */
    private fun neededCopies(model: ModelSpec): Int {
        val busySlots = demand(model.modelId) * settings.runSeconds
        val byLoad = ceil(busySlots / (spec.slots * settings.slotsInUse)).toInt()
        val adapters = if (model.adapterCount == 0) 0 else demandOf(model.modelId).activeAdapters(nowMillis)
        val byPlaces = if (spec.adapterSlots > 0) ceil(adapters.toDouble() / spec.adapterSlots).toInt() else 0
        return maxOf(maxOf(byLoad, byPlaces), byPauses(model), 1)
    }

    /** Returns over how many engines the prompts for [model] must be spread for streams without long pauses. */
    private fun byPauses(model: ModelSpec): Int {
        val pace = memory.pace ?: return 1
        val meanTokens = demandOf(model.modelId).meanPromptTokens()
        val readMillis = demand(model.modelId) * meanTokens * pace.millisPerToken
        return ceil(readMillis / MILLIS_PER_SECOND / pace.maxPrefillFraction(meanTokens)).toInt()
            .coerceAtMost(maxOf(1, (engines.size * settings.pauseEnginesFraction).toInt()))
    }

    /** Returns what a further copy is worth; a model whose requests found no copy gains with each of them. */
    private fun gainOf(model: ModelSpec): Double {
        val count = copiesOf(model.modelId)
        val demand = demand(model.modelId)
        if (count == 0) return demand * (1 + settings.missWeight * (memory.misses[model.modelId] ?: 0))
        val needed = neededCopies(model)
        return demand * settings.spreadValue * (needed - count).coerceAtLeast(0) / needed
    }

    /** Returns the load of [model] that costs least now, or `null` if none is due or its host's turn is awaited. */
    fun planOrNull(model: ModelSpec): LoadPlan? {
        val (fromStore, fromHost) = options(model, freeEngines).partition { it.plan.isFromStore }
        val best = fromHost.minByOrNull { costOf(it, model) } ?: bestFromStoreOrNull(fromStore, model)
        return best?.plan
    }

    private fun bestFromStoreOrNull(fromStore: List<LoadOption>, model: ModelSpec): LoadOption? {
        if (fromStore.isEmpty() || storeLoads >= mostLoads(model)) return null
        val hostMillis = hostMillisOrNull(model, rank = 0) ?: Long.MAX_VALUE
        return fromStore.filter { it.readyInMillis < hostMillis }.minByOrNull { costOf(it, model) }
    }

    private fun mostLoads(model: ModelSpec): Int =
        when {
            hasRequests && copiesOf(model.modelId) > 0 -> settings.spreadLoads
            isUrgent(model) -> maxStoreLoads + settings.urgentLoads
            else -> maxStoreLoads
        }

    /** Whether so much demand waits for [model] that what has just come makes room for it too. */
    private fun isUrgent(model: ModelSpec): Boolean = gainOf(model) >= settings.urgentGain

    /** Returns the requests a second that are lost by [option], with those that wait or are blocked meanwhile. */
    private fun costOf(option: LoadOption, model: ModelSpec): Double {
        val waitSeconds = option.readyInMillis / MILLIS_PER_SECOND
        return option.victimsValue + (option.blockedValue + gainOf(model)) * waitSeconds * settings.waitWeight
    }

    /** Returns when an engine whose host keeps the weights of [model] can have loaded it, after [rank] others. */
    fun hostMillisOrNull(model: ModelSpec, rank: Int): Long? {
        val soonest = options(model, engines, waitsForArrivals = true)
            .filterNot { it.plan.isFromStore }
            .minOfOrNull { freeInMillis(it.plan.targetId) + it.readyInMillis } ?: return null
        return soonest + rank / engines.size * soonest
    }

    /** Returns when the engine [targetId] has ended the load that was planned there. */
    private fun freeInMillis(targetId: TargetId): Long {
        val load = memory.loads[targetId] ?: return 0
        return (load.expectedMillis - nowMillis).coerceAtLeast(0)
    }

    /** Returns whether an engine would make room for [model], now or after what it loads. */
    fun mayEverLoad(model: ModelSpec): Boolean = options(model, engines, waitsForArrivals = true).isNotEmpty()

    /** Returns the loads of [model] that are worth it, also those that wait until what has just come was used. */
    private fun options(
        model: ModelSpec,
        among: List<PlannedEngine>,
        waitsForArrivals: Boolean = false,
    ): List<LoadOption> {
        val gain = gainOf(model)
        return among
            .filter { model.modelId !in it.held }
            .mapNotNull { optionOrNull(it, model, waitsForArrivals) }
            .filter { it.plan.victims.isEmpty() || mayDrop(model, gain, it) }
    }

    /** Models that nobody waits for are loaded only where there is room, but for those that no host keeps. */
    private fun mayDrop(model: ModelSpec, gain: Double, option: LoadOption): Boolean {
        val isWaitedFor = model.modelId in memory.wantedModels || model.modelId in copies
        return (isWaitedFor || model.modelId !in atHosts) && gain >= option.victimsValue * gainFactorOf(option.plan)
    }

    private fun gainFactorOf(plan: LoadPlan): Double =
        if (plan.isFromStore) settings.gainFactor else settings.hostGainFactor

    private fun optionOrNull(engine: PlannedEngine, model: ModelSpec, waitsForArrivals: Boolean): LoadOption? {
        val victims = victimsOrNull(engine, model, waitsForArrivals) ?: return null
        val source = engine.hostWeights.sourceOf(model.modelId)
        val roomMillis = if (victims.any { isInUse(engine.targetId, it) }) settings.evictionMillis else 0
        return LoadOption(
            plan = LoadPlan(engine.targetId, model.modelId, victims, source),
            victimsValue = victims.sumOf { lossOf(engine, it, source) },
            blockedValue = blockedValue(engine, victims),
            readyInMillis = roomMillis + model.loadMillisFrom(source),
        )
    }

    /** Returns what makes room for [model] at [engine], the unused first, or `null` if all of it is not enough. */
    private fun victimsOrNull(engine: PlannedEngine, model: ModelSpec, waitsForArrivals: Boolean): List<ModelId>? {
        val used = engine.held.entries.sumOf { (held, adapters) -> megabytesOf(held, adapters) }
        var missing = used + model.weightsMegabytes - spec.weightsMegabytes
        val victims = ArrayList<ModelId>()
        val inOrder = engine.held.keys
            .filter { waitsForArrivals || isUrgent(model) || !hasJustCome(engine.targetId, it) }
            .sortedWith(compareBy({ isInUse(engine.targetId, it) }, { valueOf(it) / sizeOf(it) }))
        for (candidate in inOrder) {
            if (missing <= 0) break
            victims += candidate
            missing -= megabytesOf(candidate, engine.held.getValue(candidate))
        }
        return victims.takeIf { missing <= 0 }
    }

    /** Returns what is lost with the copy of [modelId] at [engine] if a load from [source] takes its room. */
    private fun lossOf(engine: PlannedEngine, modelId: ModelId, source: WeightsSource): Double {
        val isBackSoon = source != WeightsSource.STORE && engine.hostWeights.sourceOf(modelId) != WeightsSource.STORE
        val isIdle = !isInUse(engine.targetId, modelId)
        return valueOf(modelId) * if (isBackSoon && isIdle) settings.idleLoss else 1.0
    }

    /** Returns the requests a second that would be lost or slowed if one copy of [modelId] went. */
    private fun valueOf(modelId: ModelId): Double {
        val model = spec.models[modelId] ?: return 0.0
        val count = copiesOf(modelId).coerceAtLeast(1)
        if (!isLearning && count > neededCopies(model)) return demand(modelId) * settings.spareValue
        val least = if (model.adapterCount > 0) settings.adapterModelDemand else 0.0
        val unknown = if (isLearning && count > 1) count * settings.copiedModelDemand else 0.0
        return settings.reloadLoss * maxOf(least, unknown, demand(modelId)) / count
    }

    private fun hasJustCome(targetId: TargetId, modelId: ModelId): Boolean {
        val loadedMillis = memory.loadedAtMillis[targetId to modelId] ?: return false
        return nowMillis - loadedMillis < settings.residenceMillis
    }

    /** Whether requests for [modelId] may still run at the engine [targetId]. */
    private fun isInUse(targetId: TargetId, modelId: ModelId): Boolean {
        val loadedMillis = memory.loadedAtMillis[targetId to modelId] ?: Long.MIN_VALUE / 2
        val usedMillis = maxOf(loadedMillis, demandOf(modelId).latestMillis)
        return nowMillis - usedMillis < settings.useMillis
    }

    /** Returns the demand that waits while the engine loads: for adapters there, and for what its host keeps. */
    private fun blockedValue(engine: PlannedEngine, victims: List<ModelId>): Double =
        adapterDemand(engine, victims) + hostDemand(engine)

    private fun adapterDemand(engine: PlannedEngine, victims: List<ModelId>): Double =
        (engine.held.keys - victims.toSet())
            .filter { (spec.models[it]?.adapterCount ?: 0) > 0 }
            .sumOf { demand(it) / copiesOf(it).coerceAtLeast(1) }

    /** Returns this host's part of the demand for models that no engine holds. */
    private fun hostDemand(engine: PlannedEngine): Double = hostDemands.getValue(engine.targetId)

    private val hostDemands: Map<TargetId, Double> by lazy {
        val hosts = HashMap<ModelId, MutableList<TargetId>>()
        engines.forEach { engine ->
            val kept = engine.hostWeights.inMemory + engine.hostWeights.onDisk
            kept.filter { copiesOf(it) == 0 }.forEach { hosts.getOrPut(it) { ArrayList() } += engine.targetId }
        }
        val demands = engines.associateTo(HashMap()) { it.targetId to 0.0 }
        hosts.forEach { (modelId, targetIds) ->
            targetIds.forEach { demands.merge(it, demand(modelId) / targetIds.size, Double::plus) }
        }
        demands
    }

    private fun sizeOf(modelId: ModelId): Double = spec.models[modelId]?.weightsMegabytes ?: spec.weightsMegabytes

    private fun megabytesOf(modelId: ModelId, adapters: Int): Double =
        sizeOf(modelId) + adapters * (spec.models[modelId]?.adapterMegabytes ?: 0.0)

    private companion object {
        const val MILLIS_PER_SECOND = 1_000.0
    }
}
