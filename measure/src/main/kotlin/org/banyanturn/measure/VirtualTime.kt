package org.banyanturn.measure

import java.util.PriorityQueue

/** Runs actions in the order of their virtual times; actions of the same time run in the order they were added. */
internal class VirtualTime {
    private class Event(val atMicros: Long, val sequence: Long, val action: () -> Unit)

    private val events = PriorityQueue<Event>(compareBy({ it.atMicros }, { it.sequence }))
    private var nextSequence = 0L

    /** The present, in microseconds. */
    var nowMicros: Long = 0
        private set

    /** The present, in whole milliseconds. */
    val nowMillis: Long
        get() = nowMicros / MICROS_PER_MILLI

    /** Runs [action] after [delayMillis]. */
    fun after(delayMillis: Double, action: () -> Unit) {
        require(delayMillis >= 0) { "delayMillis must not be negative, was $delayMillis" }
        events += Event(nowMicros + (delayMillis * MICROS_PER_MILLI).toLong(), nextSequence++, action)
    }

    /** Runs [action] every [intervalMillis], from one interval on. */
    fun every(intervalMillis: Double, action: () -> Unit) {
        after(intervalMillis) {
            action()
            every(intervalMillis, action)
        }
    }

    /** Runs all actions up to [untilMillis]. */
    fun runUntil(untilMillis: Long) {
        val untilMicros = untilMillis * MICROS_PER_MILLI
        while (events.isNotEmpty() && events.peek().atMicros <= untilMicros) {
            val event = events.poll()
            nowMicros = event.atMicros
            event.action()
        }
        nowMicros = untilMicros
    }
}

private const val MICROS_PER_MILLI = 1_000L
