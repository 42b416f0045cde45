package org.banyanturn.entry.follow

import org.banyanturn.core.relay.fencingNumber
import org.banyanturn.platform.OwnershipGrant
import org.banyanturn.platform.Partition

/** Lower than any fencing number. */
private const val NO_NUMBER = -1L

/**
 * Represents the partitions that the group has granted to this VM, and until when the grant is valid.
 *
 * A partition counts as owned since the first of the uninterrupted grants that include it. After the lease has expired,
 * another VM may have owned the partition and sent orders until just now, unless the group's generation is unchanged.
 *
 * A store that was restored from an older copy may not know the previous owner, and grants its partitions to others
 * while its lease is still valid. Such a lease ends within [ttlMillis], since the restored store has not renewed it.
 * Partitions that are granted within that time therefore count as owned from its end on.
 */
internal class OwnershipLease(private val ttlMillis: Long) {
    private var ownedSinceMillis: Map<Partition, Long> = emptyMap()
    private var expiresAtMillis = Long.MIN_VALUE
    private var previousOwnersUntilMillis = Long.MIN_VALUE
    private var highestNumber = NO_NUMBER
    private var withheldUpTo = NO_NUMBER

    /** The group's generation as of the last grant. */
    var generation = 0L
        private set

    /** The store's epoch as of the last grant. */
    var epoch = 0L
        private set

    /** The number that orders under the last grant carry; it never decreases while this VM owns anything. */
    val fencingNumber: Long
        get() = fencingNumber(epoch, generation)

    /** Whether the last grant's number is not above one that was granted before the group's generation went back. */
    val isWithheld: Boolean
        get() = fencingNumber <= withheldUpTo

    /** Returns whether the lease is valid at [nowMillis], so that no other VM can own its partitions. */
    fun isValid(nowMillis: Long): Boolean = nowMillis < expiresAtMillis

    /**
     * Returns since when this VM owns [partition], or `null` if it does not or the lease has expired.
     *
     * The time is in the future while the lease of an owner from before a rollback may be valid.
     */
    fun ownedSinceMillisOrNull(partition: Partition, nowMillis: Long): Long? =
        if (isValid(nowMillis) && !isWithheld) ownedSinceMillis[partition] else null

    /** Applies the [grant] with which the group responded to a join request that was sent at [sentAtMillis]. */
    fun onGrant(grant: OwnershipGrant, sentAtMillis: Long, nowMillis: Long) {
        if (grant.epoch < epoch) return
        val isChanged = grant.generation != generation || grant.epoch != epoch
        val hasGoneBack = hasGoneBack(grant)
        if (hasGoneBack) onRollback(nowMillis)
        val mayHaveBeenReassigned = hasGoneBack || (!isValid(nowMillis) && isChanged)
        val previous = if (mayHaveBeenReassigned) emptyMap() else ownedSinceMillis
        val sinceMillis = maxOf(nowMillis, previousOwnersUntilMillis)
        ownedSinceMillis = grant.partitions.associateWith { previous[it] ?: sinceMillis }
        epoch = grant.epoch
        generation = grant.generation
        highestNumber = maxOf(highestNumber, fencingNumber)
        expiresAtMillis = sentAtMillis + ttlMillis
    }

    /** Returns whether the store was restored from an older copy since the last grant, as [grant] shows. */
    fun hasGoneBack(grant: OwnershipGrant): Boolean =
        grant.epoch > epoch || (grant.epoch == epoch && grant.generation < generation)

    private fun onRollback(nowMillis: Long) {
        withheldUpTo = highestNumber
        previousOwnersUntilMillis = nowMillis + ttlMillis
    }

    /** Drops the lease and all its partitions. */
    fun drop() {
        expiresAtMillis = Long.MIN_VALUE
        ownedSinceMillis = emptyMap()
    }
}
