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
 * Intervals and wait times for reading the list of targets.
 *
 * @property storeIntervalMillis pause between two reads of the store; it limits the calls, since targets write often.
 * @property storeWaitMillis how long the store may hold a read until there is a change.
 * @property peerIntervalMillis pause between two long polls of another VM.
 * @property peerWaitMillis how long the other VM may hold a poll until there is a change.
 */
internal data class TargetFollowerSettings(
    val storeIntervalMillis: Long = 500,
    val storeWaitMillis: Long = 500,
    val peerIntervalMillis: Long = 100,
    val peerWaitMillis: Long = 700,
)

/**
 * How much older than its response the store's own list may be, by which VMs date it: the longest call to the store.
 * A reader whose list is younger than this VM's by more than that, and ends earlier, has read a rolled-back store.
 */
private const val MAX_LIST_DELAY_MILLIS = 2_000L

/**
 * Keeps the list of targets in [view] up to date, from the platform's store or from the zone's reader.
 *
 * After a rollback of the store, which a higher epoch or an end before this VM's offset shows, the log begins anew with
 * a snapshot. Its records may be seconds older than what is known, so the known state of an incarnation stays in use
 * until the target's next record, and a target that had left does not return before it.
 */
internal class TargetFollower(
    private val store: TargetListSource,
    private val readerSelector: ZoneReaderSelector,
    private val view: FleetView,
    private val clock: ProcessClock,
    private val log: DecisionLog,
    random: Random,
    private val settings: TargetFollowerSettings = TargetFollowerSettings(),
) {
    private val retry = RetryBackoff(random)
    private var changes = ChangeLog.empty<TargetEntry>()
    private var isAgeKnown = false
    private var listedAtMillis = 0L
    private var advancedAtMillis = 0L
    private var rolledBackAtMillis: Long? = null

    /** Called after each successful read. */
    var onRead: () -> Unit = {}

    /** Whether missing entries may have expired because of an outage of the store, as of the last read. */
    var mayHaveLapsed = false
        private set

    /** The entries and their recent changes, for other VMs. */
    val changeLog: ChangeLog<TargetEntry>
        get() = changes

    /** Returns the age of the list in milliseconds: how long ago the store is known to have held it. */
    fun ageMillis(): Long = if (isAgeKnown) clock.nowMillis() - listedAtMillis else Long.MAX_VALUE

    /** Marks the age of the list as unknown until the next read, after a suspension that the clock did not count. */
    fun invalidateAge() {
        isAgeKnown = false
    }

    /** Reads the list repeatedly until cancelled. */
    suspend fun run() {
        while (true) {
            val pauseMillis = readOnce()
            val expired = view.directory.expire(clock.nowMillis())
            if (expired !== view.directory) view.adopt(expired)
            delay(pauseMillis)
        }
    }

    /** Reads from the zone's reader, or from the store if that fails; returns the pause before the next read. */
    private suspend fun readOnce(): Long {
        val zoneReader = readerSelector.readerOrNull()
        if (zoneReader != null) {
            val isSuccess = readFrom(zoneReader.list, settings.peerWaitMillis)
            readerSelector.onResponse(zoneReader, isSuccess)
            if (isSuccess) return settings.peerIntervalMillis
        }
        if (readFrom(store, settings.storeWaitMillis)) return settings.storeIntervalMillis
        return retry.nextDelayMillis()
    }

    private suspend fun readFrom(source: TargetListSource, waitMillis: Long): Boolean {
        if (changes.snapshot() == ChangesSince.SnapshotRequired) return readSnapshot(source)
        val listing = source.since(changes.nextOffset, changes.epoch, waitMillis).getOrElse { return false }
        if (listing.epoch < changes.epoch) return false
        if (showsRollback(listing)) return readSnapshot(store, isRolledBack = true)
        val available = listing.changes as? ChangesSince.Available
        if (available == null || listing.epoch > changes.epoch) return readSnapshot(source)
        applyListing(changes.updatedWith(available, listing.isEveryRecord), listing)
        return true
    }

    /** Returns whether [listing] of another VM ends before this VM's offset although the store had it later. */
    private fun showsRollback(listing: TargetListing): Boolean {
        val endOffset = listing.endOffset ?: return false
        val isBehind = listing.epoch == changes.epoch && endOffset < changes.nextOffset
        return isBehind && clock.nowMillis() - listing.ageMillis > advancedAtMillis + MAX_LIST_DELAY_MILLIS
    }

    private fun ChangeLog<TargetEntry>.updatedWith(
        available: ChangesSince.Available<TargetEntry>,
        isEveryRecord: Boolean,
    ) =
        if (isEveryRecord) {
            advanced(available.changes, available.nextOffset)
        } else {
            merged(available.changes, available.nextOffset)
        }

    private suspend fun readSnapshot(source: TargetListSource, isRolledBack: Boolean = false): Boolean {
        val listing = source.snapshot().getOrElse { return false }
        val snapshot = listing.changes as? ChangesSince.Available ?: return false
        val hasGoneBack = snapshot.nextOffset < changes.nextOffset
        when {
            listing.epoch < changes.epoch -> return false
            listing.epoch > changes.epoch || isRolledBack -> restart(snapshot, listing)
            hasGoneBack && source === store -> restart(snapshot, listing)
            hasGoneBack -> return false
            else -> applyListing(changes.replaced(snapshot.changes, snapshot.nextOffset), listing)
        }
        return true
    }

    private fun restart(snapshot: ChangesSince.Available<TargetEntry>, listing: TargetListing) {
        val previous = changes
        if (previous.snapshot() != ChangesSince.SnapshotRequired) onRollback(snapshot, listing)
        applyListing(
            previous.restarted(snapshot.changes, snapshot.nextOffset, listing.epoch, ::entryAfterRollback),
            listing,
        )
    }

    private fun onRollback(snapshot: ChangesSince.Available<TargetEntry>, listing: TargetListing) {
        rolledBackAtMillis = clock.nowMillis()
        log.write(
            Event.TARGETS_REREAD,
            field("epoch", listing.epoch),
            field("before", changes.epoch),
            field("nextOffset", snapshot.nextOffset),
            field("offsetBefore", changes.nextOffset),
        )
    }

    private fun hadRollbackWithin(windowMillis: Long): Boolean =
        rolledBackAtMillis?.let { clock.nowMillis() - it < windowMillis } == true

    private fun applyListing(updated: ChangeLog<TargetEntry>, listing: TargetListing) {
        val previous = changes
        changes = updated
        retry.reset()
        isAgeKnown = true
        listedAtMillis = clock.nowMillis() - listing.ageMillis
        if (updated.nextOffset != previous.nextOffset) advancedAtMillis = clock.nowMillis()
        mayHaveLapsed = listing.mayHaveLapsed || hadRollbackWithin(LAPSE_WINDOW_MILLIS)
        val changed = changedSince(previous, updated)
        if (changed.isNotEmpty() || !view.hasDirectory) adopt(changed)
        onRead()
    }

    private fun changedSince(
        previous: ChangeLog<TargetEntry>,
        updated: ChangeLog<TargetEntry>,
    ): List<KeyChange<TargetEntry>> {
        val isFirst = previous.snapshot() == ChangesSince.SnapshotRequired
        val hasGoneBack = updated.nextOffset < previous.nextOffset
        val later = if (isFirst) updated.snapshot() else updated.since(previous.nextOffset, previous.epoch)
        if (later is ChangesSince.Available && !hasGoneBack) return later.changes
        return updated.latestChanges().filter { it.value != previous.valueOrNull(it.key) }
    }

    private fun adopt(changed: List<KeyChange<TargetEntry>>) {
        val nowMillis = clock.nowMillis()
        val directory = view.directory
        val validChanges = changed.filter { isIdentifier(it.key) }
        if (view.hasDirectory) {
            validChanges.forEach { logChange(directory, it) }
        } else {
            log.write(
                Event.TARGETS_LISTED,
                field("targets", validChanges.size),
                field("nextOffset", changeLog.nextOffset),
            )
        }
        view.adopt(directory.changed(validChanges.associate { TargetId(it.key) to it.value }, mayHaveLapsed, nowMillis))
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
        val previous = directory.targets[entry.targetId]?.entry
        if (previous?.isDraining == entry.isDraining && previous.bornEpochMillis == entry.bornEpochMillis) return
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

/**
 * Returns the entry to use after a rollback for a target that was known as [known] and is now [listed], until the
 * target's next record; `null` if it had left before.
 */
private fun entryAfterRollback(known: TargetEntry?, listed: TargetEntry): TargetEntry? {
    if (known == null) return null
    val knownBorn = known.bornEpochMillis ?: Long.MIN_VALUE
    val listedBorn = listed.bornEpochMillis ?: Long.MIN_VALUE
    return when {
        listedBorn > knownBorn -> listed
        listedBorn < knownBorn -> known
        else -> if (listed.isDraining && !known.isDraining) listed else known
    }
}
