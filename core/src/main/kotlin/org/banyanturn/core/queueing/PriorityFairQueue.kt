package org.banyanturn.core.queueing

import org.banyanturn.core.MemberId
import java.util.TreeSet

/**
 * A [FairQueue] with one schedule per priority class. The batch schedule earns credit for the interactive work that is
 * served while batch requests are queued, and a batch request is served first once the credit covers its cost.
 */
internal class PriorityFairQueue(
    private val batchFraction: Double,
    weightOf: (MemberId) -> Double,
) : FairQueue {
    init {
        require(batchFraction in 0.0..<1.0) { "batchFraction must be at least 0 and less than 1, was $batchFraction" }
    }

    private val lock = Any()
    private val interactive = MemberSchedule(weightOf)
    private val batch = MemberSchedule(weightOf)
    private val entries = HashMap<String, QueueEntry>()
    private val deadlines = TreeSet(byDeadline)
    private val expired = ArrayList<QueuedRequest>()
    private var nextSequence = 0L
    private var batchCredit = 0.0

    override val size: Int
        get() = synchronized(lock) { entries.size }

    override fun offer(request: QueuedRequest): Boolean =
        synchronized(lock) {
            if (request.requestId in entries) return false
            val entry = QueueEntry(request, nextSequence++)
            entries[request.requestId] = entry
            deadlines += entry
            scheduleOf(request.priority).add(entry)
            true
        }

    override fun pollOrNull(nowMillis: Long): QueuedRequest? =
        synchronized(lock) {
            removeExpired(nowMillis)
            val entry = nextOrNull() ?: return null
            updateBatchCredit(entry.request)
            scheduleOf(entry.request.priority).serve(entry)
            removeFromIndexes(entry)
            entry.request
        }

    private fun nextOrNull(): QueueEntry? =
        when {
            batch.isEmpty -> if (interactive.isEmpty) null else interactive.next()
            interactive.isEmpty -> batch.next()
            else -> batch.next().takeIf { batchCredit >= it.request.cost } ?: interactive.next()
        }

    private fun updateBatchCredit(served: QueuedRequest) {
        when {
            batch.isEmpty -> batchCredit = 0.0

            served.priority == PriorityClass.INTERACTIVE ->
                batchCredit += served.cost * batchFraction / (1 - batchFraction)

            !interactive.isEmpty -> batchCredit -= served.cost
        }
    }

    override fun expire(nowMillis: Long): List<QueuedRequest> =
        synchronized(lock) {
            removeExpired(nowMillis)
            expired.toList().also { expired.clear() }
        }

    private fun removeExpired(nowMillis: Long) {
        while (deadlines.isNotEmpty() && deadlines.first().request.deadlineMillis <= nowMillis) {
            val entry = deadlines.first()
            remove(entry)
            expired += entry.request
        }
    }

    override fun removeOrNull(requestId: String): QueuedRequest? =
        synchronized(lock) { entries[requestId]?.also { remove(it) }?.request }

    override fun charge(memberId: MemberId, priority: PriorityClass, cost: Double): Unit =
        synchronized(lock) { scheduleOf(priority).charge(memberId, cost) }

    override fun costAhead(request: QueuedRequest): Double =
        synchronized(lock) {
            when (request.priority) {
                PriorityClass.INTERACTIVE -> interactive.costAhead(request) / (1 - batchFractionInUse())
                PriorityClass.BATCH -> interactive.backlogCost() + batch.costAhead(request)
            }
        }

    private fun batchFractionInUse(): Double = if (batch.isEmpty) 0.0 else batchFraction

    override fun toList(): List<QueuedRequest> = synchronized(lock) { entries.values.map { it.request } }

    private fun remove(entry: QueueEntry) {
        scheduleOf(entry.request.priority).remove(entry)
        removeFromIndexes(entry)
    }

    private fun scheduleOf(priority: PriorityClass): MemberSchedule =
        when (priority) {
            PriorityClass.INTERACTIVE -> interactive
            PriorityClass.BATCH -> batch
        }

    private fun removeFromIndexes(entry: QueueEntry) {
        entries -= entry.request.requestId
        deadlines -= entry
    }
}
