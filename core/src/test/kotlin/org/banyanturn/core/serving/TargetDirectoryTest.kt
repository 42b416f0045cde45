package org.banyanturn.core.serving

import org.banyanturn.core.TargetId
import org.banyanturn.core.ZoneId
import org.junit.jupiter.api.Assertions.assertEquals
import org.junit.jupiter.api.Assertions.assertFalse
import org.junit.jupiter.api.Assertions.assertTrue
import org.junit.jupiter.api.Test

class TargetDirectoryTest {
    private val service = ServiceName("llm")

    private fun entry(id: String, isDraining: Boolean = false): TargetEntry =
        TargetEntry(
            targetId = TargetId(id),
            service = service,
            address = "10.0.0.1:80",
            zoneId = ZoneId("zone-a"),
            slots = 8,
            isDraining = isDraining,
            bornEpochMillis = 1,
            remainingMillis = null,
            heldModels = emptyMap(),
        )

    @Test
    fun `a target whose entry is removed while the list is available is removed`() {
        val directory = TargetDirectory.empty().listed(
            entry("i-1"),
            0,
        ).missing(TargetId("i-1"), mayHaveLapsed = false, 10)
        assertTrue(directory.targets.isEmpty())
    }

    @Test
    fun `an entry that expired in an outage is kept for the grace period`() {
        val lapsed = TargetDirectory.empty(lapsedGraceMillis = 2_500)
            .listed(entry("i-1"), 0)
            .missing(TargetId("i-1"), mayHaveLapsed = true, 1_000)
        assertTrue(TargetId("i-1") in lapsed.expire(3_400).targets)
        assertFalse(TargetId("i-1") in lapsed.expire(3_500).targets)
        val back = lapsed.listed(entry("i-1"), 2_000).expire(10_000)
        assertTrue(TargetId("i-1") in back.targets)
    }

    @Test
    fun `a draining target is removed with its entry even after an outage`() {
        val directory = TargetDirectory.empty()
            .listed(entry("i-1", isDraining = true), 0)
            .missing(TargetId("i-1"), mayHaveLapsed = true, 10)
        assertTrue(directory.targets.isEmpty())
        assertFalse(
            TargetDirectory.empty().listed(entry("i-1", isDraining = true), 0).targets.values.single().takesRequests,
        )
    }

    @Test
    fun `a complete list replaces the previous one`() {
        val directory = TargetDirectory.empty().listed(entry("i-1"), 0).listed(entry("i-2"), 0)
            .replaced(listOf(entry("i-2"), entry("i-3")), mayHaveLapsed = false, 10)
        assertEquals(setOf(TargetId("i-2"), TargetId("i-3")), directory.targets.keys)
        assertEquals(2, directory.byService.getValue(service).size)
    }
}
