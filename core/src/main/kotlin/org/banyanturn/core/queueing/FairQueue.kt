package org.banyanturn.core.queueing

import org.banyanturn.core.MemberId

/** The priority class of a request. */
public enum class PriorityClass {
    /** A user is waiting for the answer. */
    INTERACTIVE,

    /** The answer is needed at any time before the deadline. */
    BATCH,
}

/**
 * A request in a [FairQueue].
 *
 * @property cost estimated work, in cost units.
 * @property deadlineMillis time by which the request must have started, on the clock of the queue's callers.
 */
public data class QueuedRequest(
    val requestId: String,
    val memberId: MemberId,
    val cost: Double,
    val deadlineMillis: Long,
    val priority: PriorityClass = PriorityClass.INTERACTIVE,
) {
    init {
        require(cost > 0 && cost.isFinite()) { "cost must be positive and finite, was $cost" }
    }
}

/**
 * A work-conserving queue that divides the work fairly among members: every member with queued requests gets the same
 * share of the cost, scaled by its weight, regardless of how many requests it has queued. Thread-safe.
 *
 * Members are scheduled by start-time fair queueing; the requests of one member by earliest deadline first. Interactive
 * requests are served before batch requests, which get a fixed fraction of the work while both are queued. Every
 * operation except [costAhead] takes time logarithmic in the size.
 */
public interface FairQueue {
    /** The number of queued requests. */
    public val size: Int

    /** Adds [request] unless a request with the same id is queued; returns whether it was added. */
    public fun offer(request: QueuedRequest): Boolean

    /** Removes and returns the next request whose deadline is not reached yet, or returns `null` if there is none. */
    public fun pollOrNull(nowMillis: Long): QueuedRequest?

    /** Removes the requests whose deadline is reached and returns each of them once. */
    public fun expire(nowMillis: Long): List<QueuedRequest>

    /** Removes and returns the request [requestId], or returns `null` if it is not queued. */
    public fun removeOrNull(requestId: String): QueuedRequest?

    /** Charges [memberId] for [cost] units in addition to the estimate, or credits it if [cost] is negative. */
    public fun charge(memberId: MemberId, priority: PriorityClass, cost: Double)

    /** Returns the cost units that would be served before [request] if it were added now. */
    public fun costAhead(request: QueuedRequest): Double

    /** Returns the queued requests in no particular order. */
    public fun toList(): List<QueuedRequest>
}

/** The default fraction of the work that batch requests get while interactive requests are queued. */
public const val DEFAULT_BATCH_FRACTION: Double = 0.1

/**
 * Returns an empty queue.
 *
 * @param batchFraction fraction of the work, from 0 (inclusive) to 1 (exclusive), that batch requests get while
 * interactive requests are queued.
 * @param weightOf the weight of a member's share of the work; equal shares by default.
 */
public fun FairQueue(
    batchFraction: Double = DEFAULT_BATCH_FRACTION,
    weightOf: (MemberId) -> Double = { 1.0 },
): FairQueue = PriorityFairQueue(batchFraction, weightOf)
