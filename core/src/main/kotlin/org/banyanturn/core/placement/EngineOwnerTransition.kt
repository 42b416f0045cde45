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

/** Works out one step of an [EngineOwnerState]: handlers replace [state] and add to [decisions]. */
internal class EngineOwnerTransition(var state: EngineOwnerState, val nowMillis: Long) {
    val settings = state.settings
    val decisions = mutableListOf<EngineOwnerDecision>()

    fun apply(event: EngineOwnerEvent) {
        when (event) {
            is EngineOwnerEvent.OwnershipRequested -> wantOwnership()
            is EngineOwnerEvent.LogRead -> readLog(event)
            is EngineOwnerEvent.LoadRequested -> wantLoad(event)
            is EngineOwnerEvent.UnloadRequested -> wantUnload(event.copy)
            is EngineOwnerEvent.OrderAnswered -> answerOrder(event.orderId, event.outcome)
            is EngineOwnerEvent.SnapshotReceived -> receiveSnapshot(event.snapshot)
            is EngineOwnerEvent.HandoverRequested -> handOver()
            is EngineOwnerEvent.Tick -> refuseExpired()
        }
    }

    private fun wantOwnership() {
        val isPending = state.pendingRecords.values.any { it.entry.change is OwnEngine }
        if (state.fencingNumberOrNull != null || isPending || state.isHandingOver) return
        enqueue(OwnEngine(settings.targetId, settings.incarnation), state.lastSeenFencingNumber ?: NO_VERSION)
    }

    private fun readLog(event: EngineOwnerEvent.LogRead) {
        if (event.state.nextOffset < state.lastSeenOffset) return
        val owner = event.state.owners[settings.targetId]
        state = state.copy(lastSeenFencingNumber = owner?.fencingNumber, lastSeenOffset = event.state.nextOffset)
        val ownNumber = owner?.takeIf { it.incarnation == settings.incarnation }?.fencingNumber
        if (ownNumber == null) {
            loseOwnership()
        } else if (ownNumber != state.fencingNumberOrNull) {
            takeOwnership(event.state, ownNumber)
        }
        settleRecords(event.state)
        if (ownNumber != null && event.isAtHead) {
            val untilMillis = event.requestSentMillis + settings.leaseMillis
            state = state.copy(leaseUntilMillis = maxOf(state.leaseUntilMillis, untilMillis))
        }
    }

    private fun takeOwnership(fleet: FleetState, fencingNumber: Long) {
        val isFirstOwner = state.pendingRecords.values.any {
            it.entry.expectedVersion == NO_VERSION &&
                fleet.verdicts[it.entry.recordId] == Verdict.Accepted(fencingNumber)
        }
        val fromMillis = when {
            settings.checksFencing || isFirstOwner -> nowMillis
            else -> nowMillis + settings.leaseMillis + settings.orderDelayMillis
        }
        val trustedFromMillis = if (settings.checksFencing && !isFirstOwner) Long.MAX_VALUE else fromMillis
        val empty = memoryLedgerOf(settings.capacityMebibytes, settings.arrivalMillis).trustFrom(trustedFromMillis)
        val inherited = fleet.claimedCopiesOn(settings.targetId)
        state = state.copy(
            ledger = inherited.fold(empty) { ledger, copy -> ledger.inherit(copy.key, copy.memoryMebibytes) },
            fencingNumberOrNull = fencingNumber,
            ordersFromMillis = fromMillis,
            leaseUntilMillis = Long.MIN_VALUE,
            isFenced = isFirstOwner,
            openOrders = persistentMapOf(),
            pendingRecords = persistentMapOf(),
            unwanted = persistentSetOf(),
            lastSnapshot = null,
        )
    }

    private fun loseOwnership() {
        if (state.fencingNumberOrNull == null) return
        state.waitUntilMillis.keys.forEach { refuse(it, LoadRefusalReason.NOT_OWNER, settings.appendRetryMillis) }
        state = EngineOwnerState(
            settings = settings,
            ledger = memoryLedgerOf(settings.capacityMebibytes, settings.arrivalMillis),
            isHandingOver = state.isHandingOver,
            lastOrderNumber = state.lastOrderNumber,
            lastRecordNumber = state.lastRecordNumber,
            lastSeenFencingNumber = state.lastSeenFencingNumber,
            lastSeenOffset = state.lastSeenOffset,
        )
    }

    private fun settleRecords(fleet: FleetState) {
        state.pendingRecords.forEach { (recordId, pending) ->
            val verdict = fleet.verdicts[recordId]
            when (val change = pending.entry.change) {
                is ClaimCopy -> settleClaim(recordId, change.copyKey, verdict, fleet)
                is ReleaseCopy -> if (change.copyKey !in fleet.copies) endClaim(recordId, change.copyKey)
                else -> if (verdict != null) forget(recordId)
            }
        }
    }

    private fun settleClaim(recordId: String, copy: CopyKey, verdict: Verdict?, fleet: FleetState) {
        if (copy in fleet.copies) {
            forget(recordId)
            state = state.copy(ledger = state.ledger.claimAccepted(copy))
        } else if (verdict is Verdict.Rejected) {
            endClaim(recordId, copy)
            refuse(copy, verdict.reason.toRefusalReason(), settings.leaseMillis)
        }
    }

    private fun endClaim(recordId: String, copy: CopyKey) {
        forget(recordId)
        state = state.copy(
            ledger = state.ledger.free(copy, nowMillis),
            unwanted = state.unwanted.removing(copy),
        )
    }

