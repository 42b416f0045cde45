package org.banyanturn.entry.requests

import org.banyanturn.core.MemberId
import org.banyanturn.core.limits.AllotmentGrant
import org.banyanturn.core.limits.AllotmentReport
import org.banyanturn.core.limits.AllotmentSettings
import org.banyanturn.core.limits.MemberAllotment
import org.banyanturn.core.limits.RESTART_UNUSED_BURST_FRACTION
import org.banyanturn.core.limits.RateDecision
import org.banyanturn.core.serving.MemberQuota
import org.banyanturn.daemon.logs.LogField
import org.banyanturn.daemon.logs.field
import org.banyanturn.entry.observe.LimitMetrics
import org.banyanturn.entry.observe.LimitRefusal
import kotlin.math.min

/**
 * Represents a request that awaits admission under its member's rate limit.
 *
 * @property onDecision called once with the decision.
 */
internal class RateLimitedRequest(
    val cost: Double,
    val arrivedAtMillis: Long,
    val onDecision: (RateDecision) -> Unit,
)

/** How long after its start a VM may use a part of each burst before a collector answers. */
private const val START_MILLIS = 10_000L

/**
 * Admits requests under this VM's shares of the members' rate limits.
 *
 * @param initialFraction fraction of each burst that is unused when this VM starts.
 * @param metrics counts the refusals inside the limits, or `null` to count none.
 */
internal class MemberLimits(
    private val vmCount: () -> Int,
    private val initialFraction: Double,
    private val settings: AllotmentSettings = AllotmentSettings(),
    private val startMillis: Long = 0,
    private val metrics: LimitMetrics? = null,
) {
    private val states = HashMap<MemberId, MemberQuotaState>()

    /** Whether requests await admission. */
    val isWaiting: Boolean
        get() = states.values.any { it.waiting.isNotEmpty() }

    /** Decides on [request] of a member with [quota], immediately or when capacity frees up or the wait times out. */
    fun submit(quota: MemberQuota, request: RateLimitedRequest, nowMillis: Long) {
        val state = stateOrNull(quota, nowMillis) ?: return request.onDecision(RateDecision.Admitted)
        state.share.recordDemand(request.cost, nowMillis)
        state.waiting.addLast(request)
        decide(state, nowMillis)
    }

    /** Decides on the waiting requests in the order of their arrival; called every few milliseconds. */
    fun tick(nowMillis: Long) {
        states.values.forEach { if (it.waiting.isNotEmpty()) decide(it, nowMillis) }
    }

    private fun decide(state: MemberQuotaState, nowMillis: Long) {
        while (state.waiting.isNotEmpty()) {
            val request = state.waiting.first()
            val decision = state.share.tryAcquire(request.cost, vmCount(), nowMillis, request.arrivedAtMillis)
            if (decision is RateDecision.Pending) break
            state.waiting.removeFirst()
            if (decision is RateDecision.Refused) recordRefusal(state, request)
            if (request.arrivedAtMillis < nowMillis) metrics?.waited(nowMillis - request.arrivedAtMillis)
            request.onDecision(decision)
        }
        state.share.setWaitingCost(state.waiting.sumOf { it.cost })
    }

    /** Counts a refusal; the member's unused cost units in the latest grant say whether it was inside the limit. */
    private fun recordRefusal(state: MemberQuotaState, request: RateLimitedRequest) {
        val isAnswered = (state.share.grantAtMillis ?: Long.MIN_VALUE) >= request.arrivedAtMillis
        metrics?.refused(
            state.quota.memberId.value,
            when {
                !isAnswered -> LimitRefusal.UNANSWERED
                state.share.knownLevel >= request.cost -> LimitRefusal.UNUSED
                else -> LimitRefusal.USED
            },
        )
    }

    /** Refunds the [cost] of a request that has not run. */
    fun refund(quota: MemberQuota, cost: Double) {
        states[quota.memberId]?.share?.refund(cost)
    }

    /** Returns the current admission state of [memberId] as log fields. */
    fun stateFields(memberId: MemberId): List<LogField> {
        val share = states[memberId]?.share ?: return emptyList()
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
        states.forEach { (memberId, state) ->
            state.share.dueReportOrNull(nowMillis)?.let { due[memberId] = it }
        }
        return due
    }

    /** Applies the collector's [grant] for [memberId]. */
    fun onGrant(memberId: MemberId, grant: AllotmentGrant, nowMillis: Long) {
        val state = states[memberId] ?: return
        state.share.onGrant(grant, nowMillis)
        decide(state, nowMillis)
    }

    private fun stateOrNull(quota: MemberQuota, nowMillis: Long): MemberQuotaState? {
        val ratePerSecond = quota.ratePerSecond ?: return null
        val state = states.getOrPut(quota.memberId) { newState(quota, ratePerSecond, nowMillis) }
        if (state.quota != quota) state.share.setLimit(ratePerSecond, quota.burst, vmCount(), nowMillis)
        state.quota = quota
        return state
    }

    private fun newState(quota: MemberQuota, ratePerSecond: Double, nowMillis: Long): MemberQuotaState {
        val isStarting = nowMillis - startMillis < START_MILLIS
        val fraction = if (isStarting) initialFraction else min(initialFraction, RESTART_UNUSED_BURST_FRACTION)
        val share = MemberAllotment(ratePerSecond, quota.burst, settings, nowMillis, fraction, isStarting)
        return MemberQuotaState(quota, share)
    }
}

private class MemberQuotaState(var quota: MemberQuota, val share: MemberAllotment) {
    val waiting = ArrayDeque<RateLimitedRequest>()
}
