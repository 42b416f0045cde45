package org.banyanturn.core.placement

import org.banyanturn.core.serving.EngineSpec

/** What the engine's owner knows of one copy there. */
internal class TrackedCopy(var phase: CopyPhase, var usedAtMillis: Long) {
    var loadingSinceMillis = 0L
    var readyAtMillis = 0L
}

/** When a copy was wished for, and what may be dropped for it. */
internal class PendingCopyRequest(val atMillis: Long, val victims: List<CopyName>)

/** Where a copy stands; every phase takes room. */
internal enum class CopyPhase { HELD, LOADING, UNLOADING, UNCERTAIN }

/** The room of one engine and the copies that take it up, whatever phase they are in. */
internal class CopyInventory(private val spec: EngineSpec, private val settings: EngineCopyManagerSettings) {
    /** The copies that are or may be there. */
    val copies: LinkedHashMap<CopyName, TrackedCopy> = LinkedHashMap()

    /** Whether a model loads, during which the engine takes no other order. */
    val isModelLoading: Boolean
        get() = copies.any { (name, copy) -> !name.isAdapter && copy.phase == CopyPhase.LOADING }

    /** Returns whether there is room for [copy]. */
    fun has(copy: CopyName): Boolean {
        val hasPlace = !copy.isAdapter || copies.keys.count { it.isAdapter } < spec.adapterSlots
        return hasPlace && usedMegabytes() + sizeOf(copy) <= spec.weightsMegabytes
    }

    private fun usedMegabytes(): Double = copies.keys.sumOf(::sizeOf)

    private fun sizeOf(copy: CopyName): Double {
        val model = spec.models[copy.modelId] ?: return spec.weightsMegabytes
        return if (copy.isAdapter) model.adapterMegabytes else model.weightsMegabytes
    }

    /**
     * Returns what has to be dropped for [copy], the [named] first and then the least recently used, or `null` if too
     * much is in use.
     */
    fun victimsOrNull(copy: CopyName, named: List<CopyName>, nowMillis: Long): List<CopyName>? {
        val victims = ArrayList<CopyName>()
        var missing = usedMegabytes() + sizeOf(copy) - spec.weightsMegabytes
        var missingPlaces = if (copy.isAdapter) copies.keys.count { it.isAdapter } + 1 - spec.adapterSlots else 0
        for (name in candidatesFor(copy, named, nowMillis)) {
            if (missing <= 0 && missingPlaces <= 0) break
            victims += name
            missing -= sizeOf(name)
            if (name.isAdapter) missingPlaces-- else missing -= adapterMegabytesOf(name)
        }
        return victims.takeIf { missing <= 0 && missingPlaces <= 0 }
    }

    private fun adapterMegabytesOf(model: CopyName): Double =
        copies.keys.filter { it.isAdapter && it.modelId == model.modelId }.sumOf(::sizeOf)

    private fun candidatesFor(copy: CopyName, named: List<CopyName>, nowMillis: Long): List<CopyName> {
        val droppable = named.filter { copies[it]?.phase in DROPPABLE && it != copy.model }
        val idle = copies.entries
            .filter { (name, held) ->
                name.isAdapter == copy.isAdapter && name !in droppable &&
                    mayDrop(name, held, copy, nowMillis)
            }
            .sortedBy { (_, held) -> held.usedAtMillis }
            .map { it.key }
        return droppable + idle
    }

    private fun mayDrop(name: CopyName, held: TrackedCopy, copy: CopyName, nowMillis: Long): Boolean {
        val neededMillis = if (name.isAdapter) settings.adapterIdleMillis else settings.modelIdleMillis
        val isIdle = nowMillis - held.usedAtMillis >= neededMillis
        return name != copy.model && held.phase in DROPPABLE && (isIdle || held.phase == CopyPhase.UNLOADING)
    }

    /** Adapters load so fast that their end is known by time rather than by a report. */
    fun finishAdapters(nowMillis: Long) {
        copies.forEach { (name, copy) ->
            if (name.isAdapter && copy.phase == CopyPhase.LOADING &&
                nowMillis >= copy.readyAtMillis
            ) {
                copy.phase = CopyPhase.HELD
            }
        }
    }

    /**
     * Forgets a copy whose unload the engine has accepted: it takes up the next order only once the unload is done, so
     * the room is free by the time a load is accepted.
     */
    fun drop(copy: CopyName) {
        copies -= copy
        if (!copy.isAdapter) copies.keys.removeIf { it.modelId == copy.modelId }
    }

    private companion object {
        val DROPPABLE = setOf(CopyPhase.HELD, CopyPhase.UNLOADING)
    }
}
