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

    private fun grantIn(epoch: Long, generation: Long, atMillis: Long) =
        lease.onGrant(OwnershipGrant(generation, setOf(first), epoch), sentAtMillis = atMillis - 10, atMillis)

    @Test
    fun `after a rollback a partition is owned only once the lease of an owner from before has ended`() {
        grantIn(epoch = 1, generation = 9, atMillis = 1_000)
        grantIn(epoch = 2, generation = 4, atMillis = 5_000)
        assertEquals(5_000 + TTL_MILLIS, lease.ownedSinceMillisOrNull(first, 5_001))
        grantIn(epoch = 2, generation = 5, atMillis = 5_500)
        assertEquals(5_000 + TTL_MILLIS, lease.ownedSinceMillisOrNull(first, 5_501), "renewed while it waits")
        assertEquals((2L shl 32) + 5, lease.fencingNumber)
    }

    @Test
    fun `a grant of an earlier epoch does not renew the lease`() {
        grantIn(epoch = 2, generation = 4, atMillis = 1_000)
        grantIn(epoch = 1, generation = 9, atMillis = 2_900)
        assertFalse(lease.isValid(2_990))
        assertEquals(4, lease.generation)
    }

    @Test
    fun `a generation that went back without an epoch owns nothing up to the highest number that was granted`() {
        grant(7, atMillis = 1_000, first)
        grant(5, atMillis = 1_500, first)
        assertNull(lease.ownedSinceMillisOrNull(first, 1_501))
        grant(7, atMillis = 2_000, first)
        assertNull(lease.ownedSinceMillisOrNull(first, 2_001), "another VM may have the number 7 now")
        grant(8, atMillis = 2_500, first)
        assertEquals(1_500 + TTL_MILLIS, lease.ownedSinceMillisOrNull(first, 2_501))
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
