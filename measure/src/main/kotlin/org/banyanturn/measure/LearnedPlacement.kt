package org.banyanturn.measure

import org.banyanturn.core.MemberId
import org.banyanturn.core.placement.EngineCandidate
import org.banyanturn.core.placement.EngineChoice
import org.banyanturn.core.placement.EngineOwnerDecision
import org.banyanturn.core.placement.EvictableCopy
import org.banyanturn.core.placement.GapHistogram
import org.banyanturn.core.placement.KeepAlivePolicy
import org.banyanturn.core.placement.KeepAliveSettings
import org.banyanturn.core.placement.LoadDecision
import org.banyanturn.core.placement.LoadKey
import org.banyanturn.core.placement.LoadLane
import org.banyanturn.core.placement.LoadOutcome
import org.banyanturn.core.placement.LoadQueue
import org.banyanturn.core.placement.LoadQueueStep
import org.banyanturn.core.placement.LoadRequest
import org.banyanturn.core.placement.PrewarmWindow
import org.banyanturn.core.placement.QueuedLoad
import org.banyanturn.core.placement.chooseEngineOrNull
import org.banyanturn.core.placement.gapHistogramOf
import org.banyanturn.core.placement.keepAlivePolicyOf
import org.banyanturn.core.placement.laneFrom
import org.banyanturn.core.placement.loadQueueOf
import org.banyanturn.core.placement.toLoadKey
import org.banyanturn.core.state.CopyKey

private const val RETRY_MILLIS = 200L
private const val TICK_MILLIS = 250L
private const val EVICTION_MILLIS = 80L
private const val PREWARM_MARGIN_MILLIS = 1_000L
private const val SHORTEST_GAP_MILLIS = 1_000L
private val PREWARM_MEMBER = MemberId("prewarm")

/** The core's own parts: owner machines, load queue, engine choice and learned keep-alive. */
internal class LearnedPlacement(private val world: ModelsWorld, settings: KeepAliveSettings) : ModelsPlacement {
    private data class Waiting(val request: WorkloadRequest, val deadlineMillis: Long)

    private class Learned {
        var gaps: GapHistogram = gapHistogramOf()
        var plan = 0L
        var idleSinceMillis: Long? = null
        var prewarmedUntilMillis: Long? = null
    }

    private val clock = world.clock
    private val keepAlive: KeepAlivePolicy = keepAlivePolicyOf(settings)
    private val models = world.workload.models.associateBy { it.key }
    private val adapters = world.workload.models.flatMap { it.adapters }.associateBy { it.key }
    private val learned = world.workload.models.associateWith { Learned() }
    private val waiting = HashMap<String, Waiting>()
    private val engines = OwnedEngines(world, ::copyReady, ::loadRefused)
    private var queue: LoadQueue = loadQueueOf()
    private var isTicking = false

    private fun tick() {
        isTicking = false
        engines.reportIfLoading()
        startNext()
    }

    private fun startNext() {
        apply(queue.startNext(clock.nowMillis))
        val isBusy = queue.waiting.isNotEmpty() || queue.running.isNotEmpty()
        if (isTicking || !isBusy) return
        isTicking = true
        clock.after(TICK_MILLIS, ::tick)
    }

    override fun used(model: WorkloadModel) {
        val state = learned.getValue(model)
        val gapMillis = state.idleSinceMillis?.let { clock.nowMillis - it }
        if (gapMillis != null && gapMillis >= SHORTEST_GAP_MILLIS) state.gaps = state.gaps.record(gapMillis)
        state.plan++
        state.idleSinceMillis = null
        state.prewarmedUntilMillis = null
    }

    override fun fellIdle(model: WorkloadModel, engine: TrueEngine) {
        learned.getValue(model).idleSinceMillis = clock.nowMillis
        planIdle(model, engine)
    }

    private fun planIdle(model: WorkloadModel, engine: TrueEngine) {
        val state = learned.getValue(model)
        val number = ++state.plan
        val coldMillis = world.loadMillis(model.key, model.memoryMebibytes, engine.tierOf(model.key)).toLong()
        val plan = keepAlive.plan(state.gaps, coldMillis, model.memoryMebibytes.toDouble() / ENGINE_MEBIBYTES)
        clock.after(plan.unloadAfterMillis) { if (state.plan == number) unloadIdle(model) }
        plan.prewarm?.let { schedulePrewarm(model, it, number, coldMillis) }
    }

    private fun unloadIdle(model: WorkloadModel) {
        val engine = world.readyOn[model.key] ?: return
        if (engine.copies[model.key]?.isIdle == true) evict(engine, model.key)
    }

    private fun schedulePrewarm(model: WorkloadModel, window: PrewarmWindow, number: Long, coldMillis: Long) {
        val state = learned.getValue(model)
        clock.after(window.readyAtMillis - coldMillis - PREWARM_MARGIN_MILLIS) {
            if (state.plan == number && model.key !in world.readyOn) prewarm(model)
        }
        state.prewarmedUntilMillis = clock.nowMillis + window.unloadAtMillis
        clock.after(window.unloadAtMillis) { if (state.plan == number) unloadIdle(model) }
    }

    private fun prewarm(model: WorkloadModel) {
        val choice = chooseOrNull(model.key) ?: return
        if (choice.evictions.isNotEmpty()) return
        val predicted = predict(model.key)
        apply(queue.prewarm(model.key, PREWARM_MEMBER, predicted.lane, predicted.loadMillis, clock.nowMillis))
        startNext()
    }

