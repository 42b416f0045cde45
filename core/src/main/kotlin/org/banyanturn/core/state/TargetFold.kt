package org.banyanturn.core.state

import com.github.michaelbull.result.Ok
import kotlinx.collections.immutable.toPersistentList
import org.banyanturn.core.Incarnation
import org.banyanturn.core.TargetId

internal fun FleetState.declareTarget(change: DeclareTarget, offset: Long): FoldResult {
    val isEngine = change.kind == TargetKind.ENGINE
    val hasClaims = change.targetId in claimsByTarget
    if (isEngine && change.memoryMebibytes <= 0) return reject(RejectionReason.INVALID_VALUE)
    if (!isEngine && hasClaims) return reject(RejectionReason.INVALID_VALUE)
    if (change.memoryMebibytes < reservedMebibytesOn(change.targetId)) return reject(RejectionReason.NO_MEMORY_LEFT)
    val target = Target(
        targetId = change.targetId,
        kind = change.kind,
        address = change.address,
        zoneId = change.zoneId,
        memoryMebibytes = change.memoryMebibytes,
        checksFencing = change.checksFencing,
        isDraining = targets[change.targetId]?.isDraining ?: false,
        version = offset,
    )
    return Ok(copy(targets = targets.putting(change.targetId, target)))
}

internal fun FleetState.setTargetDraining(targetId: TargetId, isDraining: Boolean, offset: Long): FoldResult {
    val target = targets[targetId] ?: return reject(RejectionReason.NOT_FOUND)
    return Ok(copy(targets = targets.putting(targetId, target.copy(isDraining = isDraining, version = offset))))
}

internal fun FleetState.declareRoute(change: DeclareRoute, offset: Long): FoldResult {
    if (change.targetIds.isEmpty()) return reject(RejectionReason.INVALID_VALUE)
    if (change.targetIds.any { targets[it]?.kind != TargetKind.SERVICE }) return reject(RejectionReason.NOT_FOUND)
    val route = Route(
        routeName = change.routeName,
        targetIds = change.targetIds.toPersistentList(),
        isOpen = change.isOpen,
        idempotentMethods = change.idempotentMethods.toPersistentList(),
        version = offset,
    )
    return Ok(copy(routes = routes.putting(change.routeName, route)))
}

internal fun FleetState.ownEngine(change: OwnEngine, expectedVersion: Long?, offset: Long): FoldResult {
    if (targets[change.targetId]?.kind != TargetKind.ENGINE) return reject(RejectionReason.NOT_FOUND)
    if (!isCurrent(change.incarnation)) return reject(RejectionReason.STALE_INCARNATION)
    if (expectedVersion == null) return reject(RejectionReason.VERSION_CONFLICT)
    val previous = owners[change.targetId]
    val owner = EngineOwner(
        targetId = change.targetId,
        incarnation = change.incarnation,
        fencingNumber = offset,
        mustWait = previous != null && mayHaveOrdersInFlight(previous, change.incarnation),
    )
    return Ok(copy(owners = owners.putting(change.targetId, owner)))
}

private fun FleetState.mayHaveOrdersInFlight(previous: EngineOwner, successor: Incarnation): Boolean =
    when {
        previous.incarnation == successor -> previous.mustWait

        else -> {
            val vm = vms[previous.incarnation.vmId]
            vm?.incarnation != previous.incarnation || !vm.leftGracefully
        }
    }

internal fun FleetState.isOwner(targetId: TargetId, incarnation: Incarnation): Boolean =
    owners[targetId]?.incarnation == incarnation
