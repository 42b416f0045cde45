package org.banyanturn.entry.requests

import org.banyanturn.core.MemberId
import org.banyanturn.core.limits.AllotmentGrant
import org.banyanturn.core.limits.AllotmentReport
import org.banyanturn.core.limits.AllotmentSettings
import org.banyanturn.core.limits.AllotmentShare
import org.banyanturn.core.limits.RateDecision
import org.banyanturn.core.serving.MemberTerms

/** This VM's parts of the members' limits. */
internal class MemberLimits(
    private val vmCount: () -> Int,
    private val settings: AllotmentSettings = AllotmentSettings(),
) {
    private val shares = HashMap<MemberId, LimitedMember>()

    /** Notes that a request of a member with [terms] and [cost] has arrived. */
    fun recordArrival(terms: MemberTerms, cost: Double, nowMillis: Long) {
        shareOrNull(terms, nowMillis)?.recordDemand(cost, nowMillis)
    }

    /** Returns whether a request with [cost] that came at [arrivedAtMillis] may run. */
    fun tryAcquire(terms: MemberTerms, cost: Double, nowMillis: Long, arrivedAtMillis: Long): RateDecision =
        shareOrNull(terms, nowMillis)?.tryAcquire(cost, vmCount(), nowMillis, arrivedAtMillis) ?: RateDecision.Admitted

    /** Takes back the [cost] of a request that has not run. */
    fun refund(terms: MemberTerms, cost: Double) {
        shares[terms.memberId]?.share?.refund(cost)
    }

    /** Returns the reports that are due, by member. */
    fun dueReports(nowMillis: Long): Map<MemberId, AllotmentReport> {
        val due = LinkedHashMap<MemberId, AllotmentReport>()
        shares.forEach { (memberId, limited) ->
            limited.share.dueReportOrNull(nowMillis)?.let { due[memberId] = it }
        }
        return due
    }

    /** Takes in the collector's answer on [memberId]. */
    fun onGrant(memberId: MemberId, grant: AllotmentGrant, nowMillis: Long) {
        shares[memberId]?.share?.onGrant(grant, nowMillis)
    }

    private fun shareOrNull(terms: MemberTerms, nowMillis: Long): AllotmentShare? {
        val ratePerSecond = terms.ratePerSecond ?: return null
        val limited = shares.getOrPut(terms.memberId) {
            LimitedMember(terms, AllotmentShare(ratePerSecond, terms.burst, settings, nowMillis))
        }
        if (limited.terms !== terms) {
            limited.terms = terms
            limited.share.setLimit(ratePerSecond, terms.burst, vmCount(), nowMillis)
        }
        return limited.share
    }
}

private class LimitedMember(var terms: MemberTerms, val share: AllotmentShare)
