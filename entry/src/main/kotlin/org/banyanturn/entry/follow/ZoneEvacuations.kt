@file:OptIn(ExperimentalSerializationApi::class)

package org.banyanturn.entry.follow

import kotlinx.serialization.ExperimentalSerializationApi
import kotlinx.serialization.Serializable
import kotlinx.serialization.protobuf.ProtoNumber
import org.banyanturn.core.ZoneId
import org.banyanturn.core.isIdentifier
import org.banyanturn.daemon.ProcessClock
import org.banyanturn.daemon.logs.Event
import org.banyanturn.daemon.logs.field
import org.banyanturn.entry.observe.DecisionLog
import org.banyanturn.entry.requests.FleetView
import org.banyanturn.platform.KeyedRecord
import org.banyanturn.platform.hosted.evacuatedZoneOrNull
import org.banyanturn.platform.hosted.isEvacuationKey

/**
 * Represents the evacuated zones as one VM sends them to another.
 *
 * @property ageMillis how long ago the platform's store is known to have stated them.
 */
@Serializable
internal class EvacuationsMessage(
    @ProtoNumber(1) val ageMillis: Long = Long.MAX_VALUE,
    @ProtoNumber(2) val zones: List<String> = emptyList(),
)

/**
 * Keeps the evacuated zones in [view] up to date, from this VM's reads of the store or from another VM's.
 *
 * Of two statements the one that the store has confirmed later applies. The time of confirmation is used instead of the
 * offset, since offsets go back when the store is restored. While there is no new statement, the last one applies.
 */
internal class ZoneEvacuations(
    private val view: FleetView,
    private val clock: ProcessClock,
    private val log: DecisionLog,
) {
    /** The zones by this VM's own reads, to which the changes read later are applied. */
    private var storedZones: Set<ZoneId> = emptySet()
    private var confirmedAtMillis = Long.MIN_VALUE

    /** Called after the evacuated zones have changed. */
    var onChange: () -> Unit = {}

    /**
     * Handles the newest [records] of all keys, read from the store.
     *
     * @param isRolledBack whether the store was restored from an older copy since the last snapshot. A key that it
     * lacks may then be written again soon, so that only a record without a value ends an evacuation.
     */
    fun onSnapshot(records: List<KeyedRecord>, isRolledBack: Boolean = false) {
        storedZones = if (isRolledBack) view.evacuatedZones else emptySet()
        onChanges(records)
    }

    /** Handles the [records] that were written since the last read of the store, oldest first. */
    fun onChanges(records: List<KeyedRecord>) {
        records.filter { isEvacuationKey(it.key) }.forEach(::applyRecord)
        adopt(storedZones, clock.nowMillis(), source = "store")
    }

    private fun applyRecord(record: KeyedRecord) {
        val zone = evacuatedZoneOrNull(record.key)
            ?: return log.write(Event.DECLARATION_UNREADABLE, field("key", record.key))
        storedZones = if (record.value == null) storedZones - zone else storedZones + zone
    }

    /** Handles a [message] of the VM at [host]. */
    fun onMessage(message: EvacuationsMessage, host: String) {
        if (message.ageMillis !in 0..MAX_AGE_MILLIS) return
        val confirmed = clock.nowMillis() - message.ageMillis
        if (confirmed <= confirmedAtMillis) return
        adopt(message.zones.filter(::isIdentifier).mapTo(LinkedHashSet(), ::ZoneId), confirmed, host)
    }

    private fun adopt(zones: Set<ZoneId>, confirmedMillis: Long, source: String) {
        confirmedAtMillis = confirmedMillis
        val previous = view.evacuatedZones
        if (!view.setEvacuatedZones(zones)) return
        (zones - previous).forEach { writeChange(Event.ZONE_EVACUATED, it, source) }
        (previous - zones).forEach { writeChange(Event.ZONE_REOPENED, it, source) }
        onChange()
    }

    private fun writeChange(event: Event, zone: ZoneId, source: String): Unit =
        log.write(
            event,
            field("zone", zone),
            field("source", source),
            field("targets", view.directory.targets.values.count { it.entry.zoneId == zone }),
        )

    /** Marks the age of the last statement as unknown, after a suspension that the clock did not count. */
    fun invalidateAge() {
        confirmedAtMillis = Long.MIN_VALUE
    }

    /** Returns the evacuated zones for other VMs, or `null` while no statement of a known age applies. */
    fun messageOrNull(): EvacuationsMessage? {
        if (confirmedAtMillis == Long.MIN_VALUE) return null
        val ageMillis = clock.nowMillis() - confirmedAtMillis
        return EvacuationsMessage(ageMillis, view.evacuatedZones.map { it.value })
    }

    private companion object {
        /** The greatest age that another VM may state; a larger one is a malformed value. */
        const val MAX_AGE_MILLIS = 86_400_000L
    }
}
