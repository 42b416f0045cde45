package org.banyanturn.entry.observe

import io.github.oshai.kotlinlogging.KotlinLogging
import org.banyanturn.daemon.ProcessClock
import org.banyanturn.daemon.logs.Event
import org.banyanturn.daemon.logs.LogField
import org.banyanturn.daemon.logs.event
import org.banyanturn.daemon.logs.field

private val logger = KotlinLogging.logger("org.banyanturn.entry")

/** Log lines per second beyond which further lines are dropped and counted. */
private const val MAX_LINES_PER_SECOND = 400

private const val MILLIS_PER_SECOND = 1_000L

/** The decisions on one in this many routine requests are logged. */
private const val SAMPLING_INTERVAL = 50L

/** Writes one line per decision on a request, a copy or a target's state, at a bounded rate. */
internal class DecisionLog(private val clock: ProcessClock, private val metrics: EntryMetrics) {
    private var secondStartMillis = Long.MIN_VALUE
    private var linesInSecond = 0
    private var dropped = 0L
    private var routineRequests = 0L

    /** Returns the log of the request [requestId], whose lines are written when the request ends. */
    fun forRequest(requestId: String): RequestDecisionLog = RequestDecisionLog(requestId, this, clock)

    /** Counts a routine request, and returns whether its lines are written as a sample. */
    fun isSampled(): Boolean = ++routineRequests % SAMPLING_INTERVAL == 0L

    /** Writes [event], or counts it as dropped if the limit of lines per second is reached. */
    fun write(event: Event, vararg fields: LogField): Unit = write(event, fields.asList())

    /** Writes [event], or counts it as dropped if the limit of lines per second is reached. */
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
