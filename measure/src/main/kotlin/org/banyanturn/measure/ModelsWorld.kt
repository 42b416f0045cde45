package org.banyanturn.measure

import org.HdrHistogram.Histogram
import org.banyanturn.core.TargetId
import org.banyanturn.core.placement.CheckpointTier
import org.banyanturn.core.placement.LoadKey
import java.util.SplittableRandom

internal const val MEBIBYTES_PER_GIBIBYTE: Long = 1_024
internal const val ENGINE_MEBIBYTES: Long = 48 * MEBIBYTES_PER_GIBIBYTE
private const val VM_MEMORY_CACHE_MEBIBYTES = 40 * MEBIBYTES_PER_GIBIBYTE
private const val VM_DISK_CACHE_MEBIBYTES = 120 * MEBIBYTES_PER_GIBIBYTE

/** Size of the checkpoint to which the store's loads a second refer. */
private const val USUAL_CHECKPOINT_MEBIBYTES = 16.0 * MEBIBYTES_PER_GIBIBYTE
private const val LOAD_START_MILLIS = 150.0
private const val MEMORY_GIBIBYTES_PER_SECOND = 48.0
private const val DISK_GIBIBYTES_PER_SECOND = 24.0
private const val ADAPTER_LOAD_MILLIS = 8.0
private const val UNLOAD_MILLIS = 50L
private const val SLOW_STORE_PERIOD_MILLIS = 8 * HOUR_MILLIS
private const val SLOW_STORE_MILLIS = 15 * MINUTE_MILLIS
private const val SLOW_STORE_FACTOR = 5.0
private const val LOST_ANSWER_SHARE = 0.002
private const val MAX_COLD_START_MILLIS = 24 * HOUR_MILLIS

/** How long the caller of an order waits for its answer. */
internal const val ORDER_TIMEOUT_MILLIS: Long = 30_000

/** Checkpoints in a cache that drops the least recently used. */
private class CheckpointCache(private val capacityMebibytes: Long) {
    private val sizes = LinkedHashMap<LoadKey, Long>(16, 0.75f, true)

    operator fun contains(key: LoadKey): Boolean = sizes.containsKey(key)

    fun put(key: LoadKey, mebibytes: Long) {
        sizes[key] = mebibytes
        while (sizes.values.sum() > capacityMebibytes) sizes.remove(sizes.keys.first())
    }
}

/** A copy that an engine truly holds. */
internal class TrueCopy(val memoryMebibytes: Long, var isReady: Boolean = false) {
    var busyRequests: Int = 0
    var idleSinceMillis: Long = 0
    var loadedMillis: Long = 0
    val isIdle: Boolean get() = isReady && busyRequests == 0
}

/** An engine's true state; it takes every order, also one beyond its memory. */
internal class TrueEngine(val targetId: TargetId, val zone: Int, val isService: Boolean) {
    val copies = LinkedHashMap<LoadKey, TrueCopy>()
    private val memoryCache = CheckpointCache(VM_MEMORY_CACHE_MEBIBYTES)
    private val diskCache = CheckpointCache(VM_DISK_CACHE_MEBIBYTES)

    val usedMebibytes: Long get() = copies.values.sumOf { it.memoryMebibytes }

    fun tierOf(key: LoadKey): CheckpointTier =
        when (key) {
            in memoryCache -> CheckpointTier.MEMORY
            in diskCache -> CheckpointTier.DISK
            else -> CheckpointTier.REMOTE
        }

    fun cache(key: LoadKey, mebibytes: Long) {
        memoryCache.put(key, mebibytes)
        diskCache.put(key, mebibytes)
    }
}

/** What a run has counted. */
internal class ModelsFigures {
    /** Waits of the requests that met a model without a ready copy; those for an adapter alone are left out. */
    val coldStartMillis = Histogram(MAX_COLD_START_MILLIS, 3)

