package org.banyanturn.core.relay

import org.banyanturn.core.VmId
import org.banyanturn.core.membership.rendezvousOrder

/** The source from which a VM reads the platform's lists. */
public sealed interface ListSource {
    /** The platform's store. */
    public data object Store : ListSource

    /** The VM [vmId] of the same availability zone. */
    public data class Vm(val vmId: VmId) : ListSource
}

/**
 * Settings of [StoreReaderSelector].
 *
 * @property backoffMillis time for which a VM that failed to answer is not selected, in milliseconds; doubled with each
 * consecutive failure.
 * @property maxBackoffMillis upper bound of that time, in milliseconds.
 * @property maxSuspects number of VMs in backoff above which this VM reads the store itself instead of trying another.
 */
public data class StoreReaderSelectorSettings(
    val backoffMillis: Long = 2_000,
    val maxBackoffMillis: Long = 16_000,
    val maxSuspects: Int = 1,
)

/**
 * Selects the VM of an availability zone that reads the platform's store for the others. Not thread-safe.
 *
 * Load pattern: a hundred VMs that all poll the store for the same lists use most of its capacity for what other VMs of
 * their zones have just read. All VMs of a zone select the same reader by rendezvous hashing. A VM that gets no answer
 * or an outdated one tries the next VM in this order or reads the store itself at once. So a reader that dies, hangs or
 * is rejected by the store makes no list outdated for longer than the timeout of its answer.
 */
public class StoreReaderSelector(
    private val self: VmId,
    private val settings: StoreReaderSelectorSettings = StoreReaderSelectorSettings(),
) {
    private val suspects = HashMap<VmId, Suspect>()

    /** Returns the source to read from at [nowMillis], where [zoneVms] are the VMs of this VM's zone. */
    public fun sourceAt(zoneVms: Collection<VmId>, nowMillis: Long): ListSource {
        suspects.keys.retainAll(zoneVms.toSet())
        val hasTooManySuspects = suspects.values.count { nowMillis < it.untilMillis } > settings.maxSuspects
        if (hasTooManySuspects) return ListSource.Store
        val reader = rendezvousOrder(ORDER_KEY, zoneVms + self).first { !isInBackoff(it, nowMillis) }
        return if (reader == self) ListSource.Store else ListSource.Vm(reader)
    }

    private fun isInBackoff(vmId: VmId, nowMillis: Long): Boolean =
        vmId != self && suspects[vmId]?.let { nowMillis < it.untilMillis } == true

    /** Records that [vmId] gave no answer or an outdated one. */
    public fun onFailed(vmId: VmId, nowMillis: Long) {
        val failures = (suspects[vmId]?.failures ?: 0) + 1
        val doublings = (failures - 1).coerceAtMost(MAX_DOUBLINGS)
        val currentBackoffMillis = minOf(settings.backoffMillis shl doublings, settings.maxBackoffMillis)
        suspects[vmId] = Suspect(failures, nowMillis + currentBackoffMillis)
    }

    /** Records that [vmId] gave an up-to-date answer, which ends its backoff. */
    public fun onAnswered(vmId: VmId) {
        suspects -= vmId
    }

    private class Suspect(val failures: Int, val untilMillis: Long)

    private companion object {
        const val ORDER_KEY = "store reader"
        const val MAX_DOUBLINGS = 20
    }
}
