package org.banyanturn.placer

/**
 * Why no copy can be had.
 *
 * @property message what happened, for the caller.
 * @property retryAfterMillis when a repeat may succeed.
 */
internal data class LoadFailure(val message: String, val retryAfterMillis: Long)
