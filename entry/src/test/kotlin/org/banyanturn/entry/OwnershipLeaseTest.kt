package org.banyanturn.entry

import org.banyanturn.entry.follow.OwnershipLease
import org.banyanturn.platform.OwnershipGrant
import org.banyanturn.platform.Partition
import org.junit.jupiter.api.Assertions.assertEquals
import org.junit.jupiter.api.Assertions.assertFalse
import org.junit.jupiter.api.Assertions.assertNull
import org.junit.jupiter.api.Assertions.assertTrue
import org.junit.jupiter.api.Test

private const val TTL_MILLIS = 2_000L

class OwnershipLeaseTest {
    private val first = Partition("engines", 0)
    private val second = Partition("engines", 1)
    private val lease = OwnershipLease(TTL_MILLIS)

    private fun grant(generation: Long, atMillis: Long, vararg partitions: Partition) =
        lease.onGrant(OwnershipGrant(generation, partitions.toSet()), sentAtMillis = atMillis - 10, atMillis)

    @Test
    fun `the lease expires one time to live after the join request was sent, not after the response`() {
        grant(1, atMillis = 1_000, first)
        assertTrue(lease.isValid(2_989))
        assertFalse(lease.isValid(2_990))
        assertNull(lease.ownedSinceMillisOrNull(first, 2_990))
    }

    @Test
    fun `a partition is owned since its first grant, across renewals and changes of other partitions`() {
        grant(1, atMillis = 1_000, first)
        grant(2, atMillis = 1_500, first, second)
        assertEquals(1_000, lease.ownedSinceMillisOrNull(first, 1_600))
        assertEquals(1_500, lease.ownedSinceMillisOrNull(second, 1_600))
    }

    @Test
    fun `a partition granted again after the lease expired counts as new, since another VM may have owned it`() {
        grant(1, atMillis = 1_000, first)
        grant(3, atMillis = 9_000, first)
        assertEquals(9_000, lease.ownedSinceMillisOrNull(first, 9_001))
    }

    @Test
    fun `an expired lease continues if the generation of the group is unchanged`() {
        grant(1, atMillis = 1_000, first)
        grant(1, atMillis = 9_000, first)
        assertEquals(1_000, lease.ownedSinceMillisOrNull(first, 9_001))
    }

    @Test
    fun `a dropped lease owns nothing, and later grants count as new`() {
        grant(1, atMillis = 1_000, first)
        lease.drop()
        assertNull(lease.ownedSinceMillisOrNull(first, 1_001))
        grant(1, atMillis = 1_200, first)
        assertEquals(1_200, lease.ownedSinceMillisOrNull(first, 1_201))
    }
}
