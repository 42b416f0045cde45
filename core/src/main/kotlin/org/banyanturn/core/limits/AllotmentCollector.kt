package org.banyanturn.core.limits

import org.banyanturn.core.Incarnation
import kotlin.math.max
import kotlin.math.min

private const val MILLIS_PER_SECOND = 1_000.0

/** Minimum demand assumed for all VMs together, as a fraction of the rate; gives a VM that was idle a share. */
private const val MIN_DEMAND_FRACTION = 0.02

/** How long a VM's use is kept after its last report, so that its next report counts only the use since then. */
private const val USAGE_RETENTION_MILLIS = 600_000L

/** How long the demand in a VM's latest report counts, and how long it may use a grant; more than a lease. */
private const val REPORT_VALIDITY_MILLIS = 3_000L

/** Longest time between two reports of a VM that receives requests. */
private const val MAX_UNREPORTED_MILLIS = 1_000L

/** Fraction of the unused cost units that VMs don't hold for expected requests, so that it serves waiting ones. */
private const val MIN_UNRESERVED_FRACTION = 0.4

/** How long after its start a collector accepts the cost units that VMs surrender. */
private const val MAX_SURRENDER_AGE_MILLIS = 4_000L

/** Longest time for which a VM surrenders cost units; until a takeover, its predecessor's rate is not granted. */
private const val MAX_SURRENDERED_MILLIS = 2_000L

/** How long after its start a collector's level may be too low, because it does not know what was used before. */
private const val SETTLING_MILLIS = 5_000L

/** How long after its start a collector takes over lower levels from the VMs' reports. */
private const val LEARNING_MILLIS = 1_500L

/**
 * Grants one member's cost units to all VMs; runs on one of them.
 *
 * Granted cost units are debited at once, and what a VM has not used is credited when its report says that it holds
 * them no longer. The collector decides no single request. Its state may be lost: a new one starts from a level that
 * keeps the limit whatever its predecessor granted. VMs that can't reach the collector continue with a fixed part of
 * the limit each.
 */
public class AllotmentCollector(
    ratePerSecond: Double,
    burst: Double,
    private val startMillis: Long,
) {
    private var limit = BucketLimit(ratePerSecond, burst)
    private val usageByVm = HashMap<Incarnation, VmUsage>()

    /** Cost units that no VM holds, or `null` before the first report. */
    private var level: Double? = null
    private var refilledAtMillis = startMillis
    private var availableFraction = 1.0

    /** Applies a changed limit. */
    public fun setLimit(newRatePerSecond: Double, newBurst: Double, nowMillis: Long) {
        refill(nowMillis)
        limit = BucketLimit(newRatePerSecond, newBurst)
        level = level?.let { min(it, maxLevel(nowMillis)) }
    }

    /** Returns the grant for [report] of the VM [from], where [vms] share the limit. */
    public fun onReport(
        from: Incarnation,
        report: AllotmentReport,
        vms: SharingVms,
        nowMillis: Long,
    ): AllotmentGrant {
        refill(nowMillis)
        availableFraction = availableFractionFor(vms, nowMillis)
        val knownUsage = usageByVm[from]
        var currentLevel = startLevel(report, isFirst = knownUsage == null, nowMillis)
        val usage = knownUsage ?: VmUsage(report).also { usageByVm[from] = it }
        val silentMillis = if (knownUsage == null) 0 else nowMillis - usage.lastReportMillis
        currentLevel += usage.surrendered(report, maxSurrendered(vms, nowMillis))
        currentLevel += usage.applyReport(report, reservedWhileIsolated(vms, silentMillis), nowMillis)
        currentLevel = min(currentLevel, maxLevel(nowMillis))
        val share = shareFor(usage, vms, nowMillis)
        val unusedCost = currentLevel + heldCost(nowMillis)
        val reserveCost = if (report.appliedNumber == null) share * currentLevel else report.reserveCost
        val tokens = tokensFor(report, reserveCost, currentLevel + usage.heldCost, unusedCost)
        level = currentLevel - usage.grant(report.number, tokens)
        val isSettling = nowMillis - startMillis < SETTLING_MILLIS
        return AllotmentGrant(report.number, unusedCost, share, tokens, usage.usedCost, isSettling)
    }

    /** Returns how much a VM may surrender to a new collector; it comes from the time before the takeover. */
    private fun maxSurrendered(vms: SharingVms, nowMillis: Long): Double =
        if (nowMillis - startMillis < MAX_SURRENDER_AGE_MILLIS) isolatedCost(vms, MAX_SURRENDERED_MILLIS) else 0.0

    /** Returns the cost that was reserved for the use of a VM that was silent for [silentMillis]. */
    private fun reservedWhileIsolated(vms: SharingVms, silentMillis: Long): Double =
        isolatedCost(vms, max(0, silentMillis - REPORT_VALIDITY_MILLIS))

    private fun isolatedCost(vms: SharingVms, millis: Long): Double =
        ISOLATED_FRACTION / max(1, vms.count) * limit.ratePerSecond * millis / MILLIS_PER_SECOND

    private fun startLevel(report: AllotmentReport, isFirst: Boolean, nowMillis: Long): Double {
        val previousLevel = level ?: return min(limit.burst, report.knownLevel)
        val isLearning = nowMillis - startMillis < LEARNING_MILLIS
        return if (isLearning && isFirst) min(previousLevel, max(0.0, report.knownLevel)) else previousLevel
    }

    /**
     * Returns the cost units that the VM may use until its next report.
     *
     * Less than its first waiting request needs would be of no use to it, and missing at other VMs. What it holds for
     * expected requests leaves a part of the unused cost units for requests that wait at other VMs.
     */
    private fun tokensFor(
        report: AllotmentReport,
        reserveCost: Double,
        available: Double,
        unusedCost: Double,
    ): Double {
        val needed = min(report.neededCost, max(0.0, available))
        if (needed < min(report.firstCost, report.neededCost)) return min(0.0, available)
        val reservable = available - needed - MIN_UNRESERVED_FRACTION * unusedCost
        return min(available, needed + min(reserveCost, max(0.0, reservable)))
    }

    private fun refill(nowMillis: Long) {
        if (nowMillis <= refilledAtMillis) return
        val refilled = availableFraction * limit.ratePerSecond * (nowMillis - refilledAtMillis) / MILLIS_PER_SECOND
        level = level?.let { max(it, min(maxLevel(nowMillis), it + refilled)) }
        refilledAtMillis = nowMillis
        usageByVm.values.removeIf { nowMillis - it.lastReportMillis > USAGE_RETENTION_MILLIS }
    }

    private fun maxLevel(nowMillis: Long): Double = availableFraction * limit.burst - heldCost(nowMillis)

    private fun heldCost(nowMillis: Long): Double =
        usageByVm.values.sumOf { if (it.isActive(nowMillis)) it.heldCost else 0.0 }

    private fun shareFor(usage: VmUsage, vms: SharingVms, nowMillis: Long): Double {
        val count = max(1, vms.count)
        val minDemand = MIN_DEMAND_FRACTION * limit.ratePerSecond / count
        val reporting = usageByVm.values.filter { it.isActive(nowMillis) }
        val silentCount = max(0, vms.count - reporting.size)
        val total = reporting.sumOf { max(minDemand, it.demandPerSecond) } + silentCount * minDemand
        return if (total <= 0) {
            availableFraction / count
        } else {
            availableFraction * max(minDemand, usage.demandPerSecond) / total
        }
    }

    /** Returns the fraction of the limit that is left after the fixed parts of the VMs without contact to this one. */
    private fun availableFractionFor(vms: SharingVms, nowMillis: Long): Double =
        max(
            0.0,
            1.0 - (vms.isolatedCount + countWithoutCollector(vms, nowMillis)) * ISOLATED_FRACTION / max(1, vms.count),
        )

    /** Returns how many reachable VMs don't report to this collector and therefore admit a fixed part of the limit. */
    private fun countWithoutCollector(vms: SharingVms, nowMillis: Long): Int =
        vms.outOfGroup.count { vm ->
            val usage = usageByVm[vm]
            usage == null || nowMillis - usage.lastReportMillis > MAX_UNREPORTED_MILLIS
        }
}

