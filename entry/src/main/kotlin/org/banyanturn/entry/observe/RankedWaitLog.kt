package org.banyanturn.entry.observe

import org.banyanturn.daemon.logs.Event
import org.banyanturn.daemon.logs.field
import org.banyanturn.entry.requests.RankedRequest
import org.banyanturn.entry.requests.RankedWaitListener

/**
 * Counts by rank what becomes of the requests that wait at services whose routes have several ranks, and logs the
 * counts. Used on the event loop only.
 */
internal class RankedWaitLog(private val log: DecisionLog, private val metrics: EntryMetrics) : RankedWaitListener {
    private val counts = sortedMapOf<Int, WaitCounts>()

    override fun onWaiting(rank: Int) {
        countsOf(rank).waited++
        metrics.rankedWait(rank, "waited")
    }

    override fun onStarted(rank: Int) {
        countsOf(rank).started++
        metrics.rankedWait(rank, "started")
    }

    override fun onRefused(rank: Int) {
        countsOf(rank).refused++
        metrics.rankedWait(rank, "refused")
    }

    override fun onPredictedLate(refused: RankedRequest, aheadCount: Int, expectedInMillis: Long): Unit =
        log.write(
            Event.REQUEST_CANNOT_START,
            field("request", refused.id),
            field("rank", refused.terms.rank),
            field("ahead", aheadCount),
            field("expectedInMillis", expectedInMillis),
        )

    private fun countsOf(rank: Int): WaitCounts = counts.getOrPut(rank, ::WaitCounts)

    /** Writes the counts since the last call, if there are any; called every second. */
    fun write() {
        if (counts.isEmpty()) return
        log.write(Event.RANKED_WAITS, field("ranks", counts.entries.joinToString(",") { (rank, it) -> "$rank:$it" }))
        counts.clear()
    }
}

/** Counts of requests of one rank, written as `waited/started/refused`. */
private class WaitCounts {
    var waited = 0
    var started = 0
    var refused = 0

    override fun toString(): String = "$waited/$started/$refused"
}
