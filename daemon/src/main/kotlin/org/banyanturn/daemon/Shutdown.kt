package org.banyanturn.daemon

import kotlinx.coroutines.CompletableDeferred
import kotlinx.coroutines.runBlocking

/** Runs [block] until the process is asked to stop, then runs [stop] before the process ends with 0. */
public suspend fun runUntilSignal(block: () -> Unit, stop: suspend () -> Unit) {
    val stopCompleted = CompletableDeferred<Unit>()
    val signalReceived = CompletableDeferred<Unit>()
    val hook = Thread {
        runBlocking {
            signalReceived.complete(Unit)
            stopCompleted.await()
        }
        Runtime.getRuntime().halt(0)
    }
    Runtime.getRuntime().addShutdownHook(hook)
    block()
    signalReceived.await()
    try {
        stop()
    } finally {
        stopCompleted.complete(Unit)
    }
}
