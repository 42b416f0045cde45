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

/** How long a read waits for a change; a connection that went silent is noticed after it. */
private const val WAIT_MILLIS = 1_500L

/**
 * Keeps the catalog of [view] up to date from the platform's store; it never moves to an older version.
 *
 * It reads the store while [readsStore]; otherwise the VM that reads for the zone tells of new versions.
 */
internal class CatalogFollower(
    private val topic: KeyedTopic,
    private val view: FleetView,
    private val outages: StoreOutageTracker,
    private val log: DecisionLog,
    private val readsStore: StateFlow<Boolean>,
    random: Random,
) {
    private val retry = RetryBackoff(random)
    private var nextOffset: Long? = null

    /** The document of the catalog in force, for peers that can't reach the store; `null` while there is none. */
    var document: String? = null
        private set

    /** Called after a newer catalog was taken over. */
    var onAdopted: () -> Unit = {}

    /** Whether the catalog is followed: by another VM's word, or from a store that answers. */
    val isUpToDate: Boolean
        get() = !readsStore.value || !outages.isUnavailable

    /** Follows until cancelled. */
    suspend fun run() {
        while (true) {
            if (nextOffset != null) readsStore.first { it }
            val isRead = nextOffset?.let { readChanges(it) } ?: readSnapshot()
            if (isRead) retry.reset() else delay(retry.nextMillis())
        }
    }

    private suspend fun readSnapshot(): Boolean =
        topic.snapshot().fold(
            success = { snapshot ->
                outages.onSuccess()
                snapshot.records.forEach { take(it, "store") }
                nextOffset = snapshot.nextOffset
                true
            },
            failure = {
                outages.onError(it)
                false
            },
        )

    private suspend fun readChanges(fromOffset: Long): Boolean {
        val changes = topic.changes(fromOffset, WAIT_MILLIS).getOrElse {
            outages.onError(it)
            return false
        }
        outages.onSuccess()
        when (changes) {
            is KeyedChanges.Records -> {
                changes.records.forEach { take(it, "store") }
                nextOffset = changes.nextOffset
            }

            KeyedChanges.Expired -> nextOffset = null
        }
        return true
    }

    private fun take(record: KeyedRecord, source: String) {
        if (record.key != CATALOG_KEY) return
        record.value?.let { takeDocument(it.decodeToString(), source) }
    }

    /** Takes over the catalog in [text] if it is newer than the one in force. */
    fun takeDocument(text: String, source: String) {
        parseCatalog(text).fold(
            success = { catalog ->
                val before = view.catalog?.version
                if (!view.adopt(catalog)) return
                document = text
                log.write(
                    Event.CATALOG_ADOPTED,
                    field("version", catalog.version),
                    field("before", before),
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
