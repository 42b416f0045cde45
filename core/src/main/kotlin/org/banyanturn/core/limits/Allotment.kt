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
 * @property maxWaitMillis how long a request waits for capacity before it is refused.
 * @property collectorTimeoutMillis time without a grant from the collector after which a VM uses at most
 * [ISOLATED_FRACTION] of an equal share.
 */
public data class AllotmentSettings(
    val normalReportMillis: Long = 1_000,
    val frequentReportMillis: Long = 200,
    val minReportMillis: Long = 40,
    val maxWaitMillis: Long = 200,
    val collectorTimeoutMillis: Long = 1_500,
)

/** Fraction of an equal share that a VM without contact to the collector uses, and that the other VMs leave unused. */
internal const val ISOLATED_FRACTION: Double = 0.6

/**
 * Fraction of each member's burst that restarted VMs report as unused, since they don't know the earlier use.
 *
 * They may use the rest at once, each its part.
 */
public const val RESTART_UNUSED_BURST_FRACTION: Double = 1 - ISOLATED_FRACTION

/**
 * A VM's report to the collector on one member's use.
 *
 * @property number sequence number of the report.
 * @property usedCost total cost units that the VM has admitted since it started.
 * @property demandPerSecond cost units per second that arrive at the VM, including those of refused requests.
 * @property neededCost cost units of the requests that wait at the VM.
 * @property knownLevel the member's unused cost units in the latest grant that the VM received; a new collector starts
 * from it.
 */
public data class AllotmentReport(
    val number: Long,
    val usedCost: Double,
    val demandPerSecond: Double,
    val neededCost: Double,
    val knownLevel: Double,
)

/**
 * The collector's response to a report.
 *
 * @property reportNumber number of the report that this grant answers.
 * @property level the member's unused cost units over all VMs; below 0 after they admitted more than the limit.
 * @property share fraction of the limit that the VM may use, from 0 to 1, in proportion to its part of the demand.
 * @property tokens cost units that the VM may use at once.
 * @property seenUsedCost total cost units that the VM has admitted according to its latest report.
 */
public data class AllotmentGrant(
    val reportNumber: Long,
    val level: Double,
    val share: Double,
    val tokens: Double,
    val seenUsedCost: Double,
)

private const val MILLIS_PER_SECOND = 1_000.0

/** Fraction of the burst; while the unused cost units are below it, the VM reports frequently. */
private const val LOW_LEVEL_FRACTION = 0.6

/**
 * One VM's allotment of one member's rate limit.
 *
 * A member's requests may be spread unevenly over the VMs, and a member may send many times its rate. The VM admits
 * requests locally at its share of the rate, which follows its part of the demand, without a remote call per request.
 * A request that exceeds the available tokens waits up to [AllotmentSettings.maxWaitMillis] while the VM reports the
 * need to the collector, and is refused if the member is at its limit. A VM without contact to the collector admits at
 * most [ISOLATED_FRACTION] of an equal share, which the other VMs leave unused.
 *
 * @param initialFraction fraction of the burst that is assumed to be unused when this VM starts: 1 when the whole
 * deployment starts for the first time, less when the earlier use is not known. The VM may use its part of the rest of
 * the burst at once, so that members are served before the collector is known.
 */
