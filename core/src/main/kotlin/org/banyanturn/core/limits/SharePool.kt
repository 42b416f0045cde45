package org.banyanturn.core.limits

import org.banyanturn.core.Incarnation
import kotlin.math.ceil
import kotlin.math.floor
import kotlin.math.max
import kotlin.math.min

private const val MILLIS_PER_SECOND = 1_000.0

/** Fraction of the burst that stays in the pool for any VM that needs tokens, unless a single request needs more. */
private const val POOLED_BURST_FRACTION = 0.75

/** Fraction of the rate that a holder needs which is leased to it; it requests the rest from the pool on demand. */
private const val LEASED_RATE_FRACTION = 0.75

/** Fraction of a holder's bucket up to which it is granted tokens; the rest is left for tokens from its own rate. */
private const val FILL_TARGET_FRACTION = 0.5

/** Number of average requests that a share with its own rate must hold; a smaller bucket would be of no use. */
private const val MIN_LEASED_REQUESTS = 2

/** A share is not reduced while at least this fraction of it is still wanted. */
private const val SHRINK_THRESHOLD_FRACTION = 0.7

/**
 * The home VM's token bucket of one member: the tokens that are neither leased to a VM nor used.
 *
 * The parts of rate and burst that holders may still use are reserved. The pool therefore refills at the rest of the
 * rate, up to the rest of the burst. It starts empty.
 *
 * @property homeVersion version of the home that owns the pool.
 * @property startMillis when all shares that earlier homes granted have expired.
 */
internal class SharePool(
    val homeVersion: Long,
    val startMillis: Long,
    private var policy: RatePolicy,
    private val settings: ShareSettings,
) {
    private val holders = HashMap<Incarnation, HolderRecord>()
    private var tokens = 0.0
    private var refilledAtMillis = startMillis

    fun setPolicy(newPolicy: RatePolicy, nowMillis: Long) {
        refill(nowMillis)
        policy = newPolicy
        tokens = min(tokens, freeBurst())
    }

    /** Returns the grant for [request], or `null` if it is a duplicate or a later request was processed before. */
    fun answerOrNull(request: ShareRequest, nowMillis: Long): ShareGrant? {
        refill(nowMillis)
        val holder = holders.getOrPut(request.from) { HolderRecord() }
        if (request.number <= holder.lastRequestNumber) return null
        holder.acknowledge(request, nowMillis)
        tokens = min(tokens + request.returnedTokens, freeBurst())
        return grant(request, holder, nowMillis)
    }

    private fun grant(request: ShareRequest, holder: HolderRecord, nowMillis: Long): ShareGrant {
        val share = shareFor(request, holder, nowMillis)
        val rateFraction = share.rateFraction
        val burstFraction = share.burstFraction
        val grantedTokens = tokensFor(request, share)
        tokens -= grantedTokens
        val number = holder.issue(
            rateFraction,
            burstFraction,
            share.reservedUntilMillis,
        )
        tokens = min(tokens, freeBurst())
        return ShareGrant(
            memberId = request.memberId,
            from = request.to,
            to = request.from,
            homeVersion = homeVersion,
            number = number,
            requestNumber = request.number,
            policy = policy,
            rateFraction = rateFraction,
            burstFraction = burstFraction,
            tokens = grantedTokens,
            leaseMillis = share.leaseMillis,
            roomAfterMillis = roomAfterMillis(request, grantedTokens, nowMillis),
        )
    }

    /**
     * Returns the tokens to grant.
     *
     * A brief lease gets only the cost of whole requests, since the rest would expire unused.
     */
    private fun tokensFor(request: ShareRequest, share: Share): Double {
        val capacity = share.burstFraction * policy.burst
        val targetTokens = min(capacity, max(request.neededTokens, FILL_TARGET_FRACTION * capacity))
        val missing = max(0.0, targetTokens - request.tokens)
        if (missing <= tokens || share.rateFraction > 0 || request.averageCost <= 0) return min(tokens, missing)
        return floor(tokens / request.averageCost) * request.averageCost
    }

    /** Returns a share with its own rate, or only tokens for the waiting requests if its bucket would be too small. */
    private fun shareFor(request: ShareRequest, holder: HolderRecord, nowMillis: Long): Share {
        if (nowMillis < startMillis) return briefShare(0.0, nowMillis)
        val freeBurst = (1.0 - reservedByOthers(holder) { it.reservedBurst }).coerceAtLeast(0.0)
        val neededBurst = fractionOf(request.neededTokens, policy.burst)
        val leasedBurst = leasedBurstFraction(request, nowMillis)
        if (leasedBurst * policy.burst < MIN_LEASED_REQUESTS * request.averageCost || leasedBurst > freeBurst) {
            return briefShare(min(neededBurst, freeBurst), nowMillis)
        }
        val freeRate = (1.0 - reservedByOthers(holder) { it.reservedRate }).coerceAtLeast(0.0)
        return Share(
            rateFraction = withHysteresis(min(leasedRateFraction(request, nowMillis), freeRate), holder.reservedRate),
            burstFraction = withHysteresis(min(max(leasedBurst, neededBurst), freeBurst), holder.reservedBurst),
            leaseMillis = settings.leaseMillis,
            reservedUntilMillis = nowMillis + settings.leaseMillis + settings.leaseMarginMillis,
        )
    }

    private fun briefShare(burstFraction: Double, nowMillis: Long): Share =
        Share(
            rateFraction = 0.0,
            burstFraction = burstFraction,
            leaseMillis = settings.briefLeaseMillis,
            reservedUntilMillis = nowMillis + settings.briefLeaseMillis + settings.briefMarginMillis,
        )

    /** Returns [current] if [target] is only slightly smaller, so that varying estimates don't change shares. */
    private fun withHysteresis(target: Double, current: Double): Double =
        if (target in current * SHRINK_THRESHOLD_FRACTION..current) current else target

    private fun leasedRateFraction(request: ShareRequest, nowMillis: Long): Double {
        val wantedByAll = holders.values.sumOf { if (it.isRecent(nowMillis)) it.wantedRate else 0.0 }
        return LEASED_RATE_FRACTION * fractionOf(request.wantedRate, max(policy.ratePerSecond, wantedByAll))
    }

    private fun leasedBurstFraction(request: ShareRequest, nowMillis: Long): Double {
        val wantedByAll = holders.values.sumOf { if (it.isRecent(nowMillis)) it.wantedBurst else 0.0 }
        val leasable = policy.burst * (1.0 - POOLED_BURST_FRACTION)
        return (1.0 - POOLED_BURST_FRACTION) * fractionOf(request.wantedBurst, max(leasable, wantedByAll))
    }

    private fun HolderRecord.isRecent(nowMillis: Long): Boolean = nowMillis - lastRequestMillis < settings.leaseMillis

    private fun fractionOf(part: Double, whole: Double): Double = if (whole > 0) min(1.0, part / whole) else 0.0

    private fun reservedByOthers(holder: HolderRecord, reserved: (HolderRecord) -> Double): Double =
        holders.values.sumOf { if (it === holder) 0.0 else reserved(it) }

    private fun freeBurst(): Double = policy.burst * max(0.0, 1.0 - holders.values.sumOf { it.reservedBurst })

    private fun freeRate(): Double = policy.ratePerSecond * max(0.0, 1.0 - holders.values.sumOf { it.reservedRate })

    private fun roomAfterMillis(request: ShareRequest, grantedTokens: Double, nowMillis: Long): Long {
        val missingTokens = request.neededTokens - request.tokens - grantedTokens
        if (nowMillis < startMillis) return min(settings.renewMillis, startMillis - nowMillis)
        if (missingTokens <= 0) return 0
        if (freeRate() <= 0) return settings.renewMillis
        return min(settings.renewMillis, ceil(missingTokens / freeRate() * MILLIS_PER_SECOND).toLong())
    }

    private fun refill(nowMillis: Long) {
        if (nowMillis > refilledAtMillis) {
            val elapsedMillis = nowMillis - refilledAtMillis
            tokens = min(freeBurst(), tokens + freeRate() * elapsedMillis / MILLIS_PER_SECOND)
            refilledAtMillis = nowMillis
        }
        holders.values.forEach { it.expire(nowMillis) }
    }

    /** Removes ended holders whose leases have expired; the caller must not pass on their late messages afterwards. */
    fun removeEnded(nowMillis: Long, hasEnded: (Incarnation) -> Boolean) {
        refill(nowMillis)
        holders.entries.removeIf { (incarnation, record) -> record.isExpired && hasEnded(incarnation) }
    }
}

