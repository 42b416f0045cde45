package org.banyanturn.placer.loads

import org.banyanturn.core.TargetId
import org.banyanturn.core.ZoneId
import org.banyanturn.core.placement.CheckpointTier
import org.banyanturn.core.placement.EngineCandidate
import org.banyanturn.core.placement.LoadKey
import org.banyanturn.core.placement.chooseEngineOrNull
import org.banyanturn.core.state.CopyKey
import org.banyanturn.core.state.FleetState
import org.banyanturn.core.state.Target
import org.banyanturn.core.state.TargetKind
import org.banyanturn.core.state.memoryMebibytesOf
import org.banyanturn.core.state.reservedMebibytesOn

private const val OTHER_ZONE_DELAY_MILLIS = 8.0

/** Load times that are expected before any was seen, by where the checkpoint is. */
internal fun expectedLoadMillis(tier: CheckpointTier, isAdapter: Boolean): Long =
    when {
        isAdapter -> 10
        tier == CheckpointTier.MEMORY -> 500
        tier == CheckpointTier.DISK -> 2_000
        else -> 8_000
    }

/** Returns the engine on which [key] should be loaded, or `null` if it fits on none. */
internal fun FleetState.chooseEngineOrNull(key: LoadKey, zoneId: ZoneId, excluded: Set<TargetId>): TargetId? {
    val candidates = engineCandidates(key, zoneId).filterNot { it.targetId in excluded }
    return chooseEngineOrNull(candidates, neededMebibytes(key))?.targetId
}

private fun FleetState.engineCandidates(key: LoadKey, zoneId: ZoneId): List<EngineCandidate> =
    targets.values
        .filter { it.kind == TargetKind.ENGINE && !it.isDraining && it.targetId in owners }
        .map { candidate(it, key, zoneId) }

private fun FleetState.candidate(engine: Target, key: LoadKey, zoneId: ZoneId): EngineCandidate {
    val hasBase = CopyKey(engine.targetId, key.modelId, null, key.baseVersion(this)) in copies
    val baseMillis = if (key.adapterId == null || hasBase) 0 else expectedLoadMillis(CheckpointTier.REMOTE, false)
    return EngineCandidate(
        targetId = engine.targetId,
        loadMillis = expectedLoadMillis(CheckpointTier.REMOTE, key.adapterId != null) + baseMillis,
        queueMillis = 0,
        zoneDelayMillis = if (engine.zoneId == zoneId) 0.0 else OTHER_ZONE_DELAY_MILLIS,
        freeMebibytes = freeMebibytesFor(engine, key, hasBase),
    )
}

private fun FleetState.freeMebibytesFor(engine: Target, key: LoadKey, hasBase: Boolean): Long {
    val freeMebibytes = engine.memoryMebibytes - reservedMebibytesOn(engine.targetId)
    if (key.adapterId == null || hasBase) return freeMebibytes
    return freeMebibytes - (models[key.modelId]?.memoryMebibytes ?: 0)
}

private fun LoadKey.baseVersion(state: FleetState): String =
    if (adapterId == null) version else state.models[modelId]?.declaredVersion.orEmpty()

private fun FleetState.neededMebibytes(key: LoadKey): Long =
    memoryMebibytesOf(CopyKey(TargetId("any"), key.modelId, key.adapterId, key.version))
