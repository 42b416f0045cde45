package org.banyanturn.measure

import java.util.PriorityQueue

/** Events in virtual time, in order of time and then of scheduling. */
internal class ModelsClock {
    private class Event(val atMillis: Long, val number: Long, val action: () -> Unit)

    private val events = PriorityQueue(compareBy<Event>({ it.atMillis }, { it.number }))
    private var scheduled = 0L
    var nowMillis: Long = 0
        private set

    fun after(delayMillis: Long, action: () -> Unit) {
        events += Event(nowMillis + delayMillis.coerceAtLeast(0), scheduled++, action)
    }

    fun runUntil(endMillis: Long) {
        while (events.isNotEmpty() && events.peek().atMillis <= endMillis) {
            val event = events.poll()
            nowMillis = event.atMillis
            event.action()
        }
        nowMillis = endMillis
    }
}

/** A link on which up to [fullSpeedTransfers] run at full speed; more share its bandwidth evenly. */
internal class SharedLink(
    private val clock: ModelsClock,
    private val fullSpeedTransfers: Int,
    private val slowFactorAt: (Long) -> Double,
) {
    private class Transfer(var remainingMillis: Double, val done: () -> Unit)

    private val transfers = mutableListOf<Transfer>()
    private var asOfMillis = 0L
    private var schedule = 0L

    fun transfer(fullSpeedMillis: Double, done: () -> Unit) {
        advance()
        transfers += Transfer(fullSpeedMillis, done)
        scheduleNext()
    }

    private fun rate(): Double =
        minOf(1.0, fullSpeedTransfers.toDouble() / transfers.size) / slowFactorAt(asOfMillis)

    private fun advance() {
        if (transfers.isNotEmpty()) {
            val done = (clock.nowMillis - asOfMillis) * rate()
            transfers.forEach { it.remainingMillis -= done }
        }
        asOfMillis = clock.nowMillis
    }

    private fun scheduleNext() {
        val number = ++schedule
        val next = transfers.minOfOrNull { it.remainingMillis } ?: return
        val delayMillis = kotlin.math.ceil(next / rate()).toLong().coerceIn(1, MINUTE_MILLIS)
        clock.after(delayMillis) { if (schedule == number) finishDue() }
    }

    private fun finishDue() {
        advance()
        val due = transfers.filter { it.remainingMillis <= 0 }
        transfers -= due.toSet()
        scheduleNext()
        due.forEach { it.done() }
    }
}
