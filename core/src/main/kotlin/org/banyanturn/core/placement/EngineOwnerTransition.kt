package org.banyanturn.core.placement

import com.github.michaelbull.result.mapBoth
import kotlinx.collections.immutable.persistentMapOf
import kotlinx.collections.immutable.persistentSetOf
import kotlinx.collections.immutable.toPersistentMap
import org.banyanturn.core.state.Change
import org.banyanturn.core.state.ClaimCopy
import org.banyanturn.core.state.ConfirmCopy
import org.banyanturn.core.state.CopyKey
import org.banyanturn.core.state.FleetState
import org.banyanturn.core.state.LogEntry
import org.banyanturn.core.state.NO_VERSION
import org.banyanturn.core.state.OwnEngine
import org.banyanturn.core.state.RejectionReason
import org.banyanturn.core.state.ReleaseCopy
import org.banyanturn.core.state.Verdict
import org.banyanturn.core.state.claimedCopiesOn
import org.banyanturn.core.state.copyKey

/** Computes one transition of an [EngineOwnerState]; the handlers replace [state] and add to [decisions]. */
internal class EngineOwnerTransition(var state: EngineOwnerState, val nowMillis: Long) {
    val settings = state.settings
    val decisions = mutableListOf<EngineOwnerDecision>()

    fun apply(event: EngineOwnerEvent) {
        when (event) {
            is EngineOwnerEvent.OwnershipRequested -> requestOwnership()
            is EngineOwnerEvent.LogRead -> readLog(event)
            is EngineOwnerEvent.LoadRequested -> requestLoad(event)
            is EngineOwnerEvent.UnloadRequested -> requestUnload(event.copy)
            is EngineOwnerEvent.OrderAnswered -> handleOrderAnswer(event.orderId, event.outcome)
            is EngineOwnerEvent.SnapshotReceived -> receiveSnapshot(event.snapshot)
            is EngineOwnerEvent.HandoverRequested -> startHandover()
            is EngineOwnerEvent.Tick -> refuseExpired()
        }
    }

    private fun requestOwnership() {
        val isPending = state.pendingRecords.values.any { it.entry.change is OwnEngine }
        if (state.fencingNumberOrNull != null || isPending || state.isHandingOver) return
        enqueue(OwnEngine(settings.targetId, settings.incarnation), state.lastSeenFencingNumber ?: NO_VERSION)
    }

    private fun readLog(event: EngineOwnerEvent.LogRead) {
        if (event.state.nextOffset < state.lastSeenOffset) return
        val owner = event.state.owners[settings.targetId]
        state = state.copy(lastSeenFencingNumber = owner?.fencingNumber, lastSeenOffset = event.state.nextOffset)
        val ownFencingNumber = owner?.takeIf { it.incarnation == settings.incarnation }?.fencingNumber
        if (ownFencingNumber == null) {
            loseOwnership()
        } else if (ownFencingNumber != state.fencingNumberOrNull) {
            takeOwnership(event.state, ownFencingNumber)
        }
        settleRecords(event.state)
        if (ownFencingNumber != null && event.isAtHead) {
            val leaseEndMillis = event.requestSentMillis + settings.leaseMillis
            state = state.copy(leaseUntilMillis = maxOf(state.leaseUntilMillis, leaseEndMillis))
        }
    }

    private fun takeOwnership(fleetState: FleetState, fencingNumber: Long) {
        val isFirstOwner = state.pendingRecords.values.any {
            it.entry.expectedVersion == NO_VERSION &&
                fleetState.verdicts[it.entry.recordId] == Verdict.Accepted(fencingNumber)
        }
        val ordersStartMillis = when {
            settings.checksFencing || isFirstOwner -> nowMillis
            else -> nowMillis + settings.leaseMillis + settings.orderDelayMillis
        }
        val trustedFromMillis = if (settings.checksFencing && !isFirstOwner) Long.MAX_VALUE else ordersStartMillis
        val emptyLedger = memoryLedgerOf(settings.capacityMebibytes, settings.maxArrivalMillis)
            .trustSnapshotsFrom(trustedFromMillis)
        val inheritedCopies = fleetState.claimedCopiesOn(settings.targetId)
        state = state.copy(
            ledger = inheritedCopies.fold(emptyLedger) { ledger, copy ->
                ledger.inheritClaim(copy.key, copy.memoryMebibytes)
            },
            fencingNumberOrNull = fencingNumber,
            ordersFromMillis = ordersStartMillis,
            leaseUntilMillis = Long.MIN_VALUE,
            isFenced = isFirstOwner,
            openOrders = persistentMapOf(),
            pendingRecords = persistentMapOf(),
            toUnload = persistentSetOf(),
            lastSnapshot = null,
        )
    }

