package org.banyanturn.entry.requests

/** Retry delays, connection reuse limits and work estimates of requests. */
internal object RequestTimings {
    /** Retry delay for callers of a service of which no target takes requests. */
    const val NO_TARGET_RETRY_MILLIS = 1_000L

    /** Longest idle time of a connection that is reused for a request that may be retried. */
    const val RETRYABLE_IDLE_MILLIS = 4_000L

    /**
     * Longest idle time of a connection that is reused for a request that may run only once.
     *
     * It is shorter because the outcome of such a request is unknown if the connection breaks.
     */
    const val ONCE_IDLE_MILLIS = 1_000L

    /** Prefill time of a token that is assumed until the engines' speed is known. */
    const val PREFILL_TOKEN_MILLIS = 0.05

    /** Assumed time of a token of the output; only the ratio between the work of requests matters. */
    const val OUTPUT_TOKEN_MILLIS = 10.0
}
