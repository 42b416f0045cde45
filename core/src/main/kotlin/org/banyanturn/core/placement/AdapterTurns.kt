package org.banyanturn.core.placement

/**
 * Gives each requested adapter of an engine its turn while more of them are in use than the engine has places. Not
 * thread-safe.
 *
 * An adapter in use is not evicted, so whoever has a place would keep it. Therefore an adapter that has been refused
 * for a while makes the adapter that was loaded longest ago drain: it gets no new requests, and is evicted once it is
 * idle. At most one adapter drains at a time, with a pause in between, as its place serves nobody meanwhile.
 */
internal class AdapterTurns(private val settings: EngineCopyManagerSettings) {
    private val refusedSinceMillis = HashMap<CopyName, Long>()
    private var draining: Drain? = null
    private var nextDrainMillis = Long.MIN_VALUE

    private class Drain(val adapter: CopyName, val forAdapter: CopyName, val untilMillis: Long) {
        var isAnnounced = false
    }

    /** Returns whether [adapter] gets no new requests because another one is to have its place. */
    fun isDraining(adapter: CopyName, nowMillis: Long): Boolean = currentOrNull(nowMillis)?.adapter == adapter

    /** Returns the adapter that has begun to drain since the last call, or `null`. */
    fun takeDrainingOrNull(nowMillis: Long): CopyName? {
        val drain = currentOrNull(nowMillis)?.takeUnless { it.isAnnounced } ?: return null
        drain.isAnnounced = true
        return drain.adapter
    }

    /** Records that [adapter] is loaded. */
    fun onLoaded(adapter: CopyName) {
        refusedSinceMillis -= adapter
        if (draining?.forAdapter == adapter) draining = null
    }

    /**
     * Records that all places are in use for a request for [adapter].
     *
     * @param held the adapters on the engine, which drain in the order of their loads.
     * @return whether a place is about to become free for it.
     */
    fun onRefused(adapter: CopyName, held: Map<CopyName, TrackedCopy>, nowMillis: Long): Boolean {
        refusedSinceMillis.values.removeIf { nowMillis - it > settings.adapterRefusalMemoryMillis }
        val sinceMillis = refusedSinceMillis.getOrPut(adapter) { nowMillis }
        currentOrNull(nowMillis)?.let { return it.forAdapter == adapter }
        if (nowMillis - sinceMillis < settings.adapterTurnMillis || nowMillis < nextDrainMillis) return false
        val oldest = held.filterValues { it.phase == CopyPhase.HELD }.minByOrNull { it.value.loadStartedAtMillis }
        if (oldest == null || nowMillis - oldest.value.loadStartedAtMillis < settings.adapterTurnMillis) return false
        draining = Drain(oldest.key, adapter, nowMillis + settings.adapterDrainMillis)
        nextDrainMillis = nowMillis + settings.adapterTurnMillis
        return true
    }

    private fun currentOrNull(nowMillis: Long): Drain? = draining?.takeIf { nowMillis < it.untilMillis }
}
