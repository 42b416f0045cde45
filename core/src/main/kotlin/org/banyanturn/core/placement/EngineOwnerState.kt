package org.banyanturn.core.placement

import kotlinx.collections.immutable.PersistentMap
import kotlinx.collections.immutable.PersistentSet
import kotlinx.collections.immutable.persistentMapOf
import kotlinx.collections.immutable.persistentSetOf
import org.banyanturn.core.state.CopyKey
import org.banyanturn.core.state.LogEntry

/** A record without a verdict yet, which is appended again at [nextAppendMillis]. */
internal data class PendingRecord(val entry: LogEntry, val nextAppendMillis: Long)

/**
 * The state of an [EngineOwnerMachine].
 *
 * @property ordersFromMillis the time before which no order is sent, because orders of a former owner may still arrive.
 * @property leaseUntilMillis the end of the last confirmed lease.
 * @property isFenced whether the engine has responded to an order with the current fencing number.
 * @property openOrders the orders without an outcome.
 * @property pendingRecords the records without a verdict, by record ID.
 * @property waitDeadlineMillis the copies that requests wait for, each with the latest deadline of these requests.
 * @property toUnload the copies to unload as soon as this is allowed.
 * @property lastSeenFencingNumber the fencing number of the owner in the latest state, which may be another VM.
 * @property lastSeenOffset the next offset of the latest state; an earlier state is ignored.
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
    val waitDeadlineMillis: PersistentMap<CopyKey, Long> = persistentMapOf(),
    val toUnload: PersistentSet<CopyKey> = persistentSetOf(),
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
