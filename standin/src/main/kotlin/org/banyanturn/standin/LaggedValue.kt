package org.banyanturn.standin

import java.util.concurrent.TimeUnit

/** A value that is read as it stood [lagMillis] ago. */
internal class LaggedValue<T>(private val lagMillis: Long, initial: T) {
    private val history = ArrayDeque<Entry<T>>().apply { add(Entry(Long.MIN_VALUE, initial)) }

    @Synchronized
    fun set(value: T) {
        history.addLast(Entry(nowMillis(), value))
        dropBefore(nowMillis() - lagMillis)
    }

    @Synchronized
    fun update(change: (T) -> T): Unit = set(change(history.last().value))

    @Synchronized
    fun get(): T {
        dropBefore(nowMillis() - lagMillis)
        return history.first().value
    }

    private fun dropBefore(millis: Long) {
        while (history.size > 1 && history[1].sinceMillis <= millis) history.removeFirst()
    }

    private fun nowMillis(): Long = TimeUnit.NANOSECONDS.toMillis(System.nanoTime())

    private class Entry<T>(val sinceMillis: Long, val value: T)
}
