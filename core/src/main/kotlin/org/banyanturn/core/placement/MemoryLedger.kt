package org.banyanturn.core.placement

import com.github.michaelbull.result.Err
import com.github.michaelbull.result.Ok
import com.github.michaelbull.result.Result
import kotlinx.collections.immutable.PersistentMap
import kotlinx.collections.immutable.PersistentSet
import kotlinx.collections.immutable.persistentMapOf
import kotlinx.collections.immutable.persistentSetOf
import kotlinx.collections.immutable.toPersistentMap
import kotlinx.collections.immutable.toPersistentSet
import org.banyanturn.core.state.CopyKey

/**
 * An immutable ledger of the memory of one engine that its owner has reserved for copies.
 *
 * Memory is reserved before an order is sent. It stays reserved until the engine has confirmed that the copy is gone,
 * either in its response to an unload or in a snapshot that is more recent than the arrival of any load order. An order
 * without a confirmed outcome counts as carried out. Every modifying function returns a new ledger.
 *
 * @property capacityMebibytes the total memory of the engine.
 * @property orderDelayMillis the maximum time after its decision at which an order can still reach the engine.
 * @property trustedFromMillis the time before which snapshots are not trusted.
 * @property reservations the reservations by copy.
 * @property unexpectedCopies the copies that the latest trusted snapshot shows without a reservation.
 */
public class MemoryLedger internal constructor(
    public val capacityMebibytes: Long,
    public val orderDelayMillis: Long,
    public val trustedFromMillis: Long,
    public val reservations: PersistentMap<CopyKey, Reservation>,
    public val unexpectedCopies: PersistentSet<CopyKey>,
    internal val freedAtMillis: PersistentMap<CopyKey, Long>,
) {
    init {
        require(capacityMebibytes >= 0) { "capacityMebibytes is $capacityMebibytes, less than 0" }
        require(orderDelayMillis >= 0) { "orderDelayMillis is $orderDelayMillis, less than 0" }
    }

    /** The memory that is reserved. */
    public val reservedMebibytes: Long = reservations.values.sumOf(Reservation::memoryMebibytes)

    /** The memory that is available for a new reservation, or 0 while the engine holds copies without a reservation. */
    public val freeMebibytes: Long =
        if (unexpectedCopies.isEmpty()) (capacityMebibytes - reservedMebibytes).coerceAtLeast(0) else 0

    internal fun with(
        trustedFromMillis: Long = this.trustedFromMillis,
        reservations: PersistentMap<CopyKey, Reservation> = this.reservations,
        unexpectedCopies: PersistentSet<CopyKey> = this.unexpectedCopies,
        freedAtMillis: PersistentMap<CopyKey, Long> = this.freedAtMillis,
    ): MemoryLedger = MemoryLedger(
        capacityMebibytes,
        orderDelayMillis,
        trustedFromMillis,
        reservations,
        unexpectedCopies,
        freedAtMillis,
    )

    internal fun with(reservation: Reservation): MemoryLedger =
        with(reservations = reservations.putting(reservation.copy, reservation))
}

/** Returns an empty ledger for an engine with [capacityMebibytes] that orders reach within [orderDelayMillis]. */
public fun memoryLedgerOf(capacityMebibytes: Long, orderDelayMillis: Long): MemoryLedger =
    MemoryLedger(
        capacityMebibytes,
        orderDelayMillis,
        trustedFromMillis = Long.MIN_VALUE,
        reservations = persistentMapOf(),
        unexpectedCopies = persistentSetOf(),
        freedAtMillis = persistentMapOf(),
    )

/** Returns the ledger with [memoryMebibytes] reserved for [copy], or the reason why the reservation is not possible. */
public fun MemoryLedger.reserve(copy: CopyKey, memoryMebibytes: Long): Result<MemoryLedger, ReservationError> {
    require(memoryMebibytes >= 0) { "memoryMebibytes is $memoryMebibytes, less than 0" }
    return when {
        copy in reservations -> Err(ReservationError.AlreadyReserved(copy))
        memoryMebibytes > freeMebibytes -> Err(ReservationError.NotEnoughMemory(freeMebibytes))
        else -> Ok(with(Reservation(copy, memoryMebibytes, ReservationPhase.CLAIMING)))
    }
}

/** Returns the ledger with a former owner's claim on [copy], which may be loaded and therefore occupies memory. */
public fun MemoryLedger.inheritClaim(copy: CopyKey, memoryMebibytes: Long): MemoryLedger =
    with(Reservation(copy, memoryMebibytes, ReservationPhase.UNKNOWN))

/** Returns the ledger that ignores snapshots from before [millis]. */
public fun MemoryLedger.trustSnapshotsFrom(millis: Long): MemoryLedger = with(trustedFromMillis = millis)

/** Returns the ledger after the claim on [copy] was accepted. */
public fun MemoryLedger.claimAccepted(copy: CopyKey): MemoryLedger {
    val reservation = reservations[copy] ?: return this
    if (reservation.phase != ReservationPhase.CLAIMING) return this
    return with(reservation.copy(phase = ReservationPhase.ABSENT))
}

/**
 * Returns the ledger after a load of [copy] was ordered at [nowMillis].
 *
 * @throws IllegalStateException if no memory is reserved for the copy.
 */
