package org.banyanturn.measure.delivery

import java.util.PriorityQueue

/** Runs actions in the order of their virtual times; those of the same time in the order in which they were added. */
internal class EventLoop {
    private class Scheduled(val atMillis: Long, val number: Long, val action: () -> Unit)

    private val queue = PriorityQueue(compareBy<Scheduled>({ it.atMillis }, { it.number }))
    private var added = 0L

    /** The virtual time. */
    var nowMillis: Long = 0
        private set

    /** Runs [action] at [atMillis], or at once if that has passed. */
    fun at(atMillis: Long, action: () -> Unit) {
        queue.add(Scheduled(atMillis.coerceAtLeast(nowMillis), added++, action))
    }

    /** Runs [action] in [delayMillis]. */
    fun after(delayMillis: Long, action: () -> Unit): Unit = at(nowMillis + delayMillis, action)

    /** Runs [action] every [periodMillis] while it returns `true`. */
    fun every(periodMillis: Long, action: () -> Boolean) {
        after(periodMillis) { if (action()) every(periodMillis, action) }
    }

    /** Runs everything up to [endMillis]. */
    fun runUntil(endMillis: Long) {
        while (queue.isNotEmpty() && queue.peek().atMillis <= endMillis) {
            val next = queue.poll()
            nowMillis = next.atMillis
            next.action()
        }
        nowMillis = endMillis
    }
}
