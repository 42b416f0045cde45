package org.banyanturn.core.placement

import org.banyanturn.core.ModelId
import org.banyanturn.core.TargetId
import org.banyanturn.core.state.CopyKey
import org.junit.jupiter.api.Assertions.assertEquals
import org.junit.jupiter.api.Assertions.assertNull
import org.junit.jupiter.api.Test

class EngineChooserTest {
    private fun copy(model: String) = CopyKey(TargetId("e"), ModelId(model), null, "1")

    private fun candidate(
        id: String,
        loadMillis: Long,
        freeMebibytes: Long = 100,
        zoneDelayMillis: Double = 0.0,
        evictable: List<EvictableCopy> = emptyList(),
    ) = EngineCandidate(TargetId(id), loadMillis, 0, zoneDelayMillis, freeMebibytes, evictable)

    @Test
    fun `a cached checkpoint outweighs free memory and the zone of the requests`() {
        val remote = candidate("remote", loadMillis = 9_000, freeMebibytes = 900)
        val cached = candidate("cached", loadMillis = 700, zoneDelayMillis = 8.0)
        assertEquals(TargetId("cached"), chooseEngineOrNull(listOf(remote, cached), 50)?.targetId)
    }

    @Test
    fun `engines with equal load times are ranked by zone delay and then by free memory`() {
        val far = candidate("far", 700, freeMebibytes = 900, zoneDelayMillis = 8.0)
        val near = candidate("near", 700)
        val emptier = candidate("emptier", 700, freeMebibytes = 300)
        assertEquals(TargetId("emptier"), chooseEngineOrNull(listOf(far, near, emptier), 50)?.targetId)
    }

    @Test
    fun `a copy with a high eviction cost is not evicted for a faster load`() {
        val busy = EvictableCopy(copy("busy"), 60, costMillis = 5_000.0)
        val evicting = candidate("evicting", 700, freeMebibytes = 0, evictable = listOf(busy))
        val free = candidate("free", 3_000)
        assertEquals(TargetId("free"), chooseEngineOrNull(listOf(evicting, free), 50)?.targetId)
    }

    @Test
    fun `the copies with the lowest cost per memory are evicted, without unnecessary ones`() {
        val cheap = EvictableCopy(copy("cheap"), 10, costMillis = 1.0)
        val big = EvictableCopy(copy("big"), 60, costMillis = 10.0)
        val expensive = EvictableCopy(copy("expensive"), 60, costMillis = 900.0)
        assertEquals(listOf(big), chooseEvictionsOrNull(listOf(expensive, big, cheap), 50).orEmpty() - cheap)
        assertNull(chooseEvictionsOrNull(listOf(cheap), 50))
        assertEquals(emptyList<EvictableCopy>(), chooseEvictionsOrNull(listOf(cheap), 0))
    }
}
