package org.banyanturn.entry.peers

import org.banyanturn.core.Incarnation
import org.banyanturn.core.MemberId
import org.banyanturn.core.isIdentifier
import org.banyanturn.core.limits.AllotmentCollector
import org.banyanturn.core.limits.AllotmentGrant
import org.banyanturn.core.limits.AllotmentReport
import org.banyanturn.core.serving.MemberQuota
import org.banyanturn.daemon.ProcessClock
import org.banyanturn.entry.follow.Ownership
import org.banyanturn.entry.follow.Peer
import org.banyanturn.entry.requests.FleetView
import org.banyanturn.entry.requests.MemberLimits

/**
 * Exchanges allotment reports and grants with the collectors of the members.
 *
 * The collector of a member is the VM that owns the member's key; it sums up the member's usage on all VMs.
 */
internal class AllotmentExchange(
    private val limits: MemberLimits,
    private val ownership: Ownership,
    private val view: FleetView,
    private val self: Incarnation,
    private val clock: ProcessClock,
    private val liveness: PeerLiveness,
) {
    private val collectorsByMember = HashMap<MemberId, MemberCollector>()

    /** Returns the due reports grouped by collector VM; reports that this VM collects itself are processed here. */
    fun dueReports(): Map<Peer, List<AllotmentReportMessage>> {
        val nowMillis = clock.nowMillis()
        val reportsByCollector = LinkedHashMap<Peer, MutableList<AllotmentReportMessage>>()
        limits.dueReports(nowMillis).forEach { (memberId, report) ->
            val collector = ownership.ownerOrNull(ownershipKeyOf(memberId)) ?: return@forEach
            if (ownership.isSelf(collector)) {
                collect(self, memberId, report)?.let { limits.onGrant(memberId, it, nowMillis) }
            } else {
                reportsByCollector.getOrPut(collector) { ArrayList() } += report.toMessage(memberId)
            }
        }
        return reportsByCollector
    }

    /** Processes the [reports] of another VM and returns the grants for them. */
    fun onReports(from: Incarnation, reports: List<AllotmentReportMessage>): List<AllotmentGrantMessage> =
        reports.filter { isIdentifier(it.memberId) }.mapNotNull { message ->
            val memberId = MemberId(message.memberId)
            collect(from, memberId, message.toReport())?.toMessage(memberId)
        }

    /** Applies the [grants] that a collector sent. */
    fun onGrants(grants: List<AllotmentGrantMessage>) {
        val nowMillis = clock.nowMillis()
        grants.filter { isIdentifier(it.memberId) }
            .forEach { limits.onGrant(MemberId(it.memberId), it.toGrant(), nowMillis) }
    }

    private fun collect(from: Incarnation, memberId: MemberId, report: AllotmentReport): AllotmentGrant? {
        val vms = liveness.sharingVms()
        val isOwner = ownership.ownerOrNull(ownershipKeyOf(memberId))?.let(ownership::isSelf) == true
        if (!isOwner || !vms.mayCollect(ownership.isInGroup)) return null
        val quota = view.catalog?.quotaOrNull(memberId) ?: return null
        val ratePerSecond = quota.ratePerSecond ?: return null
        val nowMillis = clock.nowMillis()
        val memberCollector = collectorsByMember.getOrPut(memberId) {
            MemberCollector(quota, AllotmentCollector(ratePerSecond, quota.burst, nowMillis))
        }
        if (memberCollector.quota != quota) {
            memberCollector.quota = quota
            memberCollector.collector.setLimit(ratePerSecond, quota.burst, nowMillis)
        }
        return memberCollector.collector.onReport(from, report, vms, nowMillis)
    }

    /** Returns the VMs that collect the usage of the members with a rate limit. */
    fun collectorVms(): Set<Peer> =
        view.catalog?.limitedMembers.orEmpty()
            .mapNotNullTo(LinkedHashSet()) { ownership.ownerOrNull(ownershipKeyOf(it)) }

    /** Removes the collectors of members that another VM owns now. */
    fun dropUnownedCollectors() {
        collectorsByMember.keys.removeIf { memberId ->
            ownership.ownerOrNull(ownershipKeyOf(memberId))?.let(ownership::isSelf) == false
        }
    }

    private fun ownershipKeyOf(memberId: MemberId): String = "member/$memberId"
}

private class MemberCollector(var quota: MemberQuota, val collector: AllotmentCollector)

private fun AllotmentReport.toMessage(memberId: MemberId): AllotmentReportMessage =
    AllotmentReportMessage(
        memberId = memberId.value,
        number = number,
        usedCost = usedCost,
        demandPerSecond = demandPerSecond,
        knownLevel = knownLevel,
        neededCost = neededCost,
        heldCost = heldCost.toFloat(),
        reserveCost = reserveCost.toFloat(),
        firstCost = firstCost.toFloat(),
        appliedNumber = appliedNumber ?: -1,
        surrenderedCost = surrenderedCost.toFloat(),
    )

private fun AllotmentReportMessage.toReport(): AllotmentReport =
    AllotmentReport(
        number = number,
        usedCost = usedCost,
        demandPerSecond = demandPerSecond,
        neededCost = neededCost,
        knownLevel = knownLevel,
        heldCost = heldCost.toDouble(),
        reserveCost = reserveCost.toDouble(),
        firstCost = firstCost.toDouble(),
        surrenderedCost = surrenderedCost.toDouble(),
        appliedNumber = appliedNumber.takeIf { it >= 0 },
    )

private fun AllotmentGrant.toMessage(memberId: MemberId): AllotmentGrantMessage =
    AllotmentGrantMessage(memberId.value, reportNumber, level, share, seenUsedCost, tokens, isSettling)

private fun AllotmentGrantMessage.toGrant(): AllotmentGrant =
    AllotmentGrant(reportNumber, level, share, tokens, seenUsedCost, isSettling)
