package org.banyanturn.core.placement

import org.banyanturn.core.TargetId
import org.banyanturn.core.state.CopyKey

/**
 * A copy that may be evicted for another one.
 *
 * @property costMillis the cold-start time that the eviction is expected to cost; see
 * [KeepAlivePolicy.evictionCostMillis].
 */
public data class EvictableCopy(val copy: CopyKey, val memoryMebibytes: Long, val costMillis: Double)

/**
 * An engine that is a candidate for loading a copy.
 *
 * @property loadMillis the duration of the load on this engine, which depends on where the checkpoint is cached.
 * @property queueMillis the time for which other loads occupy the engine first.
 * @property zoneDelayMillis the round-trip time between the engine's zone and the origin of the requests.
 * @property freeMebibytes the memory that is available without an eviction.
 * @property evictable the copies on this engine that may be evicted.
 */
public data class EngineCandidate(
    val targetId: TargetId,
    val loadMillis: Long,
    val queueMillis: Long,
    val zoneDelayMillis: Double,
    val freeMebibytes: Long,
    val evictable: List<EvictableCopy> = emptyList(),
)

/**
 * The engine that is chosen to load a copy, with the copies to evict there first.
 *
 * @property predictedLoadMillis the time until the copy is loaded, including other loads before it.
 * @property costMillis the total cost: the time until the copy is loaded, later cold starts of evicted copies and the
 * delay between zones.
 */
public data class EngineChoice(
    val targetId: TargetId,
    val evictions: List<CopyKey>,
    val predictedLoadMillis: Long,
    val costMillis: Double,
)

/** The assumed number of requests that pay the delay between zones while a copy stays loaded. */
private const val REQUESTS_PER_LOAD = 20

/**
 * Returns the engine with the lowest cost for a copy of [memoryMebibytes], or `null` if the copy fits on no engine.
 *
 * The cost is the sum of the load time, which depends on where the checkpoint is cached, the time of the engine's other
 * loads, the later cold starts of the evicted copies, and the delay to the zone. Among equal costs, the engine with
 * more free memory is chosen.
 */
public fun chooseEngineOrNull(candidates: List<EngineCandidate>, memoryMebibytes: Long): EngineChoice? {
    val freeMebibytes = candidates.associate { it.targetId to it.freeMebibytes }
    return candidates
        .mapNotNull { it.choiceOrNull(memoryMebibytes) }
        .minWithOrNull(
            compareBy<EngineChoice> { it.costMillis }
                .thenByDescending { freeMebibytes.getValue(it.targetId) }
                .thenBy { it.targetId.value },
        )
}

private fun EngineCandidate.choiceOrNull(memoryMebibytes: Long): EngineChoice? {
    val evictions = chooseEvictionsOrNull(evictable, memoryMebibytes - freeMebibytes) ?: return null
    val costMillis = loadMillis + queueMillis +
        zoneDelayMillis * REQUESTS_PER_LOAD +
        evictions.sumOf(EvictableCopy::costMillis)
    return EngineChoice(targetId, evictions.map(EvictableCopy::copy), loadMillis + queueMillis, costMillis)
}

/**
 * Returns the copies to evict to free [neededMebibytes], or `null` if evicting all copies would not be enough.
 *
 * The list is empty if nothing is needed. Copies are chosen in the order of their cost per memory. Afterwards, the most
 * expensive copy that turns out to be unnecessary is left out.
 */
public fun chooseEvictionsOrNull(evictable: List<EvictableCopy>, neededMebibytes: Long): List<EvictableCopy>? {
    val chosen = mutableListOf<EvictableCopy>()
    var missingMebibytes = neededMebibytes
    for (candidate in evictable.sortedBy { it.costMillis / it.memoryMebibytes.coerceAtLeast(1) }) {
        if (missingMebibytes <= 0) break
        chosen += candidate
        missingMebibytes -= candidate.memoryMebibytes
    }
    if (missingMebibytes > 0) return null
    val redundant = chosen.sortedByDescending(EvictableCopy::costMillis).firstOrNull {
        it.memoryMebibytes <= -missingMebibytes
    }
    return if (redundant == null) chosen else chosen - redundant
}
