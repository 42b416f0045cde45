package org.banyanturn.core.state

/**
 * When a checkpoint is due.
 *
 * @property retentionMillis how long the log keeps a record.
 * @property maxRecords how many records after the latest checkpoint make the next one due.
 * @property writerStaggerMillis how much later than the one before it each further VM in the order of writers starts.
 */
public data class CheckpointPolicy(
    val retentionMillis: Long,
    val maxRecords: Long = DEFAULT_MAX_RECORDS,
    val writerStaggerMillis: Long = DEFAULT_WRITER_STAGGER_MILLIS,
) {
    init {
        require(retentionMillis > 0) { "retentionMillis must be positive, was $retentionMillis" }
        require(maxRecords > 0) { "maxRecords must be positive, was $maxRecords" }
        require(writerStaggerMillis > 0) { "writerStepMillis must be positive, was $writerStaggerMillis" }
    }

    /** The age at which a checkpoint is due, so that two more attempts fit into the retention. */
    internal val maxAgeMillis: Long get() = retentionMillis / ATTEMPTS_PER_RETENTION

    private companion object {
        const val DEFAULT_MAX_RECORDS = 20_000L
        const val DEFAULT_WRITER_STAGGER_MILLIS = 30_000L
        const val ATTEMPTS_PER_RETENTION = 3
    }
}

/**
 * Decides when this VM writes a checkpoint.
 *
 * Times are this reader's own: the age of a checkpoint counts from when its announcement was folded here.
 */
public class CheckpointSchedule private constructor(
    private val policy: CheckpointPolicy,
    private val latestCheckpoint: AnnouncedCheckpoint?,
    private val observedAtMillis: Long,
    private val dueSinceMillis: Long?,
) {
    /** Returns a schedule that starts at [nowMillis] and knows of no checkpoint. */
    public constructor(policy: CheckpointPolicy, nowMillis: Long) : this(policy, null, nowMillis, null)

    /**
     * Returns the schedule after [state] was folded.
     *
     * @param firstOffset offset of the oldest record that the log still keeps.
     */
    public fun observe(state: FleetState, firstOffset: Long, nowMillis: Long): CheckpointSchedule {
        val isNew = state.checkpoint != latestCheckpoint
        val sinceMillis = if (isNew) nowMillis else observedAtMillis
        val isDue = isDue(state, firstOffset, nowMillis - sinceMillis)
        return CheckpointSchedule(
            policy = policy,
            latestCheckpoint = state.checkpoint,
            observedAtMillis = sinceMillis,
            dueSinceMillis = if (isDue) dueSinceMillis.takeUnless { isNew } ?: nowMillis else null,
        )
    }

    private fun isDue(state: FleetState, firstOffset: Long, ageMillis: Long): Boolean {
        val coveredOffset = state.checkpoint?.nextOffset ?: 0
        val records = state.nextOffset - coveredOffset
        return records > 0 && (
            records >= policy.maxRecords ||
                ageMillis >= policy.maxAgeMillis ||
                firstOffset >= coveredOffset + records / 2
            )
    }

    /**
     * Returns whether this VM writes now.
     *
     * @param rank this VM's place in the order of writers, from 0; each gets its turn if none before it succeeded.
     */
    public fun shouldWrite(rank: Int, nowMillis: Long): Boolean {
        require(rank >= 0) { "rank must not be negative, was $rank" }
        return dueSinceMillis != null && nowMillis - dueSinceMillis >= rank * policy.writerStaggerMillis
    }
}
