package org.banyanturn.core.serving

import org.banyanturn.core.MemberId
import org.banyanturn.core.ModelId

/** The name of a service: a group of targets that serve the same requests. */
@JvmInline
public value class ServiceName(public val value: String) {
    override fun toString(): String = value
}

/** The kind of a route: whether its requests may be retried, and how they are answered. */
public enum class RouteKind {
    /** Idempotent calls, which may run more than once. */
    IDEMPOTENT,

    /** Calls that may run at most once. */
    ONCE,

    /** Calls that are answered by a stream of events. */
    STREAM,
}

/** A service to which a route sends requests, with its [weight] relative to the route's other services. */
public data class RouteTarget(val service: ServiceName, val weight: Double)

/**
 * A route from a host and path prefix to services.
 *
 * @property pathPrefix prefix of the paths; it begins and ends with a slash.
 * @property timeoutMillis maximum time that a request may wait for its answer, in milliseconds.
 * @property targetLatencyMillis time within which a response, or the first event of a stream, counts as on time, in
 * milliseconds.
 * @property rank priority of the requests; 0 is the highest.
 * @property maxAttempts maximum number of targets to which one request may be sent.
 * @property isPublic whether requests need no key.
 * @property isResumable whether a stream may be continued at another target after its last event.
 * @property gapMillis maximum time between two events of a stream for the later one to count as on time, in
 * milliseconds, or `null` if there is no such limit.
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
    /**
     * The time after which callers give up waiting for the first event of a stream, in milliseconds, or `null` if the
     * route is not a stream.
     */
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

    /** Whether a request may be retried after an attempt whose outcome is unknown. */
    val isRetryable: Boolean
        get() = kind == RouteKind.IDEMPOTENT || (kind == RouteKind.STREAM && isResumable)

    private companion object {
        /** Callers abandon a stream after the longest of two seconds, four target latencies and eight allowed gaps. */
        const val MIN_FIRST_EVENT_TIMEOUT_MILLIS = 2_000L
        const val TIMEOUT_TARGET_LATENCIES = 4
        const val TIMEOUT_GAPS = 8
    }
}

/**
 * A model that the engines of a service may load.
 *
 * @property weightsMegabytes size of the model's weights, in megabytes.
 * @property loadMillis duration of a load from the weight store at full speed, in milliseconds.
 * @property diskLoadMillis duration of a load from the disk of the engine's host, in milliseconds.
 * @property adapterCount number of adapters of the model.
 * @property adapterMegabytes size of one adapter, in megabytes.
 * @property memoryLoadMillis duration of a load from the memory of the engine's host, in milliseconds.
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
    /** Returns the duration of a load whose weights come from [source], in milliseconds. */
    public fun loadMillisFrom(source: WeightsSource): Long =
        when (source) {
            WeightsSource.HOST_MEMORY -> memoryLoadMillis
            WeightsSource.HOST_DISK -> diskLoadMillis
            WeightsSource.STORE -> loadMillis
        }
}

/**
 * The capabilities of a service's engines.
 *
 * @property slots number of requests that an engine runs concurrently.
 * @property models the models that the engines may load.
 * @property weightsMegabytes memory of an engine for weights and adapters together, in megabytes.
 * @property adapterSlots maximum number of adapters that an engine holds at a time.
 * @property loadsPerSecond maximum rate at which loads from the weight store may start, over all engines together.
 * @property memoryTokens tokens of prompts and outputs that an engine's memory holds, or `null` if it is not stated.
 */
public data class EngineSpec(
    val slots: Int,
    val models: Map<ModelId, ModelSpec>,
    val weightsMegabytes: Double,
    val adapterSlots: Int,
    val loadsPerSecond: Double,
    val memoryTokens: Long? = null,
)

/**
 * The limit on requests to a cold target of a service.
 *
 * @property requestsPerSecond requests per second that a cold target sustains, from all VMs together.
 * @property startMillis how long a target stays cold after its start, in milliseconds.
 */
public data class ColdTargetLimit(val requestsPerSecond: Double, val startMillis: Long)

/**
 * A service: a group of targets that serve the same requests.
 *
 * @property healthPath path of the targets' health check.
 * @property maxConnections maximum number of connections that a target accepts from all its callers together.
 * @property engine the capabilities of the service's engines, or `null` for a plain service.
 * @property coldLimit the limit on requests to a cold target, or `null` if cold targets need no limit.
 */
public data class Service(
    val name: ServiceName,
    val healthPath: String,
    val maxConnections: Int,
    val engine: EngineSpec?,
    val coldLimit: ColdTargetLimit? = null,
)

/**
 * The quota and priority of a member.
 *
 * @property rank priority that overrides that of the route, or `null`; 0 is the highest.
 * @property ratePerSecond limit in cost units per second over all VMs together, or `null` for no limit.
 * @property burst cost units that may be used at once.
 * @property countsTokens whether the cost units are tokens; otherwise each request costs 1.
 * @property defaultRequestCost cost units of a request that does not state its token counts.
 */
public data class MemberQuota(
    val memberId: MemberId,
    val rank: Int?,
    val ratePerSecond: Double?,
    val burst: Double,
    val countsTokens: Boolean,
    val defaultRequestCost: Double,
)

/** Limits of the requests and connections of callers: sizes in bytes, timeouts in milliseconds. */
public data class CallerLimits(
    val maxHeaderBytes: Int,
    val maxBodyBytes: Int,
    val headerTimeoutMillis: Long,
    val idleTimeoutMillis: Long,
)

/**
 * The services, routes and members that operators have declared, as of [version]. Immutable.
 *
 * @property hasMembers whether requests to routes that are not public need a key.
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
        routes.groupBy {
            it.host
        }.mapValues { (_, hostRoutes) -> hostRoutes.sortedByDescending { it.pathPrefix.length } }
    private val membersByKey: Map<String, MemberQuota> = members

    private val membersById: Map<MemberId, MemberQuota> = members.values.associateBy { it.memberId }

    /** The members with a rate limit. */
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

    /** Returns the minimum [Route.gapMillis] of the routes to [service], or `null` if none of them has one. */
    public fun minGapMillisOrNull(service: ServiceName): Long? = minGapsMillis[service]

    private val ranksByService: Map<ServiceName, List<Int>> =
        routes.flatMap { route -> route.targets.map { it.service to route.rank } }
            .groupBy({ (service, _) -> service }, { (_, rank) -> rank })
            .mapValues { (_, ranks) -> ranks.distinct().sorted() }

    /** Returns whether routes to [service] have different ranks, so that its requests are started by rank. */
    public fun hasSeveralRanks(service: ServiceName): Boolean = ranksByService[service].orEmpty().size > 1

    /** Returns the middle one of the ranks of the routes to [service], or `null` if there is no such route. */
    public fun middleRankOrNull(service: ServiceName): Int? =
        ranksByService[service]?.let { ranks -> ranks[ranks.size / 2] }

    /** Returns the quota of the member whose key is [key], or `null` if there is no such member. */
    public fun memberOrNull(key: String): MemberQuota? = membersByKey[key]

    /** Returns the quota of the member [memberId], or `null` if there is no such member with a key. */
    public fun quotaOrNull(memberId: MemberId): MemberQuota? = membersById[memberId]
}
