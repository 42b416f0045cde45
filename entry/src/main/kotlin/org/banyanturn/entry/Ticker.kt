package org.banyanturn.entry

import io.netty.channel.EventLoop
import io.netty.util.concurrent.ScheduledFuture
import java.util.concurrent.TimeUnit

/** Time between two looks at repeats, waits and deadlines while something waits. */
private const val BUSY_MILLIS = 20L

/** The same while nothing waits. */
private const val CALM_MILLIS = 100L

/** Calls [work] often while [isBusy], and seldom otherwise; used on the event loop [loop] only. */
internal class Ticker(
    private val loop: EventLoop,
    private val work: () -> Unit,
    private val isBusy: () -> Boolean,
) {
    private var next: ScheduledFuture<*>? = null
    private var isNextSoon = false

    /** Begins to call. */
    fun start(): Unit = schedule(isSoon = false)

    /** Looks soon at what has come, if it has to wait for something. */
    fun wake() {
        if (isNextSoon || next == null || !isBusy()) return
        next?.cancel(false)
        schedule(isSoon = true)
    }

    private fun schedule(isSoon: Boolean) {
        isNextSoon = isSoon
        next = loop.schedule(::run, if (isSoon) BUSY_MILLIS else CALM_MILLIS, TimeUnit.MILLISECONDS)
    }

    private fun run() {
        work()
        schedule(isBusy())
    }
}
