package org.banyanturn.entry.requests

import org.banyanturn.core.MemberId
import org.banyanturn.core.delivery.RefusalReason
import org.banyanturn.core.limits.RateDecision
import org.banyanturn.core.serving.Catalog
import org.banyanturn.core.serving.MemberQuota
import org.banyanturn.core.serving.Route
import org.banyanturn.core.serving.RouteTarget
import org.banyanturn.daemon.logs.LogField
import org.banyanturn.daemon.logs.field
import org.banyanturn.entry.http.CallerExchange
import org.banyanturn.platform.hosted.CallerHeaders
import org.banyanturn.platform.hosted.readCallerHeaders
import kotlin.random.Random

/**
 * Retry delay for callers while this VM has not yet read the catalog and the list of targets.
 *
 * It also applies to requests whose cost no limit can ever admit.
 */
private const val NOT_READY_RETRY_MILLIS = 500L

/**
 * Retry delay for callers whose request exceeds the memory of every engine.
 *
 * Such a request is refused like one that finds all engines full, which is how engines refuse it themselves.
 */
private const val TOO_LARGE_RETRY_MILLIS = 1_000L

/** Retry delay for callers of a VM that stops; their next connection leads to another VM. */
private const val STOPPING_RETRY_MILLIS = 100L

/** Maximum jitter added to a retry delay, as a fraction of that delay. */
private const val RETRY_JITTER_FRACTION = 0.5

/** Routes, authenticates and admits each request on arrival. */
internal class RequestHandler(private val environment: RequestEnvironment) {
    /** Handles a caller's request. */
    fun onRequest(exchange: CallerExchange) {
        val call = readCallerHeaders(exchange.head.headers())
        environment.metrics.requests.inc()
        val catalog = environment.view.catalog
        if (catalog == null || !environment.view.hasDirectory) {
            return refuse(exchange, call, EntryRefusal.notReady(NOT_READY_RETRY_MILLIS))
        }
        val route = routeOrNull(catalog, exchange) ?: return refuse(exchange, call, EntryRefusal.NoRoute)
        val member = call.key?.let(catalog::memberOrNull)
        if (member == null && catalog.hasMembers && !route.isPublic) {
            return refuse(exchange, call, EntryRefusal.UnknownKey)
        }
        val blockedMillis = environment.crashes.refusedForMillisOrNull(exchange, call.sharedPromptParts)
        if (blockedMillis != null) {
            return refuse(exchange, call, EntryRefusal.Unavailable("crashes_targets", blockedMillis))
        }
        val admission = Admission(exchange, call, route, member.takeUnless { route.isPublic && call.key == null })
        admit(admission)
    }

    private fun routeOrNull(catalog: Catalog, exchange: CallerExchange): Route? {
        val host = exchange.head.headers()["Host"].orEmpty().substringBefore(':').lowercase()
        val path = exchange.head.uri().substringBefore('?')
        return catalog.routeOrNull(host, path)
    }

    private fun admit(admission: Admission) {
        val member = admission.member ?: return start(admission)
        val request = RateLimitedRequest(admission.cost, admission.exchange.arrivedAtMillis) { decision ->
            if (admission.exchange.hasEnded) return@RateLimitedRequest
            when (decision) {
                is RateDecision.Refused -> refuseOverLimit(admission, decision.retryAfterMillis)
                RateDecision.Impossible -> refuseOverLimit(admission, NOT_READY_RETRY_MILLIS)
                RateDecision.Admitted, is RateDecision.Pending -> start(admission)
            }
        }
        environment.limits.submit(member, request, now())
    }

    private fun refuseOverLimit(admission: Admission, retryAfterMillis: Long) {
        val jitterMillis = retryJitterMillis(retryAfterMillis, environment.random)
        val member = admission.member?.memberId
        val refusal = EntryRefusal.OverLimit(retryAfterMillis + jitterMillis)
        refuse(admission.exchange, admission.call, refusal, limitFields(admission, member))
    }

    private fun limitFields(admission: Admission, memberId: MemberId?): List<LogField> =
        listOf(field("member", memberId), field("route", admission.route.name), field("cost", admission.cost)) +
            memberId?.let { environment.limits.stateFields(it) }.orEmpty()

    /** Starts to serve an admitted request, which may have waited for its limit, or for the rest of its body. */
    private fun start(admission: Admission) {
        if (!environment.acceptsRequests()) return refuseStopping(admission)
        val tokens = admission.call.tokens?.total ?: 0
        val targets = admission.route.targets.filterNot { environment.targetSelector.isTooLarge(it.service, tokens) }
        if (targets.isEmpty() && admission.route.targets.isNotEmpty()) return refuseTooLarge(admission, tokens)
        val target = pickTarget(targets, environment.random)
            ?: return refuse(admission.exchange, admission.call, EntryRefusal.NoRoute)
        environment.retries.recordRequest(target.service, now())
        ServedRequest(admission, target.service, environment).start()
    }

    private fun refuseStopping(admission: Admission) {
        admission.member?.let { environment.limits.refund(it, admission.cost) }
        refuse(admission.exchange, admission.call, EntryRefusal.Unavailable("stopping", STOPPING_RETRY_MILLIS))
    }

    private fun refuseTooLarge(admission: Admission, tokens: Long) {
        admission.member?.let { environment.limits.refund(it, admission.cost) }
        val refusal = EntryRefusal.Unavailable("too_large", TOO_LARGE_RETRY_MILLIS)
        refuse(admission.exchange, admission.call, refusal, listOf(field("tokens", tokens)))
    }

    private fun refuse(
        exchange: CallerExchange,
        call: CallerHeaders,
        refusal: EntryRefusal,
        inputs: List<LogField> = emptyList(),
    ) {
        val decisionLog = environment.log.forRequest(call.attemptId.orEmpty())
        decisionLog.refused(refusal, inputs)
        decisionLog.end()
        environment.metrics.refused(refusal.reason)
        exchange.respondWithRefusal(refusal, call.attemptId)
    }

    private fun now(): Long = environment.clock.nowMillis()
}

private fun pickTarget(targets: List<RouteTarget>, random: Random): RouteTarget? {
    if (targets.size <= 1) return targets.firstOrNull()
    var draw = random.nextDouble() * targets.sumOf { it.weight }
    return targets.firstOrNull { target ->
        draw -= target.weight
        draw < 0
    } ?: targets.last()
}

/** Returns a random addition to [millis], so that callers who were refused together do not retry together. */
internal fun retryJitterMillis(millis: Long, random: Random): Long =
    (millis * RETRY_JITTER_FRACTION * random.nextDouble()).toLong()

/**
 * Represents a routed and authenticated request.
 *
 * @property member the quota of the member that sent it, or `null` if it is attributed to no member.
 * @property cost the cost units that it takes from the member's limit.
 */
internal class Admission(
    val exchange: CallerExchange,
    val call: CallerHeaders,
    val route: Route,
    val member: MemberQuota?,
) {
    val cost: Double = when {
        member == null -> 0.0
        member.countsTokens -> call.tokens?.total?.toDouble() ?: member.defaultRequestCost
        else -> 1.0
    }
}

/** Returns the name of this reason in responses and logs. */
internal fun RefusalReason.reasonName(): String = name.lowercase()
