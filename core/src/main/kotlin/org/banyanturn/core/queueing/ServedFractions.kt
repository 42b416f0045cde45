package org.banyanturn.core.queueing

import org.banyanturn.core.MemberId
import kotlin.math.exp
import kotlin.math.min

private const val MIN_COUNT = 0.01

/** Requests of one member in one class; older ones count less. */
private class MemberCounts(var started: Double = 0.0, var lost: Double = 0.0) {
    val total: Double
        get() = started + lost

    fun scale(factor: Double) {
        started *= factor
        lost *= factor
    }
}

/**
 * Tracks which fraction of the recent requests of each rank was started. Not thread-safe.
 *
 * The counts decay exponentially with the time constant [decayMillis]. A member counts for at most twice the median of
 * the members of its rank, so that the requests which a single member sends beyond its equal turns, and which are lost
 * for that reason, don't make its rank appear to be neglected.
 */
internal class ServedFractions(private val decayMillis: Double) {
    private val countsByRank = HashMap<Int, HashMap<MemberId, MemberCounts>>()
    private var updatedAtMillis = 0L

    /** Records that a request of [memberId] with [rank] was started or, if not [isStarted], could not be started. */
    fun record(rank: Int, memberId: MemberId, isStarted: Boolean, nowMillis: Long) {
        decay(nowMillis)
        val counts = countsByRank.getOrPut(rank, ::HashMap).getOrPut(memberId, ::MemberCounts)
        if (isStarted) counts.started++ else counts.lost++
    }

    private fun decay(nowMillis: Long) {
        val elapsedMillis = nowMillis - updatedAtMillis
        updatedAtMillis = nowMillis
        if (elapsedMillis <= 0) return
        val factor = exp(-elapsedMillis / decayMillis)
        countsByRank.values.forEach { byMember ->
            byMember.values.forEach { it.scale(factor) }
            byMember.values.removeIf { it.total < MIN_COUNT }
        }
    }

    /**
     * Returns the started fraction of the recent requests with [rank], which is 1 if there were none.
     *
     * @param lateByMember number of each member's waiting requests that are late already, which count as lost.
     */
    fun fractionOf(rank: Int, nowMillis: Long, lateByMember: Map<MemberId, Int> = emptyMap()): Double {
        decay(nowMillis)
        val counts = countsByRank[rank].orEmpty()
        val members = counts.keys + lateByMember.keys
        if (members.isEmpty()) return 1.0
        val started = members.map { counts[it]?.started ?: 0.0 }
        val totals = members.map { (counts[it]?.total ?: 0.0) + (lateByMember[it] ?: 0) }
        val limit = 2 * totals.sorted()[totals.size / 2]
        val weights = totals.map { min(1.0, limit / it) }
        val startedSum = started.zip(weights).sumOf { (count, weight) -> count * weight }
        val totalSum = totals.zip(weights).sumOf { (count, weight) -> count * weight }
        return (startedSum + PRIOR_REQUESTS) / (totalSum + PRIOR_REQUESTS)
    }

    private companion object {
        /** Requests that count as started in advance, so that the first loss of a rank isn't overrated. */
        const val PRIOR_REQUESTS = 1.0
    }
}
