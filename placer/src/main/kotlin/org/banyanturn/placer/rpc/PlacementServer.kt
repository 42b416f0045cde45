package org.banyanturn.placer.rpc

import com.github.michaelbull.result.Result
import com.github.michaelbull.result.map
import com.github.michaelbull.result.mapBoth
import io.grpc.Status
import io.grpc.StatusException
import io.opentelemetry.api.trace.SpanKind
import io.opentelemetry.api.trace.Tracer
import org.banyanturn.core.AdapterId
import org.banyanturn.core.MemberId
import org.banyanturn.core.ModelId
import org.banyanturn.core.TargetId
import org.banyanturn.core.ZoneId
import org.banyanturn.daemon.rpc.currentTraceParentOrNull
import org.banyanturn.daemon.state.StateFollower
import org.banyanturn.daemon.traces.inSpan
import org.banyanturn.daemon.traces.traceParent
import org.banyanturn.placer.LoadFailure
import org.banyanturn.placer.loads.CopyRequest
import org.banyanturn.placer.loads.LoadCoordinator
import org.banyanturn.placer.loads.OwnerLoads
import org.banyanturn.platform.LoadUnit
import org.banyanturn.wire.v1.EnsureLoadedReply
import org.banyanturn.wire.v1.EnsureLoadedRequest
import org.banyanturn.wire.v1.LoadRefusal
import org.banyanturn.wire.v1.LogRecord
import org.banyanturn.wire.v1.PlacementServiceGrpcKt.PlacementServiceCoroutineImplBase
import org.banyanturn.wire.v1.ReadRecordsReply
import org.banyanturn.wire.v1.ReadRecordsRequest
import org.banyanturn.wire.v1.ReadyCopy

/** Serves routers and the placers of other VMs. */
internal class PlacementServer(
    private val zoneId: ZoneId,
    private val local: LoadCoordinator,
    private val fleet: LoadCoordinator,
    private val owned: OwnerLoads,
    private val follower: StateFollower,
    private val tracer: Tracer,
) : PlacementServiceCoroutineImplBase() {
    override suspend fun ensureLoaded(request: EnsureLoadedRequest): EnsureLoadedReply {
        val parent = currentTraceParentOrNull()
        return tracer.inSpan(request.spanName(), SpanKind.SERVER, parent) { span ->
            ensureLoaded(request, request.toCopyRequest(span.traceParent())).toReply(request.version)
        }
    }

    override suspend fun readRecords(request: ReadRecordsRequest): ReadRecordsReply {
        val records = follower.recordsFrom(request.fromOffset, request.maxRecords)
        val wire = records.map { LogRecord.newBuilder().setOffset(it.offset).setPayload(it.payload).build() }
        return ReadRecordsReply.newBuilder()
            .addAllRecords(wire)
            .setNextOffset(follower.states.value.nextOffset)
            .build()
    }

    private suspend fun ensureLoaded(wire: EnsureLoadedRequest, request: CopyRequest): Result<TargetId, LoadFailure> {
        if (wire.targetId.isNotEmpty()) {
            val targetId = TargetId(wire.targetId)
            return owned.ensureLoaded(targetId, request).map { targetId }
        }
        val coordinator = if (wire.forwarded) local else fleet
        return coordinator.ensureLoaded(request)
    }

    private fun EnsureLoadedRequest.toCopyRequest(traceParent: String): CopyRequest =
        try {
            CopyRequest(
                unit = LoadUnit(ModelId(modelId), adapterId.takeIf(String::isNotEmpty)?.let(::AdapterId), version),
                memberId = MemberId(memberId),
                zoneId = if (zoneId.isEmpty()) this@PlacementServer.zoneId else ZoneId(zoneId),
                remainingMillis = remainingMillis,
                traceParent = traceParent,
            )
        } catch (error: IllegalArgumentException) {
            throw StatusException(Status.INVALID_ARGUMENT.withDescription(error.message))
        }
}

private fun EnsureLoadedRequest.spanName(): String =
    if (targetId.isEmpty()) "peer ensure-loaded $modelId" else "peer order $modelId on $targetId"

private fun Result<TargetId, LoadFailure>.toReply(version: String): EnsureLoadedReply =
    mapBoth(
        success = {
            val ready = ReadyCopy.newBuilder().setTargetId(it.value).setVersion(version)
            EnsureLoadedReply.newBuilder().setReady(ready).build()
        },
        failure = {
            val refusal = LoadRefusal.newBuilder().setReason(it.message).setRetryAfterMillis(it.retryAfterMillis)
            EnsureLoadedReply.newBuilder().setRefusal(refusal).build()
        },
    )
