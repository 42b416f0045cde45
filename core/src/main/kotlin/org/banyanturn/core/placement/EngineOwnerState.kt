package org.banyanturn.core.placement

import kotlinx.collections.immutable.PersistentMap
import kotlinx.collections.immutable.PersistentSet
import kotlinx.collections.immutable.persistentMapOf
import kotlinx.collections.immutable.persistentSetOf
import org.banyanturn.core.state.CopyKey
import org.banyanturn.core.state.LogEntry

/** A record whose verdict is awaited; it is appended again at [nextAppendMillis]. */
internal data class PendingRecord(val entry: LogEntry, val nextAppendMillis: Long)

/**
 * The state of an [EngineOwnerMachine].
 *
 * @property ordersFromMillis no order is sent earlier: a former owner's orders may still arrive.
 * @property leaseUntilMillis end of the last confirmed lease.
 * @property isFenced whether the engine has answered an order with the present fencing number.
 * @property waitUntilMillis copies that requests wait for, and the latest of their deadlines.
 * @property unwanted copies to unload as soon as that is allowed.
 * @property lastSeenOffset the next offset of the latest state that was seen; an earlier state is ignored.
 * @property lastSeenFencingNumber fencing number of the owner that the log named last, whoever it is.
 */
internal data class EngineOwnerState(
    val settings: EngineOwnerSettings,
    override val ledger: MemoryLedger,
    override val fencingNumberOrNull: Long? = null,
    val ordersFromMillis: Long = Long.MAX_VALUE,
    val leaseUntilMillis: Long = Long.MIN_VALUE,
    val isFenced: Boolean = false,
    val isHandingOver: Boolean = false,
    val lastOrderNumber: Long = 0,
    val lastRecordNumber: Long = 0,
    val openOrders: PersistentMap<OrderId, CopyKey> = persistentMapOf(),
    val pendingRecords: PersistentMap<String, PendingRecord> = persistentMapOf(),
    val waitUntilMillis: PersistentMap<CopyKey, Long> = persistentMapOf(),
    val unwanted: PersistentSet<CopyKey> = persistentSetOf(),
    val lastSnapshot: EngineSnapshot? = null,
    val lastSeenFencingNumber: Long? = null,
    val lastSeenOffset: Long = 0,
) : EngineOwnerMachine {
    override fun maySendOrders(nowMillis: Long): Boolean {
        val isLeased = settings.checksFencing || nowMillis < leaseUntilMillis
        return fencingNumberOrNull != null && !isHandingOver && nowMillis >= ordersFromMillis && isLeased
    }

    override fun handle(event: EngineOwnerEvent, nowMillis: Long): EngineOwnerStep {
        val transition = EngineOwnerTransition(this, nowMillis)
        transition.apply(event)
        transition.sendDueOrders()
        transition.appendDueRecords()
        return EngineOwnerStep(transition.state, transition.decisions)
    }
}
