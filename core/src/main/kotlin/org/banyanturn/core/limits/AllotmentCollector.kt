package org.banyanturn.core.limits

import org.banyanturn.core.Incarnation
import kotlin.math.max
import kotlin.math.min

private const val MILLIS_PER_SECOND = 1_000.0

/** Demand that every VM is taken to have at least, as a part of the rate, so that a VM that wakes up has a share. */
private const val LEAST_DEMAND_FRACTION = 0.02

/** How long a VM is remembered that says nothing; its next report must not count again what the last one counted. */
private const val REMEMBERED_MILLIS = 600_000L

/** How long a VM's last report tells of its demand. */
private const val REPORT_LIFE_MILLIS = 3_000L

/** VMs report at least this often while they have requests. */
private const val MAX_UNREPORTED_MILLIS = 1_000L

/** How long cost units stay promised to a VM that has not reported their use. */
private const val PROMISE_LIFE_MILLIS = 400L

/** Keeps a division from failing where all VMs are silent. */
private const val MIN_PART = 0.01

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
    private val holders = HashMap<Incarnation, HolderUse>()
    private var level: Double? = null
    private var refilledAtMillis = startMillis
    private var partLeft = 1.0

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
        partLeft = partLeftBy(vms, nowMillis)
        val isLearning = nowMillis - startMillis < LEARNING_MILLIS
        val known = holders[from]
        val holder = known ?: HolderUse(report.usedCost).also { holders[from] = it }
        val before = level ?: min(burst, report.knownLevel)
        val believed = if (isLearning && known == null) min(before, max(0.0, report.knownLevel)) else before
        val current = believed - holder.advanceTo(report, nowMillis)
        level = current
        val share = shareOf(holder, vms, nowMillis)
        val others = holders.values.filter { it !== holder }
        val heldByOthers = others.sumOf { it.promisedCost + it.unreportedCost(nowMillis) }
        val free = min(partLeft * burst, current - heldByOthers)
        val part = free * share / max(partLeft, MIN_PART)
        val tokens = if (report.neededCost > part) max(part, min(report.neededCost, free)) else part
        holder.promise(if (tokens > part) tokens else 0.0, nowMillis)
        return AllotmentGrant(report.number, min(partLeft * burst, current), share, tokens, holder.usedCost)
    }

    private fun refill(nowMillis: Long) {
        if (nowMillis <= refilledAtMillis) return
        val filled = partLeft * ratePerSecond * (nowMillis - refilledAtMillis) / MILLIS_PER_SECOND
        val unreported = holders.values.sumOf { it.unreportedCost(nowMillis) }
        level = level?.let { min(partLeft * burst + unreported, it + filled) }
        refilledAtMillis = nowMillis
        holders.values.removeIf { nowMillis - it.heardAtMillis > REMEMBERED_MILLIS }
        holders.values.forEach { it.dropOldPromise(nowMillis) }
    }

    private fun shareOf(holder: HolderUse, vms: SharingVms, nowMillis: Long): Double {
        val count = max(1, vms.count)
        val least = LEAST_DEMAND_FRACTION * ratePerSecond / count
        val heard = holders.values.filter { nowMillis - it.heardAtMillis <= REPORT_LIFE_MILLIS }
        val silent = max(0, vms.count - heard.size)
        val total = heard.sumOf { max(least, it.demandPerSecond) } + silent * least
        return if (total <= 0) partLeft / count else partLeft * max(least, holder.demandPerSecond) / total
    }

    /** Returns the part of the limit that VMs which nothing is heard of don't take by themselves. */
    private fun partLeftBy(vms: SharingVms, nowMillis: Long): Double =
        max(0.0, 1.0 - (vms.isolatedCount + withoutCollector(vms, nowMillis)) * ISOLATED_FRACTION / max(1, vms.count))

    /** Returns how many VMs are heard of but don't know this collector, so that they admit a fixed part. */
    private fun withoutCollector(vms: SharingVms, nowMillis: Long): Int =
        vms.outOfGroup.count { vm ->
            val holder = holders[vm]
            holder == null || nowMillis - holder.heardAtMillis > MAX_UNREPORTED_MILLIS
        }
}

/** What one VM has admitted, as far as its reports have come. */
private class HolderUse(var usedCost: Double) {
    var demandPerSecond = 0.0
        private set
    var heardAtMillis = Long.MIN_VALUE
        private set

    /** Cost units beyond its part that the VM was granted for requests that wait there, and has not used yet. */
    var promisedCost = 0.0
        private set
    private var promisedAtMillis = 0L
    private var lastNumber = 0L

    /** Returns what the VM has probably used since its last report; what was used before a refill makes room for it. */
    fun unreportedCost(nowMillis: Long): Double =
        demandPerSecond * (nowMillis - heardAtMillis).coerceIn(0, MAX_UNREPORTED_MILLIS) / MILLIS_PER_SECOND

    fun promise(cost: Double, nowMillis: Long) {
        promisedCost = cost
        promisedAtMillis = nowMillis
    }

    fun dropOldPromise(nowMillis: Long) {
        if (nowMillis - promisedAtMillis > PROMISE_LIFE_MILLIS) promisedCost = 0.0
    }

    /** Takes in [report] and returns what was used since the one before; one that comes late changes nothing. */
    fun advanceTo(report: AllotmentReport, nowMillis: Long): Double {
        heardAtMillis = nowMillis
        if (report.number <= lastNumber) return 0.0
        lastNumber = report.number
        demandPerSecond = report.demandPerSecond
        val newlyUsed = report.usedCost - usedCost
        usedCost = report.usedCost
        return newlyUsed
    }
}
