@file:OptIn(ExperimentalSerializationApi::class)

package org.banyanturn.entry.peers

import kotlinx.serialization.ExperimentalSerializationApi
import kotlinx.serialization.Serializable
import kotlinx.serialization.protobuf.ProtoNumber
import org.banyanturn.entry.decodeMessageOrNull
import org.banyanturn.entry.encodeMessage
import org.banyanturn.entry.turns.TurnMessage

/**
 * What one VM tells another in one datagram; it may be lost, late, repeated or overtaken.
 *
 * @property leaving copies that their engine's owner, the sender, is about to drop.
 * @property deadTargets targets whose hosts turned the sender's connections away.
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
)

/** A member's use at the sender, for the member's collector. */
@Serializable
internal class AllotmentReportMessage(
    @ProtoNumber(1) val memberId: String,
    @ProtoNumber(2) val number: Long,
    @ProtoNumber(3) val usedCost: Double,
    @ProtoNumber(4) val demandPerSecond: Double,
    @ProtoNumber(5) val knownLevel: Double,
    @ProtoNumber(6) val neededCost: Double = 0.0,
)

/** The collector's answer. */
@Serializable
internal class AllotmentGrantMessage(
    @ProtoNumber(1) val memberId: String,
    @ProtoNumber(2) val reportNumber: Long,
    @ProtoNumber(3) val level: Double,
    @ProtoNumber(4) val share: Double,
    @ProtoNumber(5) val seenUsedCost: Double,
    @ProtoNumber(6) val tokens: Double = 0.0,
)

/**
 * Asks for a copy; sent again until it is answered.
 *
 * @property targetId the engine whose owner is asked, or empty if the planner of [service] is asked.
 * @property victims models that may be dropped for it.
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

/** The answer; [readyInMillis] is below 0 if the copy won't be loaded, and [targetId] the engine if it is known. */
@Serializable
internal class CopyReplyMessage(
    @ProtoNumber(1) val number: Long,
    @ProtoNumber(2) val readyInMillis: Long,
    @ProtoNumber(3) val reason: String = "",
    @ProtoNumber(4) val targetId: String = "",
)

/** Names a copy at an engine: one that the sender uses, or one that its owner is about to drop. */
@Serializable
internal class CopyLocationMessage(
    @ProtoNumber(1) val targetId: String,
    @ProtoNumber(2) val modelId: String,
    @ProtoNumber(3) val adapterId: String = "",
)

/** How many requests for a model have arrived at the sender lately, for the planner of [service]. */
@Serializable
internal class DemandMessage(
    @ProtoNumber(1) val service: String,
    @ProtoNumber(2) val modelId: String,
    @ProtoNumber(3) val requests: Int,
    @ProtoNumber(4) val adapterId: String = "",
    @ProtoNumber(5) val promptTokens: Long = 0,
)

/** Returns the bytes of this datagram. */
internal fun PeerDatagram.encode(): ByteArray = encodeMessage(PeerDatagram.serializer(), this)

/** Returns the datagram in [bytes], or `null` if it can't be read. */
internal fun decodePeerDatagramOrNull(bytes: ByteArray): PeerDatagram? =
    decodeMessageOrNull(PeerDatagram.serializer(), bytes)
