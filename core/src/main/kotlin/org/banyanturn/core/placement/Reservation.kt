package org.banyanturn.core.placement

import org.banyanturn.core.state.CopyKey

/** The state of a reserved copy, as known to the owner of the engine. */
public enum class ReservationPhase {
    /** The claim on the copy is not decided yet, and no order was sent. */
    CLAIMING,

    /** The engine does not hold the copy, and no order for it is in flight. */
    ABSENT,

    /** A load order was sent and has no response yet. */
    LOADING,

    /** The engine has confirmed the load. */
    LOADED,

    /** An unload order was sent and has no response yet. */
    UNLOADING,

    /** The outcome of an order is unknown; the copy may be loaded and therefore occupies memory. */
    UNKNOWN,
}

/** Identifies an order of an owner to its engine; later orders have higher numbers. */
@JvmInline
public value class OrderId(public val value: Long)

/** The outcome of an order to an engine. */
public enum class OrderOutcome {
    /** The engine has carried the order out. */
    CONFIRMED,

    /** The engine refused the order. If it checks fencing numbers, it has recorded the one of the order. */
    REFUSED,

    /** The engine refused the order because it has seen a higher fencing number. */
    FENCED_OFF,

    /** The order was not sent. */
    NOT_SENT,

    /** No valid response was received; the order may have been or may still be carried out. */
    UNCONFIRMED,
}

/**
 * The memory of an engine that is reserved for one copy.
 *
 * @property ordersArriveByMillis the time after which no load order for the copy can reach the engine any more.
 * @property trustedFromMillis the time before which snapshots are ignored for this copy.
 * @property lastOrderSentMillis the time at which the latest order for the copy was sent.
 * @property lastOrderId the latest order for the copy, or `null` before the first one.
 * @property hasOpenEarlierOrder whether an order before the latest one has no confirmed outcome.
 */
public data class Reservation(
    val copy: CopyKey,
    val memoryMebibytes: Long,
    val phase: ReservationPhase,
    val ordersArriveByMillis: Long = Long.MIN_VALUE,
    val trustedFromMillis: Long = Long.MIN_VALUE,
    val lastOrderSentMillis: Long = Long.MIN_VALUE,
    val lastOrderId: OrderId? = null,
    val hasOpenEarlierOrder: Boolean = false,
)

/** The reason why memory could not be reserved. */
public sealed interface ReservationError {
    /** The copy already has a reservation. */
    public data class AlreadyReserved(val copy: CopyKey) : ReservationError

    /** Only [freeMebibytes] are available. */
    public data class NotEnoughMemory(val freeMebibytes: Long) : ReservationError
}
