package org.banyanturn.entry.follow

import com.github.michaelbull.result.fold
import com.github.michaelbull.result.getOrElse
import kotlinx.coroutines.delay
import kotlinx.coroutines.flow.StateFlow
import kotlinx.coroutines.flow.first
import org.banyanturn.daemon.logs.Event
import org.banyanturn.daemon.logs.field
import org.banyanturn.entry.observe.DecisionLog
import org.banyanturn.entry.requests.FleetView
import org.banyanturn.platform.KeyedChanges
import org.banyanturn.platform.KeyedRecord
import org.banyanturn.platform.KeyedTopic
import org.banyanturn.platform.hosted.CATALOG_KEY
import org.banyanturn.platform.hosted.parseCatalog
import kotlin.random.Random

/** How long the store may hold a read until there is a change; it bounds how late a silent connection is detected. */
private const val CHANGES_WAIT_MILLIS = 1_500L

/**
 * Keeps the catalog in [view] up to date from the platform's store; the version never decreases. The topic also has the
 * evacuated zones, which are passed to [evacuations].
 *
 * It reads a first snapshot from the store, and then the changes while [readsStore] is `true`. Otherwise [CatalogRelay]
 * fetches the versions that other VMs announce.
 */
internal class CatalogFollower(
    private val topic: KeyedTopic,
    private val view: FleetView,
    private val outages: StoreOutageTracker,
    private val log: DecisionLog,
    private val readsStore: StateFlow<Boolean>,
    private val evacuations: ZoneEvacuations,
    random: Random,
) {
    private val retry = RetryBackoff(random)
    private var nextOffset: Long? = null
    private var epoch: Long? = null

    /** The document of the current catalog, for peers that can't reach the store, or `null` while there is none. */
    var document: String? = null
        private set

    /** Called after a newer catalog was adopted. */
    var onAdopted: () -> Unit = {}

    /** Whether this VM receives newer catalogs, from other VMs or from a store that responds. */
    val isUpToDate: Boolean
        get() = !readsStore.value || !outages.isUnavailable

    /** Reads the catalog and its changes until cancelled. */
    suspend fun run() {
        while (true) {
            if (nextOffset != null) readsStore.first { it }
            val isSuccess = nextOffset?.let { readChanges(it) } ?: readSnapshot()
            if (isSuccess) retry.reset() else delay(retry.nextDelayMillis())
        }
    }

    private suspend fun readSnapshot(): Boolean =
        topic.snapshot().fold(
            success = { snapshot ->
                outages.onSuccess()
                evacuations.onSnapshot(snapshot.records, isRolledBack = epoch != null && snapshot.epoch != epoch)
                snapshot.records.forEach { applyRecord(it, "store") }
                nextOffset = snapshot.nextOffset
                epoch = snapshot.epoch
                true
            },
            failure = {
                outages.onError(it)
                false
            },
        )

    private suspend fun readChanges(fromOffset: Long): Boolean {
        val changes = topic.changes(fromOffset, CHANGES_WAIT_MILLIS).getOrElse {
            outages.onError(it)
            return false
        }
        outages.onSuccess()
        when (changes) {
            is KeyedChanges.Records -> if (changes.epoch != epoch) {
                nextOffset = null
            } else {
                evacuations.onChanges(changes.records)
                changes.records.forEach { applyRecord(it, "store") }
                nextOffset = changes.nextOffset
            }

            KeyedChanges.Expired -> nextOffset = null
        }
        return true
    }

    private fun applyRecord(record: KeyedRecord, source: String) {
        if (record.key != CATALOG_KEY) return
        record.value?.let { applyDocument(it.decodeToString(), source) }
    }

    /** Adopts the catalog in [text] if it is newer than the current one. */
    fun applyDocument(text: String, source: String) {
        parseCatalog(text).fold(
            success = { catalog ->
                val previousVersion = view.catalog?.version
                if (!view.adopt(catalog)) return
                document = text
                log.write(
                    Event.CATALOG_ADOPTED,
                    field("version", catalog.version),
                    field("before", previousVersion),
                    field("routes", catalog.routeCount),
                    field("source", source),
                )
                onAdopted()
            },
            failure = {
                log.write(Event.DECLARATION_UNREADABLE, field("key", CATALOG_KEY), field("error", it.problem))
            },
        )
    }
}
