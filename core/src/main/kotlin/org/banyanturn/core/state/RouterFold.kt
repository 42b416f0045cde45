package org.banyanturn.core.state

import com.github.michaelbull.result.Ok

internal fun FleetState.joinRouter(change: JoinRouter, offset: Long): FoldResult {
    val vmId = change.incarnation.vmId
    val current = routers[vmId]
    if (current != null && current.incarnation.number >= change.incarnation.number) {
        return reject(RejectionReason.STALE_INCARNATION)
    }
    val router = Router(change.incarnation, change.zoneId, change.peerAddress, hasLeft = false, offset)
    return Ok(copy(routers = routers.putting(vmId, router)).assignRateHomes(offset))
}

internal fun FleetState.leaveRouter(change: LeaveRouter, offset: Long): FoldResult {
    val vmId = change.incarnation.vmId
    val router = routers[vmId] ?: return reject(RejectionReason.NOT_FOUND)
    if (router.incarnation != change.incarnation) return reject(RejectionReason.STALE_INCARNATION)
    val left = router.copy(hasLeft = true, version = offset)
    return Ok(copy(routers = routers.putting(vmId, left)).assignRateHomes(offset))
}

internal fun FleetState.releaseRateHomes(change: ReleaseRateHomes, offset: Long): FoldResult {
    val holdsAllPartitions = change.partitions.all { rateHomes[it]?.incarnation == change.incarnation }
    if (!holdsAllPartitions) return reject(RejectionReason.NOT_OWNER)
    return Ok(reassignRateHomes(change.partitions, offset))
}
