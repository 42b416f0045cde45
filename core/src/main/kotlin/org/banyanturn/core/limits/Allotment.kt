package org.banyanturn.core.limits

import kotlin.math.ceil
import kotlin.math.max
import kotlin.math.min

/**
 * Settings of allotments; must be the same on all VMs.
 *
 * @property normalReportMillis time between reports while the member is far below its limit.
 * @property frequentReportMillis time between reports while the member is close to its limit.
 * @property minReportMillis shortest time between reports, used while a request waits for capacity.
 * @property deniedReportMillis time between reports while a request waits that the last grant did not suffice for.
 * @property maxWaitMillis how long a request waits before it is refused because the member is at its limit.
 * @property collectorTimeoutMillis time without an answer from the collector after which a VM uses at most
 * [ISOLATED_FRACTION] of an equal share.
 * @property takeoverMillis time from the first unanswered report within which a new collector is expected; requests
 * wait for it.
 * @property unusedWaitMillis how long a request waits while other VMs hold the cost units that it needs.
 * @property leaseMillis how long a VM may use granted cost units, from the time at which it sent the report. A lower
 * limit must take effect within 3 s everywhere, also on VMs that don't learn of it.
 */
public data class AllotmentSettings(
    val normalReportMillis: Long = 1_000,
    val frequentReportMillis: Long = 200,
    val minReportMillis: Long = 40,
    val deniedReportMillis: Long = 100,
    val maxWaitMillis: Long = 200,
    val collectorTimeoutMillis: Long = 1_000,
    val takeoverMillis: Long = 3_500,
    val unusedWaitMillis: Long = 1_200,
    val leaseMillis: Long = 2_500,
)

/** Fraction of an equal share that a VM without contact to the collector uses, and that the other VMs leave unused. */
internal const val ISOLATED_FRACTION: Double = 0.8

/**
 * Fraction of each member's burst that restarted VMs report as unused, since they don't know the earlier use.
 *
 * They may use a part of the rest at once.
 */
public const val RESTART_UNUSED_BURST_FRACTION: Double = 0.4

/**
 * A VM's report to the collector on one member's use.
 *
 * @property number sequence number of the report.
 * @property usedCost total cost units that the VM has admitted since it started.
 * @property demandPerSecond cost units per second that arrive at the VM, including those of refused requests.
 * @property neededCost cost units of the requests that wait at the VM.
 * @property knownLevel the member's unused cost units as far as the VM knows; a new collector starts from it.
 * @property heldCost granted cost units that the VM may still use.
 * @property reserveCost cost units that the VM asks for beyond [neededCost], for the requests that it expects.
 * @property firstCost cost units of the request that waits longest, or 0; fewer than these are of no use to the VM.
 * @property surrenderedCost total cost units that the VM could have used while no collector answered, and did not; a
 * new collector may grant them.
 * @property appliedNumber number of the report whose grant the VM applied last, or `null` if the VM runs a version
 * without [heldCost].
 */
public data class AllotmentReport(
    val number: Long,
    val usedCost: Double,
    val demandPerSecond: Double,
    val neededCost: Double,
    val knownLevel: Double,
    val heldCost: Double = 0.0,
    val reserveCost: Double = 0.0,
    val firstCost: Double = 0.0,
    val surrenderedCost: Double = 0.0,
    val appliedNumber: Long? = null,
)

/**
 * The collector's response to a report.
 *
 * @property reportNumber number of the report that this grant answers.
 * @property level the member's unused cost units over all VMs; below 0 after they admitted more than the limit.
 * @property share this VM's fraction of the limit, from 0 to 1, in proportion to its part of the demand.
 * @property tokens cost units that the VM may use at once.
 * @property seenUsedCost total cost units that the VM has admitted according to its latest report.
 * @property isSettling whether the collector has started recently, so that [level] may be lower than what is unused.
 */
public data class AllotmentGrant(
    val reportNumber: Long,
    val level: Double,
    val share: Double,
    val tokens: Double,
    val seenUsedCost: Double,
    val isSettling: Boolean = false,
)

private const val MILLIS_PER_SECOND = 1_000.0

/** Fraction of the burst; while the unused cost units are below it, the VM reports frequently. */
private const val LOW_LEVEL_FRACTION = 0.6

/** Number of average requests for which a VM holds cost units while requests arrive. */
private const val HELD_REQUESTS = 1.5

/** Time for whose demand a VM holds cost units: the longest time between two reports. */
private const val HELD_DEMAND_SECONDS = 1.0

