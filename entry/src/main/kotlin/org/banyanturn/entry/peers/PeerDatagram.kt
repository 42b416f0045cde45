@file:OptIn(ExperimentalSerializationApi::class)

package org.banyanturn.entry.peers

import kotlinx.serialization.ExperimentalSerializationApi
import kotlinx.serialization.Serializable
import kotlinx.serialization.protobuf.ProtoNumber
import org.banyanturn.entry.decodeMessageOrNull
import org.banyanturn.entry.encodeMessage
import org.banyanturn.entry.turns.ColdPermitMessage
import org.banyanturn.entry.turns.TurnMessage

/**
 * Represents a datagram between two VMs; datagrams can be lost, delayed, duplicated or reordered.
 *
 * @property leaving copies that the sender, which owns their engine, is about to evict.
 * @property deadTargets targets whose hosts refused the sender's connections.
 */
@Serializable
internal class PeerDatagram(
    @ProtoNumber(1) val vmId: String,
    @ProtoNumber(2) val incarnation: Long,
    @ProtoNumber(3) val catalogVersion: Long,
    @ProtoNumber(4) val reports: List<AllotmentReportMessage> = emptyList(),
    @ProtoNumber(5) val grants: List<AllotmentGrantMessage> = emptyList(),
    @ProtoNumber(6) val wants: List<CopyRequestMessage> = emptyList(),
    @ProtoNumber(7) val replies: List<CopyReplyMessage> = emptyList(),
    @ProtoNumber(8) val uses: List<CopyLocationMessage> = emptyList(),
    @ProtoNumber(9) val crashRecords: List<String> = emptyList(),
    @ProtoNumber(10) val leaving: List<CopyLocationMessage> = emptyList(),
    @ProtoNumber(11) val demands: List<DemandMessage> = emptyList(),
    @ProtoNumber(12) val isLeaving: Boolean = false,
    @ProtoNumber(13) val isInGroup: Boolean = false,
    @ProtoNumber(14) val deadTargets: List<String> = emptyList(),
    @ProtoNumber(15) val turns: List<TurnMessage> = emptyList(),
    @ProtoNumber(16) val promptPartRecords: List<String> = emptyList(),
    @ProtoNumber(17) val storeLoads: List<StoreLoadMessage> = emptyList(),
    @ProtoNumber(25) val coldPermits: List<ColdPermitMessage> = emptyList(),
)

/**
 * Reports the usage of a member at the sender to the member's collector.
 *
 * @property heldCost granted cost units that the sender may still use.
 * @property reserveCost cost units that the sender asks for beyond [neededCost], for the requests that it expects.
 * @property firstCost cost units of the request that waits longest, or 0.
 * @property surrenderedCost total cost units that the sender could have used while no collector answered, and did not.
 * @property appliedNumber number of the report whose grant the sender applied last, or a value below 0 if the sender
 * runs a version without [heldCost].
 */
@Serializable
internal class AllotmentReportMessage(
    @ProtoNumber(1) val memberId: String,
    @ProtoNumber(2) val number: Long,
    @ProtoNumber(3) val usedCost: Double,
    @ProtoNumber(4) val demandPerSecond: Double,
    @ProtoNumber(5) val knownLevel: Double,
    @ProtoNumber(6) val neededCost: Double = 0.0,
    @ProtoNumber(7) val heldCost: Float = 0f,
    @ProtoNumber(8) val reserveCost: Float = 0f,
    @ProtoNumber(9) val firstCost: Float = 0f,
    @ProtoNumber(10) val appliedNumber: Long = -1,
    @ProtoNumber(11) val surrenderedCost: Float = 0f,
)

/** Represents the collector's reply to an [AllotmentReportMessage]. */
@Serializable
internal class AllotmentGrantMessage(
    @ProtoNumber(1) val memberId: String,
    @ProtoNumber(2) val reportNumber: Long,
    @ProtoNumber(3) val level: Double,
    @ProtoNumber(4) val share: Double,
    @ProtoNumber(5) val seenUsedCost: Double,
    @ProtoNumber(6) val tokens: Double = 0.0,
    @ProtoNumber(7) val isSettling: Boolean = false,
)

/**
 * Requests a copy; retried until a [CopyReplyMessage] arrives.
 *
 * @property targetId the engine if the request goes to its owner, or empty if it goes to the planner of [service].
 * @property victims models that may be evicted for the copy.
 */
@Serializable
internal class CopyRequestMessage(
    @ProtoNumber(1) val number: Long,
    @ProtoNumber(2) val targetId: String = "",
    @ProtoNumber(3) val modelId: String,
    @ProtoNumber(4) val adapterId: String = "",
    @ProtoNumber(5) val service: String = "",
    @ProtoNumber(6) val victims: List<String> = emptyList(),
)

/**
 * Represents the reply to a [CopyRequestMessage].
 *
 * @property readyInMillis time until the copy is ready, or a value below 0 if it won't be loaded.
 * @property targetId the engine that loads or holds the copy, or empty if it is not known.
 */
@Serializable
internal class CopyReplyMessage(
    @ProtoNumber(1) val number: Long,
    @ProtoNumber(2) val readyInMillis: Long,
    @ProtoNumber(3) val reason: String = "",
    @ProtoNumber(4) val targetId: String = "",
)

/** Identifies a copy on an engine: one that the sender uses, or one that the sender, its owner, is about to evict. */
@Serializable
internal class CopyLocationMessage(
    @ProtoNumber(1) val targetId: String,
    @ProtoNumber(2) val modelId: String,
    @ProtoNumber(3) val adapterId: String = "",
)

/** Reports to the planner of [service] how many requests for a model arrived since the sender's last report. */
@Serializable
internal class DemandMessage(
    @ProtoNumber(1) val service: String,
    @ProtoNumber(2) val modelId: String,
    @ProtoNumber(3) val requests: Int,
    @ProtoNumber(4) val adapterId: String = "",
    @ProtoNumber(5) val promptTokens: Long = 0,
)

/** Reports to the planner of [service] that an engine of the sender loads a model from the weight store. */
@Serializable
internal class StoreLoadMessage(
    @ProtoNumber(1) val service: String,
    @ProtoNumber(2) val targetId: String,
    @ProtoNumber(3) val modelId: String,
    @ProtoNumber(4) val elapsedMillis: Long,
)

/** Returns this datagram in its wire format. */
internal fun PeerDatagram.encode(): ByteArray = encodeMessage(PeerDatagram.serializer(), this)

/** Returns the datagram encoded in [bytes], or `null` if they are malformed. */
internal fun decodePeerDatagramOrNull(bytes: ByteArray): PeerDatagram? =
    decodeMessageOrNull(PeerDatagram.serializer(), bytes)
