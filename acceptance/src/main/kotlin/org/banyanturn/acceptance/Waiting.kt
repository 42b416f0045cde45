package org.banyanturn.acceptance

import kotlinx.coroutines.delay
import kotlinx.coroutines.runBlocking
import kotlinx.coroutines.withTimeoutOrNull

private const val POLL_MILLIS = 50L

/**
 * Returns once [condition] holds.
 *
 * @param details what is told besides if it does not hold in time.
 * @throws IllegalStateException if it does not within [timeoutMillis].
 */
public fun waitUntil(
    what: String,
    timeoutMillis: Long = 60_000,
    details: () -> String = { "" },
    condition: () -> Boolean,
) {
    val hasHeld = runBlocking {
        withTimeoutOrNull(timeoutMillis) {
            while (!condition()) delay(POLL_MILLIS)
            true
        }
    }
    check(hasHeld == true) { "$what did not happen within $timeoutMillis ms ${details()}" }
}
