package org.banyanturn.entry.requests

import org.banyanturn.core.MemberId
import org.banyanturn.core.limits.AllotmentGrant
import org.banyanturn.core.limits.AllotmentReport
import org.banyanturn.core.limits.AllotmentSettings
import org.banyanturn.core.limits.MemberAllotment
import org.banyanturn.core.limits.RateDecision
import org.banyanturn.core.serving.MemberQuota
import org.banyanturn.daemon.logs.LogField
import org.banyanturn.daemon.logs.field

/** A request that waits for room in its member's limit; it is told the decision once. */
internal class RateLimitedRequest(
    val cost: Double,
    val arrivedAtMillis: Long,
    val onDecision: (RateDecision) -> Unit,
)

/** This VM's parts of the members' limits. */
internal class MemberLimits(
    private val vmCount: () -> Int,
    private val initialFraction: Double,
    private val settings: AllotmentSettings = AllotmentSettings(),
) {
    private val shares = HashMap<MemberId, LimitedMember>()

    /** Whether requests wait for room in a limit. */
    val isWaiting: Boolean
        get() = shares.values.any { it.waiting.isNotEmpty() }

    /** Decides on [request] of a member with [terms], now or when there is room or the wait is over. */
    fun submit(terms: MemberQuota, request: RateLimitedRequest, nowMillis: Long) {
        val limited = limitedOrNull(terms, nowMillis) ?: return request.onDecision(RateDecision.Admitted)
        limited.share.recordDemand(request.cost, nowMillis)
        limited.waiting.addLast(request)
        decide(limited, nowMillis)
    }

    /** Decides on the requests that wait, in the order of their arrival; called every few milliseconds. */
    fun tick(nowMillis: Long) {
        shares.values.forEach { if (it.waiting.isNotEmpty()) decide(it, nowMillis) }
    }

    private fun decide(limited: LimitedMember, nowMillis: Long) {
        while (limited.waiting.isNotEmpty()) {
            val request = limited.waiting.first()
            val decision = limited.share.tryAcquire(request.cost, vmCount(), nowMillis, request.arrivedAtMillis)
            if (decision is RateDecision.Pending) break
            limited.waiting.removeFirst()
            request.onDecision(decision)
        }
        limited.share.setWaitingCost(limited.waiting.sumOf { it.cost })
    }

    /** Takes back the [cost] of a request that has not run. */
    fun refund(terms: MemberQuota, cost: Double) {
        shares[terms.memberId]?.share?.refund(cost)
    }

    /** Returns what decides on requests of [memberId] at the moment, for the log. */
    fun stateFields(memberId: MemberId): List<LogField> {
        val share = shares[memberId]?.share ?: return emptyList()
        return listOf(
            field("memberLevel", share.knownLevel),
            field("memberShare", share.currentShare),
            field("tokens", share.availableCost),
            field("grantAtMillis", share.grantAtMillis),
        )
    }

    /** Returns the reports that are due, by member. */
    fun dueReports(nowMillis: Long): Map<MemberId, AllotmentReport> {
        val due = LinkedHashMap<MemberId, AllotmentReport>()
        shares.forEach { (memberId, limited) ->
            limited.share.dueReportOrNull(nowMillis)?.let { due[memberId] = it }
        }
        return due
    }

    /** Takes in the collector's answer on [memberId]. */
    fun onGrant(memberId: MemberId, grant: AllotmentGrant, nowMillis: Long) {
        val limited = shares[memberId] ?: return
        limited.share.onGrant(grant, nowMillis)
        decide(limited, nowMillis)
    }

    private fun limitedOrNull(terms: MemberQuota, nowMillis: Long): LimitedMember? {
        val ratePerSecond = terms.ratePerSecond ?: return null
        val limited = shares.getOrPut(terms.memberId) {
            LimitedMember(terms, MemberAllotment(ratePerSecond, terms.burst, settings, nowMillis, initialFraction))
        }
        if (limited.terms !== terms) {
            limited.terms = terms
            limited.share.setLimit(ratePerSecond, terms.burst, vmCount(), nowMillis)
        }
        return limited
    }
}

private class LimitedMember(var terms: MemberQuota, val share: MemberAllotment) {
    val waiting = ArrayDeque<RateLimitedRequest>()
}
