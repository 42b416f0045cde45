package org.banyanturn.core.limits

import kotlin.math.ceil
import kotlin.math.max
import kotlin.math.min

/**
 * Settings of allotments; all VMs must agree on them.
 *
 * @property normalReportMillis time between reports while the member is far below its limit.
 * @property frequentReportMillis time between reports while it comes close to its limit.
 * @property minReportMillis the shortest time between reports, while a request waits for room.
 * @property maxWaitMillis how long a request waits for room before it is refused.
 * @property collectorTimeoutMillis silence of the collector after which a VM takes an equal part only.
 */
public data class AllotmentSettings(
    val normalReportMillis: Long = 1_000,
    val frequentReportMillis: Long = 200,
    val minReportMillis: Long = 40,
    val maxWaitMillis: Long = 200,
    val collectorTimeoutMillis: Long = 1_500,
)

/** Part of an equal share that a VM takes which hears nothing, and that the others leave to it. */
internal const val ISOLATED_FRACTION: Double = 0.6

/** Part of each member's burst that is taken to be unused by VMs that start again; they have the rest at once. */
public const val RESTART_UNUSED_BURST_FRACTION: Double = 1 - ISOLATED_FRACTION

/**
 * What a VM tells the collector of one member's use.
 *
 * @property number counts the VM's reports.
 * @property usedCost cost units that this life of the VM has admitted in all.
 * @property demandPerSecond cost units a second that arrive at the VM, refused ones included.
 * @property neededCost cost units of the requests that wait at the VM.
 * @property knownLevel the member's unused cost units as the VM last heard of them, for a collector that starts.
 */
public data class AllotmentReport(
    val number: Long,
    val usedCost: Double,
    val demandPerSecond: Double,
    val neededCost: Double,
    val knownLevel: Double,
)

/**
 * The collector's answer to a report.
 *
 * @property reportNumber the report that is answered.
 * @property level cost units of the member that no VM has used; below 0 after more was admitted than the limit allows.
 * @property share part of the limit that the VM may use, from 0 to 1, by its part of the demand.
 * @property tokens cost units that the VM may use at once.
 * @property seenUsedCost what the VM had admitted as far as the collector knows.
 */
public data class AllotmentGrant(
    val reportNumber: Long,
    val level: Double,
    val share: Double,
    val tokens: Double,
    val seenUsedCost: Double,
)

private const val MILLIS_PER_SECOND = 1_000.0

/** Part of the burst below which reports become frequent. */
private const val LOW_LEVEL_FRACTION = 0.6

/**
 * One VM's part of one member's limit.
 *
 * Load pattern: a member's requests are spread unevenly over the VMs, and one member sends many times its rate. A VM
 * admits at its part of the rate, which follows its part of the demand, without asking for single requests. A request
 * that finds no room waits briefly while the VM asks for it, and is refused if the member is truly at its limit. A VM
 * that doesn't hear from the collector admits less than an equal part, which the others leave to it.
 *
 * @param initialFraction part of the burst that is taken to be unused when this VM starts: all of it when the whole
 * deployment starts, less when what was used before is not known. Of the rest the VM has its part at once, so that a
 * member is served until the collector is known.
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

    /** Unused cost units of the member as this VM last heard of them. */
    public var knownLevel: Double = burst * initialFraction
        private set
    private var usedCost = 0.0
    private var refilledAtMillis = nowMillis
    private var isInitialized = false

    /** When the collector's latest answer came, or `null` if none has. */
    public var grantAtMillis: Long? = null
        private set
    private var reportNumber = 0L
    private var appliedReport = 0L
    private var reportedAtMillis: Long? = null
    private var neededCost = 0.0

    /** This VM's part of the limit as the collector last said, or `null` if it has said nothing. */
    public val currentShare: Double?
        get() = share

    /** Cost units that this VM may use at once. */
    public val availableCost: Double
        get() = tokens

    /** Takes over a changed limit. */
    public fun setLimit(newRatePerSecond: Double, newBurst: Double, vmCount: Int, nowMillis: Long) {
        refill(vmCount, nowMillis)
        ratePerSecond = newRatePerSecond
        burst = newBurst
        tokens = min(tokens, limitFraction(vmCount, nowMillis) * burst)
        knownLevel = min(knownLevel, burst)
    }

    /** Notes that a request with [cost] has arrived. */
    public fun recordDemand(cost: Double, nowMillis: Long): Unit = demand.record(cost, nowMillis)

    /** Returns whether a request with [cost] that arrived at [arrivedAtMillis] may run now. */
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

    /** Says that requests with [cost] in all wait for room here. */
    public fun setWaitingCost(cost: Double) {
        neededCost = cost
    }

    /** Takes back the [cost] of a request that was admitted and has not run. */
    public fun refund(cost: Double) {
        tokens = min(tokens + cost, burst)
        usedCost -= cost
    }

    private fun retryAfterMillis(cost: Double, vmCount: Int, nowMillis: Long): Long {
        val rate = max(limitFraction(vmCount, nowMillis) * ratePerSecond, 1.0)
        return ceil((min(cost, burst) - tokens) / rate * MILLIS_PER_SECOND).toLong().coerceAtLeast(1)
    }

    /** A request larger than the bucket is admitted when the bucket is full, and is paid for afterwards. */
    private fun bucketCapacity(vmCount: Int, nowMillis: Long): Double = limitFraction(vmCount, nowMillis) * burst

    private fun limitFraction(vmCount: Int, nowMillis: Long): Double {
        val lastGrantMillis = grantAtMillis
        val isCollectorReachable = lastGrantMillis != null && nowMillis - lastGrantMillis < settings.collectorTimeoutMillis
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

    /** Takes in the collector's answer; one that is older than the last changes nothing. */
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
        /** Time without requests after which a VM stops reporting. */
        const val IDLE_MILLIS = 3_000L
    }
}
