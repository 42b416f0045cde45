package org.banyanturn.core.state

import kotlinx.collections.immutable.PersistentMap
import kotlinx.serialization.Serializable
import org.banyanturn.core.Incarnation
import org.banyanturn.core.MemberId
import org.banyanturn.core.stableHash

/** The number of partitions into which the members' rates are divided; each partition has one home. */
public const val RATE_PARTITIONS: Int = 64

/**
 * Represents the home of one partition of the members' rates: the router that grants shares of them.
 *
 * @property incarnation the incarnation of the router.
 * @property version offset of the record that assigned the home; a later home has a higher version.
 * @property hasPredecessor whether the partition had a home before, whose shares may still be in use.
 */
@Serializable
public data class RateHome(val incarnation: Incarnation, val version: Long, val hasPredecessor: Boolean)

/** Returns the partition of [memberId]'s rate, from 0 (inclusive) to [RATE_PARTITIONS] (exclusive). */
public fun ratePartitionOf(memberId: MemberId): Int =
    Math.floorMod(stableHash(memberId.value), RATE_PARTITIONS.toLong()).toInt()

/** Returns the home of [memberId]'s rate, or `null` if no router has joined yet. */
public fun FleetState.rateHomeOrNull(memberId: MemberId): RateHome? = rateHomes[ratePartitionOf(memberId)]

/**
 * Returns the partitions that [incarnation] should release to balance the homes over the routers.
 *
 * These are the partitions that rendezvous hashing assigns to another router. The list is empty while [incarnation] is
 * the home of at most twice an equal share of the partitions.
 */
public fun FleetState.ratePartitionsToRelease(incarnation: Incarnation): List<Int> {
    val candidates = rateHomeCandidates()
    val heldPartitions = rateHomes.filterValues { it.incarnation == incarnation }.keys
    if (candidates.isEmpty() || heldPartitions.size * candidates.size <= 2 * RATE_PARTITIONS) return emptyList()
    return heldPartitions.filter { candidates.preferredRateHome(it) != incarnation }.sorted()
}

/** Returns the state in which every partition without an active home is assigned to an active router. */
internal fun FleetState.assignRateHomes(offset: Long): FleetState =
    reassignRateHomes((0 until RATE_PARTITIONS).filter { !hasLiveRateHome(it) }, offset)

/** Returns the state in which [partitions] are assigned to the routers that rendezvous hashing selects. */
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

/** Returns the routers on VMs that are not draining, or all active routers if every VM is draining. */
private fun FleetState.rateHomeCandidates(): List<Incarnation> {
    val activeRouters = routers.values.filter { !it.hasLeft }
    val notDraining = activeRouters.filter { vms[it.incarnation.vmId]?.isDraining != true }
    return notDraining.ifEmpty { activeRouters }.map { it.incarnation }.sortedBy { it.vmId.value }
}

/** Returns the incarnation that rendezvous hashing selects as the home of [partition]. */
internal fun List<Incarnation>.preferredRateHome(partition: Int): Incarnation =
    maxBy { stableHash("$partition/${it.vmId.value}") }
