package org.banyanturn.core.queueing

import org.banyanturn.core.MemberId

/**
 * What decides when a waiting request is started. Times are in milliseconds on the clock of the caller.
 *
 * @property rank priority of the request's class; 0 is the most urgent.
 * @property onTimeByMillis time by which the request must start for its response to be on time.
 * @property startByMillis time from which the request is no longer started.
 * @property workMillis estimated time for which the request occupies an engine, in milliseconds.
 */
public data class StartTerms(
    val memberId: MemberId,
    val rank: Int,
    val arrivedAtMillis: Long,
    val onTimeByMillis: Long,
    val startByMillis: Long,
    val workMillis: Double,
) {
    /** Returns whether the response can still be on time if the request starts at [nowMillis]. */
    public fun canBeOnTime(nowMillis: Long): Boolean = nowMillis <= onTimeByMillis
}
