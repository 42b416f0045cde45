package org.banyanturn.entry.observe

import io.github.oshai.kotlinlogging.KotlinLogging
import org.banyanturn.daemon.ProcessClock
import org.banyanturn.daemon.logs.Event
import org.banyanturn.daemon.logs.LogField
import org.banyanturn.daemon.logs.event
import org.banyanturn.daemon.logs.field

private val logger = KotlinLogging.logger("org.banyanturn.entry")

/** Lines a second beyond which lines are dropped and counted. */
private const val MAX_LINES_PER_SECOND = 400

private const val MILLIS_PER_SECOND = 1_000L

/** Of calm requests one in so many leaves its lines. */
private const val SAMPLING_INTERVAL = 50L

/** Writes one line for each decision that touches a request or a belief, at a bounded rate. */
internal class DecisionLog(private val clock: ProcessClock, private val metrics: EntryMetrics) {
    private var secondStartMillis = Long.MIN_VALUE
    private var linesInSecond = 0
    private var dropped = 0L
    private var routineRequests = 0L

    /** Returns the trail of the request [requestId], whose lines are written when it ends. */
    fun forRequest(requestId: String): RequestDecisionLog = RequestDecisionLog(requestId, this, clock)

    /** Counts a calm request and returns whether its lines are kept as a sample. */
    fun isSampled(): Boolean = ++routineRequests % SAMPLING_INTERVAL == 0L

    /** Writes [event], or counts it as dropped if this second had too many lines. */
    fun write(event: Event, vararg fields: LogField): Unit = write(event, fields.asList())

    /** Writes [event], or counts it as dropped if this second had too many lines. */
    fun write(event: Event, fields: List<LogField>) {
        val nowMillis = clock.nowMillis()
        if (nowMillis - secondStartMillis >= MILLIS_PER_SECOND) startSecond(nowMillis)
        linesInSecond++
        if (linesInSecond > MAX_LINES_PER_SECOND) {
            dropped++
            metrics.droppedLogLines.inc()
            return
        }
        logger.event(event, fields)
    }

    private fun startSecond(nowMillis: Long) {
        secondStartMillis = nowMillis
        linesInSecond = 0
        if (dropped > 0) logger.event(Event.LINES_DROPPED, field("lines", dropped))
        dropped = 0
    }
}
