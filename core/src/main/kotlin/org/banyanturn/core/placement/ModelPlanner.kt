package org.banyanturn.core.placement

import org.banyanturn.core.AdapterId
import org.banyanturn.core.ModelId
import org.banyanturn.core.TargetId
import org.banyanturn.core.serving.EngineSpec
import org.banyanturn.core.serving.HostWeights
import org.banyanturn.core.serving.ModelSpec
import org.banyanturn.core.serving.WeightsSource
import kotlin.math.ceil

/**
 * How copies of models are planned; values are in requests a second.
 *
 * @property maxLoads loads from the weight store at once: as many as it gives its full speed.
 * @property loadingFraction part of the engines that may load from the store while requests come: such a load takes
 * seconds, in which the engine can't load what its own host keeps.
 * @property spareValue part of a model's demand that a copy beyond those it needs is worth.
 * @property spreadValue part of a model's demand that lacks a copy, counted against models that lack all.
 * @property runSeconds how long a request holds its slot.
 * @property slotsInUse part of an engine's slots up to which requests run at a good speed.
 * @property reloadLoss part of a model's demand that is lost until its engine has loaded it again from its host.
 * @property gainFactor by how much more a model must be asked for than what makes room for it.
 * @property hostGainFactor the same where the weights come from the engine's own host.
 * @property waitWeight how much a second counts until a load ends, against a request a second that is lost.
 * @property useMillis how long a model counts as in use after a request or a load.
 * @property adapterModelDemand demand that a model with adapters is taken to have at least, since adapters are made
 * for models that are used.
 * @property copiedModelDemand demand for each copy of a model that has several, while nothing else is known: what is
 * used much was given more copies.
 * @property urgentGain gain from which a load from the store starts beyond these, up to [urgentLoads] more.
 * @property missWeight how much each request that found no copy adds to the demand for it, as a part of the demand.
 * @property residenceMillis how long a model stays at least that was loaded, so that what waits for it is sent.
 * @property wantedMillis how long a model counts as wanted after a request that found no copy.
 * @property makeRoomMillis how long it takes on average until a model in use has finished its runs and is gone.
 * @property declinedMillis how long an engine is passed over that did not take a load.
 */
public data class ModelPlannerSettings(
    val demand: ModelDemandSettings = ModelDemandSettings(),
    val maxLoads: Int = 4,
    val loadingFraction: Double = 0.25,
    val spareValue: Double = 0.01,
    val spreadValue: Double = 0.5,
    val runSeconds: Double = 2.0,
    val slotsInUse: Double = 0.5,
    val reloadLoss: Double = 0.6,
    val gainFactor: Double = 1.3,
    val hostGainFactor: Double = 1.1,
    val waitWeight: Double = 0.1,
    val useMillis: Long = 2_000,
    val adapterModelDemand: Double = 8.0,
    val copiedModelDemand: Double = 2.0,
    val urgentGain: Double = 1.5,
    val urgentLoads: Int = 2,
    val missWeight: Double = 0.35,
    val residenceMillis: Long = 1_500,
    val wantedMillis: Long = 6_000,
    val makeRoomMillis: Long = 1_000,
    val declinedMillis: Long = 1_000,
)

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
private class PlannedLoad(val plan: LoadPlan, val startedAtMillis: Long, val expectedMillis: Long)

/**
 * Decides which models are loaded where, and what makes room for them.
 *
 * Load patterns: many rare models are asked for at once while all engines are full; demand moves to other models; the
 * adapters of a busy model exceed an engine's places. A copy is worth the requests a second that would be lost without
 * it: a model needs as many copies as its load and its adapters take up, copies beyond that are worth next to nothing,
 * and the room of what is worth least by its size goes to the model that gains most. Of the models that wait for a load
 * the one that gains most goes first, not the one that was asked for first.
 *
 * A load from the store takes many times as long as one from a host, and holds its engine all the while. So a model
 * waits for an engine whose host keeps it unless the store is sooner, and what no host keeps is fetched before it is
 * asked for. Rare models take turns in the room of an engine whose host keeps their weights: what nobody uses at the moment makes
 * room first, since a model in use goes only when its runs have ended, and the engine takes no other order until then.
 */
