package org.banyanturn.entry.observe

import org.banyanturn.core.placement.WaitingModel
import org.banyanturn.daemon.ProcessClock
import org.banyanturn.daemon.logs.Event
import org.banyanturn.daemon.logs.field

/** Counts the planning of loads and the time that it takes on the event loop, and logs both every second. */
internal class PlanningLog(private val clock: ProcessClock, private val log: DecisionLog) {
    private var runs = 0
    private var runMillis = 0L
    private var longestRunMillis = 0L
    private var requests = 0
    private var requestMillis = 0L
    private var declined = 0

    /** Whether this VM has planned or was asked for a model since the last lines. */
    val hasNews: Boolean
        get() = runs > 0 || requests > 0

    /** Runs and measures one planning run. */
    fun <T> measureRun(run: () -> T): T {
        val startMillis = clock.nowMillis()
        return run().also {
            val millis = clock.nowMillis() - startMillis
            runs++
            runMillis += millis
            longestRunMillis = maxOf(longestRunMillis, millis)
        }
    }

    /** Runs and measures the handling of one request for a model. */
    fun <T> measureRequest(handle: () -> T): T {
        val startMillis = clock.nowMillis()
        return handle().also {
            requests++
            requestMillis += clock.nowMillis() - startMillis
        }
    }

    /** Counts a load that was declined, or that has failed. */
    fun recordDeclined() {
        declined++
    }

    /**
     * Writes the figures since the last call.
     *
     * @param queued the number of requested models whose load has not started.
     * @param running the number of loads that were ordered and have not ended.
     * @param fromStore how many of these loads come from the weight store.
     */
    fun write(queued: Int, running: Int, fromStore: Int) {
        if (!hasNews) return
        log.write(
            Event.PLANNING_SUMMARY,
            field("runs", runs),
            field("runMillis", runMillis),
            field("longestRunMillis", longestRunMillis),
            field("requests", requests),
            field("requestMillis", requestMillis),
            field("declined", declined),
            field("queued", queued),
            field("running", running),
            field("fromStore", fromStore),
        )
        runs = 0
        runMillis = 0
        longestRunMillis = 0
        requests = 0
        requestMillis = 0
        declined = 0
    }

    /** Writes the models that have [waiting] requests but no copy, as many as fit into a line. */
    fun writeWaiting(waiting: List<WaitingModel>) {
        if (waiting.isEmpty()) return
        val text = waiting.take(MAX_WAITING_PER_LINE).joinToString(",", transform = ::textOf)
        log.write(Event.MODELS_WAITING, field("count", waiting.size), field("models", text))
    }

    private fun textOf(waiting: WaitingModel): String =
        with(waiting) { "$modelId:$misses/$waitingMillis/$rank/$hosts/$freeHosts" }

    private companion object {
        /** Keeps lines short enough for the collectors of logs. */
        const val MAX_WAITING_PER_LINE = 30
    }
}
