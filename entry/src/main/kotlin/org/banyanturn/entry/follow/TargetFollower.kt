package org.banyanturn.entry.follow

import com.github.michaelbull.result.getOrElse
import kotlinx.coroutines.delay
import org.banyanturn.core.TargetId
import org.banyanturn.core.isIdentifier
import org.banyanturn.core.relay.ChangeLog
import org.banyanturn.core.relay.ChangesSince
import org.banyanturn.core.relay.KeyChange
import org.banyanturn.core.serving.TargetDirectory
import org.banyanturn.core.serving.TargetEntry
import org.banyanturn.daemon.ProcessClock
import org.banyanturn.daemon.logs.Event
import org.banyanturn.daemon.logs.field
import org.banyanturn.entry.observe.DecisionLog
import org.banyanturn.entry.requests.FleetView
import kotlin.random.Random

/**
 * Times of following the list of targets.
 *
 * @property storeIntervalMillis time between two reads of the store; targets write often, and each read is a call.
 * @property storeWaitMillis how long a read of the store waits for a change.
 * @property peerIntervalMillis time between two questions to another VM, which answers when something changes.
 * @property peerWaitMillis how long such a question waits for a change.
 */
internal data class TargetFollowerSettings(
    val storeIntervalMillis: Long = 500,
    val storeWaitMillis: Long = 500,
    val peerIntervalMillis: Long = 100,
    val peerWaitMillis: Long = 700,
)

/** Keeps the list of targets of [view] up to date, from the platform's store or from the VM that reads it. */
internal class TargetFollower(
    private val store: TargetListSource,
    private val readers: ZoneReaderSelector,
    private val view: FleetView,
    private val clock: ProcessClock,
    private val log: DecisionLog,
    random: Random,
    private val settings: TargetFollowerSettings = TargetFollowerSettings(),
) {
    private val retry = RetryBackoff(random)
    private var changes = ChangeLog.empty<TargetEntry>()
    private var isRead = false
    private var heldAtMillis = 0L

    /** Called after each read. */
    var onRead: () -> Unit = {}

    /** Whether entries that are gone may have lapsed in an outage, as of the last read. */
    var mayHaveLapsed = false
        private set

    /** What is known of the list, for other VMs. */
    val known: ChangeLog<TargetEntry>
        get() = changes

    /** Returns for how long the store may hold another list than this VM, in milliseconds. */
    fun ageMillis(): Long = if (isRead) clock.nowMillis() - heldAtMillis else Long.MAX_VALUE

    /** Forgets how old the list is, since time may have passed that the clock does not count. */
    fun forgetAge() {
        isRead = false
    }

    /** Follows until cancelled. */
    suspend fun run() {
        while (true) {
            val pauseMillis = readOnce()
            val expired = view.directory.expire(clock.nowMillis())
            if (expired !== view.directory) view.adopt(expired)
            delay(pauseMillis)
        }
    }

    /** Reads from the VM that reads for the zone, or else from the store; returns how long to pause. */
    private suspend fun readOnce(): Long {
        val reader = readers.readerOrNull()
        if (reader != null) {
            val isAnswered = readFrom(reader.list, settings.peerWaitMillis)
            readers.onAnswer(reader, isAnswered)
            if (isAnswered) return settings.peerIntervalMillis
        }
        if (readFrom(store, settings.storeWaitMillis)) return settings.storeIntervalMillis
        return retry.nextMillis()
    }

    private suspend fun readFrom(source: TargetListSource, waitMillis: Long): Boolean {
        if (changes.snapshot() == ChangesSince.SnapshotRequired) return readWhole(source)
        val listing = source.since(changes.nextOffset, waitMillis).getOrElse { return false }
        val known = listing.changes as? ChangesSince.Available ?: return readWhole(source)
        take(changes.after(known, listing.isEveryRecord), listing)
        return true
    }

    private fun ChangeLog<TargetEntry>.after(known: ChangesSince.Available<TargetEntry>, isEveryRecord: Boolean) =
        if (isEveryRecord) {
            advanced(known.changes, known.nextOffset)
        } else {
            merged(known.changes, known.nextOffset)
        }

    private suspend fun readWhole(source: TargetListSource): Boolean {
        val listing = source.snapshot().getOrElse { return false }
        val snapshot = listing.changes as? ChangesSince.Available ?: return false
        if (snapshot.nextOffset < changes.nextOffset) return false
        take(changes.replaced(snapshot.changes, snapshot.nextOffset), listing)
        return true
    }

    private fun take(newer: ChangeLog<TargetEntry>, listing: TargetListing) {
        val before = changes
        changes = newer
        retry.reset()
        isRead = true
        heldAtMillis = clock.nowMillis() - listing.ageMillis
        mayHaveLapsed = listing.mayHaveLapsed
        val changed = changedSince(before, newer)
        if (changed.isNotEmpty() || !view.hasDirectory) adopt(changed)
        onRead()
    }

    private fun changedSince(
        before: ChangeLog<TargetEntry>,
        newer: ChangeLog<TargetEntry>,
    ): List<KeyChange<TargetEntry>> {
        val isFirst = before.snapshot() == ChangesSince.SnapshotRequired
        val changed = if (isFirst) newer.snapshot() else newer.since(before.nextOffset)
        return (changed as? ChangesSince.Available)?.changes.orEmpty()
    }

    private fun adopt(changed: List<KeyChange<TargetEntry>>) {
        val nowMillis = clock.nowMillis()
        val directory = view.directory
        val usable = changed.filter { isIdentifier(it.key) }
        if (view.hasDirectory) {
            usable.forEach { logChange(directory, it) }
        } else {
            log.write(Event.TARGETS_LISTED, field("targets", usable.size), field("nextOffset", known.nextOffset))
        }
        view.adopt(directory.changed(usable.associate { TargetId(it.key) to it.value }, mayHaveLapsed, nowMillis))
    }

    private fun logChange(directory: TargetDirectory, change: KeyChange<TargetEntry>) {
        val entry = change.value
        if (entry == null) {
            log.write(
                Event.TARGET_CHANGED,
                field("target", change.key),
                field("state", "removed"),
                field("mayHaveLapsed", mayHaveLapsed),
            )
            return
        }
        val before = directory.targets[entry.targetId]?.entry
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
}
