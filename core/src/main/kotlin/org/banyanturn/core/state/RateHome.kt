package org.banyanturn.core.state

import kotlinx.collections.immutable.PersistentMap
import kotlinx.serialization.Serializable
import org.banyanturn.core.Incarnation
import org.banyanturn.core.MemberId
import org.banyanturn.core.stableHash

/** How many partitions the members' rates are divided into; each has one home VM. */
public const val RATE_PARTITIONS: Int = 64

/**
 * The incarnation that hands out the shares of one partition of the members' rates.
 *
 * @property version offset of the record that made it the home; a later home has a higher version.
 * @property hasPredecessor whether another incarnation was the home before and may have shares outstanding.
 */
@Serializable
public data class RateHome(val incarnation: Incarnation, val version: Long, val hasPredecessor: Boolean)

/** Returns the partition of [memberId]'s rate: a number from 0 until [RATE_PARTITIONS]. */
public fun ratePartitionOf(memberId: MemberId): Int =
    Math.floorMod(stableHash(memberId.value), RATE_PARTITIONS.toLong()).toInt()

/** Returns the home of [memberId]'s rate, or `null` if no VM has joined. */
public fun FleetState.rateHomeOrNull(memberId: MemberId): RateHome? = rateHomes[ratePartitionOf(memberId)]

/**
 * Returns the partitions that [incarnation] may give up so that the homes spread over the VMs: those that rendezvous
 * hashing would place elsewhere, or none while it is the home of no more than twice an equal part.
 */
public fun FleetState.ratePartitionsToRelease(incarnation: Incarnation): List<Int> {
    val candidates = rateHomeCandidates()
    val heldPartitions = rateHomes.filterValues { it.incarnation == incarnation }.keys
    if (candidates.isEmpty() || heldPartitions.size * candidates.size <= 2 * RATE_PARTITIONS) return emptyList()
    return heldPartitions.filter { candidates.preferredRateHome(it) != incarnation }.sorted()
}

/** Returns the state in which every partition whose home has ended passes to a VM that is there. */
internal fun FleetState.assignRateHomes(offset: Long): FleetState =
    reassignRateHomes((0 until RATE_PARTITIONS).filter { !hasLiveRateHome(it) }, offset)

/** Returns the state in which [partitions] pass to the VMs that rendezvous hashing chooses. */
internal fun FleetState.reassignRateHomes(partitions: Collection<Int>, offset: Long): FleetState {
    val candidates = rateHomeCandidates()
    if (candidates.isEmpty()) return this
    return copy(
        rateHomes = partitions.fold(rateHomes) { homes, partition ->
            homes.withRateHome(partition, candidates, offset)
        },
    )
}

private fun PersistentMap<Int, RateHome>.withRateHome(
    partition: Int,
    candidates: List<Incarnation>,
    offset: Long,
): PersistentMap<Int, RateHome> =
    putting(partition, RateHome(candidates.preferredRateHome(partition), offset, hasPredecessor = partition in this))

private fun FleetState.hasLiveRateHome(partition: Int): Boolean {
    val home = rateHomes[partition] ?: return false
    val router = routers[home.incarnation.vmId] ?: return false
    return router.incarnation == home.incarnation && !router.hasLeft
}

private fun FleetState.rateHomeCandidates(): List<Incarnation> {
    val activeRouters = routers.values.filter { !it.hasLeft }
    val notDraining = activeRouters.filter { vms[it.incarnation.vmId]?.isDraining != true }
    return notDraining.ifEmpty { activeRouters }.map { it.incarnation }.sortedBy { it.vmId.value }
}

/** Returns the incarnation that rendezvous hashing prefers as the home of [partition]. */
internal fun List<Incarnation>.preferredRateHome(partition: Int): Incarnation =
    maxBy { stableHash("$partition/${it.vmId.value}") }
