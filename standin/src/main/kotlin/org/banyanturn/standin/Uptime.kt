package org.banyanturn.standin

import java.util.concurrent.TimeUnit
import java.util.concurrent.atomic.AtomicInteger

/** Tells whether a target that crashed is still down, [restartMillis] after its last crash. */
internal class Uptime(private val restartMillis: Long) {
    private val crashCount = AtomicInteger()

    @Volatile
    private var upAtNanos: Long = System.nanoTime()

    /** How often the target crashed. */
    val crashes: Int get() = crashCount.get()

    /** Whether the target is down. */
    val isDown: Boolean get() = System.nanoTime() < upAtNanos

    /** Takes the target down. */
    fun crash() {
        crashCount.incrementAndGet()
        upAtNanos = System.nanoTime() + TimeUnit.MILLISECONDS.toNanos(restartMillis)
    }
}
