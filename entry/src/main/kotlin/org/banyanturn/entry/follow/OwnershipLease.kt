package org.banyanturn.entry.follow

import org.banyanturn.platform.OwnershipGrant
import org.banyanturn.platform.Partition

/**
 * Represents the partitions that the group has granted to this VM, and until when the grant is valid.
 *
 * A partition counts as owned since the first of the uninterrupted grants that include it. After the lease has expired,
 * another VM may have owned the partition and sent orders until just now, unless the group's generation is unchanged.
 */
internal class OwnershipLease(private val ttlMillis: Long) {
    private var ownedSinceMillis: Map<Partition, Long> = emptyMap()
    private var expiresAtMillis = Long.MIN_VALUE

    /** The group's generation as of the last grant; it serves as the fencing number. */
    var generation = 0L
        private set

    /** Returns whether the lease is valid at [nowMillis], so that no other VM can own its partitions. */
    fun isValid(nowMillis: Long): Boolean = nowMillis < expiresAtMillis

    /** Returns since when this VM owns [partition], or `null` if it does not or the lease has expired. */
    fun ownedSinceMillisOrNull(partition: Partition, nowMillis: Long): Long? =
        if (isValid(nowMillis)) ownedSinceMillis[partition] else null

    /** Applies the [grant] with which the group responded to a join request that was sent at [sentAtMillis]. */
    fun onGrant(grant: OwnershipGrant, sentAtMillis: Long, nowMillis: Long) {
        val mayHaveBeenReassigned = !isValid(nowMillis) && grant.generation != generation
        val previous = if (mayHaveBeenReassigned) emptyMap() else ownedSinceMillis
        ownedSinceMillis = grant.partitions.associateWith { previous[it] ?: nowMillis }
        generation = grant.generation
        expiresAtMillis = sentAtMillis + ttlMillis
    }

    /** Drops the lease and all its partitions. */
    fun drop() {
        expiresAtMillis = Long.MIN_VALUE
        ownedSinceMillis = emptyMap()
    }
}
