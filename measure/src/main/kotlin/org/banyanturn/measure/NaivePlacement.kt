package org.banyanturn.measure

import org.banyanturn.core.placement.CheckpointTier
import org.banyanturn.core.placement.LoadKey

private const val FIXED_KEEP_ALIVE_MILLIS = 10 * MINUTE_MILLIS
private const val RETRY_MILLIS = 500L
private const val STRAY_CHECK_MILLIS = MINUTE_MILLIS

/**
 * The baseline: a fixed keep-alive, eviction of the least recently used copy, loads from the store first-come, the
 * engine with the most free memory whatever it has cached, an order without an answer taken as not carried out.
 */
internal class NaivePlacement(private val world: ModelsWorld) : ModelsPlacement {
    private val clock = world.clock
    private val waiting = LinkedHashMap<WorkloadModel, MutableList<WorkloadRequest>>()
    private val queue = ArrayDeque<WorkloadModel>()
    private val reservedMebibytes = HashMap<TrueEngine, HashMap<LoadKey, Long>>()
    private var storeLoads = 0

    init {
        world.engines.forEach { reservedMebibytes[it] = HashMap() }
        clock.after(STRAY_CHECK_MILLIS, ::unloadStrays)
    }

    override fun used(model: WorkloadModel): Unit = Unit

    override fun wanted(request: WorkloadRequest, deadlineMillis: Long) {
        val engine = world.readyOn[request.model.key]
        if (engine != null && request.adapter != null) return loadAdapter(request, request.adapter, engine)
        val requests = waiting.getOrPut(request.model) {
            queue += request.model
            mutableListOf()
        }
        requests += request
        startLoads()
    }

    private fun startLoads() {
        for (model in queue.toList()) {
            val engine = chooseEngineOrNull(model)
            if (engine == null) {
                clock.after(RETRY_MILLIS, ::startLoads)
                return
            }
            val isRemote = engine.tierOf(model.key) == CheckpointTier.REMOTE
            if (isRemote && storeLoads >= FULL_SPEED_STORE_LOADS) return
            queue -= model
            if (isRemote) storeLoads++
            load(model, engine, isRemote)
        }
    }

    private fun freeMebibytes(engine: TrueEngine): Long =
        ENGINE_MEBIBYTES - reservedMebibytes.getValue(engine).values.sum()

    private fun chooseEngineOrNull(model: WorkloadModel): TrueEngine? {
        val engines = world.engines.filter { it.isService == model.isService }
        val roomiest = engines.maxBy(::freeMebibytes)
        if (freeMebibytes(roomiest) >= model.memoryMebibytes) return roomiest
        val idle = engines.flatMap { engine -> engine.copies.map { (key, copy) -> Triple(engine, key, copy) } }
            .filter { (engine, key, copy) -> key.adapterId == null && copy.isIdle && world.readyOn[key] === engine }
            .minByOrNull { it.third.idleSinceMillis }
        if (idle != null) evict(idle.second, idle.first)
        return null
    }

    private fun evict(key: LoadKey, engine: TrueEngine) {
        world.readyOn.remove(key)
        val keys = engine.copies.keys.filter { it.modelId == key.modelId }
        keys.forEach { gone ->
            world.readyOn.remove(gone)
            world.unload(engine, gone) {
                reservedMebibytes.getValue(engine).remove(gone)
                startLoads()
            }
        }
    }

    private fun load(model: WorkloadModel, engine: TrueEngine, isRemote: Boolean) {
        reservedMebibytes.getValue(engine)[model.key] = model.memoryMebibytes
        world.load(engine, model.key, model.memoryMebibytes) { isConfirmed ->
            if (isRemote) storeLoads--
            if (isConfirmed) {
                world.readyOn[model.key] = engine
                waiting.remove(model).orEmpty().forEach { request ->
                    if (world.isServable(request)) world.serve(request) else wanted(request, 0)
                }
            } else {
                reservedMebibytes.getValue(engine).remove(model.key)
                queue.addFirst(model)
            }
            startLoads()
        }
    }

    private fun loadAdapter(request: WorkloadRequest, adapter: WorkloadAdapter, engine: TrueEngine) {
        reservedMebibytes.getValue(engine)[adapter.key] = adapter.memoryMebibytes
        engine.copies.getValue(request.model.key).busyRequests++
        world.load(engine, adapter.key, adapter.memoryMebibytes) { isConfirmed ->
            engine.copies[request.model.key]?.let { it.busyRequests-- }
            if (isConfirmed) world.readyOn[adapter.key] = engine
            if (world.isServable(request)) world.serve(request) else wanted(request, 0)
        }
    }

    override fun fellIdle(model: WorkloadModel, engine: TrueEngine) {
        val copy = engine.copies.getValue(model.key)
        val sinceMillis = copy.idleSinceMillis
        clock.after(FIXED_KEEP_ALIVE_MILLIS) {
            val isUntouched = copy.isIdle && copy.idleSinceMillis == sinceMillis
            if (isUntouched && engine.copies[model.key] === copy && world.readyOn[model.key] === engine) {
                evict(model.key, engine)
            }
        }
    }

    private fun unloadStrays() {
        world.engines.forEach { engine ->
            engine.copies.filter { (key, copy) -> copy.isIdle && key !in reservedMebibytes.getValue(engine) }.keys
                .forEach { world.unload(engine, it) {} }
        }
        clock.after(STRAY_CHECK_MILLIS, ::unloadStrays)
    }
}
