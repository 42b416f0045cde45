package org.banyanturn.core.placement

import org.banyanturn.core.Incarnation
import org.banyanturn.core.state.ClaimCopy
import org.banyanturn.core.state.ConfirmCopy
import org.banyanturn.core.state.CopyKey
import org.banyanturn.core.state.RejectionReason
import org.banyanturn.core.state.ReleaseCopy
import org.banyanturn.core.state.copyKey

/** Returns whether [copy] is being unloaded, or its claim is being released. */
internal fun EngineOwnerState.isBeingRemoved(copy: CopyKey): Boolean =
    copy in toUnload ||
        ledger.reservations[copy]?.phase == ReservationPhase.UNLOADING ||
        pendingRecords.values.any { (it.entry.change as? ReleaseCopy)?.copyKey == copy }

/**
 * Returns whether a load order must be sent for the requests that wait for [copy].
 *
 * This includes a copy inherited from a former owner: if it is loaded already, the engine confirms the order at once.
 */
internal fun EngineOwnerState.needsLoad(copy: CopyKey): Boolean {
    val reservation = ledger.reservations[copy] ?: return false
    val isInherited = reservation.phase == ReservationPhase.UNKNOWN && reservation.lastOrderId == null
    return (reservation.phase == ReservationPhase.ABSENT || isInherited) && !isBeingRemoved(copy)
}

/** Returns the copies whose load has no confirmed outcome although the engine reports them as still loading. */
internal fun EngineOwnerState.copiesWithStalledLoad(nowMillis: Long): List<CopyKey> {
    val snapshot = lastSnapshot ?: return emptyList()
    return ledger.reservations.values
        .filter { it.phase == ReservationPhase.UNKNOWN && it.lastOrderId != null }
        .filter { snapshot.asOfMillis >= it.trustedFromMillis && snapshot.asOfMillis >= ledger.trustedFromMillis }
        .map(Reservation::copy)
        .filter { it in snapshot.loading && ledger.mayUnload(it, nowMillis) }
}

/** Returns a copy to send an order for so that the engine sees the new fencing number, or `null` if none is needed. */
internal fun EngineOwnerState.copyToFenceOrNull(nowMillis: Long): CopyKey? {
    if (!settings.checksFencing || isFenced) return null
    if (lastSnapshot == null || openOrders.isNotEmpty()) return null
    return ledger.reservations.values
        .firstOrNull { it.phase == ReservationPhase.UNKNOWN && ledger.mayUnload(it.copy, nowMillis) }
        ?.copy
}

internal fun CopyKey.claim(incarnation: Incarnation): ClaimCopy =
    ClaimCopy(targetId, modelId, adapterId, modelVersion, incarnation)

internal fun CopyKey.confirm(incarnation: Incarnation): ConfirmCopy =
    ConfirmCopy(targetId, modelId, adapterId, modelVersion, incarnation)

internal fun CopyKey.release(incarnation: Incarnation): ReleaseCopy =
    ReleaseCopy(targetId, modelId, adapterId, modelVersion, incarnation)

internal fun RejectionReason.toRefusalReason(): LoadRefusalReason =
    when (this) {
        RejectionReason.NO_COPY_LEFT -> LoadRefusalReason.NO_COPY_LEFT
        RejectionReason.NO_MEMORY_LEFT -> LoadRefusalReason.NO_MEMORY_LEFT
        RejectionReason.NOT_OWNER, RejectionReason.STALE_INCARNATION -> LoadRefusalReason.NOT_OWNER
        else -> LoadRefusalReason.CLAIM_REJECTED
    }
