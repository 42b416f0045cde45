package org.banyanturn.router.rates

import io.github.oshai.kotlinlogging.KotlinLogging
import io.grpc.StatusException
import org.banyanturn.core.Incarnation
import org.banyanturn.core.VmId
import org.banyanturn.core.ZoneId
import org.banyanturn.core.limits.RateLimiter
import org.banyanturn.core.limits.ShareGrant
import org.banyanturn.core.limits.ShareRequest
import org.banyanturn.core.state.FleetState
import org.banyanturn.daemon.ProcessClock
import org.banyanturn.daemon.logs.Event
import org.banyanturn.daemon.logs.event
import org.banyanturn.daemon.logs.field
import org.banyanturn.daemon.rpc.PeerChannels
import org.banyanturn.wire.v1.HeartbeatReply
import org.banyanturn.wire.v1.HeartbeatRequest
import org.banyanturn.wire.v1.RouterPeerServiceGrpcKt.RouterPeerServiceCoroutineImplBase
import org.banyanturn.wire.v1.RouterPeerServiceGrpcKt.RouterPeerServiceCoroutineStub
import org.banyanturn.wire.v1.ShareReply
import java.util.concurrent.TimeUnit
import org.banyanturn.wire.v1.ShareRequest as WireShareRequest

private const val PEER_TIMEOUT_MILLIS = 1_000L

private val logger = KotlinLogging.logger {}

/** Serves the routers of other VMs. */
internal class RouterPeerServer(
    private val self: Incarnation,
    private val zoneId: ZoneId,
    private val limiter: RateLimiter,
    private val clock: ProcessClock,
    private val states: () -> FleetState,
    private val isDraining: () -> Boolean,
) : RouterPeerServiceCoroutineImplBase() {
    override suspend fun requestShare(request: WireShareRequest): ShareReply {
        val grant = limiter.answerOrNull(request.toCore(), clock.nowMillis())
        val reply = ShareReply.newBuilder()
        if (grant != null) reply.setGrant(grant.toWire())
        return reply.build()
    }

    override suspend fun heartbeat(request: HeartbeatRequest): HeartbeatReply =
        HeartbeatReply.newBuilder()
            .setVmId(self.vmId.value)
            .setIncarnation(self.number)
            .setZoneId(zoneId.value)
            .setLogOffset(states().nextOffset)
            .setDraining(isDraining())
            .build()
}

/** Calls to the routers of other VMs. */
internal interface RouterPeerClient : ShareClient {
    /** Tells the router on [vmId] of [self] and waits a short time for its answer. */
    suspend fun heartbeat(vmId: VmId, self: Incarnation, zoneId: ZoneId)
}

/** Returns a client that finds other routers in [states]. */
internal fun routerPeerClient(channels: PeerChannels, states: () -> FleetState): RouterPeerClient =
    GrpcRouterPeerClient(channels, states)

private class GrpcRouterPeerClient(
    private val channels: PeerChannels,
    private val states: () -> FleetState,
) : RouterPeerClient {
    override suspend fun requestOrNull(vmId: VmId, request: ShareRequest): ShareGrant? {
        val stub = stubOrNull(vmId) ?: return null
        return try {
            val reply = stub.requestShare(request.toWire())
            if (reply.hasGrant()) reply.grant.toCore() else null
        } catch (_: StatusException) {
            null
        }
    }

    override suspend fun heartbeat(vmId: VmId, self: Incarnation, zoneId: ZoneId) {
        val request = HeartbeatRequest.newBuilder()
            .setVmId(self.vmId.value)
            .setIncarnation(self.number)
            .setZoneId(zoneId.value)
            .setLogOffset(states().nextOffset)
            .build()
        try {
            stubOrNull(vmId)?.heartbeat(request)
        } catch (error: StatusException) {
            logger.event(Event.PEER_UNREACHABLE, field("vmId", vmId), field("status", error.status.code))
        }
    }

    private fun stubOrNull(vmId: VmId): RouterPeerServiceCoroutineStub? {
        val address = states().routers[vmId]?.peerAddress ?: return null
        return RouterPeerServiceCoroutineStub(channels.channel(address))
            .withDeadlineAfter(PEER_TIMEOUT_MILLIS, TimeUnit.MILLISECONDS)
    }
}
