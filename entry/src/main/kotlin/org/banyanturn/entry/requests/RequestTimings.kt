package org.banyanturn.entry.requests

/** Times that requests are served by. */
internal object RequestTimings {
    /** When a caller comes back to a service of which no target takes requests. */
    const val NO_TARGET_RETRY_MILLIS = 1_000L

    /** How long a connection may have been idle before a request that may be repeated is sent on it. */
    const val RETRYABLE_IDLE_MILLIS = 4_000L

    /** The same for a request that may run once: a connection that breaks leaves its outcome unknown. */
    const val ONCE_IDLE_MILLIS = 1_000L
}
