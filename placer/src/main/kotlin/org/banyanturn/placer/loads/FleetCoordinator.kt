package org.banyanturn.placer.loads

import com.github.michaelbull.result.Err
import com.github.michaelbull.result.Result
import com.github.michaelbull.result.map
import org.banyanturn.core.TargetId
import org.banyanturn.core.VmId
import org.banyanturn.core.membership.rendezvousOrder
import org.banyanturn.core.state.FleetState
import org.banyanturn.core.state.Vm
import org.banyanturn.placer.LoadFailure
import org.banyanturn.placer.engines.takesWork
import org.banyanturn.placer.rpc.PeerAnswer
import org.banyanturn.placer.rpc.PlacementClient

private const val COORDINATOR_KEY = "load-coordinator"
private const val NO_OWNER_RETRY_MILLIS = 1_000L

/**
 * Returns a coordinator that passes requests on to the VM that orders the loads of the fleet.
 *
 * Rendezvous hashing names that VM; while it can't be reached, the next one takes its place, at last [local].
 */
internal fun fleetCoordinator(
    ownVmId: VmId,
    states: () -> FleetState,
    local: LoadCoordinator,
    peers: PlacementClient,
): LoadCoordinator = RendezvousCoordinator(ownVmId, states, local, peers)

private class RendezvousCoordinator(
    private val ownVmId: VmId,
    private val states: () -> FleetState,
    private val local: LoadCoordinator,
    private val peers: PlacementClient,
) : LoadCoordinator {
    override suspend fun ensureLoaded(request: CopyRequest): Result<TargetId, LoadFailure> {
        val vms = states().vms.filterValues(Vm::takesWork)
        for (vmId in rendezvousOrder(COORDINATOR_KEY, vms.keys)) {
            if (vmId == ownVmId) break
            val address = vms.getValue(vmId).placerPeerAddress
            val answer = peers.ensureLoaded(address, request, targetId = null)
            if (answer is PeerAnswer.Decided) return answer.result
        }
        return local.ensureLoaded(request)
    }
}

/** Returns a client that loads on this VM's engines through [owned] and on others through their owners. */
internal fun ownerClient(
    ownVmId: VmId,
    states: () -> FleetState,
    owned: OwnerLoads,
    peers: PlacementClient,
): OwnerClient = OwnerClient { targetId, request ->
    val state = states()
    val ownerId = state.owners[targetId]?.incarnation?.vmId
    val vm = ownerId?.let(state.vms::get)
    when {
        vm == null -> Err(LoadFailure("engine $targetId has no owner", NO_OWNER_RETRY_MILLIS))

        ownerId == ownVmId -> owned.ensureLoaded(targetId, request)

        else -> when (val answer = peers.ensureLoaded(vm.placerPeerAddress, request, targetId)) {
            is PeerAnswer.Decided -> answer.result.map { }
            is PeerAnswer.Unreachable -> Err(answer.failure)
        }
    }
}