    private fun loseOwnership() {
        if (state.fencingNumberOrNull == null) return
        state.waitDeadlineMillis.keys.forEach { refuse(it, LoadRefusalReason.NOT_OWNER, settings.appendRetryMillis) }
        state = EngineOwnerState(
            settings = settings,
            ledger = memoryLedgerOf(settings.capacityMebibytes, settings.maxArrivalMillis),
            isHandingOver = state.isHandingOver,
            lastOrderNumber = state.lastOrderNumber,
            lastRecordNumber = state.lastRecordNumber,
            lastSeenFencingNumber = state.lastSeenFencingNumber,
            lastSeenOffset = state.lastSeenOffset,
        )
    }

    private fun settleRecords(fleetState: FleetState) {
        state.pendingRecords.forEach { (recordId, pending) ->
            val verdict = fleetState.verdicts[recordId]
            when (val change = pending.entry.change) {
                is ClaimCopy -> settleClaim(recordId, change.copyKey, verdict, fleetState)
                is ReleaseCopy -> if (change.copyKey !in fleetState.copies) endClaim(recordId, change.copyKey)
                else -> if (verdict != null) removePendingRecord(recordId)
            }
        }
    }

    private fun settleClaim(recordId: String, copy: CopyKey, verdict: Verdict?, fleetState: FleetState) {
        if (copy in fleetState.copies) {
            removePendingRecord(recordId)
            state = state.copy(ledger = state.ledger.claimAccepted(copy))
        } else if (verdict is Verdict.Rejected) {
            endClaim(recordId, copy)
            refuse(copy, verdict.reason.toRefusalReason(), settings.leaseMillis)
        }
    }

    private fun endClaim(recordId: String, copy: CopyKey) {
        removePendingRecord(recordId)
        state = state.copy(
            ledger = state.ledger.free(copy, nowMillis),
            toUnload = state.toUnload.removing(copy),
        )
    }

    private fun removePendingRecord(recordId: String) {
        state = state.copy(pendingRecords = state.pendingRecords.removing(recordId))
    }

    private fun requestLoad(event: EngineOwnerEvent.LoadRequested) {
        val phase = state.ledger.reservations[event.copy]?.phase
        if (phase != ReservationPhase.UNLOADING) state = state.copy(toUnload = state.toUnload.removing(event.copy))
        when {
            state.fencingNumberOrNull == null ->
                refuse(event.copy, LoadRefusalReason.NOT_OWNER, settings.appendRetryMillis)

            phase == ReservationPhase.LOADED -> markReady(event.copy)

            state.isHandingOver -> refuse(event.copy, LoadRefusalReason.HANDING_OVER, settings.leaseMillis)

            state.ordersFromMillis > event.deadlineMillis ->
                refuse(event.copy, LoadRefusalReason.DEADLINE_UNREACHABLE, state.ordersFromMillis - nowMillis)

            state.ordersFromMillis <= nowMillis && !state.maySendOrders(nowMillis) ->
                refuse(event.copy, LoadRefusalReason.LEASE_LAPSED, settings.leaseMillis)

            state.isBeingRemoved(event.copy) ->
                refuse(event.copy, LoadRefusalReason.UNLOADING, settings.appendRetryMillis)

            phase == null && nowMillis >= state.leaseUntilMillis ->
                refuse(event.copy, LoadRefusalReason.LOG_UNREACHABLE, settings.leaseMillis)

            phase == null -> claim(event)

            else -> awaitCopy(event)
        }
    }

    private fun claim(event: EngineOwnerEvent.LoadRequested) {
        state.ledger.reserve(event.copy, event.memoryMebibytes).mapBoth(
            success = { ledger ->
                state = state.copy(ledger = ledger)
                awaitCopy(event)
                enqueueFenced(event.copy.claim(settings.incarnation))
            },
            failure = { refuse(event.copy, LoadRefusalReason.NO_MEMORY_LEFT, settings.leaseMillis) },
        )
    }

    private fun awaitCopy(event: EngineOwnerEvent.LoadRequested) {
        val deadlineMillis = maxOf(event.deadlineMillis, state.waitDeadlineMillis[event.copy] ?: Long.MIN_VALUE)
        state = state.copy(waitDeadlineMillis = state.waitDeadlineMillis.putting(event.copy, deadlineMillis))
    }

    private fun requestUnload(copy: CopyKey) {
        if (copy !in state.ledger.reservations) return
        state = state.copy(toUnload = state.toUnload.adding(copy))
        refuseWaiting(copy, LoadRefusalReason.UNLOADING, settings.appendRetryMillis)
        decisions += EngineOwnerDecision.CopyUnavailable(copy)
    }

