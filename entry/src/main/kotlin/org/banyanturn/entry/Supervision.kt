package org.banyanturn.entry

import io.github.oshai.kotlinlogging.KotlinLogging
import kotlinx.coroutines.CancellationException
import kotlinx.coroutines.delay
import org.banyanturn.daemon.logs.Event
import org.banyanturn.daemon.logs.event
import org.banyanturn.daemon.logs.field

private val logger = KotlinLogging.logger("org.banyanturn.entry")

/** Delay before work that failed unexpectedly is restarted. */
private const val RESTART_DELAY_MILLIS = 500L

/** Runs [work] until it completes or is cancelled; after any other exception, logs the failure and restarts it. */
internal suspend fun superviseForever(name: String, work: suspend () -> Unit) {
    while (true) {
        try {
            work()
            return
        } catch (cancelled: CancellationException) {
            throw cancelled
        } catch (unexpected: Exception) {
            logger.event(Event.REQUEST_FAILED, field("work", name), cause = unexpected)
            delay(RESTART_DELAY_MILLIS)
        }
    }
}

/** Returns a function that runs [work] and logs any exception, so that a periodic task is not cancelled by it. */
internal fun supervised(name: String, work: () -> Unit): () -> Unit = {
    try {
        work()
    } catch (unexpected: Exception) {
        logger.event(Event.REQUEST_FAILED, field("work", name), cause = unexpected)
    }
}
