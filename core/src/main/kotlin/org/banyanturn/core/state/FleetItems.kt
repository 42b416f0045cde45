package org.banyanturn.core.state

import kotlinx.collections.immutable.PersistentList
import kotlinx.serialization.Serializable
import org.banyanturn.core.AdapterId
import org.banyanturn.core.Incarnation
import org.banyanturn.core.KeyId
import org.banyanturn.core.MemberId
import org.banyanturn.core.ModelId
import org.banyanturn.core.RouteName
import org.banyanturn.core.TargetId
import org.banyanturn.core.ZoneId

/** Represents a member with its rate in cost units per second and its burst in cost units. */
@Serializable
public data class Member(
    val memberId: MemberId,
    val ratePerSecond: Double,
    val burst: Double,
    val version: Long,
)

/** Represents an API key by its hash, with its member and whether it was withdrawn. */
@Serializable
public data class Key(
    val keyId: KeyId,
    val memberId: MemberId,
    val keyHash: String,
    val isWithdrawn: Boolean,
    val version: Long,
)

/** Represents a declared model with its default version and the maximum number of copies that may be loaded. */
@Serializable
public data class Model(
    val modelId: ModelId,
    val declaredVersion: String,
    val memoryMebibytes: Long,
    val copies: Int,
    val version: Long,
)

/** Represents a declared adapter of a model. */
@Serializable
public data class Adapter(
    val adapterId: AdapterId,
    val modelId: ModelId,
    val declaredVersion: String,
    val memoryMebibytes: Long,
    val version: Long,
)

/** Represents a declared engine or service. */
@Serializable
public data class Target(
    val targetId: TargetId,
    val kind: TargetKind,
    val address: String,
    val zoneId: ZoneId,
    val memoryMebibytes: Long,
    val checksFencing: Boolean,
    val isDraining: Boolean,
    val version: Long,
)

/** Represents a route from a request path to plain services. */
@Serializable
public data class Route(
    val routeName: RouteName,
    @Serializable(with = PersistentListSerializer::class)
    val targetIds: PersistentList<TargetId>,
    val isOpen: Boolean,
    @Serializable(with = PersistentListSerializer::class)
    val idempotentMethods: PersistentList<String>,
    val version: Long,
)

/**
 * Represents the latest incarnation of an entry VM and the addresses at which peers reach it.
 *
 * @property hasLeft whether the incarnation has ended.
 * @property leftGracefully whether it reported its own end while no order to an engine was in flight.
 */
@Serializable
public data class Vm(
    val incarnation: Incarnation,
    val zoneId: ZoneId,
    val routerPeerAddress: String,
    val placerPeerAddress: String,
    val isDraining: Boolean,
    val hasLeft: Boolean,
    val version: Long,
    val leftGracefully: Boolean = false,
)

/** Represents the latest incarnation of the router on an entry VM. */
@Serializable
public data class Router(
    val incarnation: Incarnation,
    val zoneId: ZoneId,
    val peerAddress: String,
    val hasLeft: Boolean,
    val version: Long,
)

/**
 * Represents the incarnation that may send orders to an engine.
 *
 * @property fencingNumber offset of the record that set the owner; it increases with each change of owner.
 * @property mustWait whether orders of the previous owner may still be in flight. If so, the owner of an engine that
 * doesn't check fencing numbers sends its first order only after the previous owner's lease and the maximum order delay
 * have passed.
 */
@Serializable
public data class EngineOwner(
    val targetId: TargetId,
    val incarnation: Incarnation,
    val fencingNumber: Long,
    val mustWait: Boolean = false,
)