    /** Waits of all requests, 0 for most. */
    val waitMillis = Histogram(MAX_COLD_START_MILLIS, 3)
    var requests = 0L
    var idleAcceleratorMillis = 0.0
    var refusedInTime = 0L
    var late = 0L
    var modelLoads = 0L
    var copiesAboveDecided = 0L
    var overcommitted = 0L
}

/** Decides loads and unloads; the naive policy and the core's are two of these. */
internal interface ModelsPlacement {
    /** The request finds no copy that is ready; the policy is to call [ModelsWorld.serve] or [ModelsWorld.refuse]. */
    fun wanted(request: WorkloadRequest, deadlineMillis: Long)

    /** The copy of [model] on [engine] serves no request any more. */
    fun fellIdle(model: WorkloadModel, engine: TrueEngine)

    /** A request for [model] has arrived. */
    fun used(model: WorkloadModel)
}

/** Engines, weight store and callers in virtual time, for either policy. */
internal class ModelsWorld(val deployment: Deployment, val workload: ModelsWorkload, seed: Long) {
    val clock = ModelsClock()
    val figures = ModelsFigures()
    val engines: List<TrueEngine> = List(deployment.assistantEngines + deployment.serviceEngines) { index ->
        TrueEngine(TargetId("engine-$index"), index % deployment.zones, index >= deployment.assistantEngines)
    }
    val readyOn = HashMap<LoadKey, TrueEngine>()
    private val modelColdIds = HashSet<Long>()
    private val deadlinesMillis = HashMap<Long, Long>()
    private val random = SplittableRandom(seed)
    private val store = SharedLink(clock, FULL_SPEED_STORE_LOADS, ::storeSlowFactor)
    private val adapterLink = SharedLink(clock, FULL_SPEED_ADAPTER_LOADS) { 1.0 }
    private lateinit var placement: ModelsPlacement

    val isMeasuring: Boolean get() = clock.nowMillis >= WARM_UP_MILLIS

    fun run(placement: ModelsPlacement, runMillis: Long = RUN_MILLIS): ModelsFigures {
        this.placement = placement
        workload.requests.forEach { request ->
            clock.after(request.firstArrivalMillis) { arrive(request, isCold = false) }
        }
        clock.runUntil(runMillis)
        engines.forEach { engine -> engine.copies.values.filter { it.isIdle }.forEach(::countIdle) }
        return figures
    }

    private fun storeSlowFactor(atMillis: Long): Double =
        if (atMillis % SLOW_STORE_PERIOD_MILLIS < SLOW_STORE_MILLIS) SLOW_STORE_FACTOR else 1.0

    /** Returns how long a load takes from [tier] at full speed. */
    fun loadMillis(key: LoadKey, mebibytes: Long, tier: CheckpointTier): Double {
        if (key.adapterId != null) return ADAPTER_LOAD_MILLIS
        val gibibytes = mebibytes.toDouble() / MEBIBYTES_PER_GIBIBYTE
        val transferMillis = when (tier) {
            CheckpointTier.MEMORY -> gibibytes / MEMORY_GIBIBYTES_PER_SECOND * 1_000

            CheckpointTier.DISK -> gibibytes / DISK_GIBIBYTES_PER_SECOND * 1_000

            CheckpointTier.REMOTE ->
                FULL_SPEED_STORE_LOADS / deployment.storeLoadsPerSecond * 1_000 * mebibytes / USUAL_CHECKPOINT_MEBIBYTES
        }
        return LOAD_START_MILLIS + transferMillis
    }

    private fun arrive(request: WorkloadRequest, isCold: Boolean) {
        if (isMeasuring && !isCold) figures.requests++
        if (request.model.key !in readyOn) modelColdIds += request.id
        placement.used(request.model)
        if (isServable(request)) {
            serve(request, isCold)
        } else {
            val deadlineMillis = clock.nowMillis + request.patienceMillis
            deadlinesMillis[request.id] = deadlineMillis
            placement.wanted(request, deadlineMillis)
        }
    }

    fun isServable(request: WorkloadRequest): Boolean {
        val engine = readyOn[request.model.key] ?: return false
        return request.adapter == null || readyOn[request.adapter.key] === engine
    }