public class ModelPlanner(private val settings: ModelPlannerSettings = ModelPlannerSettings()) {
    private val demands = HashMap<ModelId, ModelDemand>()
    private val loads = LinkedHashMap<ModelId, PlannedLoad>()
    private val declinedUntilMillis = HashMap<TargetId, Long>()
    private val misses = HashMap<ModelId, Int>()
    private val wantedAtMillis = HashMap<ModelId, Long>()
    private val loadedAtMillis = HashMap<Pair<TargetId, ModelId>, Long>()
    private var startMillis: Long? = null

    /** Notes that [requests] for [modelId], with the adapter [adapterId] of it or none, have arrived, served or not. */
    public fun noteDemand(modelId: ModelId, adapterId: AdapterId?, requests: Int, nowMillis: Long) {
        if (startMillis == null) startMillis = nowMillis
        demandOf(modelId).add(adapterId, requests, nowMillis)
    }

    /** Notes that a request for [modelId] found no copy. */
    public fun noteMiss(modelId: ModelId, nowMillis: Long) {
        misses.merge(modelId, 1, Int::plus)
        wantedAtMillis[modelId] = nowMillis
    }

    /** Returns how many requests a second ask for [modelId], as far as can be told. */
    public fun demandPerSecond(modelId: ModelId, nowMillis: Long): Double =
        demandOf(modelId).perSecond(startMillis ?: nowMillis, nowMillis)

    private fun demandOf(modelId: ModelId): ModelDemand = demands.getOrPut(modelId) { ModelDemand(settings.demand) }

    /** Returns the load that gains most now, or `null` if nothing should be loaded. */
    public fun nextPlanOrNull(engines: List<PlannedEngine>, spec: EngineSpec, nowMillis: Long): LoadPlan? {
        dropStale(nowMillis)
        val outlook = Outlook(engines, spec, nowMillis)
        return outlook.candidates()
            .sortedByDescending { outlook.gainOf(it) / it.weightsMegabytes }
            .firstNotNullOfOrNull { outlook.planOrNull(it) }
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
        dropStale(nowMillis)
        val outlook = Outlook(engines, spec, nowMillis)
        val waiting = outlook.candidates().sortedByDescending { outlook.gainOf(it) / it.weightsMegabytes }
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
        return startMillis + model.loadMillis + settings.makeRoomMillis
    }

    /** Notes that the load of [plan] was ordered and is expected in [inMillis]. */
    public fun started(plan: LoadPlan, inMillis: Long, nowMillis: Long) {
        loads[plan.modelId] = PlannedLoad(plan, nowMillis, nowMillis + inMillis)
    }

    /** Notes that the load of [modelId] has ended; its engine is passed over for a while if it [wasDeclined]. */
    public fun ended(modelId: ModelId, wasDeclined: Boolean, nowMillis: Long) {
        val load = loads.remove(modelId) ?: return
        if (wasDeclined) {
            declinedUntilMillis[load.plan.targetId] = nowMillis + settings.declinedMillis
        } else {
            misses -= modelId
            loadedAtMillis[load.plan.targetId to modelId] = nowMillis
        }
    }

    private fun dropStale(nowMillis: Long) {
        loads.values.removeIf {
            nowMillis - it.startedAtMillis >
                2 * (it.expectedMillis - it.startedAtMillis) + STALE_MILLIS
        }
        declinedUntilMillis.values.removeIf { it <= nowMillis }
        wantedAtMillis.values.removeIf { nowMillis - it > settings.wantedMillis }
        loadedAtMillis.values.removeIf { nowMillis - it > maxOf(settings.residenceMillis, settings.useMillis) }
    }

