package org.banyanturn.placer

import com.github.michaelbull.result.mapBoth
import kotlinx.coroutines.delay
import org.banyanturn.core.Incarnation
import org.banyanturn.core.VmId
import org.banyanturn.core.membership.rendezvousOwnerOrNull
import org.banyanturn.core.state.Change
import org.banyanturn.core.state.FleetState
import org.banyanturn.core.state.LeaveRouter
import org.banyanturn.core.state.LeaveVm
import org.banyanturn.daemon.ProcessClock
import org.banyanturn.daemon.state.StateWriter
import org.banyanturn.placer.engines.takesWork
import org.banyanturn.platform.VmDirectory
import org.banyanturn.platform.VmEntry
import org.banyanturn.platform.VmStatus

private const val POLL_MILLIS = 1_000L
private const val WATCHER_KEY = "vm-list-watcher"

/**
 * Records the end of VMs that the platform's list names as gone, so that their engines and rate homes pass on.
 *
 * The list lags: an incarnation counts as ended only after the list has named its VM as gone for [confirmMillis]
 * without a break. Rendezvous hashing chooses the one VM that writes.
 */
internal class VmListWatcher(
    private val ownVmId: VmId,
    private val directory: VmDirectory,
    private val states: () -> FleetState,
    private val writer: StateWriter,
    private val clock: ProcessClock,
    private val confirmMillis: Long,
) {
    private var goneSinceMillis: Map<Incarnation, Long> = emptyMap()

    /** Watches the list until the caller is cancelled. */
    suspend fun run() {
        while (true) {
            delay(POLL_MILLIS)
            directory.list().mapBoth(success = { check(it) }, failure = { goneSinceMillis = emptyMap() })
        }
    }

    private suspend fun check(entries: List<VmEntry>) {
        val state = states()
        val goneVms = entries.filter { it.status == VmStatus.GONE }.map(VmEntry::vmId).toSet()
        val ends = goneVms.flatMap { state.endsOf(it) }
        val nowMillis = clock.nowMillis()
        goneSinceMillis = ends.associate { it.incarnation to (goneSinceMillis[it.incarnation] ?: nowMillis) }
        val candidates = state.vms.filterValues { it.takesWork() }.keys - goneVms
        if (rendezvousOwnerOrNull(WATCHER_KEY, candidates) != ownVmId) return
        ends.filter { nowMillis - goneSinceMillis.getValue(it.incarnation) >= confirmMillis }
            .forEach { writer.write(it.change) }
    }
}

/** The end of an incarnation and the record that says so. */
private data class IncarnationEnd(val incarnation: Incarnation, val change: Change)

private fun FleetState.endsOf(vmId: VmId): List<IncarnationEnd> {
    val vm = vms[vmId]?.takeUnless { it.hasLeft }
    val router = routers[vmId]?.takeUnless { it.hasLeft }
    return listOfNotNull(
        vm?.let { IncarnationEnd(it.incarnation, LeaveVm(it.incarnation)) },
        router?.let { IncarnationEnd(it.incarnation, LeaveRouter(it.incarnation)) },
    )
}
