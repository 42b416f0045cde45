package org.banyanturn.core.state

import org.banyanturn.core.VmId

/** Represents a peer and the offset before which it has folded all records, as reported in its latest heartbeat. */
public data class PeerOffset(val vmId: VmId, val nextOffset: Long)

/** The result of reading the log, a peer or a checkpoint. The records that were read are folded before the event. */
public sealed interface FollowEvent {
    /** The log returned zero or more records; all records before [nextOffset] are folded. */
    public data class LogBatchRead(val nextOffset: Long) : FollowEvent

    /** The log returned no valid response. */
    public data object LogReadFailed : FollowEvent

    /** The log has deleted the records before [firstOffset]. */
    public data class LogOffsetExpired(val firstOffset: Long) : FollowEvent

    /** The peer [vmId] returned records from the requested offset on; all records before [nextOffset] are folded. */
    public data class PeerBatchRead(val vmId: VmId, val nextOffset: Long) : FollowEvent

    /** The peer [vmId] returned no valid response. */
    public data class PeerReadFailed(val vmId: VmId) : FollowEvent

    /** The peer [vmId] no longer has the records from the requested offset on. */
    public data class PeerOffsetExpired(val vmId: VmId) : FollowEvent

    /** A complete checkpoint was adopted, or ignored as not newer; [nextOffset] is that of the resulting state. */
    public data class CheckpointLoaded(val source: CheckpointSource, val nextOffset: Long) : FollowEvent

    /** The source has no complete checkpoint. */
    public data class CheckpointMissing(val source: CheckpointSource) : FollowEvent

    /** The source returned no valid response. */
    public data class CheckpointFailed(val source: CheckpointSource) : FollowEvent
}

/** The source of a checkpoint. */
public sealed interface CheckpointSource {
    /** The checkpoint stream of the log service. */
    public data object Log : CheckpointSource

    /** The state of a peer. */
    public data class Peer(val vmId: VmId) : CheckpointSource
}

/** A read to start; each read ends with one [FollowEvent]. */
public sealed interface FollowAction {
    /** Reads the log from [fromOffset] on and waits at most [waitMillis] for a record. */
    public data class ReadLog(val fromOffset: Long, val waitMillis: Long) : FollowAction

    /** Reads records from [fromOffset] on from the peer [vmId]. */
    public data class ReadPeer(val vmId: VmId, val fromOffset: Long) : FollowAction

    /** Loads the latest complete checkpoint from [source]. */
    public data class LoadCheckpoint(val source: CheckpointSource) : FollowAction
}

/**
 * Represents the result of [LogFollower.decide].
 *
 * @property follower the follower after the reads are started.
 * @property actions the reads to start now.
 * @property wakeAtMillis the latest time for the next decision if there is no event before.
 */
public data class FollowStep(
    val follower: LogFollower,
    val actions: List<FollowAction>,
    val wakeAtMillis: Long,
)
