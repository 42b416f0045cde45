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

/** Another VM as the platform's group names it. */
internal data class Peer(val incarnation: Incarnation, val zoneId: ZoneId, val host: String) {
    /** Returns the name under which the VM joins the group. */
    fun toMemberName(): String = listOf(incarnation.vmId, incarnation.number, zoneId, host).joinToString("|")

    internal companion object {
        /** Returns the VM that joined as [name], or `null` if it is no VM of this system. */
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
 * Times of the group.
 *
 * @property ttlMillis how long the store keeps a VM in the group that says nothing.
 * @property joinMillis time between two words of this VM.
 */
internal data class OwnershipSettings(val ttlMillis: Long = 2_000, val joinMillis: Long = 500)

private const val RETRY_MILLIS = 150L

/**
 * Which VM owns which engines and members, by the platform's group.
 *
 * What this VM owns holds until its time to live has passed since its last successful word was sent.
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

    /** Called after the group has given this VM other partitions, or has named other owners. */
    var onChange: () -> Unit = {}

    /** The generation of the group as of the last word; it serves as the fencing number. */
    val generation: Long
        get() = lease.generation

    /** The VMs that own anything. */
    val peers: Set<Peer>
        get() = owners.values.toSet()

    /** How many VMs there are, as far as is known. */
    val vmCount: Int
        get() = peers.size.coerceAtLeast(1)

    /** Whether this VM's place in the group is valid, so that nobody else has taken over what it owns. */
    val isInGroup: Boolean
        get() = lease.isValid(clock.nowMillis())

    /** Stays in the group until cancelled. */
    suspend fun run() {
        while (!isLeaving) {
            val isJoined = join()
            if (isJoined && ownersGeneration != generation) readOwners()
            delay(if (isJoined) settings.joinMillis else RETRY_MILLIS)
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
        val isOther = grant.generation != generation
        lease.onGrant(grant, sentAtMillis, clock.nowMillis())
        if (isOther) onChange()
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

    /** Returns since when this VM owns [key], or `null` if it does not, or if its lease has lapsed. */
    fun ownedSinceMillisOrNull(key: String): Long? =
        lease.ownedSinceMillisOrNull(partitionOf(key), clock.nowMillis())

    /** Forgets the lease, since time may have passed that the clock does not count. */
    fun dropLease() {
        lease.drop()
    }

    /** Gives up everything that this VM owns. */
    suspend fun leave() {
        isLeaving = true
        dropLease()
        group.leave().getOrElse { outages.onError(it) }
    }

    /** Whether [peer] is this VM. */
    fun isSelf(peer: Peer): Boolean = peer.incarnation == self.incarnation
}
