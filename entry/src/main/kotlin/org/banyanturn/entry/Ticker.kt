package org.banyanturn.entry

import io.netty.channel.EventLoop
import io.netty.util.concurrent.ScheduledFuture
import org.banyanturn.daemon.ProcessClock
import java.util.concurrent.TimeUnit

/** Interval between checks of retries, waiting requests and deadlines while anything waits. */
private const val BUSY_INTERVAL_MILLIS = 20L

/** Interval between these checks while nothing waits. */
private const val IDLE_INTERVAL_MILLIS = 100L

/**
 * Calls [task] periodically: every 20 ms while [isBusy] returns `true`, and every 100 ms otherwise.
 *
 * Not thread-safe: used on the event loop [loop] only.
 */
internal class Ticker(
    private val loop: EventLoop,
    private val clock: ProcessClock,
    private val task: () -> Unit,
    private val isBusy: () -> Boolean,
) {
    private var next: ScheduledFuture<*>? = null
    private var isNextSoon = false
    private var dueAtMillis = 0L
    private var longestDelayMillis = 0L

    /** Starts the periodic calls. */
    fun start(): Unit = schedule(isSoon = false)

    /** Brings the next call forward to the short interval if [isBusy] returns `true`. */
    fun wake() {
        if (isNextSoon || next == null || !isBusy()) return
        next?.cancel(false)
        schedule(isSoon = true)
    }

    private fun schedule(isSoon: Boolean) {
        isNextSoon = isSoon
        val intervalMillis = if (isSoon) BUSY_INTERVAL_MILLIS else IDLE_INTERVAL_MILLIS
        dueAtMillis = clock.nowMillis() + intervalMillis
        next = loop.schedule(::run, intervalMillis, TimeUnit.MILLISECONDS)
    }

    private fun run() {
        longestDelayMillis = maxOf(longestDelayMillis, clock.nowMillis() - dueAtMillis)
        task()
        schedule(isBusy())
    }

    /** Returns the longest delay of a call since the last query, in milliseconds. */
    fun takeLongestDelayMillis(): Long = longestDelayMillis.also { longestDelayMillis = 0 }
}
