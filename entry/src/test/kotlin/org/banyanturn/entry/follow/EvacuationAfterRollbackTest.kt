package org.banyanturn.entry.follow

import org.banyanturn.core.ZoneId
import org.banyanturn.daemon.ProcessClock
import org.banyanturn.entry.observe.DecisionLog
import org.banyanturn.entry.observe.EntryMetrics
import org.banyanturn.entry.requests.FleetView
import org.banyanturn.platform.KeyedRecord
import org.junit.jupiter.api.Assertions.assertEquals
import org.junit.jupiter.api.Test

/** Guards against an evacuated zone that is used again because a restored store lacks its key for a moment. */
class EvacuationAfterRollbackTest {
    private var nowMillis = 0L
    private val clock = ProcessClock { nowMillis++ }
    private val view = FleetView(clock, ZoneId("near"))
    private val evacuations = ZoneEvacuations(view, clock, DecisionLog(clock, EntryMetrics()))
    private val evacuation = KeyedRecord("evacuate/far", "{}".encodeToByteArray(), offset = 1)
    private val end = KeyedRecord("evacuate/far", value = null, offset = 2)

    @Test
    fun `a snapshot after a rollback that lacks the key doesn't end an evacuation`() {
        evacuations.onSnapshot(listOf(evacuation))
        evacuations.onSnapshot(emptyList(), isRolledBack = true)
        assertEquals(setOf(ZoneId("far")), view.evacuatedZones)
    }

    @Test
    fun `an evacuation ends by its record after a rollback, or by a snapshot without one`() {
        evacuations.onSnapshot(listOf(evacuation))
        evacuations.onSnapshot(emptyList(), isRolledBack = true)
        evacuations.onChanges(listOf(end))
        assertEquals(emptySet<ZoneId>(), view.evacuatedZones)
        evacuations.onChanges(listOf(evacuation))
        evacuations.onSnapshot(emptyList())
        assertEquals(emptySet<ZoneId>(), view.evacuatedZones)
    }
}
