package org.banyanturn.standin

import kotlinx.coroutines.CompletableDeferred
import kotlinx.serialization.Serializable
import org.banyanturn.platform.LoadUnit
import org.banyanturn.platform.http.servedName

private const val MAX_COUNTED_ATTEMPTS = 10_000

/**
 * What an engine truly did.
 *
 * @property loads model loads that were begun.
 * @property overcommits loads that were begun although the memory was full.
 * @property staleOrdersRefused orders with an old fencing number that were refused.
 * @property staleOrdersDone orders with an old fencing number that were carried out.
 * @property runsByAttempt how often each of the last attempts began to run.
 */
@Serializable
public data class EngineCounters(
    val loads: Int = 0,
    val adapterLoads: Int = 0,
    val unloads: Int = 0,
    val overcommits: Int = 0,
    val peakUsedMebibytes: Long = 0,
    val staleOrdersRefused: Int = 0,
    val staleOrdersDone: Int = 0,
    val answers: Int = 0,
    val cancelled: Int = 0,
    val crashes: Int = 0,
    val runsByAttempt: Map<String, Int> = emptyMap(),
)

/** A unit in an engine's memory; [ready] completes once it may take requests. */
internal class ResidentUnit(val unit: LoadUnit, val memoryMebibytes: Long) {
    val ready: CompletableDeferred<Unit> = CompletableDeferred()
    val isReady: Boolean get() = ready.isCompleted && !ready.isCancelled
}

/** What an order to load came to. */
internal sealed interface LoadStart {
    /** The unit is loaded or loading already. */
    data class Joined(val resident: ResidentUnit) : LoadStart

    /** The unit's load was begun. */
    data class Begun(val resident: ResidentUnit) : LoadStart

    /** The order carried an old fencing number. */
    data object Fenced : LoadStart

    /** The adapter's model is not loaded. */
    data object ModelMissing : LoadStart
}

/** An engine's accelerator memory and fencing state; it carries out what it is told, even beyond its memory. */
internal class EngineMemory(private val capacityMebibytes: Long, private val checksFencing: Boolean) {
    private val residents = LinkedHashMap<LoadUnit, ResidentUnit>()
    private var highestFencingNumber = Long.MIN_VALUE

    private val runsByAttempt = LinkedHashMap<String, Int>()
    private var counted = EngineCounters()

    /** What the engine did so far. */
    @get:Synchronized
    val counters: EngineCounters get() = counted.copy(runsByAttempt = runsByAttempt.toMap())

    /** How often the engine crashed. */
    @get:Synchronized
    val crashes: Int get() = counted.crashes

    /** Returns the units in memory, loading ones included. */
    @Synchronized
    fun units(): List<ResidentUnit> = residents.values.toList()

    /** Returns the unit that is served under [name], or `null` if it is not ready. */
    @Synchronized
    fun servedOrNull(name: String): ResidentUnit? =
        residents.values.firstOrNull { it.isReady && it.unit.servedName == name }

    @Synchronized
    fun count(change: (EngineCounters) -> EngineCounters) {
        counted = change(counted)
    }

    /** Counts a run of [attemptId]; of very many attempts the oldest are forgotten. */
    @Synchronized
    fun countRun(attemptId: String) {
        runsByAttempt.merge(attemptId, 1, Int::plus)
        if (runsByAttempt.size > MAX_COUNTED_ATTEMPTS) runsByAttempt.remove(runsByAttempt.keys.first())
    }

    /** Begins to load [unit], whether or not the memory suffices. */
    @Synchronized
    fun beginLoad(unit: LoadUnit, memoryMebibytes: Long, fencingNumber: Long): LoadStart {
        if (!passFence(fencingNumber)) return LoadStart.Fenced
        residents[unit]?.let { return LoadStart.Joined(it) }
        if (unit.adapterId != null && !hasReadyModelOf(unit)) return LoadStart.ModelMissing
        val resident = ResidentUnit(unit, memoryMebibytes)
        residents[unit] = resident
        countLoad(unit)
        return LoadStart.Begun(resident)
    }

    /** Returns whether the order passes the fence. */
    @Synchronized
    fun passFence(fencingNumber: Long): Boolean {
        val isStale = fencingNumber < highestFencingNumber
        if (!isStale) highestFencingNumber = fencingNumber
        val isRefused = isStale && checksFencing
        if (isRefused) count { it.copy(staleOrdersRefused = it.staleOrdersRefused + 1) }
        if (isStale && !isRefused) count { it.copy(staleOrdersDone = it.staleOrdersDone + 1) }
        return !isRefused
    }

    @Synchronized
    fun residentOrNull(unit: LoadUnit): ResidentUnit? = residents[unit]

    @Synchronized
    fun remove(unit: LoadUnit) {
        if (residents.remove(unit) != null) count { it.copy(unloads = it.unloads + 1) }
    }

    /** Empties the memory, as a crash does; loads that were under way never become ready. */
    @Synchronized
    fun crash() {
        residents.values.forEach { it.ready.cancel() }
        residents.clear()
        count { it.copy(crashes = it.crashes + 1) }
    }

    @Synchronized
    fun usedMebibytes(): Long = residents.values.sumOf(ResidentUnit::memoryMebibytes)

    private fun hasReadyModelOf(adapter: LoadUnit): Boolean =
        residents.values.any { it.isReady && it.unit.adapterId == null && it.unit.modelId == adapter.modelId }

    private fun countLoad(unit: LoadUnit) {
        val used = usedMebibytes()
        count {
            it.copy(
                loads = it.loads + if (unit.adapterId == null) 1 else 0,
                adapterLoads = it.adapterLoads + if (unit.adapterId == null) 0 else 1,
                overcommits = it.overcommits + if (used > capacityMebibytes) 1 else 0,
                peakUsedMebibytes = maxOf(it.peakUsedMebibytes, used),
            )
        }
    }
}