    private fun handleOrderAnswer(orderId: OrderId, outcome: OrderOutcome) {
        val copy = state.openOrders[orderId] ?: return
        state = state.copy(openOrders = state.openOrders.removing(orderId))
        if (outcome == OrderOutcome.FENCED_OFF) {
            loseOwnership()
            return
        }
        if (outcome == OrderOutcome.CONFIRMED || outcome == OrderOutcome.REFUSED) markFenced()
        updateLedger(state.ledger.orderAnswered(copy, orderId, outcome, nowMillis))
        if (outcome == OrderOutcome.UNCONFIRMED) {
            refuseWaiting(copy, LoadRefusalReason.LOAD_UNCONFIRMED, settings.orderDelayMillis)
        }
    }

    /** Notes that the engine has seen the current fencing number; from then on it rejects orders of former owners. */
    private fun markFenced() {
        if (state.isFenced || !settings.checksFencing) return
        state = state.copy(isFenced = true, ledger = state.ledger.trustSnapshotsFrom(nowMillis))
    }

    private fun receiveSnapshot(snapshot: EngineSnapshot) {
        if (state.fencingNumberOrNull == null) return
        if (snapshot.asOfMillis < (state.lastSnapshot?.asOfMillis ?: Long.MIN_VALUE)) return
        state = state.copy(lastSnapshot = snapshot)
        updateLedger(state.ledger.observe(snapshot))
        if (state.maySendOrders(nowMillis)) unloadUnexpected()
    }

    private fun updateLedger(ledger: MemoryLedger) {
        val before = state.ledger.reservations
        state = state.copy(ledger = ledger)
        ledger.reservations.values
            .filter { before[it.copy]?.phase != it.phase }
            .forEach(::onPhaseChanged)
    }

    private fun onPhaseChanged(reservation: Reservation) {
        val copy = reservation.copy
        when (reservation.phase) {
            ReservationPhase.LOADED -> if (copy !in state.toUnload) {
                markReady(copy)
                enqueueFenced(copy.confirm(settings.incarnation))
            }

            ReservationPhase.ABSENT -> {
                refuseWaiting(copy, LoadRefusalReason.LOAD_FAILED, settings.appendRetryMillis)
                decisions += EngineOwnerDecision.CopyUnavailable(copy)
            }

            else -> Unit
        }
    }

    private fun startHandover() {
        val remainingRecords = state.pendingRecords.filterValues {
            it.entry.change is ConfirmCopy || it.entry.change is ReleaseCopy
        }
        state = state.copy(isHandingOver = true, pendingRecords = remainingRecords.toPersistentMap())
        state.waitDeadlineMillis.keys
            .filter { state.ledger.reservations[it]?.phase != ReservationPhase.LOADING }
            .forEach { refuse(it, LoadRefusalReason.HANDING_OVER, settings.leaseMillis) }
    }

    private fun refuseExpired() {
        state.waitDeadlineMillis.filterValues { it <= nowMillis }.keys
            .forEach { refuse(it, LoadRefusalReason.DEADLINE_UNREACHABLE, settings.appendRetryMillis) }
    }

    private fun markReady(copy: CopyKey) {
        state = state.copy(waitDeadlineMillis = state.waitDeadlineMillis.removing(copy))
        decisions += EngineOwnerDecision.CopyReady(copy)
    }

    private fun refuse(copy: CopyKey, reason: LoadRefusalReason, retryAfterMillis: Long) {
        state = state.copy(waitDeadlineMillis = state.waitDeadlineMillis.removing(copy))
        decisions += EngineOwnerDecision.RefuseLoad(copy, reason, retryAfterMillis)
    }

    private fun refuseWaiting(copy: CopyKey, reason: LoadRefusalReason, retryAfterMillis: Long) {
        if (copy in state.waitDeadlineMillis) refuse(copy, reason, retryAfterMillis)
    }

    /** Queues a record that is valid only under the current ownership. */
    fun enqueueFenced(change: Change): Unit = enqueue(change, state.fencingNumberOrNull)

    private fun enqueue(change: Change, expectedVersion: Long?) {
        if (state.pendingRecords.values.any { it.entry.change == change }) return
        val number = state.lastRecordNumber + 1
        val recordId = "${settings.targetId}/${settings.incarnation.vmId}/${settings.incarnation.number}/$number"
        val entry = LogEntry(recordId, settings.incarnation.vmId.value, change, expectedVersion)
        state = state.copy(
            lastRecordNumber = number,
            pendingRecords = state.pendingRecords.putting(recordId, PendingRecord(entry, nowMillis)),
        )
    }
}
