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
    fun `the lease ends its time to live after the word was sent, not after it was answered`() {
        grant(1, atMillis = 1_000, first)
        assertTrue(lease.isValid(2_989))
        assertFalse(lease.isValid(2_990))
        assertNull(lease.ownedSinceMillisOrNull(first, 2_990))
    }

    @Test
    fun `a partition is owned since it was given, through renewals and changes of others`() {
        grant(1, atMillis = 1_000, first)
        grant(2, atMillis = 1_500, first, second)
        assertEquals(1_000, lease.ownedSinceMillisOrNull(first, 1_600))
        assertEquals(1_500, lease.ownedSinceMillisOrNull(second, 1_600))
    }

    @Test
    fun `a partition that comes back after a lapse counts as new, since another VM may have ordered until now`() {
        grant(1, atMillis = 1_000, first)
        grant(3, atMillis = 9_000, first)
        assertEquals(9_000, lease.ownedSinceMillisOrNull(first, 9_001))
    }

    @Test
    fun `a lapse in which the group did not change leaves everything as it was`() {
        grant(1, atMillis = 1_000, first)
        grant(1, atMillis = 9_000, first)
        assertEquals(1_000, lease.ownedSinceMillisOrNull(first, 9_001))
    }

    @Test
    fun `nothing is owned once the lease was dropped, and all counts as new after it`() {
        grant(1, atMillis = 1_000, first)
        lease.drop()
        assertNull(lease.ownedSinceMillisOrNull(first, 1_001))
        grant(1, atMillis = 1_200, first)
        assertEquals(1_200, lease.ownedSinceMillisOrNull(first, 1_201))
    }
}
