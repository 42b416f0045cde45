package org.banyanturn.core.placement

/**
 * The requests that found no copy of a model since the model was loaded last.
 *
 * @property count the number of these requests.
 * @property firstMillis the time of the first of them.
 * @property latestMillis the time at which such a request last arrived or was still waiting.
 */
internal data class MissRecord(val count: Int, val firstMillis: Long, val latestMillis: Long)