    private fun forget(recordId: String) {
        state = state.copy(pendingRecords = state.pendingRecords.removing(recordId))
    }

    private fun wantLoad(event: EngineOwnerEvent.LoadRequested) {
        val phase = state.ledger.reservations[event.copy]?.phase
        if (phase != ReservationPhase.UNLOADING) state = state.copy(unwanted = state.unwanted.removing(event.copy))
        when {
            state.fencingNumberOrNull == null ->
                refuse(event.copy, LoadRefusalReason.NOT_OWNER, settings.appendRetryMillis)

            phase == ReservationPhase.LOADED -> ready(event.copy)

            state.isHandingOver -> refuse(event.copy, LoadRefusalReason.HANDING_OVER, settings.leaseMillis)

            state.ordersFromMillis > event.deadlineMillis ->
                refuse(event.copy, LoadRefusalReason.DEADLINE_UNREACHABLE, state.ordersFromMillis - nowMillis)

            state.ordersFromMillis <= nowMillis && !state.maySendOrders(nowMillis) ->
                refuse(event.copy, LoadRefusalReason.LEASE_LAPSED, settings.leaseMillis)

            state.isGoing(event.copy) ->
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
                enqueueOfOwner(event.copy.claim(settings.incarnation))
            },
            failure = { refuse(event.copy, LoadRefusalReason.NO_MEMORY_LEFT, settings.leaseMillis) },
        )
    }

    private fun awaitCopy(event: EngineOwnerEvent.LoadRequested) {
        val untilMillis = maxOf(event.deadlineMillis, state.waitUntilMillis[event.copy] ?: Long.MIN_VALUE)
        state = state.copy(waitUntilMillis = state.waitUntilMillis.putting(event.copy, untilMillis))
    }

    private fun wantUnload(copy: CopyKey) {
        if (copy !in state.ledger.reservations) return
        state = state.copy(unwanted = state.unwanted.adding(copy))
        refuseWaiting(copy, LoadRefusalReason.UNLOADING, settings.appendRetryMillis)
        decisions += EngineOwnerDecision.CopyUnavailable(copy)
    }

    private fun answerOrder(orderId: OrderId, outcome: OrderOutcome) {
        val copy = state.openOrders[orderId] ?: return
        state = state.copy(openOrders = state.openOrders.removing(orderId))
        if (outcome == OrderOutcome.FENCED_OFF) {
            loseOwnership()
            return
        }
        if (outcome == OrderOutcome.CONFIRMED || outcome == OrderOutcome.REFUSED) noteFenced()
        updateLedger(state.ledger.orderAnswered(copy, orderId, outcome, nowMillis))
        if (outcome == OrderOutcome.UNCONFIRMED) {
            refuseWaiting(copy, LoadRefusalReason.LOAD_UNCONFIRMED, settings.orderDelayMillis)
        }
    }

    /** From its first answer on, an engine that checks fencing numbers takes no order of a former owner. */
    private fun noteFenced() {
        if (state.isFenced || !settings.checksFencing) return
        state = state.copy(isFenced = true, ledger = state.ledger.trustFrom(nowMillis))
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
            .forEach(::phaseChanged)
    }

    private fun phaseChanged(reservation: Reservation) {
        val copy = reservation.copy
        when (reservation.phase) {
            ReservationPhase.LOADED -> if (copy !in state.unwanted) {
                ready(copy)
                enqueueOfOwner(copy.confirm(settings.incarnation))
            }

            ReservationPhase.ABSENT -> {
                refuseWaiting(copy, LoadRefusalReason.LOAD_FAILED, settings.appendRetryMillis)
                decisions += EngineOwnerDecision.CopyUnavailable(copy)
            }

            else -> Unit
        }
    }

    private fun handOver() {
        val kept = state.pendingRecords.filterValues {
            it.entry.change is ConfirmCopy || it.entry.change is ReleaseCopy
        }
        state = state.copy(isHandingOver = true, pendingRecords = kept.toPersistentMap())
        state.waitUntilMillis.keys
            .filter { state.ledger.reservations[it]?.phase != ReservationPhase.LOADING }
            .forEach { refuse(it, LoadRefusalReason.HANDING_OVER, settings.leaseMillis) }
    }

    private fun refuseExpired() {
        state.waitUntilMillis.filterValues { it <= nowMillis }.keys
            .forEach { refuse(it, LoadRefusalReason.DEADLINE_UNREACHABLE, settings.appendRetryMillis) }
    }

    private fun ready(copy: CopyKey) {
        state = state.copy(waitUntilMillis = state.waitUntilMillis.removing(copy))
        decisions += EngineOwnerDecision.CopyReady(copy)
    }

    private fun refuse(copy: CopyKey, reason: LoadRefusalReason, retryAfterMillis: Long) {
        state = state.copy(waitUntilMillis = state.waitUntilMillis.removing(copy))
        decisions += EngineOwnerDecision.RefuseLoad(copy, reason, retryAfterMillis)
    }

    private fun refuseWaiting(copy: CopyKey, reason: LoadRefusalReason, retryAfterMillis: Long) {
        if (copy in state.waitUntilMillis) refuse(copy, reason, retryAfterMillis)
    }

    /** Queues a record that counts only under the present ownership. */
    fun enqueueOfOwner(change: Change): Unit = enqueue(change, state.fencingNumberOrNull)

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
