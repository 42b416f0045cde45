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
 * What a read of the list of targets returned.
 *
 * @property ageMillis how long before the answer this was what the platform's store held.
 * @property isEveryRecord whether all records since the offset are there, not only the newest of each target.
 * @property mayHaveLapsed whether entries that are gone may have lapsed in an outage of the store.
 */
internal class TargetListing(
    val changes: ChangesSince<TargetEntry>,
    val ageMillis: Long,
    val mayHaveLapsed: Boolean,
    val isEveryRecord: Boolean = false,
)

/** A list of targets that can be read whole or from an offset on. */
internal interface TargetListSource {
    /** Returns all targets. */
    suspend fun snapshot(): Result<TargetListing, StoreError>

    /** Returns what changed from [offset] on, as soon as there is something or after [waitMillis]. */
    suspend fun since(offset: Long, waitMillis: Long): Result<TargetListing, StoreError>
}

/** How long after an outage of the store an entry that is gone may come back. */
private const val LAPSE_WINDOW_MILLIS = 2_500L

/** The list of targets as the platform's store holds it. */
internal class StoredTargetList(
    private val topic: KeyedTopic,
    private val outages: StoreOutageTracker,
    private val log: DecisionLog,
) : TargetListSource {
    override suspend fun snapshot(): Result<TargetListing, StoreError> =
        outages.track { topic.snapshot() }.map { snapshot ->
            listing(ChangesSince.Available(snapshot.records.mapNotNull(::changeOrNull), snapshot.nextOffset))
        }

    override suspend fun since(offset: Long, waitMillis: Long): Result<TargetListing, StoreError> =
        outages.track { topic.changes(offset, waitMillis) }.map { read ->
            when (read) {
                is KeyedChanges.Records ->
                    listing(
                        ChangesSince.Available(read.records.mapNotNull(::changeOrNull), read.nextOffset),
                        isEveryRecord = true,
                    )

                KeyedChanges.Expired -> listing(ChangesSince.SnapshotRequired)
            }
        }

    private fun listing(changes: ChangesSince<TargetEntry>, isEveryRecord: Boolean = false): TargetListing =
        TargetListing(changes, ageMillis = 0, outages.hadOutageWithin(LAPSE_WINDOW_MILLIS), isEveryRecord)

    private fun changeOrNull(record: KeyedRecord): KeyChange<TargetEntry>? {
        val text = record.value?.decodeToString() ?: return KeyChange(record.key, value = null, record.offset)
        val entry = parseTargetEntryOrNull(record.key, text)
        if (entry == null) log.write(Event.DECLARATION_UNREADABLE, field("key", record.key))
        return entry?.let { KeyChange(record.key, it, record.offset) }
    }
}
