package org.banyanturn.core.state

/**
 * Represents the timeouts and delays with which a VM follows the log.
 *
 * @property logWaitMillis maximum time for which the log may delay its response while there is no record.
 * @property readTimeoutMillis time after which a read without a result counts as failed, in addition to [logWaitMillis]
 * for reads of the log.
 * @property peerGraceMillis time for which a peer must have been ahead before its records are read.
 * @property logBackoff delays after failed reads of the log.
 * @property peerBackoff delays after failed reads of the same peer.
 */
public data class FollowPolicy(
    val logWaitMillis: Long = 5_000,
    val readTimeoutMillis: Long = 3_000,
    val peerGraceMillis: Long = 500,
    val logBackoff: Backoff = Backoff(initialMillis = 200, maxMillis = 5_000),
    val peerBackoff: Backoff = Backoff(initialMillis = 200, maxMillis = 2_000),
)

/**
 * Represents the state of the reads from one source, of which at most one is in progress at a time.
 *
 * @property failures number of consecutive failed reads.
 * @property retryAtMillis earliest time for the next read.
 * @property startedAtMillis start of the read that is in progress, or `null` if there is none.
 */
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
