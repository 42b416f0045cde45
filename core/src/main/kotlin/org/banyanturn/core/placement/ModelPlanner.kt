package org.banyanturn.core.placement

import org.banyanturn.core.ModelId
import org.banyanturn.core.TargetId
import org.banyanturn.core.serving.EngineSpec
import org.banyanturn.core.serving.ModelSpec
import kotlin.math.exp

/**
 * How copies of models are planned; values are in requests a second.
 *
 * @property maxLoads model loads at once; the weight store gives no more its full speed, and an engine that loads a
 * model takes no adapters meanwhile.
 * @property demandMillis how far back demand counts.
 * @property spareValue part of a model's demand that a copy beside others is worth.
 * @property placesValue the same while the model's adapters need the copy's places.
 * @property adapterModelDemand demand that a model with adapters is taken to have at least: adapters are made for what
 * is used.
 * @property unknownDemand demand that any model is taken to have while the planner has not seen what is asked for.
 * @property learningMillis how long that weighs.
 * @property gainFactor by how much more a missing model must be asked for than what makes room for it.
 * @property missWeight how much each request that found no copy adds to the demand for it, as a part of the demand.
 * @property residenceMillis how long a model stays at least that was loaded.
 * @property spreadLoad part of the slots of a model's engines in use from which a further copy is loaded.
 * @property declinedMillis how long an engine is passed over that did not take a load.
 */
public data class ModelPlannerSettings(
    val maxLoads: Int = 4,
    val demandMillis: Long = 8_000,
    val spareValue: Double = 0.03,
    val placesValue: Double = 0.06,
    val adapterModelDemand: Double = 0.5,
    val unknownDemand: Double = 0.4,
    val learningMillis: Long = 3_000,
    val gainFactor: Double = 1.6,
    val missWeight: Double = 0.25,
    val residenceMillis: Long = 8_000,
    val spreadLoad: Double = 0.6,
    val declinedMillis: Long = 1_000,
)

/**
 * An engine as the planner sees it.
 *
 * @property held the models that it holds, each with the number of its adapters there.
 * @property load part of its slots that is in use.
 */
public data class PlannedEngine(val targetId: TargetId, val held: Map<ModelId, Int>, val load: Double = 0.0)

/** Where a model is to be loaded, and which models make room for it there. */
public data class LoadPlan(val targetId: TargetId, val modelId: ModelId, val victims: List<ModelId>)

/** A load that was planned and has not ended. */
public data class PlannedLoad(val plan: LoadPlan, val startedAtMillis: Long, val expectedMillis: Long)

/**
 * Decides where models that are asked for and held nowhere are loaded, and what makes room for them.
 *
 * Load patterns: many rare models are asked for at once while all engines are full; demand moves to other models. A
 * model is worth the requests a second that only it can serve: a copy beside others is worth little, so the first copies
 * of rare models take the place of further copies of busy ones, and of models that nobody asks for any more.
 */
public class ModelPlanner(private val settings: ModelPlannerSettings = ModelPlannerSettings()) {
    private val demands = HashMap<ModelId, DecayingCount>()
    private val loads = LinkedHashMap<ModelId, PlannedLoad>()
    private val declinedUntilMillis = HashMap<TargetId, Long>()
    private val misses = HashMap<ModelId, Int>()
    private val loadedAtMillis = HashMap<Pair<TargetId, ModelId>, Long>()
    private var firstSeenMillis: Long? = null

    /** Notes that a request for [modelId] found no copy. */
    public fun noteMiss(modelId: ModelId) {
        misses.merge(modelId, 1, Int::plus)
    }

    /** Notes that [requests] for [modelId] have arrived, served or not. */
    public fun noteDemand(modelId: ModelId, requests: Int, nowMillis: Long) {
        if (firstSeenMillis == null) firstSeenMillis = nowMillis
        demands.getOrPut(modelId) { DecayingCount(settings.demandMillis) }.add(requests.toDouble(), nowMillis)
    }

    /** Returns the load of [modelId] that is under way, or `null`. */
    public fun loadOrNull(modelId: ModelId): PlannedLoad? = loads[modelId]

    /** Returns the plan by which [modelId] is loaded, or `null` if nothing can or should make room for it now. */
    public fun planOrNull(
        modelId: ModelId,
        engines: List<PlannedEngine>,
        spec: EngineSpec,
        nowMillis: Long,
    ): LoadPlan? {
        dropStale(nowMillis)
        val model = spec.models[modelId] ?: return null
        if (loads.size >= settings.maxLoads || modelId in loads) return null
        val copies = engines.flatMap { it.held.keys }.groupingBy { it }.eachCount()
        val loading = loads.values.mapTo(HashSet()) { it.plan.targetId }
        val best = engines
            .filter { it.targetId !in loading && modelId !in it.held && !isDeclined(it.targetId, nowMillis) }
            .mapNotNull { engine -> optionOrNull(engine, model, spec, copies, nowMillis) }
            .minByOrNull { it.loss }
            ?: return null
        val gain = gainOf(modelId, copies, nowMillis)
        val isWorthIt = best.plan.victims.isEmpty() || gain >= best.victimsValue * settings.gainFactor
        return best.plan.takeIf { isWorthIt }
    }

    /** Returns a model whose engines are so busy that it needs a further copy, or `null`. */
    public fun crowdedModelOrNull(engines: List<PlannedEngine>, nowMillis: Long): ModelId? =
        engines.flatMap { it.held.keys }.distinct()
            .filter { modelId -> engines.filter { modelId in it.held }.all { it.load >= settings.spreadLoad } }
            .maxByOrNull { demandOf(it, nowMillis) }
            ?.takeIf { demandOf(it, nowMillis) > 0 && it !in loads }

