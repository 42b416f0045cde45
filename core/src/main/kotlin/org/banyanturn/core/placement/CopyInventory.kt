package org.banyanturn.core.placement

import org.banyanturn.core.serving.EngineSpec

/** The state of one copy on an engine, as known to the engine's owner. */
internal class TrackedCopy(var phase: CopyPhase, var lastUsedAtMillis: Long) {
    var loadStartedAtMillis = 0L
    var isLoadedFromStore = false
    var readyAtMillis = 0L
}

/** A request for a copy that is not loaded yet, with the models that may be evicted for it even while in use. */
internal class PendingCopyRequest(val requestedAtMillis: Long, val victims: List<CopyName>)

/** The phase of a copy on an engine; a copy occupies memory in every phase. */
internal enum class CopyPhase { HELD, LOADING, UNLOADING, UNCERTAIN }

/** Tracks the copies on one engine, and the memory and adapter slots that they occupy in any phase. */
internal class CopyInventory(private val spec: EngineSpec, private val settings: EngineCopyManagerSettings) {
    /** The copies that the engine holds or may hold. */
    val copies: LinkedHashMap<CopyName, TrackedCopy> = LinkedHashMap()

    /** Whether a model is being loaded; the engine accepts no other order meanwhile. */
    val isModelLoading: Boolean
        get() = copies.any { (name, copy) -> !name.isAdapter && copy.phase == CopyPhase.LOADING }

    /** Returns whether [copy] fits without evicting another copy. */
    fun fits(copy: CopyName): Boolean {
        val hasAdapterSlot = !copy.isAdapter || copies.keys.count { it.isAdapter } < spec.adapterSlots
        return hasAdapterSlot && usedMegabytes() + megabytesOf(copy) <= spec.weightsMegabytes
    }

    private fun usedMegabytes(): Double = copies.keys.sumOf(::megabytesOf)

    private fun megabytesOf(copy: CopyName): Double {
        val model = spec.models[copy.modelId] ?: return spec.weightsMegabytes
        return if (copy.isAdapter) model.adapterMegabytes else model.weightsMegabytes
    }

    /**
     * Returns the copies to evict for [copy], or `null` if too many copies are in use.
     *
     * The [preferred] copies come first, then the idle ones from the least recently used on.
     */
    fun victimsOrNull(copy: CopyName, preferred: List<CopyName>, nowMillis: Long): List<CopyName>? {
        val victims = ArrayList<CopyName>()
        var missingMegabytes = usedMegabytes() + megabytesOf(copy) - spec.weightsMegabytes
        var missingSlots = if (copy.isAdapter) copies.keys.count { it.isAdapter } + 1 - spec.adapterSlots else 0
        for (name in evictionOrder(copy, preferred, nowMillis)) {
            if (missingMegabytes <= 0 && missingSlots <= 0) break
            victims += name
            missingMegabytes -= megabytesOf(name)
            if (name.isAdapter) missingSlots-- else missingMegabytes -= adapterMegabytesOf(name)
        }
        return victims.takeIf { missingMegabytes <= 0 && missingSlots <= 0 }
    }

    private fun adapterMegabytesOf(model: CopyName): Double =
        copies.keys.filter { it.isAdapter && it.modelId == model.modelId }.sumOf(::megabytesOf)

    private fun evictionOrder(copy: CopyName, preferred: List<CopyName>, nowMillis: Long): List<CopyName> {
        val preferredVictims = preferred.filter { copies[it]?.phase in EVICTABLE_PHASES && it != copy.model }
        val idle = copies.entries
            .filter { (name, held) ->
                name.isAdapter == copy.isAdapter && name !in preferredVictims && mayEvict(name, held, copy, nowMillis)
            }
            .sortedBy { (_, held) -> held.lastUsedAtMillis }
            .map { it.key }
        return preferredVictims + idle
    }

    private fun mayEvict(name: CopyName, held: TrackedCopy, copy: CopyName, nowMillis: Long): Boolean {
        val minIdleMillis = if (name.isAdapter) settings.adapterIdleMillis else settings.modelIdleMillis
        val isIdle = nowMillis - held.lastUsedAtMillis >= minIdleMillis
        return name != copy.model && held.phase in EVICTABLE_PHASES && (isIdle || held.phase == CopyPhase.UNLOADING)
    }

    /**
     * Marks adapters as held whose expected load time has passed.
     *
     * Adapters load so fast that the end of the load is derived from the clock instead of a report.
     */
    fun completeAdapterLoads(nowMillis: Long) {
        copies.forEach { (name, copy) ->
            if (name.isAdapter && copy.phase == CopyPhase.LOADING && nowMillis >= copy.readyAtMillis) {
                copy.phase = CopyPhase.HELD
            }
        }
    }

    /**
     * Removes a copy whose unload the engine has accepted, together with its adapters if it is a model.
     *
     * The engine starts the next order only after the unload is done, so the memory is free when a load is accepted.
     */
    fun remove(copy: CopyName) {
        copies -= copy
        if (!copy.isAdapter) copies.keys.removeIf { it.modelId == copy.modelId }
    }

    private companion object {
        val EVICTABLE_PHASES = setOf(CopyPhase.HELD, CopyPhase.UNLOADING)
    }
}
