package org.banyanturn.router.delivery

import kotlinx.coroutines.CoroutineScope
import org.banyanturn.core.Incarnation
import org.banyanturn.core.delivery.IdempotencyKey
import org.banyanturn.core.delivery.IdempotencyRecord
import org.banyanturn.core.delivery.RequestEvent
import org.banyanturn.core.delivery.ReservationResult
import org.banyanturn.core.delivery.idempotencyStream
import org.banyanturn.core.delivery.shardOf
import org.banyanturn.core.state.FleetState
import org.banyanturn.daemon.ProcessClock
import org.banyanturn.platform.LogService
import java.time.Clock
import java.util.concurrent.ConcurrentHashMap

/** Idempotency keys and their outcomes, kept in the platform's log. */
internal interface IdempotencyStore {
    /** Returns how [record] was settled by the log, before [deadlineMillis]. */
    suspend fun reserve(record: IdempotencyRecord.Reserve, deadlineMillis: Long): ReservationResult

    /** Returns what becomes of the request that holds [key]. */
    suspend fun awaitOutcome(key: IdempotencyKey): RequestEvent

    /** Records how the request that holds a key ended. */
    fun record(outcome: IdempotencyRecord.Outcome)
}

/** What [idempotencyStore] needs from its surroundings. */
internal class IdempotencyEnvironment(
    val incarnation: Incarnation,
    val log: LogService,
    val states: () -> FleetState,
    val clock: ProcessClock,
    val wallClock: Clock,
    val scope: CoroutineScope,
)

/** Returns a store over [shardCount] streams; a shard is read from its first use on. */
internal fun idempotencyStore(environment: IdempotencyEnvironment, shardCount: Int): IdempotencyStore =
    ShardedStore(environment, shardCount)

private class ShardedStore(
    private val environment: IdempotencyEnvironment,
    private val shardCount: Int,
) : IdempotencyStore {
    private val shards = ConcurrentHashMap<Int, IdempotencyShard>()

    override suspend fun reserve(record: IdempotencyRecord.Reserve, deadlineMillis: Long): ReservationResult =
        shardFor(record.key).reserve(record, deadlineMillis)

    override suspend fun awaitOutcome(key: IdempotencyKey): RequestEvent = shardFor(key).awaitOutcome(key)

    override fun record(outcome: IdempotencyRecord.Outcome) {
        shardFor(outcome.key).record(outcome)
    }

    private fun shardFor(key: IdempotencyKey): IdempotencyShard =
        shards.computeIfAbsent(key.shardOf(shardCount)) { shard ->
            IdempotencyShard(idempotencyStream(shard), environment).also { it.start() }
        }
}
