package org.banyanturn.core.queueing

import org.banyanturn.core.MemberId
import java.util.TreeSet
import kotlin.math.max
import kotlin.math.min

/** A queued request with a [sequence] number that orders requests with the same deadline. */
internal class QueueEntry(val request: QueuedRequest, val sequence: Long)

internal val byDeadline: Comparator<QueueEntry> = compareBy({ it.request.deadlineMillis }, { it.sequence })

/** The queued requests of one member in one priority class, with the virtual start time of the next one. */
private class MemberFlow(val memberId: MemberId, val weight: Double) {
    val entries = TreeSet(byDeadline)
    var startTag = 0.0
    var backlogCost = 0.0
}

/** A start-time fair queueing scheduler over the members of one priority class. */
internal class MemberSchedule(private val weightOf: (MemberId) -> Double) {
    private val flows = HashMap<MemberId, MemberFlow>()
    private val activeFlows = TreeSet(compareBy<MemberFlow>({ it.startTag }, { it.memberId.value }))
    private var virtualTime = 0.0

    val isEmpty: Boolean
        get() = activeFlows.isEmpty()

    fun add(entry: QueueEntry) {
        val flow = flowOf(entry.request.memberId)
        if (flow.entries.isEmpty()) {
            flow.startTag = max(flow.startTag, virtualTime)
            activeFlows += flow
        }
        flow.entries += entry
        flow.backlogCost += entry.request.cost
    }

    /** Returns the entry to serve next; the schedule must not be empty. */
    fun next(): QueueEntry = activeFlows.first().entries.first()

    /** Removes [entry], which must be the [next] one, and charges its member. */
    fun serve(entry: QueueEntry) {
        val flow = activeFlows.first()
        virtualTime = max(virtualTime, flow.startTag)
        remove(entry)
        charge(flow.memberId, entry.request.cost)
    }

    fun remove(entry: QueueEntry) {
        val flow = flowOf(entry.request.memberId)
        flow.entries -= entry
        flow.backlogCost -= entry.request.cost
        if (flow.entries.isEmpty()) {
            flow.backlogCost = 0.0
            activeFlows -= flow
        }
    }

    fun charge(memberId: MemberId, cost: Double) {
        val flow = flowOf(memberId)
        val isActive = activeFlows.remove(flow)
        flow.startTag = max(virtualTime, flow.startTag + cost / flow.weight)
        if (isActive) activeFlows += flow
    }

    /** Returns the cost units served before [request]: those of its member's earlier requests and of other members. */
    fun costAhead(request: QueuedRequest): Double {
        val own = flows[request.memberId]
        val ownCost = own?.entries.orEmpty()
            .takeWhile { it.request.deadlineMillis <= request.deadlineMillis }
            .sumOf { it.request.cost }
        val weight = weightOf(request.memberId)
        val startTag = max(virtualTime, own?.startTag ?: 0.0) + ownCost / weight
        val othersCost = activeFlows.sumOf { flow ->
            val turnsCost = max(0.0, startTag - flow.startTag) * flow.weight
            if (flow === own) 0.0 else min(flow.backlogCost, turnsCost)
        }
        return ownCost + othersCost
    }

    /** Returns the cost units of all queued requests. */
    fun backlogCost(): Double = activeFlows.sumOf { it.backlogCost }

    private fun flowOf(memberId: MemberId): MemberFlow =
        flows.getOrPut(memberId) { MemberFlow(memberId, weightOf(memberId)) }
}