/** The home VM's record of one holder: its last request and the grants that it may still use. */
private class HolderRecord {
    private val grants = ArrayDeque<IssuedGrant>()
    private var nextGrantNumber = 1L

    var lastRequestNumber = 0L
        private set
    var lastRequestMillis = 0L
        private set
    var wantedRate = 0.0
        private set
    var wantedBurst = 0.0
        private set
    var reservedRate = 0.0
        private set
    var reservedBurst = 0.0
        private set

    fun acknowledge(request: ShareRequest, nowMillis: Long) {
        lastRequestMillis = nowMillis
        lastRequestNumber = request.number
        wantedRate = request.wantedRate
        wantedBurst = request.wantedBurst
        grants.removeAll { it.number < request.appliedGrant }
        if (request.givesUpShare) grants.removeAll { it.number == request.appliedGrant }
        updateReserved()
    }

    fun issue(rateFraction: Double, burstFraction: Double, expiresAtMillis: Long): Long {
        val number = nextGrantNumber++
        grants.addLast(IssuedGrant(number, rateFraction, burstFraction, expiresAtMillis))
        updateReserved()
        return number
    }

    val isExpired: Boolean
        get() = grants.isEmpty()

    /** Removes the grants whose leases have expired. */
    fun expire(nowMillis: Long) {
        if (grants.removeAll { it.expiresAtMillis <= nowMillis }) updateReserved()
    }

    private fun updateReserved() {
        reservedRate = grants.maxOfOrNull { it.rateFraction } ?: 0.0
        reservedBurst = grants.maxOfOrNull { it.burstFraction } ?: 0.0
    }
}

/** The parts of rate and burst in a grant, how long they may be used, and until when the home keeps them reserved. */
private class Share(
    val rateFraction: Double,
    val burstFraction: Double,
    val leaseMillis: Long,
    val reservedUntilMillis: Long,
)

private class IssuedGrant(
    val number: Long,
    val rateFraction: Double,
    val burstFraction: Double,
    val expiresAtMillis: Long,
)
