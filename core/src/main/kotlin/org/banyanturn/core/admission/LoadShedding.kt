package org.banyanturn.core.admission

import org.banyanturn.core.queueing.PriorityClass
import org.banyanturn.core.queueing.QueuedRequest

/** The cost for a caller to retry a request, in ascending order. */
public enum class RetryCost {
    /** An idempotent read. */
    READ,

    /** A generation that restarts from the beginning. */
    GENERATION,

    /** A booking or order whose outcome the caller has to check. */
    ORDER,
}

/** A queued request that may be shed. */
public data class SheddableRequest(val request: QueuedRequest, val retryCost: RetryCost)

/**
 * Returns the requests to refuse so that at least [excessCost] cost units leave the queue, cheapest to retry first.
 *
 * Only members with more than their max-min fair share of the queued work lose requests, and only down to that share.
 * Among requests that are equally cheap to retry, batch requests go first, then those with the latest deadline.
 */
public fun chooseShedRequests(waiting: List<SheddableRequest>, excessCost: Double): List<QueuedRequest> {
    val costByMember = waiting.groupBy { it.request.memberId }
        .mapValues { (_, requests) -> requests.sumOf { it.request.cost } }
        .toMutableMap()
    val keptTotalCost = costByMember.values.sum() - excessCost
    val fairCost = maxMinFairShare(costByMember.values, keptTotalCost)
    val chosen = ArrayList<QueuedRequest>()
    var remaining = excessCost
    for ((request, _) in waiting.sortedWith(cheapestToRetryFirst)) {
        val memberCost = costByMember.getValue(request.memberId)
        if (remaining > 0 && memberCost > fairCost) {
            costByMember[request.memberId] = memberCost - request.cost
            remaining -= request.cost
            chosen += request
        }
    }
    return chosen
}

/** Returns the max-min fair share of [total]: members with smaller [costs] keep all of theirs. */
private fun maxMinFairShare(costs: Collection<Double>, total: Double): Double {
    var remaining = total
    val ascending = costs.sorted()
    ascending.forEachIndexed { index, cost ->
        val share = remaining / (ascending.size - index)
        if (cost >= share) return share
        remaining -= cost
    }
    return Double.MAX_VALUE
}

private val cheapestToRetryFirst: Comparator<SheddableRequest> =
    compareBy<SheddableRequest> { it.retryCost }
        .thenBy { if (it.request.priority == PriorityClass.BATCH) 0 else 1 }
        .thenByDescending { it.request.deadlineMillis }
        .thenBy { it.request.requestId }
