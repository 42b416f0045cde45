package org.banyanturn.core.serving

import org.banyanturn.core.MemberId
import org.banyanturn.core.ModelId

/** Returns the name of a service: a group of targets that serve the same requests. */
@JvmInline
public value class ServiceName(public val value: String) {
    override fun toString(): String = value
}

/** What may be repeated of a request, and how it is answered. */
public enum class RouteKind {
    /** An idempotent call: it may run more than once. */
    IDEMPOTENT,

    /** A call that may run once at most. */
    ONCE,

    /** A call that is answered by a stream of events. */
    STREAM,
}

/** A service that a route sends requests to, and its part of them relative to the route's other services. */
public data class RouteTarget(val service: ServiceName, val weight: Double)

/**
 * A route from hosts and paths to services.
 *
 * @property pathPrefix begins and ends with a slash.
 * @property timeoutMillis the longest time that a request may be kept waiting.
 * @property targetLatencyMillis the time within which a response, or the first event of a stream, is on time.
 * @property rank urgency, 0 first.
 * @property maxAttempts the most targets to which one request may be sent.
 * @property isPublic whether requests need no key.
 * @property isResumable whether a stream may be continued at another target after its last event.
 * @property gapMillis the longest pause between events that callers still take for on time, or `null`.
 */
public data class Route(
    val name: String,
    val host: String,
    val pathPrefix: String,
    val kind: RouteKind,
    val targets: List<RouteTarget>,
    val timeoutMillis: Long,
    val targetLatencyMillis: Long,
    val rank: Int,
    val maxAttempts: Int,
    val isPublic: Boolean,
    val isResumable: Boolean,
    val gapMillis: Long?,
) {
    /** How long a caller waits for the first event of a stream before it gives up, or `null` if this is no stream. */
    val firstEventTimeoutMillis: Long?
        get() = if (kind != RouteKind.STREAM) {
            null
        } else {
            maxOf(
                MIN_FIRST_EVENT_TIMEOUT_MILLIS,
                TIMEOUT_TARGET_LATENCIES * targetLatencyMillis,
                TIMEOUT_GAPS * (gapMillis ?: 0),
            )
        }

    /** Whether a request may run again after an attempt whose outcome is unknown. */
    val isRetryable: Boolean
        get() = kind == RouteKind.IDEMPOTENT || (kind == RouteKind.STREAM && isResumable)

    private companion object {
        /** Callers give a stream up after a gap of two seconds, four target latencies or eight allowed gaps. */
        const val MIN_FIRST_EVENT_TIMEOUT_MILLIS = 2_000L
        const val TIMEOUT_TARGET_LATENCIES = 4
        const val TIMEOUT_GAPS = 8
    }
}

/**
 * A model that the engines of a service may hold.
 *
 * @property loadMillis how long a load from the weight store takes at full speed.
 * @property diskLoadMillis how long a load from the engine's own disk takes.
 * @property memoryLoadMillis how long a load from the memory of the engine's host takes.
 * @property adapterCount how many adapters the model has.
 */
public data class ModelSpec(
    val modelId: ModelId,
    val weightsMegabytes: Double,
    val loadMillis: Long,
    val diskLoadMillis: Long,
    val adapterCount: Int,
    val adapterMegabytes: Double,
    val memoryLoadMillis: Long = diskLoadMillis,
) {
    /** Returns how long a load takes whose weights come from [source], in milliseconds. */
    public fun loadMillisFrom(source: WeightsSource): Long =
        when (source) {
            WeightsSource.HOST_MEMORY -> memoryLoadMillis
            WeightsSource.HOST_DISK -> diskLoadMillis
            WeightsSource.STORE -> loadMillis
        }
}

/**
 * The engines of a service.
 *
 * @property weightsMegabytes room for weights and adapters together.
 * @property adapterSlots how many adapters an engine holds at once.
 * @property loadsPerSecond loads from the weight store that may begin, over all engines together.
 */
public data class EngineSpec(
    val slots: Int,
    val models: Map<ModelId, ModelSpec>,
    val weightsMegabytes: Double,
    val adapterSlots: Int,
    val loadsPerSecond: Double,
)

/**
 * A service.
 *
 * @property maxConnections connections that a target accepts from all its callers together.
 * @property engine what its engines may hold, or `null` for a plain service.
 */
public data class Service(
    val name: ServiceName,
    val healthPath: String,
    val maxConnections: Int,
    val engine: EngineSpec?,
)

/**
 * What a member may use.
 *
 * @property rank urgency that goes before the route's, or `null`.
 * @property ratePerSecond cost units a second over all VMs together, or `null` for no limit.
 * @property burst cost units that may be used at once.
 * @property defaultRequestCost cost units of a request that names no token counts.
 */
public data class MemberQuota(
    val memberId: MemberId,
    val rank: Int?,
    val ratePerSecond: Double?,
    val burst: Double,
    val countsTokens: Boolean,
    val defaultRequestCost: Double,
)

/** What callers may send, and how long they may take or stay idle. */
public data class CallerLimits(
    val maxHeaderBytes: Int,
    val maxBodyBytes: Int,
    val headerTimeoutMillis: Long,
    val idleTimeoutMillis: Long,
)

/**
 * What operators have declared, as of [version]; immutable.
 *
 * @property hasMembers whether requests need a key at all.
 */
public class Catalog(
    public val version: Long,
    routes: List<Route>,
    public val services: Map<ServiceName, Service>,
    members: Map<String, MemberQuota>,
    public val hasMembers: Boolean,
    public val callerLimits: CallerLimits,
) {
    private val routesByHost: Map<String, List<Route>> =
        routes.groupBy { it.host }.mapValues { (_, hostRoutes) -> hostRoutes.sortedByDescending { it.pathPrefix.length } }
    private val membersByKey: Map<String, MemberQuota> = members

    private val membersById: Map<MemberId, MemberQuota> = members.values.associateBy { it.memberId }

    /** The members whose requests are limited. */
    public val limitedMembers: Set<MemberId> = membersById.filterValues { it.ratePerSecond != null }.keys

    /** The number of routes. */
    public val routeCount: Int = routes.size

    /** Returns the route of [host] with the longest prefix of [path], or `null` if there is none. */
    public fun routeOrNull(host: String, path: String): Route? =
        routesByHost[host]?.firstOrNull { path.startsWith(it.pathPrefix) }

    private val minGapsMillis: Map<ServiceName, Long> =
        routes.flatMap { route -> route.targets.mapNotNull { target -> route.gapMillis?.let { target.service to it } } }
            .groupingBy { (service, _) -> service }
            .fold(Long.MAX_VALUE) { minMillis, (_, gapMillis) -> minOf(minMillis, gapMillis) }

    /** Returns the shortest of the pauses that routes to [service] allow, or `null` if none names one. */
    public fun minGapMillisOrNull(service: ServiceName): Long? = minGapsMillis[service]

    /** Returns the member whose key is [key], or `null` if no member has it. */
    public fun memberOrNull(key: String): MemberQuota? = membersByKey[key]

    /** Returns what the member [memberId] may use, or `null` if there is none with a key. */
    public fun quotaOrNull(memberId: MemberId): MemberQuota? = membersById[memberId]
}
