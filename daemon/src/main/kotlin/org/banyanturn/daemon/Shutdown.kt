package org.banyanturn.daemon

import kotlinx.coroutines.CompletableDeferred
import kotlinx.coroutines.runBlocking

/**
 * Runs [block], waits for a termination signal and then runs [stop].
 *
 * A shutdown hook keeps the process alive until [stop] completes and then halts it with exit code 0.
 */
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