    /** Returns what a copy of [modelId] would be worth; those whose requests were refused before gain with each. */
    private fun gainOf(modelId: ModelId, copies: Map<ModelId, Int>, nowMillis: Long): Double {
        val demand = demandOf(modelId, nowMillis)
        val isHeld = (copies[modelId] ?: 0) > 0
        return if (isHeld) demand / 2 else demand * (1 + settings.missWeight * (misses[modelId] ?: 0))
    }

    private fun isDeclined(targetId: TargetId, nowMillis: Long): Boolean =
        nowMillis < (declinedUntilMillis[targetId] ?: Long.MIN_VALUE)

    private fun optionOrNull(
        engine: PlannedEngine,
        model: ModelSpec,
        spec: EngineSpec,
        copies: Map<ModelId, Int>,
        nowMillis: Long,
    ): LoadOption? {
        val used = engine.held.entries.sumOf { (held, adapters) -> megabytesOf(held, adapters, spec) }
        var missing = used + model.weightsMegabytes - spec.weightsMegabytes
        val victims = ArrayList<ModelId>()
        var value = 0.0
        val byValue = engine.held.keys
            .filterNot { isNewAt(engine.targetId, it, nowMillis) }
            .sortedBy { valueOf(it, copies, spec, nowMillis) / sizeOf(it, spec) }
        for (candidate in byValue) {
            if (missing <= 0) break
            victims += candidate
            value += valueOf(candidate, copies, spec, nowMillis)
            missing -= megabytesOf(candidate, engine.held.getValue(candidate), spec)
        }
        if (missing > 0) return null
        val blocked = blockedValue(engine, victims, copies, spec, nowMillis)
        return LoadOption(LoadPlan(engine.targetId, model.modelId, victims), value, value + blocked)
    }

    private fun isNewAt(targetId: TargetId, modelId: ModelId, nowMillis: Long): Boolean =
        nowMillis - (loadedAtMillis[targetId to modelId] ?: Long.MIN_VALUE / 2) < settings.residenceMillis

    /** Returns the demand for adapters that the engine can't change while it loads a model. */
    private fun blockedValue(
        engine: PlannedEngine,
        victims: List<ModelId>,
        copies: Map<ModelId, Int>,
        spec: EngineSpec,
        nowMillis: Long,
    ): Double =
        (engine.held.keys - victims.toSet())
            .filter { (spec.models[it]?.adapterCount ?: 0) > 0 }
            .sumOf { expectedDemandOf(it, spec, nowMillis) / (copies[it] ?: 1) }

    /** Returns the demand for [modelId], and the least that its adapters let expect. */
    private fun expectedDemandOf(modelId: ModelId, spec: EngineSpec, nowMillis: Long): Double {
        val hasAdapters = (spec.models[modelId]?.adapterCount ?: 0) > 0
        val demand = demandOf(modelId, nowMillis)
        return if (hasAdapters) maxOf(demand, settings.adapterModelDemand) else demand
    }

    private fun sizeOf(modelId: ModelId, spec: EngineSpec): Double =
        spec.models[modelId]?.weightsMegabytes ?: spec.weightsMegabytes

    private fun megabytesOf(modelId: ModelId, adapters: Int, spec: EngineSpec): Double =
        sizeOf(modelId, spec) + adapters * (spec.models[modelId]?.adapterMegabytes ?: 0.0)

    /** Returns the requests a second that would be lost or slowed if one copy of [modelId] went. */
    private fun valueOf(modelId: ModelId, copies: Map<ModelId, Int>, spec: EngineSpec, nowMillis: Long): Double {
        val demand = expectedDemandOf(modelId, spec, nowMillis)
        val count = copies[modelId] ?: 1
        if (count <= 1) return demand
        val adapters = spec.models[modelId]?.adapterCount ?: 0
        val needsPlaces = adapters > (count - 1) * spec.adapterSlots
        return demand * (if (needsPlaces) settings.placesValue else settings.spareValue) / count
    }

    /** Returns how many requests a second ask for [modelId], as far as can be told yet. */
    public fun demandOf(modelId: ModelId, nowMillis: Long): Double {
        val seenMillis = nowMillis - (firstSeenMillis ?: nowMillis)
        val unknown = settings.unknownDemand * exp(-seenMillis / settings.learningMillis.toDouble())
        return unknown + (demands[modelId]?.perSecond(nowMillis) ?: 0.0)
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
        loads.values.removeIf { nowMillis - it.startedAtMillis > 2 * (it.expectedMillis - it.startedAtMillis) + STALE_MILLIS }
        declinedUntilMillis.values.removeIf { it <= nowMillis }
    }

    private companion object {
        /** Time beyond twice the expected one after which a load counts as lost. */
        const val STALE_MILLIS = 2_000L
    }
}

private class LoadOption(val plan: LoadPlan, val victimsValue: Double, val loss: Double)

/** A count whose older parts weigh less and less. */
private class DecayingCount(private val horizonMillis: Long) {
    private var value = 0.0
    private var updatedMillis = 0L

    fun add(amount: Double, nowMillis: Long) {
        decay(nowMillis)
        value += amount
    }

    fun perSecond(nowMillis: Long): Double {
        decay(nowMillis)
        return value * MILLIS_PER_SECOND / horizonMillis
    }

    private fun decay(nowMillis: Long) {
        if (nowMillis <= updatedMillis) return
        value *= exp(-(nowMillis - updatedMillis) / horizonMillis.toDouble())
        updatedMillis = nowMillis
    }

    private companion object {
        const val MILLIS_PER_SECOND = 1_000.0
    }
}
