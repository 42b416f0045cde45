package org.banyanturn.router

import com.github.michaelbull.result.Err
import com.github.michaelbull.result.Ok
import com.github.michaelbull.result.Result
import io.grpc.StatusException
import org.banyanturn.core.TargetId
import org.banyanturn.daemon.rpc.PeerChannels
import org.banyanturn.daemon.rpc.traceMetadata
import org.banyanturn.platform.StoredRecord
import org.banyanturn.router.generation.CopyLoader
import org.banyanturn.router.generation.GenerationCall
import org.banyanturn.router.http.Refusal
import org.banyanturn.router.http.RefusalCode
import org.banyanturn.wire.v1.EnsureLoadedReply
import org.banyanturn.wire.v1.EnsureLoadedRequest
import org.banyanturn.wire.v1.PlacementServiceGrpcKt.PlacementServiceCoroutineStub
import org.banyanturn.wire.v1.ReadRecordsRequest
import java.util.concurrent.TimeUnit

private const val PLACER_RETRY_MILLIS = 1_000L
private const val READ_TIMEOUT_MILLIS = 1_000L

/** Returns a loader that asks the placer at [address]. */
internal fun placerCopyLoader(channels: PeerChannels, address: String): CopyLoader = CopyLoader { call, millis ->
    val stub = PlacementServiceCoroutineStub(channels.channel(address)).withDeadlineAfter(millis, TimeUnit.MILLISECONDS)
    try {
        stub.ensureLoaded(call.toRequest(millis), traceMetadata(call.traceParent)).toResult()
    } catch (error: StatusException) {
        Err(placerUnavailable(error))
    }
}

/** Returns the records that the placer at [address] has from [fromOffset] on, or none if it does not answer. */
internal suspend fun readPlacerRecords(
    channels: PeerChannels,
    address: String,
    fromOffset: Long,
    maxRecords: Int,
): List<StoredRecord> {
    val request = ReadRecordsRequest.newBuilder().setFromOffset(fromOffset).setMaxRecords(maxRecords).build()
    val stub = PlacementServiceCoroutineStub(channels.channel(address))
        .withDeadlineAfter(READ_TIMEOUT_MILLIS, TimeUnit.MILLISECONDS)
    return try {
        stub.readRecords(request).recordsList.map { StoredRecord(it.offset, it.payload) }
    } catch (_: StatusException) {
        emptyList()
    }
}

private fun GenerationCall.toRequest(remainingMillis: Long): EnsureLoadedRequest =
    EnsureLoadedRequest.newBuilder()
        .setModelId(unit.modelId.value)
        .setAdapterId(unit.adapterId?.value.orEmpty())
        .setVersion(unit.version)
        .setMemberId(memberId.value)
        .setRemainingMillis(remainingMillis)
        .build()

private fun EnsureLoadedReply.toResult(): Result<TargetId, Refusal> =
    if (hasReady()) Ok(TargetId(ready.targetId)) else Err(refusalOf(refusal.reason, refusal.retryAfterMillis))

private fun refusalOf(reason: String, retryAfterMillis: Long): Refusal =
    Refusal(RefusalCode.NO_CAPACITY, reason, retryAfterMillis = retryAfterMillis)

private fun placerUnavailable(error: StatusException): Refusal =
    Refusal(
        RefusalCode.NO_CAPACITY,
        "no copy is ready and the placer did not load one: ${error.status.code}",
        retryAfterMillis = PLACER_RETRY_MILLIS,
    )
