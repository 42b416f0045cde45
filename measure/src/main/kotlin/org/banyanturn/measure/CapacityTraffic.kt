package org.banyanturn.measure

import org.banyanturn.core.KeyId
import org.banyanturn.core.membership.FanOutPolicy
import org.banyanturn.core.state.Change
import org.banyanturn.core.state.ConfirmCopy
import org.banyanturn.core.state.GrantKey
import org.banyanturn.core.state.ReleaseCopy
import org.banyanturn.core.state.SetRate
import org.banyanturn.core.state.WithdrawKey
import org.banyanturn.core.state.encodeToPayload
import org.banyanturn.wire.v1.HeartbeatReply
import org.banyanturn.wire.v1.HeartbeatRequest

private const val SECONDS_PER_DAY = 86_400.0
private const val SECONDS_PER_HOUR = 3_600.0
private const val CONFIGURATION_CHANGES_PER_DAY = 8_700.0
private const val WAKING_SHARE_PER_HOUR = 0.078
private const val REPLACED_VMS_PER_DAY = 155.0

/** Records of a model or adapter that wakes up (claim, confirmation) or falls idle (release), on the mean. */
private const val RECORDS_PER_WAKING = 1.5

/** Records of a VM that is replaced besides those of its engines: it leaves and another one joins. */
private const val RECORDS_PER_REPLACED_VM = 2.0

/** Bytes of one read of the log besides the records: HTTP, TCP and IP headers both ways. */
private const val FRAMING_BYTES_PER_READ = 700.0

private const val MILLIS_PER_SECOND = 1_000.0

/** What the control plane sends and reads a second at the target size. */
internal class CapacityTraffic(private val meanRecordBytes: Double, size: FleetSize) {
    private val fanOut = FanOutPolicy()

    val recordsPerSecond: Double =
        CONFIGURATION_CHANGES_PER_DAY / SECONDS_PER_DAY +
            (size.models + size.adapters) * WAKING_SHARE_PER_HOUR * RECORDS_PER_WAKING / SECONDS_PER_HOUR +
            REPLACED_VMS_PER_DAY * (RECORDS_PER_REPLACED_VM + size.engines / size.vms.toDouble()) / SECONDS_PER_DAY

    /** Reads that wait for records end with one each, so there are as many reads as records. */
    val logBytesPerSecond: Double get() = recordsPerSecond * (meanRecordBytes + FRAMING_BYTES_PER_READ)

    val heartbeatBytes: Double = (heartbeatRequest.serializedSize + heartbeatReply.serializedSize).toDouble()

    val heartbeatBytesOnWire: Double = heartbeatBytesOnWire(heartbeatRequest, heartbeatReply)

    /** Both directions; a VM is met as often as it meets others. */
    val heartbeatBytesPerSecond: Double
        get() {
            val peers = fanOut.zonePeers + fanOut.regionPeers + fanOut.remotePeers + fanOut.watchedPeers
            val exchangesPerSecond = 2 * peers * MILLIS_PER_SECOND / fanOut.intervalMillis
            return exchangesPerSecond * heartbeatBytesOnWire
        }

    val bytesPerSecond: Double get() = logBytesPerSecond + heartbeatBytesPerSecond

    companion object {
        private val heartbeatRequest: HeartbeatRequest = HeartbeatRequest.newBuilder()
            .setVmId(vmIdOf(1).value)
            .setIncarnation(incarnationOf(1).number)
            .setZoneId(zoneIdOf(1).value)
            .setLogOffset(1_000_000)
            .build()

        private val heartbeatReply: HeartbeatReply = HeartbeatReply.newBuilder()
            .setVmId(vmIdOf(2).value)
            .setIncarnation(incarnationOf(2).number)
            .setZoneId(zoneIdOf(2).value)
            .setLogOffset(1_000_000)
            .build()

        /** Returns one record of each kind that is frequent at the target size. */
        fun samplePayloads(): List<String> {
            val claim = claimChange(1, targetFleetSize).copy(adapterId = adapterIdOf(1))
            val changes: List<Change> = listOf(
                claim,
                ConfirmCopy(claim.targetId, claim.modelId, claim.adapterId, claim.version, claim.incarnation),
                ReleaseCopy(claim.targetId, claim.modelId, claim.adapterId, claim.version, claim.incarnation),
                SetRate(memberIdOf(1), 20.0, 40.0),
                GrantKey(KeyId("key-1"), memberIdOf(1), "0".repeat(64)),
                WithdrawKey(KeyId("key-1")),
            )
            return changes.mapIndexed { index, change -> entryOf(1_000_000L + index, change).encodeToPayload() }
        }
    }
}
