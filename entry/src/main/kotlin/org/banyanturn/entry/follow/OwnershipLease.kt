package org.banyanturn.entry.follow

import org.banyanturn.platform.OwnershipGrant
import org.banyanturn.platform.Partition

/**
 * What this VM owns by the group's word, and until when that word holds.
 *
 * A partition is owned since the word that gave it to this VM without a break. After a lapse another VM may have owned
 * it, and ordered, until a moment ago, unless the group has not changed at all meanwhile.
 */
internal class OwnershipLease(private val ttlMillis: Long) {
    private var ownedSinceMillis: Map<Partition, Long> = emptyMap()
    private var untilMillis = Long.MIN_VALUE

    /** The generation of the group as of the last word; it serves as the fencing number. */
    var generation = 0L
        private set

    /** Returns whether nobody else can have taken over at [nowMillis] what this VM owns. */
    fun isValid(nowMillis: Long): Boolean = nowMillis < untilMillis

    /** Returns since when this VM owns [partition], or `null` if it does not, or if the lease has lapsed. */
    fun ownedSinceMillisOrNull(partition: Partition, nowMillis: Long): Long? =
        if (isValid(nowMillis)) ownedSinceMillis[partition] else null

    /** Takes in the group's answer to a word that was sent at [sentAtMillis]. */
    fun onGrant(grant: OwnershipGrant, sentAtMillis: Long, nowMillis: Long) {
        val mayHaveChangedHands = !isValid(nowMillis) && grant.generation != generation
        val before = if (mayHaveChangedHands) emptyMap() else ownedSinceMillis
        ownedSinceMillis = grant.partitions.associateWith { before[it] ?: nowMillis }
        generation = grant.generation
        untilMillis = sentAtMillis + ttlMillis
    }

    /** Forgets all that is owned. */
    fun drop() {
        untilMillis = Long.MIN_VALUE
        ownedSinceMillis = emptyMap()
    }
}
