package org.banyanturn.core.relay

import org.banyanturn.core.VmId
import org.banyanturn.core.membership.rendezvousOrder

/** Where a VM gets the platform's lists from. */
public sealed interface ListSource {
    /** From the platform's store. */
    public data object Store : ListSource

    /** From the VM [vmId] of the same availability zone. */
    public data class Vm(val vmId: VmId) : ListSource
}

/**
 * Times of following another VM.
 *
 * @property backoffMillis how long a VM that failed to answer is not asked again; doubled with each failure in a row.
 * @property maxBackoffMillis the longest such time.
 * @property maxSuspects VMs that may fail before this VM reads the store itself instead of asking the next one.
 */
public data class StoreReaderSelectorSettings(
    val backoffMillis: Long = 2_000,
    val maxBackoffMillis: Long = 16_000,
    val maxSuspects: Int = 1,
)

/**
 * Chooses which VM of an availability zone reads the platform's store for the others; not safe for several threads.
 *
 * Load pattern: a hundred VMs that all poll the store for the same lists spend most of its calls on what their
 * neighbours have just read. Every VM of a zone names the same reader by rendezvous hashing. One that gets no answer
 * from it, or only an old one, reads the store itself at once, so a reader that dies, freezes or is turned away by the
 * store makes no list stale for longer than its answer may take.
 */
public class StoreReaderSelector(
    private val self: VmId,
    private val settings: StoreReaderSelectorSettings = StoreReaderSelectorSettings(),
) {
    private val suspects = HashMap<VmId, Suspect>()

    /** Returns where to read at [nowMillis], where [zoneVms] are the VMs of this VM's zone. */
    public fun sourceAt(zoneVms: Collection<VmId>, nowMillis: Long): ListSource {
        suspects.keys.retainAll(zoneVms.toSet())
        val hasTooManySuspects = suspects.values.count { nowMillis < it.untilMillis } > settings.maxSuspects
        if (hasTooManySuspects) return ListSource.Store
        val reader = rendezvousOrder(ORDER_KEY, zoneVms + self).reader { !isInBackoff(it, nowMillis) }
        return if (reader == self) ListSource.Store else ListSource.Vm(reader)
    }

    private fun isInBackoff(vmId: VmId, nowMillis: Long): Boolean =
        vmId != self && suspects[vmId]?.let { nowMillis < it.untilMillis } == true

    /** Notes that [vmId] gave no answer, or an old one. */
    public fun onFailed(vmId: VmId, nowMillis: Long) {
        val failures = (suspects[vmId]?.failures ?: 0) + 1
        val doublings = (failures - 1).coerceAtMost(MAX_DOUBLINGS)
        val currentBackoffMillis = minOf(settings.backoffMillis shl doublings, settings.maxBackoffMillis)
        suspects[vmId] = Suspect(failures, nowMillis + currentBackoffMillis)
    }

    /** Notes that [vmId] gave an answer that is up to date. */
    public fun onAnswered(vmId: VmId) {
        suspects -= vmId
    }

    private class Suspect(val failures: Int, val untilMillis: Long)

    private companion object {
        const val ORDER_KEY = "store reader"
        const val MAX_DOUBLINGS = 20
    }
}