    override fun wanted(request: WorkloadRequest, deadlineMillis: Long) {
        val id = request.id.toString()
        waiting[id] = Waiting(request, deadlineMillis)
        val key = if (request.model.key in world.readyOn) checkNotNull(request.adapter).key else request.model.key
        val predicted = predict(key)
        apply(
            queue.enqueue(
                LoadRequest(id, key, request.memberId, deadlineMillis, predicted.lane, predicted.loadMillis),
                clock.nowMillis,
            ),
        )
        startNext()
    }

    private data class Prediction(val lane: LoadLane, val loadMillis: Long)

    private fun predict(key: LoadKey): Prediction {
        val choice = chooseOrNull(key)
        val engine = world.engines.firstOrNull { it.targetId == choice?.targetId } ?: world.engines.first()
        val tier = engine.tierOf(key)
        val millis = choice?.predictedLoadMillis ?: world.loadMillis(key, mebibytesOf(key), tier).toLong()
        return Prediction(key.laneFrom(tier), millis)
    }

    private fun mebibytesOf(key: LoadKey): Long =
        models[key]?.memoryMebibytes ?: adapters.getValue(key).memoryMebibytes

    private fun chooseOrNull(key: LoadKey): EngineChoice? {
        val model = models[key]
        val candidates = if (model == null) {
            listOfNotNull(world.readyOn[key.copy(adapterId = null)])
        } else {
            val holder = engines.holderOrNull(key)
            if (holder != null) return EngineChoice(holder.targetId, emptyList(), loadMillis(holder, key), 0.0)
            world.engines.filter { it.isService == model.isService }
        }
        return chooseEngineOrNull(candidates.map { candidate(it, key) }, mebibytesOf(key))
    }

    private fun loadMillis(engine: TrueEngine, key: LoadKey): Long =
        world.loadMillis(key, mebibytesOf(key), engine.tierOf(key)).toLong()

    private fun candidate(engine: TrueEngine, key: LoadKey): EngineCandidate =
        EngineCandidate(
            targetId = engine.targetId,
            loadMillis = loadMillis(engine, key),
            queueMillis = 0,
            zoneDelayMillis = 0.0,
            freeMebibytes = engines.freeMebibytes(engine),
            evictable = engine.copies.mapNotNull { (held, copy) -> evictableOrNull(engine, held, copy) }
                .filter { it.copy.modelId != key.modelId },
        )

    private fun evictableOrNull(engine: TrueEngine, key: LoadKey, copy: TrueCopy): EvictableCopy? {
        val model = models[key] ?: return null
        if (!copy.isIdle || world.readyOn[key] !== engine) return null
        val reloadMillis = world.loadMillis(key, copy.memoryMebibytes, engine.tierOf(key)).toLong()
        if (!keepAlive.mayEvict(clock.nowMillis - copy.loadedMillis, reloadMillis)) return null
        val idleMillis = clock.nowMillis - copy.idleSinceMillis
        val costMillis = keepAlive.evictionCostMillis(learned.getValue(model).gaps, idleMillis, reloadMillis)
        val mebibytes = engine.copies.entries.filter {
            it.key.modelId == key.modelId
        }.sumOf { it.value.memoryMebibytes }
        return EvictableCopy(CopyKey(engine.targetId, key.modelId, null, key.version), mebibytes, costMillis)
    }

    private fun apply(step: LoadQueueStep) {
        queue = step.queue
        step.decisions.forEach { decision ->
            when (decision) {
                is LoadDecision.Start -> start(decision.load)

                is LoadDecision.Serve -> serve(decision)

                is LoadDecision.Refuse -> waiting.remove(decision.requestId)?.let {
                    world.refuse(it.request, decision.retryAfterMillis)
                }
            }
        }
    }

    private fun serve(decision: LoadDecision.Serve) {
        val (request, deadlineMillis) = waiting.remove(decision.requestId) ?: return
        if (world.isServable(request)) world.serve(request) else wanted(request, deadlineMillis)
    }

    private fun start(load: QueuedLoad) {
        val choice = chooseOrNull(load.key)
        if (choice == null) {
            clock.after(RETRY_MILLIS) { finish(load.key, LoadOutcome.FAILED) }
            return
        }
        val engine = world.engines.first { it.targetId == choice.targetId }
        choice.evictions.forEach { evict(engine, it.toLoadKey()) }
        val delayMillis = if (choice.evictions.isEmpty()) 0 else EVICTION_MILLIS
        clock.after(delayMillis) { engines.load(engine, load.key, mebibytesOf(load.key)) }
    }

    private fun evict(engine: TrueEngine, key: LoadKey) {
        engine.copies.keys.filter { it.modelId == key.modelId }.forEach { gone ->
            world.readyOn.remove(gone)
            engines.unload(engine, gone)
        }
    }

    private fun finish(key: LoadKey, outcome: LoadOutcome) {
        apply(queue.finish(key, outcome, clock.nowMillis))
        startNext()
    }

    private fun copyReady(copy: CopyKey, engine: TrueEngine) {
        world.readyOn[copy.toLoadKey()] = engine
        finish(copy.toLoadKey(), LoadOutcome.READY)
        val model = models[copy.toLoadKey()] ?: return
        val isUnused = engine.copies[model.key]?.isIdle == true
        if (isUnused && learned.getValue(model).prewarmedUntilMillis == null) planIdle(model, engine)
    }

    private fun loadRefused(refusal: EngineOwnerDecision.RefuseLoad) {
        clock.after(RETRY_MILLIS) { finish(refusal.copy.toLoadKey(), LoadOutcome.FAILED) }
    }
}
