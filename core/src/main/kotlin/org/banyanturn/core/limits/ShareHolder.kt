package org.banyanturn.core.limits

import org.banyanturn.core.Incarnation
import org.banyanturn.core.MemberId
import org.banyanturn.core.state.RateHome
import kotlin.math.ceil
import kotlin.math.min

private const val MILLIS_PER_SECOND = 1_000.0

/** Time in seconds whose demand, together with [BURST_REQUESTS], the wanted burst covers. */
private const val BURST_SECONDS = 0.2

/** Number of average requests that the wanted burst covers in addition to [BURST_SECONDS] of demand. */
private const val BURST_REQUESTS = 2

/** Number of average requests per second from which a holder without a share wants one with its own rate. */
private const val MIN_REQUESTS_PER_SECOND = 4

/** Number of average requests per second down to which a holder keeps its own rate. */
private const val MIN_REQUESTS_PER_SECOND_TO_KEEP = 2

/** Fraction of the bucket below which the holder requests more tokens ahead of the regular renewal. */
private const val LOW_TOKENS_FRACTION = 0.25

/** Interval of requests while tokens are low, as a multiple of [ShareSettings.requestIntervalMillis]. */
private const val LOW_TOKENS_REQUEST_INTERVALS = 5

/** Admits one member's requests on this VM from a share of the limit that it leases from the home VM. */
internal class ShareHolder(
    private val memberId: MemberId,
    private val self: Incarnation,
    private var policy: RatePolicy,
    private val settings: ShareSettings,
) {
    private val demand = DemandMeter()
    private val requests = RequestTracker(settings)
    private var home: RateHome? = null
    private var lease = ShareLease(homeVersion = -1, nowMillis = 0)
    private var neededTokens = 0.0
    private var requestedTokens = 0.0
    private var isAcknowledgementDue = false
    private var isPoolEmpty = false
    private var poolAvailableAtMillis = Long.MIN_VALUE

    fun setPolicy(newPolicy: RatePolicy, newHome: RateHome?, nowMillis: Long) {
        lease.refill(policy, nowMillis)
        if (newPolicy.version > policy.version) policy = newPolicy
        lease.shrinkTo(policy)
        if (newHome?.version != home?.version) requests.clearUnanswered()
        home = newHome
    }

    fun recordArrival(cost: Double, nowMillis: Long): Unit = demand.record(cost, nowMillis)

    fun tryAcquire(cost: Double, nowMillis: Long, arrivedAtMillis: Long): RateDecision {
        if (cost > policy.burst) return RateDecision.Impossible
        lease.refill(policy, nowMillis)
        if (lease.tokens >= cost) {
            lease.debit(cost)
            return RateDecision.Admitted
        }
        if (!canObtainMore(nowMillis, arrivedAtMillis)) return RateDecision.Refused(retryAfterMillis(cost))
        val isRequested = nowMillis > arrivedAtMillis && (neededTokens > 0 || requests.isAwaitingAnswer)
        if (!isRequested) neededTokens = min(policy.burst, neededTokens + cost)
        return RateDecision.Pending(arrivedAtMillis + settings.answerTimeoutMillis)
    }

    private fun canObtainMore(nowMillis: Long, arrivedAtMillis: Long): Boolean {
        val isAnswered = isPoolEmpty && requests.lastAnsweredSentAtMillis > arrivedAtMillis
        val isOverdue = nowMillis - arrivedAtMillis >= settings.answerTimeoutMillis
        val isHomeUnresponsive = home == null || requests.hasTimedOut(nowMillis)
        return !isAnswered && !isOverdue && !isHomeUnresponsive && nowMillis >= poolAvailableAtMillis
    }

    private fun retryAfterMillis(cost: Double): Long {
        if (policy.ratePerSecond <= 0) return settings.leaseMillis
        val leasedRate = lease.ratePerSecond(policy)
        val rate = if (leasedRate > 0) leasedRate else policy.ratePerSecond
        return ceil((cost - lease.tokens) / rate * MILLIS_PER_SECOND).toLong().coerceAtLeast(1)
    }

    /** Applies a grant of the home VM; a stale or duplicate grant, or one of another home, is ignored. */
    fun onGrant(grant: ShareGrant, nowMillis: Long) {
        val sentAtMillis = requests.sentAtMillisOrNull(grant.requestNumber) ?: return
        if (grant.homeVersion != home?.version) return
        val endMillis = sentAtMillis + grant.leaseMillis
        if (nowMillis >= endMillis) return handleLateGrant()
        requests.markAnswered(grant.requestNumber)
        requestedTokens = 0.0
        if (!mayReplaceLease(grant, nowMillis)) return
        if (grant.policy.version > policy.version) setPolicy(grant.policy, home, nowMillis)
        isAcknowledgementDue = lease.apply(grant, policy, nowMillis, endMillis) || isAcknowledgementDue
        isPoolEmpty = grant.tokens <= 0
        poolAvailableAtMillis = if (grant.roomAfterMillis > 0) nowMillis + grant.roomAfterMillis else Long.MIN_VALUE
    }

    /** Handles a grant whose lease is already over: the home VM is responsive, and the tokens are requested again. */
    private fun handleLateGrant() {
        requests.clearUnanswered()
        neededTokens = min(policy.burst, neededTokens + requestedTokens)
        requestedTokens = 0.0
    }

    private fun mayReplaceLease(grant: ShareGrant, nowMillis: Long): Boolean {
        if (grant.homeVersion == lease.homeVersion) return grant.number > lease.appliedGrant
        if (lease.isValid(nowMillis)) return false
        lease = ShareLease(grant.homeVersion, nowMillis)
        return true
    }

    /** Returns the request that is due now, or `null`. */
    fun dueRequestOrNull(nowMillis: Long): ShareRequest? {
        val currentHome = home ?: return null
        lease.refill(policy, nowMillis)
        if (isInactive(nowMillis)) return null
        requeueUnanswered(nowMillis)
        val sinceLastMillis = nowMillis - requests.lastSentAtMillis
        if (sinceLastMillis < sendIntervalMillis(nowMillis)) return null
        return newRequest(currentHome, isIdle(nowMillis), nowMillis)
    }

    /** Returns whether there is nothing to request, release or acknowledge. */
    fun isInactive(nowMillis: Long): Boolean = isIdle(nowMillis) && lease.isEmpty && !isAcknowledgementDue

    private fun isIdle(nowMillis: Long): Boolean =
        demand.lastArrivalMillis?.let { nowMillis - it >= settings.idleMillis } ?: true

    /** Requests the tokens of a share request again that was probably lost. */
    private fun requeueUnanswered(nowMillis: Long) {
        if (requestedTokens <= 0 || nowMillis - requests.lastSentAtMillis < settings.retransmitMillis) return
        neededTokens = min(policy.burst, neededTokens + requestedTokens)
        requestedTokens = 0.0
    }

    private fun sendIntervalMillis(nowMillis: Long): Long =
        when {
            requests.hasTimedOut(nowMillis) -> settings.answerTimeoutMillis
            neededTokens > 0 && home?.incarnation == self -> 0
            isAcknowledgementDue || neededTokens > 0 -> settings.requestIntervalMillis
            requests.isAwaitingAnswer -> settings.retransmitMillis
            lease.hasNoRate && !needsRate(nowMillis) -> Long.MAX_VALUE
            areTokensLow() && !isPoolEmpty -> settings.requestIntervalMillis * LOW_TOKENS_REQUEST_INTERVALS
            else -> settings.renewMillis
        }

    /** Returns whether requests arrive often enough for a share with its own rate. */
    private fun needsRate(nowMillis: Long): Boolean =
        !isIdle(nowMillis) && demand.ratePerSecond(nowMillis) >= minRequestsPerSecond() * demand.averageCost

    private fun minRequestsPerSecond(): Int =
        if (lease.isEmpty) MIN_REQUESTS_PER_SECOND else MIN_REQUESTS_PER_SECOND_TO_KEEP

    private fun areTokensLow(): Boolean = lease.tokens < LOW_TOKENS_FRACTION * lease.capacity(policy)

    private fun newRequest(currentHome: RateHome, isIdle: Boolean, nowMillis: Long): ShareRequest {
        val isSameHome = currentHome.version == lease.homeVersion
        val returnedTokens = when {
            !isSameHome -> 0.0
            isIdle -> lease.release()
            else -> lease.debitExcess()
        }
        val wantedRate = if (isIdle) 0.0 else demand.ratePerSecond(nowMillis)
        val wantedBurst = if (needsRate(nowMillis)) {
            wantedRate * BURST_SECONDS + demand.averageCost * BURST_REQUESTS
        } else {
            0.0
        }
        val message = ShareRequest(
            memberId = memberId,
            from = self,
            to = currentHome.incarnation,
            homeVersion = currentHome.version,
            number = requests.send(nowMillis),
            appliedGrant = if (isSameHome) lease.appliedGrant else 0,
            wantedRate = wantedRate,
            wantedBurst = wantedBurst,
            averageCost = demand.averageCost,
            neededTokens = if (neededTokens > 0) min(policy.burst, neededTokens + lease.tokens) else 0.0,
            tokens = if (isSameHome) lease.tokens else 0.0,
            returnedTokens = returnedTokens,
            givesUpShare = isSameHome && isIdle,
        )
        requestedTokens = neededTokens
        neededTokens = 0.0
        isAcknowledgementDue = false
        return message
    }
}
