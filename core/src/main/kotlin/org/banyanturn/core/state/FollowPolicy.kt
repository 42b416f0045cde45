package org.banyanturn.core.state

/**
 * How a VM follows the log.
 *
 * @property logWaitMillis how long the log may hold a read back while there is no record.
 * @property readTimeoutMillis after how long a read that has not ended counts as failed, the wait excluded.
 * @property peerGraceMillis how long a peer must have been ahead before its records are read.
 * @property logBackoff delays between failed reads of the log.
 * @property peerBackoff delays between failed reads of the same peer.
 */
public data class FollowPolicy(
    val logWaitMillis: Long = 5_000,
    val readTimeoutMillis: Long = 3_000,
    val peerGraceMillis: Long = 500,
    val logBackoff: Backoff = Backoff(initialMillis = 200, maxMillis = 5_000),
    val peerBackoff: Backoff = Backoff(initialMillis = 200, maxMillis = 2_000),
)

/** A path on which one read at a time is under way. */
internal data class ReadState(
    val failures: Int = 0,
    val retryAtMillis: Long = Long.MIN_VALUE,
    val startedAtMillis: Long? = null,
) {
    fun canStart(nowMillis: Long): Boolean = startedAtMillis == null && nowMillis >= retryAtMillis

    fun started(nowMillis: Long): ReadState = copy(startedAtMillis = nowMillis)

    fun succeeded(): ReadState = ReadState()

    fun ended(): ReadState = copy(startedAtMillis = null)

    fun failed(backoff: Backoff, seed: Long, nowMillis: Long): ReadState {
        val count = failures + 1
        return ReadState(count, nowMillis + backoff.delayMillis(count, seed))
    }
}
