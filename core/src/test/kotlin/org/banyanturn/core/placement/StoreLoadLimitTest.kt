package org.banyanturn.core.placement

import org.junit.jupiter.api.Assertions.assertEquals
import org.junit.jupiter.api.Assertions.assertNull
import org.junit.jupiter.api.Test

class StoreLoadLimitTest {
    private val limit = StoreLoadLimit(max = 5)

    @Test
    fun `each load at full speed allows one more until no bound is assumed`() {
        val limits = (2..4).map { loads ->
            limit.record(loads, slowdown = 1.0)
            limit.limitOrNull
        }
        assertEquals(listOf(3, 4, null), limits)
    }

    @Test
    fun `loads that did not use the limit do not raise it`() {
        repeat(10) { limit.record(loadsAtStart = 1, slowdown = 1.0) }
        assertEquals(2, limit.limitOrNull)
    }

    @Test
    fun `a slow load lowers the limit to what the store serves`() {
        (2..4).forEach { limit.record(it, slowdown = 1.0) }
        assertNull(limit.limitOrNull)
        limit.record(loadsAtStart = 5, slowdown = 2.5)
        assertEquals(2, limit.limitOrNull)
    }

    @Test
    fun `a slow load that ran alone says nothing about others`() {
        limit.record(loadsAtStart = 1, slowdown = 3.0)
        assertEquals(2, limit.limitOrNull)
    }

    @Test
    fun `a lowered limit is raised after several loads at full speed`() {
        limit.record(loadsAtStart = 3, slowdown = 1.5)
        repeat(3) { limit.record(loadsAtStart = 2, slowdown = 1.0) }
        assertEquals(2, limit.limitOrNull)
        limit.record(loadsAtStart = 2, slowdown = 1.0)
        assertEquals(3, limit.limitOrNull)
    }
}
