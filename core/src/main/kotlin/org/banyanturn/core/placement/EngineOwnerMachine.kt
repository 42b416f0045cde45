package org.banyanturn.core.placement

import org.banyanturn.core.Incarnation
import org.banyanturn.core.TargetId

/**
 * Settings of an [EngineOwnerMachine].
 *
 * @property incarnation the incarnation of this VM.
 * @property capacityMebibytes the memory of the engine.
 * @property checksFencing whether the engine rejects orders with an old fencing number.
 * @property orderDelayMillis the maximum time after sending at which an order can still reach the engine.
 * @property leaseMillis the time after a read of the log during which an owner may send orders to an engine that
 * ignores fencing numbers; must be the same on all VMs.
 * @property appendRetryMillis the time to wait for the verdict on a record before it is appended again.
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

    /** The maximum time after its decision at which an order can still reach the engine. */
    internal val maxArrivalMillis: Long
        get() = ORDER_SEND_WINDOW_MILLIS + orderDelayMillis
}

/**
 * The time in milliseconds after its decision within which an order may be sent.
 *
 * An order that a suspended process holds back for longer is not sent any more.
 */
public const val ORDER_SEND_WINDOW_MILLIS: Long = 500

/** The default of [EngineOwnerSettings.orderDelayMillis]. */
public const val DEFAULT_ORDER_DELAY_MILLIS: Long = 5_000

/** The default of [EngineOwnerSettings.leaseMillis]. */
public const val DEFAULT_LEASE_MILLIS: Long = 10_000

/** The default of [EngineOwnerSettings.appendRetryMillis]. */
public const val DEFAULT_APPEND_RETRY_MILLIS: Long = 1_000

/** The state machine after an event, and the decisions to carry out in this order. */
public data class EngineOwnerStep(val machine: EngineOwnerMachine, val decisions: List<EngineOwnerDecision>)

/**
 * A state machine for the ownership of one engine by one VM: the ownership, the reserved memory and the open orders.
 *
 * A machine is immutable; [handle] returns its successor. It maintains two invariants even if messages are lost,
 * delayed or duplicated, or the process is suspended: a copy is loaded only under a claim that the log has accepted,
 * and the reserved memory never exceeds the memory of the engine. The caller carries out the decisions and passes the
 * results back as events; it appends and sends nothing else.
 */
public interface EngineOwnerMachine {
    /** The memory of the engine that this VM has reserved; empty while this VM is not the owner. */
    public val ledger: MemoryLedger

    /** The fencing number, which is the offset of the record that made this VM the owner, or `null` if it is not. */
    public val fencingNumberOrNull: Long?

    /** Returns whether an order may be sent at [nowMillis]. */
    public fun maySendOrders(nowMillis: Long): Boolean

    /** Returns the machine after [event], with the decisions to carry out. */
    public fun handle(event: EngineOwnerEvent, nowMillis: Long): EngineOwnerStep
}

/** Returns a machine in its initial state, in which this VM does not own the engine. */
public fun engineOwnerMachineOf(settings: EngineOwnerSettings): EngineOwnerMachine =
    EngineOwnerState(settings, memoryLedgerOf(settings.capacityMebibytes, settings.maxArrivalMillis))
