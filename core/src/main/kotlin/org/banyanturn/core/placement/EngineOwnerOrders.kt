package org.banyanturn.core.placement

import kotlinx.collections.immutable.toPersistentMap
import org.banyanturn.core.state.ConfirmCopy
import org.banyanturn.core.state.CopyKey
import org.banyanturn.core.state.copyKey

internal fun EngineOwnerTransition.appendDueRecords() {
    state.pendingRecords.filterValues { it.nextAppendMillis <= nowMillis }.forEach { (recordId, pending) ->
        decisions += EngineOwnerDecision.Append(pending.entry)
        val next = pending.copy(nextAppendMillis = nowMillis + settings.appendRetryMillis)
        state = state.copy(pendingRecords = state.pendingRecords.putting(recordId, next))
    }
}

internal fun EngineOwnerTransition.sendDueOrders() {
    releaseAbsentCopies()
    if (!state.maySendOrders(nowMillis)) return
    state.waitDeadlineMillis.keys.filter(state::needsLoad).forEach(::sendLoad)
    state.toUnload.filter { state.ledger.mayUnload(it, nowMillis) }.forEach(::sendUnload)
    state.copiesWithStalledLoad(nowMillis).forEach(::sendUnload)
    state.copyToFenceOrNull(nowMillis)?.let(::sendFencingOrder)
}

/**
 * Releases the claims on copies that the engine does not hold.
 *
 * Claims are released only under a valid lease, so an owner in a zone that is cut off from the log keeps its claims.
 */
private fun EngineOwnerTransition.releaseAbsentCopies() {
    if (state.fencingNumberOrNull == null || nowMillis >= state.leaseUntilMillis) return
    state.ledger.reservations.values
        .filter { it.phase == ReservationPhase.ABSENT && it.copy !in state.waitDeadlineMillis }
        .forEach { enqueueFenced(it.copy.release(settings.incarnation)) }
}

internal fun EngineOwnerTransition.unloadUnexpected() {
    state.ledger.unexpectedCopies
        .filterNot { it in state.openOrders.values }
        .forEach { copy ->
            decisions += EngineOwnerDecision.SendUnload(newOrderId(copy), copy, fencingNumber(), sendDeadlineMillis())
        }
}

private fun EngineOwnerTransition.sendFencingOrder(copy: CopyKey) {
    if (state.lastSnapshot?.contains(copy) == true) sendLoad(copy) else sendUnload(copy)
}

private fun EngineOwnerTransition.sendLoad(copy: CopyKey) {
    val orderId = newOrderId(copy)
    val memoryMebibytes = state.ledger.reservations.getValue(copy).memoryMebibytes
    state = state.copy(ledger = state.ledger.loadSent(copy, orderId, nowMillis))
    decisions += EngineOwnerDecision.SendLoad(orderId, copy, memoryMebibytes, fencingNumber(), sendDeadlineMillis())
}

private fun EngineOwnerTransition.sendUnload(copy: CopyKey) {
    val orderId = newOrderId(copy)
    val records = state.pendingRecords.filterValues { (it.entry.change as? ConfirmCopy)?.copyKey != copy }
    state = state.copy(
        ledger = state.ledger.unloadSent(copy, orderId, nowMillis),
        pendingRecords = records.toPersistentMap(),
    )
    decisions += EngineOwnerDecision.SendUnload(orderId, copy, fencingNumber(), sendDeadlineMillis())
}

private fun EngineOwnerTransition.newOrderId(copy: CopyKey): OrderId {
    val orderId = OrderId(state.lastOrderNumber + 1)
    state = state.copy(lastOrderNumber = orderId.value, openOrders = state.openOrders.putting(orderId, copy))
    return orderId
}

private fun EngineOwnerTransition.fencingNumber(): Long =
    checkNotNull(state.fencingNumberOrNull) { "only the owner sends orders" }

/**
 * Returns the time after which an order decided now must not be sent any more.
 *
 * The ledger relies on a bounded arrival time of orders, even if the sending process is suspended.
 */
private fun EngineOwnerTransition.sendDeadlineMillis(): Long {
    val sendByMillis = nowMillis + ORDER_SEND_WINDOW_MILLIS
    return if (settings.checksFencing) sendByMillis else minOf(sendByMillis, state.leaseUntilMillis)
}
