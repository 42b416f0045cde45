package org.banyanturn.entry.follow

import com.github.michaelbull.result.getOrElse
import kotlinx.coroutines.delay
import org.banyanturn.core.Incarnation
import org.banyanturn.core.VmId
import org.banyanturn.core.ZoneId
import org.banyanturn.core.isIdentifier
import org.banyanturn.core.stableHash
import org.banyanturn.daemon.ProcessClock
import org.banyanturn.daemon.logs.Event
import org.banyanturn.daemon.logs.field
import org.banyanturn.entry.observe.DecisionLog
import org.banyanturn.platform.OwnershipGroup
import org.banyanturn.platform.Partition

/** Represents a VM as a member of the platform's ownership group. */
internal data class Peer(val incarnation: Incarnation, val zoneId: ZoneId, val host: String) {
    /** Returns the name under which the VM joins the group. */
    fun toMemberName(): String = listOf(incarnation.vmId, incarnation.number, zoneId, host).joinToString("|")

    internal companion object {
        /** Returns the VM that joined as [name], or `null` if the name is not one of this system. */
        fun parseOrNull(name: String): Peer? {
            val parts = name.split('|')
            if (parts.size != NAME_PARTS || !isIdentifier(parts[0]) || !isIdentifier(parts[2])) return null
            val number = parts[1].toLongOrNull() ?: return null
            return Peer(Incarnation(VmId(parts[0]), number), ZoneId(parts[2]), parts[3])
        }

        private const val NAME_PARTS = 4
    }
}

/**
 * Times of the ownership group.
 *
 * @property ttlMillis how long the store keeps a VM in the group after its last join request.
 * @property joinIntervalMillis interval between the join requests of this VM, which renew its lease.
 */
internal data class OwnershipSettings(val ttlMillis: Long = 2_000, val joinIntervalMillis: Long = 500)

/** Delay before a failed join is retried. */
private const val JOIN_RETRY_MILLIS = 150L

/**
 * Tracks which VM owns which engines and members, by the partitions of the platform's ownership group.
 *
 * This VM's lease is valid until the time to live has passed since it sent its last successful join request.
 */
internal class Ownership(
    private val group: OwnershipGroup,
    private val self: Peer,
    private val settings: OwnershipSettings,
    private val outages: StoreOutageTracker,
    private val clock: ProcessClock,
    private val log: DecisionLog,
) {
    private var owners: Map<Partition, Peer> = emptyMap()
    private val lease = OwnershipLease(settings.ttlMillis)
    private var ownersGeneration = -1L
    private var isLeaving = false

    /** Called after a join that returned a new generation, and after the list of owners was read. */
    var onChange: () -> Unit = {}

    /** The group's generation as of the last successful join; it serves as the fencing number. */
    val generation: Long
        get() = lease.generation

    /** The VMs that own at least one partition. */
    val peers: Set<Peer>
        get() = owners.values.toSet()

    /** The number of known VMs, at least 1. */
    val vmCount: Int
        get() = peers.size.coerceAtLeast(1)

    /** Whether this VM's lease is valid, so that no other VM can own its partitions. */
    val isInGroup: Boolean
        get() = lease.isValid(clock.nowMillis())

    /** Joins the group and renews the lease until cancelled or [leave] is called. */
    suspend fun run() {
        while (!isLeaving) {
            val isJoined = join()
            if (isJoined && ownersGeneration != generation) readOwners()
            delay(if (isJoined) settings.joinIntervalMillis else JOIN_RETRY_MILLIS)
        }
    }

    private suspend fun join(): Boolean {
        val sentAtMillis = clock.nowMillis()
        val grant = group.join(settings.ttlMillis, generation).getOrElse {
            outages.onError(it)
            return false
        }
        outages.onSuccess()
        if (isLeaving) return false
        if (grant.generation != generation) {
            log.write(
                Event.OWNERSHIP_CHANGED,
                field("generation", grant.generation),
                field("before", generation),
                field("partitions", grant.partitions.size),
            )
        }
        val isNewGeneration = grant.generation != generation
        lease.onGrant(grant, sentAtMillis, clock.nowMillis())
        if (isNewGeneration) onChange()
        return true
    }

    private suspend fun readOwners() {
        val list = group.owners().getOrElse { return outages.onError(it) }
        owners = list.ownerNames.mapNotNull { (partition, name) ->
            Peer.parseOrNull(name)?.let { partition to it }
        }.toMap()
        ownersGeneration = list.generation
        onChange()
    }

    /** Returns the partition of [key]. */
    fun partitionOf(key: String): Partition =
        group.partitions[Math.floorMod(stableHash(key), group.partitions.size.toLong()).toInt()]

    /** Returns the owner of [key], or `null` if none is known. */
    fun ownerOrNull(key: String): Peer? = owners[partitionOf(key)]

    /** Returns since when this VM owns [key], or `null` if it does not or its lease has expired. */
    fun ownedSinceMillisOrNull(key: String): Long? =
        lease.ownedSinceMillisOrNull(partitionOf(key), clock.nowMillis())

    /** Drops the lease, since more time may have passed than the clock counted. */
    fun dropLease() {
        lease.drop()
    }

    /** Leaves the group and gives up everything that this VM owns. */
    suspend fun leave() {
        isLeaving = true
        dropLease()
        group.leave().getOrElse { outages.onError(it) }
    }

    /** Returns whether [peer] is this VM. */
    fun isSelf(peer: Peer): Boolean = peer.incarnation == self.incarnation
}