    /** What is known at one moment. */
    private inner class Outlook(
        private val engines: List<PlannedEngine>,
        private val spec: EngineSpec,
        private val nowMillis: Long,
    ) {
        private val copies = engines.flatMap { it.held.keys }.groupingBy { it }.eachCount()
        private val loadingAt = loads.values.mapTo(HashSet()) { it.plan.targetId }
        private val storeLoads = loads.values.count { it.plan.isFromStore }

        /** Returns the models that lack a copy: those that requests did not find, and those that need a further one. */
        fun candidates(): List<ModelSpec> =
            spec.models.values.filter { model ->
                val count = copies[model.modelId] ?: 0
                model.modelId !in loads && (count == 0 || (isWatching && count < neededCopies(model)))
            }

        /** Whether requests have come, so that demand is more than a guess. */
        private val isWatching = startMillis != null

        private fun demand(modelId: ModelId): Double = demandPerSecond(modelId, nowMillis)

        /** Returns how many copies the load and the adapters of [model] take up. */
        private fun neededCopies(model: ModelSpec): Int {
            val busySlots = demand(model.modelId) * settings.runSeconds
            val byLoad = ceil(busySlots / (spec.slots * settings.slotsInUse)).toInt()
            val adapters = activeAdapters(model)
            val byPlaces = if (spec.adapterSlots > 0) ceil(adapters.toDouble() / spec.adapterSlots).toInt() else 0
            return maxOf(1, byLoad, byPlaces)
        }

        /** Whether too little has been asked for yet to tell which models are in use. */
        private val isLearning = nowMillis - (startMillis ?: nowMillis) < settings.demand.recentMillis

        private fun activeAdapters(model: ModelSpec): Int =
            if (model.adapterCount == 0) 0 else demandOf(model.modelId).activeAdapters(nowMillis)

        /** Returns what a further copy is worth; a model whose requests were refused before gains with each of them. */
        fun gainOf(model: ModelSpec): Double {
            val count = copies[model.modelId] ?: 0
            val demand = demand(model.modelId)
            if (count == 0) return demand * (1 + settings.missWeight * (misses[model.modelId] ?: 0))
            val needed = neededCopies(model)
            return demand * settings.spreadValue * (needed - count).coerceAtLeast(0) / needed
        }

        /** Returns the requests a second that would be lost or slowed if one copy of [modelId] went. */
        private fun valueOf(modelId: ModelId): Double {
            val model = spec.models[modelId] ?: return 0.0
            val count = copies[modelId] ?: 1
            if (!isLearning && count > neededCopies(model)) return demand(modelId) * settings.spareValue
            val least = if (model.adapterCount > 0) settings.adapterModelDemand else 0.0
            val unknown = if (isLearning && count > 1) count * settings.copiedModelDemand else 0.0
            return settings.reloadLoss * maxOf(least, unknown, demand(modelId)) / count
        }

        /** Returns the load of [model] that costs least now, or `null` if none is due or its host's turn is awaited. */
        fun planOrNull(model: ModelSpec): LoadPlan? {
            val (fromStore, fromHost) = options(model).filter(::isFree).partition { it.plan.isFromStore }
            val best = fromHost.minByOrNull { costOf(it, model) }
                ?: fromStore.filter { isSoonerThanHost(it, model) }.minByOrNull { costOf(it, model) }
            return best?.plan
        }

        private fun isFree(option: LoadOption): Boolean =
            option.plan.targetId !in loadingAt && option.plan.targetId !in declinedUntilMillis

        private fun isSoonerThanHost(option: LoadOption, model: ModelSpec): Boolean =
            storeLoads < mostLoads(model) &&
                option.readyInMillis < (hostMillisOrNull(model, rank = 0) ?: Long.MAX_VALUE)

        /** Returns the requests a second that are lost by [option], with those that wait or are blocked meanwhile. */
        private fun costOf(option: LoadOption, model: ModelSpec): Double {
            val waitSeconds = option.readyInMillis / MILLIS_PER_SECOND
            return option.victimsValue + (option.blockedValue + gainOf(model)) * waitSeconds * settings.waitWeight
        }

        /** Returns when an engine whose host keeps the weights of [model] can have loaded it, after [rank] others. */
        fun hostMillisOrNull(model: ModelSpec, rank: Int): Long? {
            val soonest = options(model, waitsForArrivals = true)
                .filterNot { it.plan.isFromStore }
                .minOfOrNull { freeInMillis(it.plan.targetId) + it.readyInMillis } ?: return null
            return soonest + rank / engines.size * soonest
        }

        /** Returns when the engine [targetId] has ended the load that was planned there. */
        private fun freeInMillis(targetId: TargetId): Long {
            val load = loads.values.firstOrNull { it.plan.targetId == targetId } ?: return 0
            return (load.expectedMillis - nowMillis).coerceAtLeast(0)
        }

        private fun mostLoads(model: ModelSpec): Int =
            maxStoreLoads + if (gainOf(model) >= settings.urgentGain) settings.urgentLoads else 0

        /** How many loads from the store may run at once. */
        val maxStoreLoads: Int =
            if (startMillis == null) {
                settings.maxLoads
            } else {
                (engines.size * settings.loadingFraction).toInt().coerceIn(1, settings.maxLoads)
            }

        /** Returns whether an engine would make room for [model], now or after what it loads. */
        fun mayEverLoad(model: ModelSpec): Boolean = options(model).isNotEmpty()

        /** Returns the loads of [model] that are worth it, also those that wait until what has just come was used. */
        private fun options(model: ModelSpec, waitsForArrivals: Boolean = false): List<LoadOption> {
            val gain = gainOf(model)
            return engines
                .filter { model.modelId !in it.held }
                .mapNotNull { optionOrNull(it, model, waitsForArrivals) }
                .filter { it.plan.victims.isEmpty() || mayDrop(model, gain, it) }
        }

        /** Models that nobody waits for are loaded only where there is room, but for those that no host keeps. */
        private fun mayDrop(model: ModelSpec, gain: Double, option: LoadOption): Boolean {
            val isWaitedFor = model.modelId in wantedAtMillis || model.modelId in copies
            return (isWaitedFor || !isAtAnyHost(model.modelId)) &&
                gain >= option.victimsValue * gainFactorOf(option.plan)
        }

        private fun isAtAnyHost(modelId: ModelId): Boolean =
            engines.any { it.hostWeights.sourceOf(modelId) != WeightsSource.STORE }

        private fun gainFactorOf(plan: LoadPlan): Double =
            if (plan.isFromStore) settings.gainFactor else settings.hostGainFactor

        private fun optionOrNull(engine: PlannedEngine, model: ModelSpec, waitsForArrivals: Boolean): LoadOption? {
            val used = engine.held.entries.sumOf { (held, adapters) -> megabytesOf(held, adapters) }
            var missing = used + model.weightsMegabytes - spec.weightsMegabytes
            val victims = ArrayList<ModelId>()
            val byValue = engine.held.keys
                .filter { waitsForArrivals || !hasJustCome(engine.targetId, it) }
                .sortedWith(compareBy({ isInUse(engine.targetId, it) }, { valueOf(it) / sizeOf(it) }))
            for (candidate in byValue) {
                if (missing <= 0) break
                victims += candidate
                missing -= megabytesOf(candidate, engine.held.getValue(candidate))
            }
            if (missing > 0) return null
            val source = engine.hostWeights.sourceOf(model.modelId)
            val plan = LoadPlan(engine.targetId, model.modelId, victims, source)
            val roomMillis = if (victims.any { isInUse(engine.targetId, it) }) settings.makeRoomMillis else 0
            val readyInMillis = roomMillis + model.loadMillisFrom(source)
            return LoadOption(plan, victims.sumOf(::valueOf), blockedValue(engine, victims), readyInMillis)
        }

        private fun hasJustCome(targetId: TargetId, modelId: ModelId): Boolean {
            val loadedMillis = loadedAtMillis[targetId to modelId] ?: return false
            return nowMillis - loadedMillis < settings.residenceMillis
        }

        /** Whether requests for [modelId] may still run at the engine [targetId]. */
        private fun isInUse(targetId: TargetId, modelId: ModelId): Boolean {
            val loadedMillis = loadedAtMillis[targetId to modelId] ?: Long.MIN_VALUE / 2
            val usedMillis = maxOf(loadedMillis, demandOf(modelId).latestMillis)
            return nowMillis - usedMillis < settings.useMillis
        }

        /** Returns the demand for adapters that the engine can't change while it loads a model. */
        private fun blockedValue(engine: PlannedEngine, victims: List<ModelId>): Double =
            (engine.held.keys - victims.toSet())
                .filter { (spec.models[it]?.adapterCount ?: 0) > 0 }
                .sumOf { demand(it) / (copies[it] ?: 1) }

        private fun sizeOf(modelId: ModelId): Double = spec.models[modelId]?.weightsMegabytes ?: spec.weightsMegabytes

        private fun megabytesOf(modelId: ModelId, adapters: Int): Double =
            sizeOf(modelId) + adapters * (spec.models[modelId]?.adapterMegabytes ?: 0.0)
    }

    private companion object {
        /** Time beyond twice the expected one after which a load counts as lost. */
        const val STALE_MILLIS = 2_000L

        const val MILLIS_PER_SECOND = 1_000.0
    }
}

/** One way to load a model, with the requests a second that it loses and blocks. */
private class LoadOption(
    val plan: LoadPlan,
    val victimsValue: Double,
    val blockedValue: Double,
    val readyInMillis: Long,
)
