package org.banyanturn.core.limits

import org.banyanturn.core.Incarnation
import kotlin.math.max
import kotlin.math.min

private const val MILLIS_PER_SECOND = 1_000.0

/** Demand that every VM is taken to have at least, as a part of the rate, so that a VM that wakes up has a share. */
private const val MIN_DEMAND_FRACTION = 0.02

/** How long a VM is remembered that says nothing; its next report must not count again what the last one counted. */
private const val USAGE_RETENTION_MILLIS = 600_000L

/** How long a VM's last report tells of its demand. */
private const val REPORT_VALIDITY_MILLIS = 3_000L

/** VMs report at least this often while they have requests. */
private const val MAX_UNREPORTED_MILLIS = 1_000L

/** How long cost units stay promised to a VM that has not reported their use. */
private const val RESERVATION_MILLIS = 400L

/** Keeps a division from failing where all VMs are silent. */
private const val MIN_FRACTION = 0.01

/** How long after its start a collector believes what VMs say of the level. */
private const val LEARNING_MILLIS = 1_500L

/**
 * The sum of one member's use over all VMs, kept on one of them.
 *
 * It grants no leases and gives no single request leave: what it knows can be lost and is rebuilt from the next
 * reports, and VMs that can't reach it go on with equal parts of the limit.
 */
public class AllotmentCollector(
    private var ratePerSecond: Double,
    private var burst: Double,
    private val startMillis: Long,
) {
    private val usageByVm = HashMap<Incarnation, VmUsage>()
    private var level: Double? = null
    private var refilledAtMillis = startMillis
    private var availableFraction = 1.0

    /** Takes over a changed limit. */
    public fun setLimit(newRatePerSecond: Double, newBurst: Double, nowMillis: Long) {
        refill(nowMillis)
        ratePerSecond = newRatePerSecond
        burst = newBurst
        level = level?.let { min(it, newBurst) }
    }

    /** Returns the answer to [report] of the VM [from], where [vms] share the limit. */
    public fun onReport(
        from: Incarnation,
        report: AllotmentReport,
        vms: SharingVms,
        nowMillis: Long,
    ): AllotmentGrant {
        refill(nowMillis)
        availableFraction = availableFractionFor(vms, nowMillis)
        val isLearning = nowMillis - startMillis < LEARNING_MILLIS
        val knownUsage = usageByVm[from]
        val usage = knownUsage ?: VmUsage(report.usedCost).also { usageByVm[from] = it }
        val previousLevel = level ?: min(burst, report.knownLevel)
        val startLevel = if (isLearning && knownUsage == null) min(previousLevel, max(0.0, report.knownLevel)) else previousLevel
        val currentLevel = startLevel - usage.applyReport(report, nowMillis)
        level = currentLevel
        val share = shareFor(usage, vms, nowMillis)
        val others = usageByVm.values.filter { it !== usage }
        val reservedByOthers = others.sumOf { it.reservedCost + it.unreportedCost(nowMillis) }
        val availableCost = min(availableFraction * burst, currentLevel - reservedByOthers)
        val shareCost = availableCost * share / max(availableFraction, MIN_FRACTION)
        val tokens = if (report.neededCost > shareCost) max(shareCost, min(report.neededCost, availableCost)) else shareCost
        usage.reserve(if (tokens > shareCost) tokens else 0.0, nowMillis)
        return AllotmentGrant(report.number, min(availableFraction * burst, currentLevel), share, tokens, usage.usedCost)
    }

    private fun refill(nowMillis: Long) {
        if (nowMillis <= refilledAtMillis) return
        val refilledCost = availableFraction * ratePerSecond * (nowMillis - refilledAtMillis) / MILLIS_PER_SECOND
        val unreportedCost = usageByVm.values.sumOf { it.unreportedCost(nowMillis) }
        level = level?.let { min(availableFraction * burst + unreportedCost, it + refilledCost) }
        refilledAtMillis = nowMillis
        usageByVm.values.removeIf { nowMillis - it.lastReportMillis > USAGE_RETENTION_MILLIS }
        usageByVm.values.forEach { it.expireReservation(nowMillis) }
    }

    private fun shareFor(usage: VmUsage, vms: SharingVms, nowMillis: Long): Double {
        val count = max(1, vms.count)
        val minDemand = MIN_DEMAND_FRACTION * ratePerSecond / count
        val reporting = usageByVm.values.filter { nowMillis - it.lastReportMillis <= REPORT_VALIDITY_MILLIS }
        val silentCount = max(0, vms.count - reporting.size)
        val total = reporting.sumOf { max(minDemand, it.demandPerSecond) } + silentCount * minDemand
        return if (total <= 0) availableFraction / count else availableFraction * max(minDemand, usage.demandPerSecond) / total
    }

    /** Returns the part of the limit that VMs which nothing is heard of don't take by themselves. */
    private fun availableFractionFor(vms: SharingVms, nowMillis: Long): Double =
        max(0.0, 1.0 - (vms.isolatedCount + countWithoutCollector(vms, nowMillis)) * ISOLATED_FRACTION / max(1, vms.count))

    /** Returns how many VMs are heard of but don't know this collector, so that they admit a fixed part. */
    private fun countWithoutCollector(vms: SharingVms, nowMillis: Long): Int =
        vms.outOfGroup.count { vm ->
            val usage = usageByVm[vm]
            usage == null || nowMillis - usage.lastReportMillis > MAX_UNREPORTED_MILLIS
        }
}

/** What one VM has admitted, as far as its reports have come. */
private class VmUsage(var usedCost: Double) {
    var demandPerSecond = 0.0
        private set
    var lastReportMillis = Long.MIN_VALUE
        private set

    /** Cost units beyond its part that the VM was granted for requests that wait there, and has not used yet. */
    var reservedCost = 0.0
        private set
    private var reservedAtMillis = 0L
    private var lastReportNumber = 0L

    /** Returns what the VM has probably used since its last report; what was used before a refill makes room for it. */
    fun unreportedCost(nowMillis: Long): Double =
        demandPerSecond * (nowMillis - lastReportMillis).coerceIn(0, MAX_UNREPORTED_MILLIS) / MILLIS_PER_SECOND

    fun reserve(cost: Double, nowMillis: Long) {
        reservedCost = cost
        reservedAtMillis = nowMillis
    }

    fun expireReservation(nowMillis: Long) {
        if (nowMillis - reservedAtMillis > RESERVATION_MILLIS) reservedCost = 0.0
    }

    /** Takes in [report] and returns what was used since the one before; one that comes late changes nothing. */
    fun applyReport(report: AllotmentReport, nowMillis: Long): Double {
        lastReportMillis = nowMillis
        if (report.number <= lastReportNumber) return 0.0
        lastReportNumber = report.number
        demandPerSecond = report.demandPerSecond
        val newlyUsed = report.usedCost - usedCost
        usedCost = report.usedCost
        return newlyUsed
    }
}
