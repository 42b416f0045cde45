package org.banyanturn.core.state

import kotlinx.collections.immutable.PersistentMap
import kotlinx.collections.immutable.persistentHashMapOf
import org.banyanturn.core.VmId

private data class PeerAction(val vmId: VmId, val action: FollowAction)

/**
 * Decides whether a VM reads the records of the log from the log service or from a peer, so that it stays up to date as
 * long as one of them is reachable. Immutable.
 *
 * The log and the peers are read concurrently: records are read from a peer that has been ahead for
 * [FollowPolicy.peerGraceMillis], whether the log is unavailable, slow or unreachable. [nextOffset] never decreases.
 *
 * @property nextOffset offset of the first record that is not yet folded.
 * @property needsCheckpoint whether a checkpoint must be loaded before further records can be read.
 */
public class LogFollower private constructor(
    private val policy: FollowPolicy,
    private val seed: Long,
    public val nextOffset: Long,
    public val needsCheckpoint: Boolean,
    private val logRead: ReadState,
    private val peerRead: ReadState,
    private val activePeer: VmId?,
    private val readStatesByPeer: PersistentMap<VmId, ReadState>,
    private val peerMissingRecords: VmId?,
    private val peersAheadSinceMillis: Long?,
) {
    /** Creates a follower that first loads the latest checkpoint; [seed] randomizes the retry delays of each VM. */
    public constructor(policy: FollowPolicy, seed: Long) : this(
        policy, seed, 0, true, ReadState(), ReadState(), null, persistentHashMapOf(), null, null,
    )

    /** The number of consecutive failed reads of the log. */
    public val logFailures: Int get() = logRead.failures

    /** Returns the follower after [event] at [nowMillis]. */
    public fun onEvent(event: FollowEvent, nowMillis: Long): LogFollower =
        when (event) {
            is FollowEvent.LogBatchRead -> advancedTo(event.nextOffset).copy(logRead = logRead.succeeded())

            is FollowEvent.LogReadFailed -> copy(logRead = logFailed(nowMillis))

            is FollowEvent.LogOffsetExpired ->
                copy(logRead = logRead.ended(), needsCheckpoint = needsCheckpoint || event.firstOffset > nextOffset)

            is FollowEvent.PeerBatchRead -> peerBatchRead(event, nowMillis)

            is FollowEvent.PeerReadFailed -> peerFailed(event.vmId, nowMillis)

            is FollowEvent.PeerOffsetExpired ->
                copy(peerRead = peerRead.succeeded(), peerMissingRecords = event.vmId)

            is FollowEvent.CheckpointLoaded -> checkpointLoaded(event, nowMillis)

            is FollowEvent.CheckpointMissing -> checkpointMissing(event.source, nowMillis)

            is FollowEvent.CheckpointFailed -> checkpointFailed(event.source, nowMillis)
        }

    private fun advancedTo(offset: Long): LogFollower =
        if (offset > nextOffset) copy(nextOffset = offset, needsCheckpoint = false, peerMissingRecords = null) else this

    /** A read without new records counts as failed, so the peer is retried with backoff although it reported some. */
    private fun peerBatchRead(event: FollowEvent.PeerBatchRead, nowMillis: Long): LogFollower =
        when {
            event.nextOffset > nextOffset -> advancedTo(event.nextOffset).peerSucceeded(event.vmId)
            else -> peerFailed(event.vmId, nowMillis)
        }

    private fun logFailed(nowMillis: Long): ReadState = logRead.failed(policy.logBackoff, seed, nowMillis)

    private fun peerSucceeded(vmId: VmId): LogFollower =
        copy(peerRead = peerRead.succeeded(), readStatesByPeer = readStatesByPeer.removing(vmId))

    private fun peerFailed(vmId: VmId, nowMillis: Long): LogFollower {
        val readState = (readStatesByPeer[vmId] ?: ReadState()).failed(policy.peerBackoff, seed, nowMillis)
        return copy(
            peerRead = peerRead.succeeded(),
            readStatesByPeer = readStatesByPeer.putting(vmId, readState),
            peerMissingRecords = null,
        )
    }

    /** A checkpoint that is not newer counts as a failed read, because the records after it may have expired too. */
    private fun checkpointLoaded(event: FollowEvent.CheckpointLoaded, nowMillis: Long): LogFollower {
        val isNewer = event.nextOffset > nextOffset
        val follower = advancedTo(event.nextOffset).copy(needsCheckpoint = false)
        return when (val source = event.source) {
            is CheckpointSource.Log ->
                follower.copy(logRead = if (isNewer) logRead.succeeded() else logFailed(nowMillis))

            is CheckpointSource.Peer ->
                if (isNewer) follower.peerSucceeded(source.vmId) else follower.peerFailed(source.vmId, nowMillis)
        }
    }

    /** A log without a checkpoint is assumed to hold all records, until it reports that some have expired. */
    private fun checkpointMissing(source: CheckpointSource, nowMillis: Long): LogFollower =
        when (source) {
            is CheckpointSource.Log -> copy(logRead = logFailed(nowMillis), needsCheckpoint = false)
            is CheckpointSource.Peer -> peerFailed(source.vmId, nowMillis)
        }

    private fun checkpointFailed(source: CheckpointSource, nowMillis: Long): LogFollower =
        when (source) {
            is CheckpointSource.Log -> copy(logRead = logFailed(nowMillis))
            is CheckpointSource.Peer -> peerFailed(source.vmId, nowMillis)
        }

    /** Returns the reads to start at [nowMillis]; [peers] are in order of preference, those of this VM's zone first. */
    public fun decide(peers: List<PeerOffset>, nowMillis: Long): FollowStep {
        val ahead = peers.filter { it.nextOffset > nextOffset }
        val sinceMillis = if (ahead.isEmpty()) null else peersAheadSinceMillis ?: nowMillis
        val follower = copy(peersAheadSinceMillis = sinceMillis).failTimedOutReads(nowMillis)
        val logAction = follower.logActionOrNull(nowMillis)
        val peerAction = follower.peerActionOrNull(ahead, nowMillis)
        val started = follower.copy(
            logRead = if (logAction == null) follower.logRead else follower.logRead.started(nowMillis),
            peerRead = if (peerAction == null) follower.peerRead else follower.peerRead.started(nowMillis),
            activePeer = peerAction?.vmId ?: follower.activePeer,
        )
        return FollowStep(started, listOfNotNull(logAction, peerAction?.action), started.wakeAtMillis(ahead, nowMillis))
    }

    private fun failTimedOutReads(nowMillis: Long): LogFollower {
        val hasLogTimedOut = logRead.hasTimedOut(policy.logWaitMillis + policy.readTimeoutMillis, nowMillis)
        val hasPeerTimedOut = peerRead.hasTimedOut(policy.readTimeoutMillis, nowMillis)
        val follower = if (hasPeerTimedOut && activePeer != null) peerFailed(activePeer, nowMillis) else this
        return if (hasLogTimedOut) follower.copy(logRead = logFailed(nowMillis)) else follower
    }

    private fun ReadState.hasTimedOut(timeoutMillis: Long, nowMillis: Long): Boolean =
        startedAtMillis != null && nowMillis - startedAtMillis >= timeoutMillis

    private fun logActionOrNull(nowMillis: Long): FollowAction? =
        when {
            !logRead.canStart(nowMillis) -> null
            needsCheckpoint -> FollowAction.LoadCheckpoint(CheckpointSource.Log)
            else -> FollowAction.ReadLog(nextOffset, policy.logWaitMillis)
        }

    private fun peerActionOrNull(ahead: List<PeerOffset>, nowMillis: Long): PeerAction? {
        if (peersAheadSinceMillis == null || nowMillis < peersAheadSinceMillis + graceMillis) return null
        if (!peerRead.canStart(nowMillis)) return null
        val chosen = ahead.firstOrNull { readStatesByPeer[it.vmId]?.canStart(nowMillis) != false } ?: return null
        val needsPeerCheckpoint = needsCheckpoint || chosen.vmId == peerMissingRecords
        val action = when {
            needsPeerCheckpoint -> FollowAction.LoadCheckpoint(CheckpointSource.Peer(chosen.vmId))
            else -> FollowAction.ReadPeer(chosen.vmId, nextOffset)
        }
        return PeerAction(chosen.vmId, action)
    }

    /** The time in milliseconds for which a peer must have been ahead; 0 while reads of the log fail. */
    private val graceMillis: Long get() = if (logRead.failures > 0) 0 else policy.peerGraceMillis

    private fun wakeAtMillis(ahead: List<PeerOffset>, nowMillis: Long): Long {
        val logAtMillis = logRead.wakeAtMillis(policy.logWaitMillis + policy.readTimeoutMillis)
        val peerAtMillis = when {
            peerRead.startedAtMillis != null -> peerRead.wakeAtMillis(policy.readTimeoutMillis)

            peersAheadSinceMillis == null -> Long.MAX_VALUE

            else -> {
                val retryAtMillis = ahead.minOf { readStatesByPeer[it.vmId]?.retryAtMillis ?: Long.MIN_VALUE }
                maxOf(retryAtMillis, peersAheadSinceMillis + graceMillis)
            }
        }
        return minOf(logAtMillis, peerAtMillis).coerceAtLeast(nowMillis)
    }

    private fun ReadState.wakeAtMillis(timeoutMillis: Long): Long =
        startedAtMillis?.plus(timeoutMillis) ?: retryAtMillis

    private fun copy(
        nextOffset: Long = this.nextOffset,
        needsCheckpoint: Boolean = this.needsCheckpoint,
        logRead: ReadState = this.logRead,
        peerRead: ReadState = this.peerRead,
        activePeer: VmId? = this.activePeer,
        readStatesByPeer: PersistentMap<VmId, ReadState> = this.readStatesByPeer,
        peerMissingRecords: VmId? = this.peerMissingRecords,
        peersAheadSinceMillis: Long? = this.peersAheadSinceMillis,
    ): LogFollower = LogFollower(
        policy, seed, nextOffset, needsCheckpoint, logRead, peerRead, activePeer, readStatesByPeer,
        peerMissingRecords, peersAheadSinceMillis,
    )
}
