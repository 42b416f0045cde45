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

/** Carries the members' use to their collectors and the collectors' answers back. */
internal class AllotmentExchange(
    private val limits: MemberLimits,
    private val ownership: Ownership,
    private val view: FleetView,
    private val self: Incarnation,
    private val clock: ProcessClock,
    private val liveness: PeerLiveness,
) {
    private val collectors = HashMap<MemberId, RunningCollector>()

    /** Returns the reports that are due, by the VM that collects them; this VM's own are settled at once. */
    fun dueReports(): Map<Peer, List<AllotmentReportMessage>> {
        val nowMillis = clock.nowMillis()
        val byCollector = LinkedHashMap<Peer, MutableList<AllotmentReportMessage>>()
        limits.dueReports(nowMillis).forEach { (memberId, report) ->
            val collector = ownership.ownerOrNull(keyOf(memberId)) ?: return@forEach
            if (ownership.isSelf(collector)) {
                collect(self, memberId, report)?.let { limits.onGrant(memberId, it, nowMillis) }
            } else {
                byCollector.getOrPut(collector) { ArrayList() } += report.toMessage(memberId)
            }
        }
        return byCollector
    }

    /** Returns the answers to another VM's [reports]. */
    fun answer(from: Incarnation, reports: List<AllotmentReportMessage>): List<AllotmentGrantMessage> =
        reports.filter { isIdentifier(it.memberId) }.mapNotNull { message ->
            val memberId = MemberId(message.memberId)
            collect(from, memberId, message.toReport())?.toMessage(memberId)
        }

    /** Takes in the answers of a collector. */
    fun onGrants(grants: List<AllotmentGrantMessage>) {
        val nowMillis = clock.nowMillis()
        grants.filter { isIdentifier(it.memberId) }
            .forEach { limits.onGrant(MemberId(it.memberId), it.toGrant(), nowMillis) }
    }

    private fun collect(from: Incarnation, memberId: MemberId, report: AllotmentReport): AllotmentGrant? {
        val vms = liveness.sharingVms()
        val isOwner = ownership.ownerOrNull(keyOf(memberId))?.let(ownership::isSelf) == true
        if (!isOwner || !vms.mayCollect(ownership.isInGroup)) return null
        val terms = view.catalog?.quotaOrNull(memberId) ?: return null
        val ratePerSecond = terms.ratePerSecond ?: return null
        val nowMillis = clock.nowMillis()
        val running = collectors.getOrPut(memberId) {
            RunningCollector(terms, AllotmentCollector(ratePerSecond, terms.burst, nowMillis))
        }
        if (running.terms !== terms) {
            running.terms = terms
            running.collector.setLimit(ratePerSecond, terms.burst, nowMillis)
        }
        return running.collector.onReport(from, report, vms, nowMillis)
    }

    /** Returns the VMs that sum up the use of the members with a limit. */
    fun collectors(): Set<Peer> =
        view.catalog?.limitedMembers.orEmpty().mapNotNullTo(LinkedHashSet()) { ownership.ownerOrNull(keyOf(it)) }

    /** Forgets the collectors of members that other VMs own by now. */
    fun forgetForeign() {
        collectors.keys.removeIf { memberId -> ownership.ownerOrNull(keyOf(memberId))?.let(ownership::isSelf) == false }
    }

    private fun keyOf(memberId: MemberId): String = "member/$memberId"
}

private class RunningCollector(var terms: MemberQuota, val collector: AllotmentCollector)

private fun AllotmentReport.toMessage(memberId: MemberId): AllotmentReportMessage =
    AllotmentReportMessage(memberId.value, number, usedCost, demandPerSecond, knownLevel, neededCost)

private fun AllotmentReportMessage.toReport(): AllotmentReport =
    AllotmentReport(number, usedCost, demandPerSecond, neededCost, knownLevel)

private fun AllotmentGrant.toMessage(memberId: MemberId): AllotmentGrantMessage =
    AllotmentGrantMessage(memberId.value, reportNumber, level, share, seenUsedCost, tokens)

private fun AllotmentGrantMessage.toGrant(): AllotmentGrant =
    AllotmentGrant(reportNumber, level, share, tokens, seenUsedCost)
