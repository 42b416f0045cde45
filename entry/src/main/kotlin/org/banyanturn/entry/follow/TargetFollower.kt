package org.banyanturn.entry.follow

import com.github.michaelbull.result.fold
import com.github.michaelbull.result.getOrElse
import kotlinx.coroutines.delay
import org.banyanturn.core.TargetId
import org.banyanturn.core.isIdentifier
import org.banyanturn.core.serving.EngineDirectory
import org.banyanturn.core.serving.TargetEntry
import org.banyanturn.daemon.ProcessClock
import org.banyanturn.daemon.logs.Event
import org.banyanturn.daemon.logs.field
import org.banyanturn.entry.observe.DecisionLog
import org.banyanturn.entry.requests.FleetView
import org.banyanturn.platform.KeyedChanges
import org.banyanturn.platform.KeyedRecord
import org.banyanturn.platform.KeyedTopic
import org.banyanturn.platform.hosted.parseTargetEntryOrNull

/** Time between two reads; targets write often, and each read costs a call. */
private const val READ_INTERVAL_MILLIS = 500L

private const val WAIT_MILLIS = 500L
private const val RETRY_MILLIS = 200L

/** How long after an outage of the store an entry that is gone may come back. */
private const val LAPSE_WINDOW_MILLIS = 2_500L

/** Keeps the list of targets of [view] up to date from the platform's store. */
internal class TargetFollower(
    private val topic: KeyedTopic,
    private val view: FleetView,
    private val watch: StoreWatch,
    private val clock: ProcessClock,
    private val log: DecisionLog,
) {
    private var nextOffset: Long? = null

    /** Follows until cancelled. */
    suspend fun run() {
        while (true) {
            val isRead = nextOffset?.let { readChanges(it) } ?: readSnapshot()
            view.adoptIfChanged(view.directory.expire(clock.nowMillis()))
            delay(if (isRead) READ_INTERVAL_MILLIS else RETRY_MILLIS)
        }
    }

    private suspend fun readSnapshot(): Boolean =
        topic.snapshot().fold(
            success = { snapshot ->
                val mayHaveLapsed = watch.wasLostWithin(LAPSE_WINDOW_MILLIS)
                watch.onSuccess()
                val entries = snapshot.records.mapNotNull(::entryOrNull)
                view.adopt(view.directory.replaced(entries, mayHaveLapsed, clock.nowMillis()))
                nextOffset = snapshot.nextOffset
                true
            },
            failure = {
                watch.onError(it)
                false
            },
        )

    private suspend fun readChanges(fromOffset: Long): Boolean {
        val changes = topic.changes(fromOffset, WAIT_MILLIS).getOrElse {
            watch.onError(it)
            return false
        }
        val mayHaveLapsed = watch.wasLostWithin(LAPSE_WINDOW_MILLIS)
        watch.onSuccess()
        when (changes) {
            is KeyedChanges.Records -> {
                view.adopt(applyAll(changes.records, mayHaveLapsed))
                nextOffset = changes.nextOffset
            }

            KeyedChanges.Expired -> nextOffset = null
        }
        return true
    }

    private fun applyAll(records: List<KeyedRecord>, mayHaveLapsed: Boolean): EngineDirectory {
        var known = view.directory
        records.forEach { known = apply(known, it, mayHaveLapsed) }
        return known
    }

    private fun apply(known: EngineDirectory, record: KeyedRecord, mayHaveLapsed: Boolean): EngineDirectory {
        val nowMillis = clock.nowMillis()
        if (record.value == null) {
            if (!isIdentifier(record.key)) return known
            log.write(
                Event.TARGET_CHANGED,
                field("target", record.key),
                field("state", "removed"),
                field("mayHaveLapsed", mayHaveLapsed),
            )
            return known.missing(TargetId(record.key), mayHaveLapsed, nowMillis)
        }
        val entry = entryOrNull(record) ?: return known
        logIfChanged(known.targets[entry.targetId]?.entry, entry)
        return known.listed(entry, nowMillis)
    }

    private fun logIfChanged(before: TargetEntry?, entry: TargetEntry) {
        if (before?.isDraining == entry.isDraining && before.bornEpochMillis == entry.bornEpochMillis) return
        log.write(
            Event.TARGET_CHANGED,
            field("target", entry.targetId),
            field("state", if (entry.isDraining) "draining" else "ready"),
            field("service", entry.service.value),
            field("zone", entry.zoneId),
            field("remainingMillis", entry.remainingMillis),
        )
    }

    private fun entryOrNull(record: KeyedRecord): TargetEntry? {
        val text = record.value?.decodeToString() ?: return null
        val entry = parseTargetEntryOrNull(record.key, text)
        if (entry == null) log.write(Event.DECLARATION_UNREADABLE, field("key", record.key))
        return entry
    }
}

private fun FleetView.adoptIfChanged(changed: EngineDirectory) {
    if (changed !== directory) adopt(changed)
}
