package org.banyanturn.router

import kotlinx.coroutines.flow.MutableStateFlow
import kotlinx.coroutines.flow.first
import kotlinx.coroutines.flow.update

/** Counts the requests that run, so that a shutdown can wait for them. */
internal interface RunningRequests {
    /** Whether new requests are refused. */
    val isDraining: Boolean

    /** Returns whether a request may start; each that does calls [leave] when it ends. */
    fun tryEnter(): Boolean

    /** Notes that a request has ended. */
    fun leave()

    /** Refuses new requests from now on. */
    fun startDraining()

    /** Returns once no request runs. */
    suspend fun awaitIdle()
}

/** Returns a counter that stands at 0 and lets requests start. */
internal fun runningRequests(): RunningRequests = CountedRequests()

private data class RequestCount(val running: Int = 0, val isDraining: Boolean = false)

private class CountedRequests : RunningRequests {
    private val count = MutableStateFlow(RequestCount())

    override val isDraining: Boolean get() = count.value.isDraining

    override fun tryEnter(): Boolean {
        while (true) {
            val current = count.value
            if (current.isDraining) return false
            if (count.compareAndSet(current, current.copy(running = current.running + 1))) return true
        }
    }

    override fun leave() {
        count.update { it.copy(running = it.running - 1) }
    }

    override fun startDraining() {
        count.update { it.copy(isDraining = true) }
    }

    override suspend fun awaitIdle() {
        count.first { it.running == 0 }
    }
}
