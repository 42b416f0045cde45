package org.banyanturn.standin

import kotlinx.coroutines.CompletableDeferred
import java.util.PriorityQueue

/** The slots of an engine's batch; of the waiting requests the lowest priority number goes first. */
internal class BatchSlots(private val slots: Int) {
    private var sequence = 0L
    private val queue = PriorityQueue(compareBy(Waiter::priority, Waiter::sequence))

    @get:Synchronized
    var running: Int = 0
        private set

    @get:Synchronized
    val waiting: Int get() = queue.size

    /** Runs [block] in a slot, once there is one. */
    suspend fun <T> withSlot(priority: Int, block: suspend () -> T): T {
        acquire(priority)
        try {
            return block()
        } finally {
            release()
        }
    }

    private suspend fun acquire(priority: Int) {
        val waiter = waiterOrNull(priority) ?: return
        try {
            waiter.granted.await()
        } catch (cancelled: kotlinx.coroutines.CancellationException) {
            abandon(waiter)
            throw cancelled
        }
    }

    @Synchronized
    private fun waiterOrNull(priority: Int): Waiter? {
        if (running < slots) {
            running++
            return null
        }
        return Waiter(priority, sequence++).also(queue::add)
    }

    @Synchronized
    private fun abandon(waiter: Waiter) {
        if (!queue.remove(waiter)) release()
    }

    @Synchronized
    private fun release() {
        val next = queue.poll()
        if (next == null) running-- else next.granted.complete(Unit)
    }

    private class Waiter(val priority: Int, val sequence: Long) {
        val granted = CompletableDeferred<Unit>()
    }
}