/**
 * One VM's allotment of one member's rate limit.
 *
 * The VM admits requests from cost units that the member's collector has granted and already deducted from the
 * member's bucket, so that all VMs together never hold more than the bucket. It asks for as many as it expects to need
 * until its next report; the usual request therefore needs no remote call. A request that exceeds them waits while the
 * VM reports the need. A VM without contact to the collector admits at most [ISOLATED_FRACTION] of an equal share,
 * which the other VMs leave unused.
 *
 * @param initialFraction fraction of the burst that is assumed to be unused when this VM starts: 1 when the whole
 * deployment starts for the first time, less when the earlier use is not known. In the latter case the VM may use a
 * part of the burst at once, so that members are served before the collector is known.
 * @param hasInitialTokens whether this VM has just started, so that it may use a part of the burst at once.
 */
public class MemberAllotment(
    ratePerSecond: Double,
    burst: Double,
    private val settings: AllotmentSettings,
    nowMillis: Long,
    private val initialFraction: Double,
    private val hasInitialTokens: Boolean = true,
) {
    private var limit = BucketLimit(ratePerSecond, burst)
    private val demand = DemandMeter()
    private val exchange = ReportExchange()
    private val isolated = IsolatedBucket(settings.collectorTimeoutMillis)
    private var tokens = 0.0
    private var tokensExpireAtMillis = nowMillis
    private var usedCost = 0.0
    private var isInitialized = false
    private var neededCost = 0.0
    private var firstCost = 0.0
    private var isSettling = false
    private var reportedUsedCost = 0.0

    /** The member's unused cost units in the latest grant. */
    public var knownLevel: Double = burst * initialFraction
        private set

    /** This VM's share of the limit in the latest grant, or `null` before the first grant. */
    public var currentShare: Double? = null
        private set

    /** When the latest grant arrived, or `null` if none has arrived. */
    public var grantAtMillis: Long? = null
        private set

    /** Cost units that this VM may use at once. */
    public val availableCost: Double
        get() = tokens + isolated.tokens

    /** Applies a changed limit. */
    public fun setLimit(newRatePerSecond: Double, newBurst: Double, vmCount: Int, nowMillis: Long) {
        refresh(vmCount, nowMillis)
        val factor = if (limit.burst > 0) min(1.0, newBurst / limit.burst) else 1.0
        limit = BucketLimit(newRatePerSecond, newBurst)
        tokens = min(tokens, tokens * factor)
        isolated.shrink(limit, vmCount)
        knownLevel = min(knownLevel, newBurst)
    }

    /** Records the arrival of a request with [cost]. */
    public fun recordDemand(cost: Double, nowMillis: Long): Unit = demand.record(cost, nowMillis)

    /** Returns whether a request with [cost] that arrived at [arrivedAtMillis] may run now; if so, debits its cost. */
    public fun tryAcquire(cost: Double, vmCount: Int, nowMillis: Long, arrivedAtMillis: Long): RateDecision {
        refresh(vmCount, nowMillis)
        if (tryDebit(cost, vmCount)) {
            usedCost += cost
            return RateDecision.Admitted
        }
        val untilMillis = arrivedAtMillis + waitMillis(cost, vmCount, arrivedAtMillis, nowMillis)
        if (nowMillis >= untilMillis) return RateDecision.Refused(retryAfterMillis(cost))
        firstCost = min(cost, limit.burst)
        return RateDecision.Pending(untilMillis)
    }

    /** Debits [cost]; one that exceeds the burst is admitted when the VM holds the burst, which leaves a debt. */
    private fun tryDebit(cost: Double, vmCount: Int): Boolean {
        if (tokens >= min(cost, limit.burst)) {
            tokens -= cost
            return true
        }
        val granted = max(0.0, tokens)
        if (!isolated.tryDebit(cost - granted, limit, vmCount)) return false
        tokens -= granted
        return true
    }

    private fun waitMillis(cost: Double, vmCount: Int, arrivedAtMillis: Long, nowMillis: Long): Long =
        when {
            exchange.appliedSentAtMillis < arrivedAtMillis ->
                unansweredWaitMillis(cost, vmCount, arrivedAtMillis, nowMillis)

            isSettling -> MAX_UNANSWERED_WAIT_MILLIS

            knownLevel >= cost -> settings.unusedWaitMillis

            else -> settings.maxWaitMillis
        }

    /** Returns how long a request waits for a new collector, or for the isolated bucket if that suffices in time. */
    private fun unansweredWaitMillis(cost: Double, vmCount: Int, arrivedAtMillis: Long, nowMillis: Long): Long {
        val unansweredSinceMillis = exchange.unansweredSinceMillis ?: arrivedAtMillis
        val takeoverAtMillis = unansweredSinceMillis + settings.takeoverMillis
        val refilledAtMillis = nowMillis + isolated.millisUntil(cost - max(0.0, tokens), limit, vmCount)
        val isInTime = refilledAtMillis - arrivedAtMillis <= MAX_UNANSWERED_WAIT_MILLIS
        val untilMillis = if (isInTime) max(takeoverAtMillis, refilledAtMillis + 1) else takeoverAtMillis
        return (untilMillis - arrivedAtMillis).coerceIn(settings.maxWaitMillis, MAX_UNANSWERED_WAIT_MILLIS)
    }

    /** Sets the total [cost] of the requests that wait for capacity on this VM. */
    public fun setWaitingCost(cost: Double) {
        neededCost = cost
        if (cost <= 0) firstCost = 0.0
    }

    /** Credits the [cost] of a request that was admitted but did not run. */
    public fun refund(cost: Double) {
        usedCost -= cost
        if (tokensExpireAtMillis != Long.MIN_VALUE) tokens += cost
    }

    private fun retryAfterMillis(cost: Double): Long =
        ceil((min(cost, limit.burst) - knownLevel) / max(limit.ratePerSecond, 1.0) * MILLIS_PER_SECOND)
            .toLong().coerceAtLeast(settings.maxWaitMillis)

    private fun refresh(vmCount: Int, nowMillis: Long) {
        if (!isInitialized) {
            isInitialized = true
            if (hasInitialTokens && initialFraction < 1) isolated.fillAtStart(limit, vmCount)
        }
        if (nowMillis >= tokensExpireAtMillis) releaseTokens()
        isolated.refill(limit, vmCount, exchange.unansweredSinceMillis, nowMillis)
    }

    private fun releaseTokens() {
        tokens = min(tokens, 0.0)
        tokensExpireAtMillis = Long.MIN_VALUE
    }

    /**
     * Returns the report that is due, or `null`.
     *
     * A VM whose requests have ceased returns the cost units that it holds with its last report.
     */
    public fun dueReportOrNull(nowMillis: Long): AllotmentReport? {
        val lastArrivalMillis = demand.lastArrivalMillis ?: return null
        if (nowMillis >= tokensExpireAtMillis) releaseTokens()
        val isIdle = neededCost <= 0 && nowMillis - lastArrivalMillis > IDLE_MILLIS
        val intervalMillis = reportIntervalMillisOrNull(lastArrivalMillis) ?: return null
        if (exchange.sinceReportMillis(nowMillis) < intervalMillis) return null
        if (isIdle) releaseTokens()
        reportedUsedCost = usedCost
        return AllotmentReport(
            number = exchange.nextNumber(nowMillis),
            usedCost = usedCost,
            demandPerSecond = demand.ratePerSecond(nowMillis),
            neededCost = neededCost,
            knownLevel = if (initialFraction < 1 || grantAtMillis != null) startLevel() else knownLevel,
            heldCost = max(0.0, tokens),
            reserveCost = if (isIdle) 0.0 else reserveCost(nowMillis),
            firstCost = firstCost,
            surrenderedCost = isolated.surrenderedCost,
            appliedNumber = exchange.appliedNumber,
        )
    }

    /** Returns the time between two reports, or `null` if the collector need not know anything. */
    private fun reportIntervalMillisOrNull(lastArrivalMillis: Long): Long? {
        val hasUse = usedCost != reportedUsedCost
        val isLow = grantAtMillis == null || knownLevel < LOW_LEVEL_FRACTION * limit.burst
        val hasNews = hasUse || tokens > 0 || exchange.lastReportMillis < lastArrivalMillis
        return when {
            neededCost > 0 -> if (isDenied()) settings.deniedReportMillis else settings.minReportMillis
            hasUse && (isLow || tokens < demand.averageCost) -> settings.frequentReportMillis
            hasNews || exchange.unansweredSinceMillis != null -> settings.normalReportMillis
            else -> null
        }
    }

    private fun isDenied(): Boolean = exchange.unansweredSinceMillis == null && knownLevel < firstCost

    private fun startLevel(): Double = min(max(0.0, knownLevel), limit.takeoverLevel)

    private fun reserveCost(nowMillis: Long): Double =
        max(demand.ratePerSecond(nowMillis) * HELD_DEMAND_SECONDS, demand.averageCost * HELD_REQUESTS)

    /** Applies a grant; a grant that is not newer than the last one applied is ignored. */
    public fun onGrant(grant: AllotmentGrant, nowMillis: Long) {
        val sentAtMillis = exchange.applyOrNull(grant.reportNumber) ?: return
        grantAtMillis = nowMillis
        currentShare = grant.share
        knownLevel = grant.level
        isSettling = grant.isSettling
        isolated.empty()
        tokens = grant.tokens - (usedCost - grant.seenUsedCost)
        tokensExpireAtMillis = sentAtMillis + settings.leaseMillis
    }

    private companion object {
        /** Time without requests after which the VM stops reporting. */
        const val IDLE_MILLIS = 5_000L

        /** Longest wait for an answer; the shortest time limit of callers is 3 s. */
        const val MAX_UNANSWERED_WAIT_MILLIS = 2_800L
    }
}
