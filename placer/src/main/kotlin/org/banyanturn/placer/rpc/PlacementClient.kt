package org.banyanturn.placer.rpc

import com.github.michaelbull.result.Err
import com.github.michaelbull.result.Ok
import com.github.michaelbull.result.Result
import io.grpc.Status
import io.grpc.StatusException
import org.banyanturn.core.TargetId
import org.banyanturn.daemon.rpc.PeerChannels
import org.banyanturn.daemon.rpc.traceMetadata
import org.banyanturn.placer.LoadFailure
import org.banyanturn.placer.loads.CopyRequest
import org.banyanturn.platform.StoredRecord
import org.banyanturn.wire.v1.EnsureLoadedReply
import org.banyanturn.wire.v1.EnsureLoadedRequest
import org.banyanturn.wire.v1.PlacementServiceGrpcKt.PlacementServiceCoroutineStub
import org.banyanturn.wire.v1.ReadRecordsRequest
import java.util.concurrent.TimeUnit

private const val PEER_RETRY_MILLIS = 1_000L
private const val READ_TIMEOUT_MILLIS = 1_000L

/** What a peer answered to a request for a copy. */
internal sealed interface PeerAnswer {
    /** The peer has decided. */
    data class Decided(val result: Result<TargetId, LoadFailure>) : PeerAnswer

    /** The peer could not be reached; it has not begun. */
    data class Unreachable(val failure: LoadFailure) : PeerAnswer
}

/** Calls to the placers of other VMs. */
internal class PlacementClient(private val channels: PeerChannels) {
    /**
     * Returns the answer of the placer at [address] to [request].
     *
     * @param targetId the engine that the peer owns, or `null` to let the peer coordinate the load.
     */
    suspend fun ensureLoaded(address: String, request: CopyRequest, targetId: TargetId?): PeerAnswer {
        val stub = stub(address, request.remainingMillis)
        return try {
            PeerAnswer.Decided(
                stub.ensureLoaded(request.toWire(targetId), traceMetadata(request.traceParent)).toResult(),
            )
        } catch (error: StatusException) {
            error.toAnswer()
        }
    }

    /** Returns the records that the placer at [address] has from [fromOffset] on, or none if it does not answer. */
    suspend fun readRecords(address: String, fromOffset: Long, maxRecords: Int): List<StoredRecord> {
        val request = ReadRecordsRequest.newBuilder().setFromOffset(fromOffset).setMaxRecords(maxRecords).build()
        return try {
            stub(address, READ_TIMEOUT_MILLIS).readRecords(request).recordsList.map {
                StoredRecord(it.offset, it.payload)
            }
        } catch (_: StatusException) {
            emptyList()
        }
    }

    private fun stub(address: String, timeoutMillis: Long): PlacementServiceCoroutineStub =
        PlacementServiceCoroutineStub(channels.channel(address))
            .withDeadlineAfter(timeoutMillis, TimeUnit.MILLISECONDS)

    private fun StatusException.toAnswer(): PeerAnswer {
        val failure = LoadFailure("the peer did not answer: ${status.code}", PEER_RETRY_MILLIS)
        return if (status.code == Status.Code.UNAVAILABLE) {
            PeerAnswer.Unreachable(failure)
        } else {
            PeerAnswer.Decided(Err(failure))
        }
    }
}

private fun CopyRequest.toWire(targetId: TargetId?): EnsureLoadedRequest =
    EnsureLoadedRequest.newBuilder()
        .setModelId(unit.modelId.value)
        .setAdapterId(unit.adapterId?.value.orEmpty())
        .setVersion(unit.version)
        .setMemberId(memberId.value)
        .setZoneId(zoneId.value)
        .setRemainingMillis(remainingMillis)
        .setForwarded(true)
        .setTargetId(targetId?.value.orEmpty())
        .build()

private fun EnsureLoadedReply.toResult(): Result<TargetId, LoadFailure> =
    if (hasReady()) Ok(TargetId(ready.targetId)) else Err(LoadFailure(refusal.reason, refusal.retryAfterMillis))
