package org.banyanturn.core.state

import com.github.michaelbull.result.Ok
import org.banyanturn.core.Incarnation

internal fun FleetState.drainVm(change: DrainVm, offset: Long): FoldResult {
    val vm = vms[change.vmId] ?: return reject(RejectionReason.NOT_FOUND)
    return Ok(copy(vms = vms.putting(change.vmId, vm.copy(isDraining = true, version = offset))))
}

internal fun FleetState.joinVm(change: JoinVm, offset: Long): FoldResult {
    val vmId = change.incarnation.vmId
    val current = vms[vmId]
    if (current != null && current.incarnation.number >= change.incarnation.number) {
        return reject(RejectionReason.STALE_INCARNATION)
    }
    val vm = Vm(
        incarnation = change.incarnation,
        zoneId = change.zoneId,
        routerPeerAddress = change.routerPeerAddress,
        placerPeerAddress = change.placerPeerAddress,
        isDraining = false,
        hasLeft = false,
        version = offset,
    )
    return Ok(copy(vms = vms.putting(vmId, vm)))
}

internal fun FleetState.leaveVm(change: LeaveVm, offset: Long): FoldResult {
    val vm = vms[change.incarnation.vmId] ?: return reject(RejectionReason.NOT_FOUND)
    if (vm.incarnation != change.incarnation) return reject(RejectionReason.STALE_INCARNATION)
    val left = vm.copy(
        hasLeft = true,
        leftGracefully = vm.leftGracefully || (change.isGraceful && !vm.hasLeft),
        version = offset,
    )
    return Ok(copy(vms = vms.putting(change.incarnation.vmId, left)))
}

/** Returns whether [incarnation] is the latest incarnation of its VM and has not left. */
public fun FleetState.isCurrent(incarnation: Incarnation): Boolean {
    val vm = vms[incarnation.vmId] ?: return false
    return vm.incarnation == incarnation && !vm.hasLeft
}
