package org.banyanturn.entry.follow

import com.github.michaelbull.result.Result
import com.github.michaelbull.result.map
import org.banyanturn.core.relay.ChangesSince
import org.banyanturn.core.relay.KeyChange
import org.banyanturn.core.serving.TargetEntry
import org.banyanturn.daemon.logs.Event
import org.banyanturn.daemon.logs.field
import org.banyanturn.entry.observe.DecisionLog
import org.banyanturn.platform.KeyedChanges
import org.banyanturn.platform.KeyedRecord
import org.banyanturn.platform.KeyedTopic
import org.banyanturn.platform.StoreError
import org.banyanturn.platform.hosted.parseTargetEntryOrNull

/**
 * Represents the result of reading the list of targets.
 *
 * @property ageMillis how long before the response the platform's store is known to have held this list.
 * @property isEveryRecord whether all records since the offset are included, not only the newest of each target.
 * @property mayHaveLapsed whether missing entries may have expired because of an outage of the store.
 * @property epoch the store's epoch, to which the offsets belong.
 * @property endOffset the offset at which the sender's list ends, or `null` if it is the store's own.
 */
internal class TargetListing(
    val changes: ChangesSince<TargetEntry>,
    val ageMillis: Long,
    val mayHaveLapsed: Boolean,
    val isEveryRecord: Boolean = false,
    val epoch: Long = 0,
    val endOffset: Long? = null,
)

/** Provides the list of targets, as a snapshot or as changes since an offset. */
internal interface TargetListSource {
    /** Returns the entries of all targets. */
    suspend fun snapshot(): Result<TargetListing, StoreError>

    /** Returns the changes from [offset] of [epoch] on, as soon as there are any or after [waitMillis] milliseconds. */
    suspend fun since(offset: Long, epoch: Long, waitMillis: Long): Result<TargetListing, StoreError>
}

/** How long after an outage or a rollback of the store a missing entry may still be written again. */
internal const val LAPSE_WINDOW_MILLIS = 2_500L

/** Reads the list of targets from the platform's store. */
internal class StoredTargetList(
    private val topic: KeyedTopic,
    private val outages: StoreOutageTracker,
    private val log: DecisionLog,
) : TargetListSource {
    override suspend fun snapshot(): Result<TargetListing, StoreError> =
        outages.track { topic.snapshot() }.map { snapshot ->
            val changes = snapshot.records.mapNotNull(::changeOrNull)
            listing(ChangesSince.Available(changes, snapshot.nextOffset), snapshot.epoch)
        }

    override suspend fun since(offset: Long, epoch: Long, waitMillis: Long): Result<TargetListing, StoreError> =
        outages.track { topic.changes(offset, waitMillis) }.map { read ->
            when (read) {
                is KeyedChanges.Records ->
                    listing(
                        ChangesSince.Available(read.records.mapNotNull(::changeOrNull), read.nextOffset),
                        read.epoch,
                        isEveryRecord = true,
                    )

                KeyedChanges.Expired -> listing(ChangesSince.SnapshotRequired, epoch)
            }
        }

    private fun listing(
        changes: ChangesSince<TargetEntry>,
        epoch: Long,
        isEveryRecord: Boolean = false,
    ): TargetListing =
        TargetListing(changes, ageMillis = 0, outages.hadOutageWithin(LAPSE_WINDOW_MILLIS), isEveryRecord, epoch)

    private fun changeOrNull(record: KeyedRecord): KeyChange<TargetEntry>? {
        val text = record.value?.decodeToString() ?: return KeyChange(record.key, value = null, record.offset)
        val entry = parseTargetEntryOrNull(record.key, text)
        if (entry == null) log.write(Event.DECLARATION_UNREADABLE, field("key", record.key))
        return entry?.let { KeyChange(record.key, it, record.offset) }
    }
}
