package org.banyanturn.placer.loads

import com.github.michaelbull.result.Err
import com.github.michaelbull.result.Ok
import com.github.michaelbull.result.Result
import com.github.michaelbull.result.getOrElse
import io.opentelemetry.api.trace.SpanKind
import io.opentelemetry.api.trace.Tracer
import org.banyanturn.core.TargetId
import org.banyanturn.core.state.CopyKey
import org.banyanturn.core.state.FleetState
import org.banyanturn.core.state.memoryMebibytesOf
import org.banyanturn.daemon.traces.inSpan
import org.banyanturn.placer.LoadFailure
import org.banyanturn.placer.engines.EngineOwner
import org.banyanturn.placer.engines.EngineOwners
import org.banyanturn.placer.engines.on
import org.banyanturn.platform.LoadUnit

private const val NOT_OWNER_RETRY_MILLIS = 500L

/** Loads copies on the engines that this VM owns. */
internal class OwnerLoads(
    private val owners: EngineOwners,
    private val states: () -> FleetState,
    private val tracer: Tracer,
) {
    /** Returns once the copy for [request] is ready on [targetId]; an adapter's model is loaded before it. */
    suspend fun ensureLoaded(targetId: TargetId, request: CopyRequest): Result<Unit, LoadFailure> {
        val name = "load ${request.unit.adapterId ?: request.unit.modelId} on $targetId"
        return tracer.inSpan(name, SpanKind.INTERNAL, request.traceParent) {
            ensureLoaded(targetId, request.unit, request.remainingMillis)
        }
    }

    private suspend fun ensureLoaded(
        targetId: TargetId,
        unit: LoadUnit,
        remainingMillis: Long,
    ): Result<Unit, LoadFailure> {
        val owner = owners.ownerOrNull(targetId) ?: return Err(notOwner(targetId))
        if (unit.adapterId != null) {
            val model = states().models[unit.modelId] ?: return Err(unknownModel(unit))
            val base = LoadUnit(unit.modelId, null, model.declaredVersion)
            load(owner, base.on(targetId), remainingMillis).getOrElse { return Err(it) }
        }
        return load(owner, unit.on(targetId), remainingMillis)
    }

    private suspend fun load(owner: EngineOwner, copy: CopyKey, remainingMillis: Long): Result<Unit, LoadFailure> {
        val isReady = states().copies[copy]?.isReady == true
        if (isReady) return Ok(Unit)
        return owner.ensureLoaded(copy, states().memoryMebibytesOf(copy), remainingMillis)
    }

    private fun notOwner(targetId: TargetId): LoadFailure =
        LoadFailure("this VM does not own engine $targetId", NOT_OWNER_RETRY_MILLIS)

    private fun unknownModel(unit: LoadUnit): LoadFailure =
        LoadFailure("model ${unit.modelId} is not declared", NOT_OWNER_RETRY_MILLIS)
}