public class MemberAllotment(
    ratePerSecond: Double,
    burst: Double,
    private val settings: AllotmentSettings,
    nowMillis: Long,
    private val initialFraction: Double,
) {
    private var ratePerSecond = ratePerSecond
    private var burst = burst
    private val demand = DemandMeter()
    private var share: Double? = null
    private var tokens = 0.0

    /** The member's unused cost units in the latest grant. */
    public var knownLevel: Double = burst * initialFraction
        private set
    private var usedCost = 0.0
    private var refilledAtMillis = nowMillis
    private var isInitialized = false

    /** When the latest grant arrived, or `null` if none has arrived. */
    public var grantAtMillis: Long? = null
        private set
    private var reportNumber = 0L
    private var appliedReport = 0L
    private var reportedAtMillis: Long? = null
    private var neededCost = 0.0

    /** This VM's share of the limit in the latest grant, or `null` before the first grant. */
    public val currentShare: Double?
        get() = share

    /** Cost units that this VM may use at once. */
    public val availableCost: Double
        get() = tokens

    /** Applies a changed limit. */
    public fun setLimit(newRatePerSecond: Double, newBurst: Double, vmCount: Int, nowMillis: Long) {
        refill(vmCount, nowMillis)
        ratePerSecond = newRatePerSecond
        burst = newBurst
        tokens = min(tokens, limitFraction(vmCount, nowMillis) * burst)
        knownLevel = min(knownLevel, burst)
    }

    /** Records the arrival of a request with [cost]. */
    public fun recordDemand(cost: Double, nowMillis: Long): Unit = demand.record(cost, nowMillis)

    /** Returns whether a request with [cost] that arrived at [arrivedAtMillis] may run now; if so, debits its cost. */
    public fun tryAcquire(cost: Double, vmCount: Int, nowMillis: Long, arrivedAtMillis: Long): RateDecision {
        refill(vmCount, nowMillis)
        if (tokens >= min(cost, bucketCapacity(vmCount, nowMillis))) {
            tokens -= cost
            usedCost += cost
            return RateDecision.Admitted
        }
        val untilMillis = arrivedAtMillis + settings.maxWaitMillis
        if (nowMillis < untilMillis) return RateDecision.Pending(untilMillis)
        return RateDecision.Refused(retryAfterMillis(cost, vmCount, nowMillis))
    }

    /** Sets the total [cost] of the requests that wait for capacity on this VM. */
    public fun setWaitingCost(cost: Double) {
        neededCost = cost
    }

    /** Credits the [cost] of a request that was admitted but did not run. */
    public fun refund(cost: Double) {
        tokens = min(tokens + cost, burst)
        usedCost -= cost
    }

    private fun retryAfterMillis(cost: Double, vmCount: Int, nowMillis: Long): Long {
        val rate = max(limitFraction(vmCount, nowMillis) * ratePerSecond, 1.0)
        return ceil((min(cost, burst) - tokens) / rate * MILLIS_PER_SECOND).toLong().coerceAtLeast(1)
    }

    /** Returns the bucket's size; a larger request is admitted when the bucket is full, which leaves a debt. */
    private fun bucketCapacity(vmCount: Int, nowMillis: Long): Double = limitFraction(vmCount, nowMillis) * burst

    private fun limitFraction(vmCount: Int, nowMillis: Long): Double {
        val lastGrantMillis = grantAtMillis
        val isCollectorReachable =
            lastGrantMillis != null && nowMillis - lastGrantMillis < settings.collectorTimeoutMillis
        val isolatedFraction = ISOLATED_FRACTION / max(1, vmCount)
        return if (isCollectorReachable) share ?: isolatedFraction else min(isolatedFraction, share ?: isolatedFraction)
    }

    private fun refill(vmCount: Int, nowMillis: Long) {
        if (!isInitialized) initialize(vmCount, nowMillis)
        if (nowMillis <= refilledAtMillis) return
        val fraction = limitFraction(vmCount, nowMillis)
        val elapsedSeconds = (nowMillis - refilledAtMillis) / MILLIS_PER_SECOND
        tokens = max(tokens, min(fraction * burst, tokens + fraction * ratePerSecond * elapsedSeconds))
        refilledAtMillis = nowMillis
    }

    private fun initialize(vmCount: Int, nowMillis: Long) {
        isInitialized = true
        val unclaimedFraction = min(1.0, (1 - initialFraction) / ISOLATED_FRACTION)
        tokens = limitFraction(vmCount, nowMillis) * burst * unclaimedFraction
    }

    /** Returns the report that is due, or `null`. */
    public fun dueReportOrNull(nowMillis: Long): AllotmentReport? {
        val lastArrivalMillis = demand.lastArrivalMillis ?: return null
        val sinceReportMillis = reportedAtMillis?.let { nowMillis - it } ?: Long.MAX_VALUE
        val isIdle = nowMillis - lastArrivalMillis > IDLE_MILLIS
        if (isIdle || sinceReportMillis < reportIntervalMillis()) return null
        reportedAtMillis = nowMillis
        reportNumber++
        return AllotmentReport(reportNumber, usedCost, demand.ratePerSecond(nowMillis), neededCost, knownLevel)
    }

    private fun reportIntervalMillis(): Long =
        when {
            neededCost > 0 -> settings.minReportMillis
            share == null || knownLevel < LOW_LEVEL_FRACTION * burst -> settings.frequentReportMillis
            else -> settings.normalReportMillis
        }

    /** Applies a grant; a grant that is not newer than the last one applied is ignored. */
    public fun onGrant(grant: AllotmentGrant, nowMillis: Long) {
        if (grant.reportNumber <= appliedReport) return
        appliedReport = grant.reportNumber
        grantAtMillis = nowMillis
        refilledAtMillis = nowMillis
        share = grant.share
        knownLevel = grant.level
        val costSinceReport = max(0.0, usedCost - grant.seenUsedCost)
        tokens = grant.tokens - costSinceReport
    }

    private companion object {
        /** Time without requests after which the VM stops reporting. */
        const val IDLE_MILLIS = 3_000L
    }
}