public fun MemoryLedger.loadSent(copy: CopyKey, orderId: OrderId, nowMillis: Long): MemoryLedger {
    val reservation = checkNotNull(reservations[copy]) { "$copy has no reservation" }
    val arrivesByMillis = nowMillis + orderDelayMillis
    return with(
        reservation.copy(
            phase = ReservationPhase.LOADING,
            ordersArriveByMillis = arrivesByMillis,
            trustedFromMillis = arrivesByMillis,
            lastOrderSentMillis = nowMillis,
            lastOrderId = orderId,
            hasOpenEarlierOrder = reservation.phase == ReservationPhase.UNKNOWN,
        ),
    )
}

/** Returns whether an unload of [copy] sent at [nowMillis] cannot reach the engine before an earlier load order. */
public fun MemoryLedger.mayUnload(copy: CopyKey, nowMillis: Long): Boolean {
    val reservation = reservations[copy] ?: return false
    val mayBeHeld = reservation.phase == ReservationPhase.LOADED || reservation.phase == ReservationPhase.UNKNOWN
    return mayBeHeld && nowMillis >= reservation.ordersArriveByMillis
}

/**
 * Returns the ledger after an unload of [copy] was ordered at [nowMillis].
 *
 * @throws IllegalStateException if a load order could still arrive after the unload.
 */
public fun MemoryLedger.unloadSent(copy: CopyKey, orderId: OrderId, nowMillis: Long): MemoryLedger {
    check(mayUnload(copy, nowMillis)) { "a load of $copy may still arrive after its unload" }
    val reservation = reservations.getValue(copy)
    return with(
        reservation.copy(
            phase = ReservationPhase.UNLOADING,
            trustedFromMillis = nowMillis + orderDelayMillis,
            lastOrderSentMillis = nowMillis,
            lastOrderId = orderId,
        ),
    )
}

/** Returns the ledger after [outcome] of order [orderId] on [copy]; only the outcome of the latest order counts. */
public fun MemoryLedger.orderAnswered(
    copy: CopyKey,
    orderId: OrderId,
    outcome: OrderOutcome,
    nowMillis: Long,
): MemoryLedger {
    val reservation = reservations[copy] ?: return this
    if (reservation.lastOrderId != orderId) return this
    val phase = reservation.phaseAfter(outcome) ?: return this
    return with(
        reservation.copy(
            phase = phase,
            trustedFromMillis = maxOf(reservation.trustedFromMillis, nowMillis),
        ),
    )
}

private fun Reservation.phaseAfter(outcome: OrderOutcome): ReservationPhase? =
    when (phase) {
        ReservationPhase.LOADING -> when (outcome) {
            OrderOutcome.CONFIRMED -> ReservationPhase.LOADED

            OrderOutcome.UNCONFIRMED -> ReservationPhase.UNKNOWN

            OrderOutcome.REFUSED, OrderOutcome.FENCED_OFF, OrderOutcome.NOT_SENT ->
                if (hasOpenEarlierOrder) ReservationPhase.UNKNOWN else ReservationPhase.ABSENT
        }

        ReservationPhase.UNLOADING ->
            if (outcome == OrderOutcome.CONFIRMED) ReservationPhase.ABSENT else ReservationPhase.UNKNOWN

        else -> null
    }

/** Returns the ledger after the claim on [copy] has ended at [nowMillis], which frees its memory. */
public fun MemoryLedger.free(copy: CopyKey, nowMillis: Long): MemoryLedger =
    with(reservations = reservations.removing(copy), freedAtMillis = freedAtMillis.putting(copy, nowMillis))

/** Returns the ledger updated with [snapshot]; reservations that changed since the snapshot stay as they are. */
public fun MemoryLedger.observe(snapshot: EngineSnapshot): MemoryLedger {
    if (snapshot.asOfMillis < trustedFromMillis) return this
    val updated = reservations.mapValues { (_, reservation) -> reservation.observe(snapshot) }
    val newlyFreed = freedAtMillis.filterValues { it > snapshot.asOfMillis }
    val unexpected = (snapshot.loaded + snapshot.loading).filterNot { it in reservations || it in newlyFreed }
    return with(
        reservations = updated.toPersistentMap(),
        unexpectedCopies = unexpected.toPersistentSet(),
        freedAtMillis = newlyFreed.toPersistentMap(),
    )
}

private fun Reservation.observe(snapshot: EngineSnapshot): Reservation {
    if (showsLoadDone(snapshot)) return copy(phase = ReservationPhase.LOADED)
    if (phase == ReservationPhase.CLAIMING || snapshot.asOfMillis < trustedFromMillis) return this
    val isInSnapshot = copy in snapshot
    return when {
        !isInSnapshot -> copy(phase = ReservationPhase.ABSENT)
        phase == ReservationPhase.ABSENT -> copy(phase = ReservationPhase.UNKNOWN)
        phase == ReservationPhase.UNKNOWN && copy in snapshot.loaded -> copy(phase = ReservationPhase.LOADED)
        else -> this
    }
}

/**
 * Returns whether [snapshot] shows that the latest load is complete.
 *
 * This can be decided only if no earlier order is open, because then the engine held no copy before the load.
 */
private fun Reservation.showsLoadDone(snapshot: EngineSnapshot): Boolean =
    phase == ReservationPhase.LOADING &&
        !hasOpenEarlierOrder &&
        snapshot.asOfMillis >= lastOrderSentMillis &&
        copy in snapshot.loaded
