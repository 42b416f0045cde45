package org.banyanturn.entry.follow

import com.github.michaelbull.result.getOrElse
import kotlinx.coroutines.delay
import org.banyanturn.core.Incarnation
import org.banyanturn.core.VmId
import org.banyanturn.core.ZoneId
import org.banyanturn.core.isIdentifier
import org.banyanturn.core.relay.fencingNumber
import org.banyanturn.core.stableHash
import org.banyanturn.daemon.ProcessClock
import org.banyanturn.daemon.logs.Event
import org.banyanturn.daemon.logs.field
import org.banyanturn.entry.observe.DecisionLog
import org.banyanturn.platform.OwnershipGrant
import org.banyanturn.platform.OwnershipGroup
import org.banyanturn.platform.Partition
import org.banyanturn.platform.StoreError

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

/** Least time for which the generation may stay at a number of before a rollback, and how much longer VMs wait. */
private const val MIN_WITHHELD_MILLIS = 3_000L
private const val WITHHELD_SPREAD_MILLIS = 5_000L

/**
 * Tracks which VM owns which engines and members, by the partitions of the platform's ownership group.
 *
 * This VM's lease is valid until the time to live has passed since it sent its last successful join request. It ends at
 * once when a response of the store shows a higher epoch than the one of that join; [storeEpoch] returns the highest.
 */
internal class Ownership(
    private val group: OwnershipGroup,
    private val self: Peer,
    private val settings: OwnershipSettings,
    private val outages: StoreOutageTracker,
    private val clock: ProcessClock,
    private val log: DecisionLog,
    private val storeEpoch: () -> Long = { 0 },
) {
    private var owners: Map<Partition, Peer> = emptyMap()
    private val lease = OwnershipLease(settings.ttlMillis)
    private var ownersAsOf: Long? = null
    private var isLeaving = false
    private var isJoinRejected = false
    private var withheldSinceMillis: Long? = null

    /** Called after a join that returned a new generation, and after the list of owners was read. */
    var onChange: () -> Unit = {}

    /** The number that orders carry, from the store's epoch and the group's generation as of the last join. */
    val fencingNumber: Long
        get() = lease.fencingNumber

    /** The VMs that own at least one partition. */
    val peers: Set<Peer>
        get() = owners.values.toSet()

    /** The number of known VMs, at least 1. */
    val vmCount: Int
        get() = peers.size.coerceAtLeast(1)

    /** Whether this VM's lease is valid, so that no other VM can own its partitions. */
    val isInGroup: Boolean
        get() = isOfCurrentEpoch && lease.isValid(clock.nowMillis())

    private val isOfCurrentEpoch: Boolean
        get() = lease.epoch == storeEpoch()

    /** Joins the group and renews the lease until cancelled or [leave] is called. */
    suspend fun run() {
        while (!isLeaving) {
            val isJoined = join()
            if (isJoined && ownersAsOf != fencingNumber) readOwners()
            if (isJoined) raiseGenerationIfWithheld()
            delay(if (isJoined) settings.joinIntervalMillis else JOIN_RETRY_MILLIS)
        }
    }

    private suspend fun join(): Boolean {
        val sentAtMillis = clock.nowMillis()
        // A store that was restored may not know this VM's last generation, so the VM joins like a new one.
        val lastGeneration = if (isOfCurrentEpoch && !isJoinRejected) lease.generation else 0
        val grant = group.join(settings.ttlMillis, lastGeneration).getOrElse {
            outages.onError(it)
            isJoinRejected = it !is StoreError.Unreachable
            return false
        }
        outages.onSuccess()
        isJoinRejected = false
        if (isLeaving) return false
        val previousNumber = fencingNumber
        if (lease.hasGoneBack(grant)) logRollback(grant)
        lease.onGrant(grant, sentAtMillis, clock.nowMillis())
        if (fencingNumber != previousNumber) {
            logChange(grant, previousNumber)
            onChange()
        }
        return true
    }

    private fun logChange(grant: OwnershipGrant, previousNumber: Long): Unit =
        log.write(
            Event.OWNERSHIP_CHANGED,
            field("generation", grant.generation),
            field("epoch", grant.epoch),
            field("before", previousNumber),
            field("partitions", grant.partitions.size),
        )

    private fun logRollback(grant: OwnershipGrant) {
        if (ownersAsOf == null) return
        log.write(
            Event.OWNERSHIP_ROLLED_BACK,
            field("epoch", grant.epoch),
            field("epochBefore", lease.epoch),
            field("generation", grant.generation),
            field("before", lease.generation),
        )
    }

    /**
     * Leaves the group for a moment if its generation went back without a new epoch and stays at numbers that may have
     * been used. Each leave and join raises the generation, so the first VM to do this helps the others, which wait for
     * different times.
     */
    private suspend fun raiseGenerationIfWithheld() {
        if (!lease.isWithheld) {
            withheldSinceMillis = null
            return
        }
        val nowMillis = clock.nowMillis()
        val sinceMillis = withheldSinceMillis ?: nowMillis.also { withheldSinceMillis = it }
        val spreadMillis = Math.floorMod(stableHash(self.toMemberName()), WITHHELD_SPREAD_MILLIS)
        if (nowMillis - sinceMillis < MIN_WITHHELD_MILLIS + spreadMillis) return
        withheldSinceMillis = null
        dropLease()
        group.leave().getOrElse { outages.onError(it) }
    }

    private suspend fun readOwners() {
        val list = group.owners().getOrElse { return outages.onError(it) }
        owners = list.ownerNames.mapNotNull { (partition, name) ->
            Peer.parseOrNull(name)?.let { partition to it }
        }.toMap()
        ownersAsOf = fencingNumber(list.epoch, list.generation)
        onChange()
    }

    /** Returns the partition of [key]. */
    fun partitionOf(key: String): Partition =
        group.partitions[Math.floorMod(stableHash(key), group.partitions.size.toLong()).toInt()]

    /** Returns the owner of [key], or `null` if none is known. */
    fun ownerOrNull(key: String): Peer? = owners[partitionOf(key)]

    /** Returns since when this VM owns [key], or `null` if it does not or its lease has expired. */
    fun ownedSinceMillisOrNull(key: String): Long? =
        if (isOfCurrentEpoch) lease.ownedSinceMillisOrNull(partitionOf(key), clock.nowMillis()) else null

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
