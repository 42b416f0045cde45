package org.banyanturn.entry

import io.github.oshai.kotlinlogging.KotlinLogging
import kotlinx.coroutines.CancellationException
import kotlinx.coroutines.delay
import org.banyanturn.daemon.logs.Event
import org.banyanturn.daemon.logs.event
import org.banyanturn.daemon.logs.field

private val logger = KotlinLogging.logger("org.banyanturn.entry")

/** Time before work that failed unexpectedly is begun again. */
private const val RESTART_MILLIS = 500L

/** Runs [work], and again whenever it fails with an exception that it does not expect; such a failure is logged. */
internal suspend fun superviseForever(name: String, work: suspend () -> Unit) {
    while (true) {
        try {
            work()
            return
        } catch (cancelled: CancellationException) {
            throw cancelled
        } catch (unexpected: Exception) {
            logger.event(Event.REQUEST_FAILED, field("work", name), cause = unexpected)
            delay(RESTART_MILLIS)
        }
    }
}

/** Returns [work] that logs an exception that it does not expect, so that a timer goes on. */
internal fun supervised(name: String, work: () -> Unit): () -> Unit = {
    try {
        work()
    } catch (unexpected: Exception) {
        logger.event(Event.REQUEST_FAILED, field("work", name), cause = unexpected)
    }
}
