package org.banyanturn.core.state

import kotlinx.serialization.SerialName
import kotlinx.serialization.Serializable
import org.banyanturn.core.AdapterId
import org.banyanturn.core.Incarnation
import org.banyanturn.core.KeyId
import org.banyanturn.core.MemberId
import org.banyanturn.core.ModelId
import org.banyanturn.core.RouteName
import org.banyanturn.core.TargetId
import org.banyanturn.core.VmId
import org.banyanturn.core.ZoneId

/** Represents a change of the shared state, as it is stored in a record of the log. */
@Serializable
public sealed interface Change

/**
 * Creates a member.
 *
 * @property ratePerSecond rate limit in cost units per second, summed over all VMs.
 * @property burst maximum number of cost units that may be used at once, summed over all VMs.
 */
@Serializable
@SerialName("create-member")
public data class CreateMember(val memberId: MemberId, val ratePerSecond: Double, val burst: Double) : Change

/** Sets a member's rate, in cost units per second, and its burst, in cost units. */
@Serializable
@SerialName("set-rate")
public data class SetRate(val memberId: MemberId, val ratePerSecond: Double, val burst: Double) : Change

/** Grants an API key to a member; only the hash of the key (SHA-256, hexadecimal) is stored. */
@Serializable
@SerialName("grant-key")
public data class GrantKey(val keyId: KeyId, val memberId: MemberId, val keyHash: String) : Change

/** Revokes an API key permanently. */
@Serializable
@SerialName("withdraw-key")
public data class WithdrawKey(val keyId: KeyId) : Change

/**
 * Declares a model or a new version of it.
 *
 * @property copies maximum number of copies that may be loaded at once, summed over all engines.
 */
@Serializable
@SerialName("declare-model")
public data class DeclareModel(
    val modelId: ModelId,
    val version: String,
    val memoryMebibytes: Long,
    val copies: Int,
) : Change

/** Sets the maximum number of copies of a model that may be loaded at once. */
@Serializable
@SerialName("set-copies")
public data class SetCopies(val modelId: ModelId, val copies: Int) : Change

/** Declares an adapter of a model or a new version of it. */
@Serializable
@SerialName("declare-adapter")
public data class DeclareAdapter(
    val adapterId: AdapterId,
    val modelId: ModelId,
    val version: String,
    val memoryMebibytes: Long,
) : Change

/** The kind of a target. */
@Serializable
public enum class TargetKind {
    /** A model engine. */
    @SerialName("engine")
    ENGINE,

    /** A plain service. */
    @SerialName("service")
    SERVICE,
}

/**
 * Declares a target.
 *
 * @property address base URL whose host is an IP address.
 * @property memoryMebibytes accelerator memory of an engine in MiB; 0 for a service.
 * @property checksFencing whether the target rejects an order with an outdated fencing number.
 */
@Serializable
@SerialName("declare-target")
public data class DeclareTarget(
    val targetId: TargetId,
    val kind: TargetKind,
    val address: String,
    val zoneId: ZoneId,
    val memoryMebibytes: Long = 0,
    val checksFencing: Boolean = false,
) : Change

/** Stops new requests to a target; requests in progress are completed. */
@Serializable
@SerialName("drain-target")
public data class DrainTarget(val targetId: TargetId) : Change

/** Allows requests to a drained target again. */
@Serializable
@SerialName("restore-target")
public data class RestoreTarget(val targetId: TargetId) : Change

/**
 * Declares a route to plain services.
 *
 * @property isOpen whether requests are accepted without an API key.
 * @property idempotentMethods HTTP methods whose requests may be retried.
 */
@Serializable
@SerialName("declare-route")
public data class DeclareRoute(
    val routeName: RouteName,
    val targetIds: List<TargetId>,
    val isOpen: Boolean = false,
    val idempotentMethods: List<String> = listOf("GET", "HEAD"),
) : Change

/** Stops new requests to an entry VM. */
@Serializable
@SerialName("drain-vm")
public data class DrainVm(val vmId: VmId) : Change

/** Announces a new incarnation of an entry VM. */
@Serializable
@SerialName("join-vm")
public data class JoinVm(
    val incarnation: Incarnation,
    val zoneId: ZoneId,
    val routerPeerAddress: String,
    val placerPeerAddress: String,
) : Change

/**
 * Records that an incarnation has ended, as reported by itself or by the VM list of the platform.
 *
 * @property isGraceful whether the incarnation reports its own end and no order to an engine is in flight: neither one
 * of its own nor one of a previous owner that it still had to wait for.
 */
@Serializable
@SerialName("leave-vm")
public data class LeaveVm(val incarnation: Incarnation, val isGraceful: Boolean = false) : Change

/**
 * Announces a new incarnation of a router, which is a separate process on its VM and restarts independently.
 *
 * @property peerAddress gRPC address, `IP:port`, for other routers.
 */
@Serializable
@SerialName("join-router")
public data class JoinRouter(val incarnation: Incarnation, val zoneId: ZoneId, val peerAddress: String) : Change

/** Records that a router's incarnation has ended, as reported by itself or by the VM list of the platform. */
@Serializable
@SerialName("leave-router")
public data class LeaveRouter(val incarnation: Incarnation) : Change

/**
 * Makes an incarnation the owner of an engine; the offset of the record is the fencing number of its orders.
 *
 * The entry must carry the fencing number of the previous owner, or [NO_VERSION], as its expected version.
 */
@Serializable
@SerialName("own-engine")
public data class OwnEngine(val targetId: TargetId, val incarnation: Incarnation) : Change

/** Claims the right to load one copy of a model version or adapter version on an engine. */
@Serializable
@SerialName("claim-copy")
public data class ClaimCopy(
    val targetId: TargetId,
    val modelId: ModelId,
    val adapterId: AdapterId? = null,
    val version: String,
    val incarnation: Incarnation,
) : Change

/** Records that a claimed copy is loaded and can serve requests. */
@Serializable
@SerialName("confirm-copy")
public data class ConfirmCopy(
    val targetId: TargetId,
    val modelId: ModelId,
    val adapterId: AdapterId? = null,
    val version: String,
    val incarnation: Incarnation,
) : Change

/** Releases a claim after the engine has confirmed that the copy is unloaded or was never loaded. */
@Serializable
@SerialName("release-copy")
public data class ReleaseCopy(
    val targetId: TargetId,
    val modelId: ModelId,
    val adapterId: AdapterId? = null,
    val version: String,
    val incarnation: Incarnation,
) : Change

/**
 * Announces a checkpoint of this stream that was written completely.
 *
 * @property nextOffset offset of the first record that the checkpoint does not contain.
 * @property firstChunkOffset offset of its first chunk in the checkpoint stream.
 */
@Serializable
@SerialName("announce-checkpoint")
public data class AnnounceCheckpoint(val nextOffset: Long, val firstChunkOffset: Long) : Change

/**
 * Releases [partitions] of the members' rates, of which [incarnation] is the home, so that they are assigned again.
 *
 * The writer must stop granting shares of these partitions before it appends the record.
 */
@Serializable
@SerialName("release-rate-homes")
public data class ReleaseRateHomes(val incarnation: Incarnation, val partitions: List<Int>) : Change
