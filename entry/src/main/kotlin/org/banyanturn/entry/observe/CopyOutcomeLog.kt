package org.banyanturn.entry.observe

import org.banyanturn.core.placement.CopyName
import org.banyanturn.daemon.logs.Event
import org.banyanturn.daemon.logs.field

/**
 * Counts for each copy the requests of this VM that arrived, were served and were refused, and logs the counts.
 *
 * Lines about single requests are sampled; these counts are complete, so that copies that are requested but never
 * served can be found in the logs. Used on the event loop only.
 */
internal class CopyOutcomeLog(private val log: DecisionLog) {
    private val counts = LinkedHashMap<CopyName, OutcomeCounts>()

    /** Counts a request for [copy] that has arrived. */
    fun recordArrival(copy: CopyName) {
        countsOf(copy).arrived++
    }

    /** Counts a request for [copy] that was answered with success. */
    fun recordServed(copy: CopyName) {
        countsOf(copy).served++
    }

    /** Counts a request for [copy] that this VM refused. */
    fun recordRefused(copy: CopyName) {
        countsOf(copy).refused++
    }

    private fun countsOf(copy: CopyName): OutcomeCounts = counts.getOrPut(copy, ::OutcomeCounts)

    /** Writes the counts since the last call in lines of up to [MAX_COPIES_PER_LINE] copies; called every second. */
    fun write() {
        counts.entries.chunked(MAX_COPIES_PER_LINE).forEach { part ->
            val text = part.joinToString(",") { (copy, outcomes) -> "$copy:$outcomes" }
            log.write(Event.COPY_OUTCOMES, field("copies", text))
        }
        counts.clear()
    }

    private companion object {
        /** Keeps lines short enough for the collectors of logs. */
        const val MAX_COPIES_PER_LINE = 50
    }
}

/** Counts of requests for one copy, written as `arrived/served/refused`. */
private class OutcomeCounts {
    var arrived = 0
    var served = 0
    var refused = 0

    override fun toString(): String = "$arrived/$served/$refused"
}