/** The use and the demand of one VM according to its latest report, and what it was granted. */
private class VmUsage(firstReport: AllotmentReport) {
    var usedCost = firstReport.usedCost
        private set
    var demandPerSecond = 0.0
        private set
    var lastReportMillis = Long.MIN_VALUE
        private set

    /** Total cost units up to which the VM's use is debited; the VM may use the difference to [usedCost]. */
    private var debitedCost = firstReport.usedCost + firstReport.heldCost
    private var lastReportNumber = 0L
    private var surrenderedCost = firstReport.surrenderedCost
    private var creditedSurrenderCost = 0.0

    /** Total use that the grants allow which the VM may still apply, by the number of the report. */
    private val allowedCostByNumber = LinkedHashMap<Long, Double>()

    /** Cost units that the VM may hold. */
    val heldCost: Double
        get() = debitedCost - usedCost

    /** Returns whether the VM may use its latest grant. */
    fun isActive(nowMillis: Long): Boolean = nowMillis - lastReportMillis <= REPORT_VALIDITY_MILLIS

    /**
     * Applies [report] and returns the cost units to credit: granted ones that the VM neither used nor holds; below 0
     * if it used more than it was granted.
     *
     * An outdated report updates only the time of the last contact.
     *
     * @param reservedCost cost units that the VM may have used beyond its grants, because they were reserved for it.
     */
    fun applyReport(report: AllotmentReport, reservedCost: Double, nowMillis: Long): Double {
        lastReportMillis = nowMillis
        if (report.number <= lastReportNumber) return 0.0
        lastReportNumber = report.number
        demandPerSecond = report.demandPerSecond
        usedCost = report.usedCost
        allowedCostByNumber.keys.removeIf { it <= (report.appliedNumber ?: Long.MAX_VALUE) }
        val allowedCost = max(usedCost + report.heldCost, allowedCostByNumber.values.maxOrNull() ?: usedCost)
        val credit = debitedCost - allowedCost
        debitedCost = allowedCost
        return if (credit < 0) min(0.0, credit + reservedCost) else credit
    }

    /** Returns the cost units that the VM surrenders with [report], at most [maxCost] since the collector's start. */
    fun surrendered(report: AllotmentReport, maxCost: Double): Double {
        val newlySurrendered = min(report.surrenderedCost - surrenderedCost, maxCost - creditedSurrenderCost)
        surrenderedCost = max(surrenderedCost, report.surrenderedCost)
        if (newlySurrendered <= 0) return 0.0
        creditedSurrenderCost += newlySurrendered
        return newlySurrendered
    }

    /** Records that the grant for the report [number] allows [tokens] more, and returns the cost units to debit. */
    fun grant(number: Long, tokens: Double): Double {
        val allowedCost = usedCost + max(0.0, tokens)
        allowedCostByNumber.merge(number, allowedCost, ::maxOf)
        val debit = max(0.0, allowedCost - debitedCost)
        debitedCost += debit
        return debit
    }
}
