package org.banyanturn.core.placement

import org.banyanturn.core.Incarnation
import org.banyanturn.core.TargetId

/**
 * What an engine's owner must know beforehand.
 *
 * @property incarnation this VM's life.
 * @property checksFencing whether the engine refuses orders with an old fencing number.
 * @property orderDelayMillis the longest time after sending in which an order can still reach the engine.
 * @property leaseMillis how long after a read of the log an owner may give orders to an engine that ignores fencing
 * numbers; the same on every VM.
 * @property appendRetryMillis how long the verdict on a record is awaited before it is appended again.
 */
public data class EngineOwnerSettings(
    val targetId: TargetId,
    val incarnation: Incarnation,
    val capacityMebibytes: Long,
    val checksFencing: Boolean,
    val orderDelayMillis: Long = DEFAULT_ORDER_DELAY_MILLIS,
    val leaseMillis: Long = DEFAULT_LEASE_MILLIS,
    val appendRetryMillis: Long = DEFAULT_APPEND_RETRY_MILLIS,
) {
    init {
        require(leaseMillis > 0) { "leaseMillis is $leaseMillis, not more than 0" }
        require(orderDelayMillis >= 0) { "orderDelayMillis is $orderDelayMillis, less than 0" }
        require(appendRetryMillis > 0) { "appendRetryMillis is $appendRetryMillis, not more than 0" }
    }

    /** The longest time after its decision in which an order can still reach the engine. */
    internal val arrivalMillis: Long
        get() = ORDER_SEND_WINDOW_MILLIS + orderDelayMillis
}

/** How long after its decision an order may leave; one that a frozen process holds longer is not sent any more. */
public const val ORDER_SEND_WINDOW_MILLIS: Long = 500

/** How long after sending an order can reach an engine if the settings say nothing else. */
public const val DEFAULT_ORDER_DELAY_MILLIS: Long = 5_000

/** How long a lease lasts if the settings say nothing else. */
public const val DEFAULT_LEASE_MILLIS: Long = 10_000

/** How long the verdict on a record is awaited if the settings say nothing else. */
public const val DEFAULT_APPEND_RETRY_MILLIS: Long = 1_000

/** The machine after an event, and what is to be done, in this order. */
public data class EngineOwnerStep(val machine: EngineOwnerMachine, val decisions: List<EngineOwnerDecision>)

/**
 * One VM's view of one engine: whether it owns the engine, what memory is set aside, and which orders are under way.
 *
 * A machine is immutable; [handle] returns its successor. It keeps two promises, whatever is lost, late, repeated or
 * paused: a copy is loaded only under a claim that the log has accepted, and reserved memory never exceeds the
 * engine's. The caller appends, sends and reports back; it does nothing that the machine did not decide.
 *
 */
public interface EngineOwnerMachine {
    /** The engine's memory as this VM has set it aside; empty while it is not the owner. */
    public val ledger: MemoryLedger

    /** The offset of the record that made this VM the owner, or `null` while it is not. */
    public val fencingNumberOrNull: Long?

    /** Returns whether an order may be sent at [nowMillis]. */
    public fun maySendOrders(nowMillis: Long): Boolean

    /** Returns the machine after [event] and what is to be done. */
    public fun handle(event: EngineOwnerEvent, nowMillis: Long): EngineOwnerStep
}

/** Returns the machine of a VM that does not own the engine. */
public fun engineOwnerMachineOf(settings: EngineOwnerSettings): EngineOwnerMachine =
    EngineOwnerState(settings, memoryLedgerOf(settings.capacityMebibytes, settings.arrivalMillis))