    fun serve(request: WorkloadRequest, isCold: Boolean = true) {
        if (isMeasuring) countWait(request, isCold)
        val engine = readyOn.getValue(request.model.key)
        val copy = engine.copies.getValue(request.model.key)
        if (copy.isIdle) countIdle(copy)
        copy.busyRequests++
        clock.after(request.serviceMillis) { ended(request.model, engine, copy) }
    }

    private fun countWait(request: WorkloadRequest, isCold: Boolean) {
        val waitedMillis = if (isCold) clock.nowMillis - request.firstArrivalMillis else 0
        figures.waitMillis.recordValue(waitedMillis)
        if (modelColdIds.remove(request.id)) figures.coldStartMillis.recordValue(waitedMillis)
        val deadlineMillis = deadlinesMillis.remove(request.id) ?: return
        if (clock.nowMillis > deadlineMillis) figures.late++
    }

    private fun ended(model: WorkloadModel, engine: TrueEngine, copy: TrueCopy) {
        copy.busyRequests--
        if (copy.busyRequests > 0) return
        copy.idleSinceMillis = clock.nowMillis
        placement.fellIdle(model, engine)
    }

    fun refuse(request: WorkloadRequest, retryAfterMillis: Long) {
        if (isMeasuring) figures.refusedInTime++
        val delayMillis = retryAfterMillis + (2 * deployment.clientDelayMillis).toLong()
        clock.after(delayMillis) { arrive(request, isCold = true) }
    }

    private fun countIdle(copy: TrueCopy) {
        if (!isMeasuring) return
        val idleMillis = clock.nowMillis - maxOf(copy.idleSinceMillis, WARM_UP_MILLIS)
        figures.idleAcceleratorMillis += idleMillis.toDouble() * copy.memoryMebibytes / ENGINE_MEBIBYTES
    }

    /** Orders [engine] to load; [answered] is called with whether the answer came, which is lost now and then. */
    fun load(engine: TrueEngine, key: LoadKey, mebibytes: Long, answered: (Boolean) -> Unit) {
        if (key.adapterId == null && isMeasuring) figures.modelLoads++
        val isAnswerLost = random.nextDouble() < LOST_ANSWER_SHARE
        val tier = engine.tierOf(key)
        val fullSpeedMillis = loadMillis(key, mebibytes, tier)
        val copy = engine.copies.getOrPut(key) { TrueCopy(mebibytes) }
        checkInvariants(engine, key)
        val done = {
            engine.cache(key, mebibytes)
            if (engine.copies[key] === copy && !copy.isReady) {
                copy.isReady = true
                copy.loadedMillis = clock.nowMillis
                copy.idleSinceMillis = clock.nowMillis
            }
            if (!isAnswerLost) answered(true)
        }
        when {
            key.adapterId != null -> adapterLink.transfer(fullSpeedMillis, done)
            tier == CheckpointTier.REMOTE -> store.transfer(fullSpeedMillis, done)
            else -> clock.after(fullSpeedMillis.toLong()) { done() }
        }
        if (isAnswerLost) clock.after(ORDER_TIMEOUT_MILLIS) { answered(false) }
    }

    /** Orders [engine] to unload; [answered] is called once the memory is free. */
    fun unload(engine: TrueEngine, key: LoadKey, answered: () -> Unit) {
        clock.after(UNLOAD_MILLIS) {
            val copy = engine.copies.remove(key)
            if (copy != null && copy.isIdle) countIdle(copy)
            answered()
        }
    }

    private fun checkInvariants(engine: TrueEngine, key: LoadKey) {
        if (engine.usedMebibytes > ENGINE_MEBIBYTES) figures.overcommitted++
        if (key.adapterId == null && engines.count { key in it.copies } > DECIDED_COPIES) figures.copiesAboveDecided++
    }
}

/** Copies that are decided for each model of the workload. */
internal const val DECIDED_COPIES: Int = 1
