package org.banyanturn.core.state

/**
 * Represents the conditions under which a checkpoint is due.
 *
 * @property retentionMillis time for which the log retains a record.
 * @property maxRecords number of records after the latest checkpoint at which the next one is due.
 * @property writerStaggerMillis delay between the starts of consecutive VMs in the order of writers.
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

    /** The age at which a checkpoint is due: a third of the retention, so that two more attempts fit into it. */
    internal val maxAgeMillis: Long get() = retentionMillis / ATTEMPTS_PER_RETENTION

    private companion object {
        const val DEFAULT_MAX_RECORDS = 20_000L
        const val DEFAULT_WRITER_STAGGER_MILLIS = 30_000L
        const val ATTEMPTS_PER_RETENTION = 3
    }
}

/**
 * Decides when this VM writes a checkpoint. Immutable.
 *
 * The age of a checkpoint is measured with this VM's clock, from the time at which this VM folded its announcement.
 */
public class CheckpointSchedule private constructor(
    private val policy: CheckpointPolicy,
    private val latestCheckpoint: AnnouncedCheckpoint?,
    private val observedAtMillis: Long,
    private val dueSinceMillis: Long?,
) {
    /** Creates a schedule that starts at [nowMillis] without a checkpoint. */
    public constructor(policy: CheckpointPolicy, nowMillis: Long) : this(policy, null, nowMillis, null)

    /**
     * Returns the schedule updated with the folded [state].
     *
     * @param firstOffset offset of the oldest record that the log retains.
     */
    public fun observe(state: FleetState, firstOffset: Long, nowMillis: Long): CheckpointSchedule {
        val isNew = state.checkpoint != latestCheckpoint
        val checkpointObservedAtMillis = if (isNew) nowMillis else observedAtMillis
        val isDue = isDue(state, firstOffset, nowMillis - checkpointObservedAtMillis)
        return CheckpointSchedule(
            policy = policy,
            latestCheckpoint = state.checkpoint,
            observedAtMillis = checkpointObservedAtMillis,
            dueSinceMillis = if (isDue) dueSinceMillis.takeUnless { isNew } ?: nowMillis else null,
        )
    }

    private fun isDue(state: FleetState, firstOffset: Long, ageMillis: Long): Boolean {
        val coveredOffset = state.checkpoint?.nextOffset ?: 0
        val uncoveredRecords = state.nextOffset - coveredOffset
        return uncoveredRecords > 0 && (
            uncoveredRecords >= policy.maxRecords ||
                ageMillis >= policy.maxAgeMillis ||
                firstOffset >= coveredOffset + uncoveredRecords / 2
            )
    }

    /**
     * Returns whether this VM writes a checkpoint at [nowMillis].
     *
     * @param rank position of this VM in the order of writers, from 0; a VM writes if none before it has succeeded.
     */
    public fun shouldWrite(rank: Int, nowMillis: Long): Boolean {
        require(rank >= 0) { "rank must not be negative, was $rank" }
        return dueSinceMillis != null && nowMillis - dueSinceMillis >= rank * policy.writerStaggerMillis
    }
}
