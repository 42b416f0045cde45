package org.banyanturn.measure.delivery

import org.banyanturn.core.Incarnation
import org.banyanturn.core.delivery.IdempotencyKey
import org.banyanturn.core.delivery.IdempotencyRecord
import org.banyanturn.core.delivery.IdempotencyState
import org.banyanturn.core.delivery.IdempotencyWriter
import org.banyanturn.core.delivery.OutcomeResult
import org.banyanturn.core.delivery.ReservationResult
import org.banyanturn.core.delivery.SettledReservation
import org.banyanturn.core.delivery.decodeIdempotencyBatchOrNull
import org.banyanturn.core.delivery.encodeToPayload
import org.banyanturn.core.delivery.idempotencyStream
import org.banyanturn.core.delivery.shardOf
import kotlin.random.Random

/** One VM's writers and folded states of all idempotency streams. */
internal class KeyLedger(
    private val world: World,
    incarnation: Incarnation,
    private val isAlive: () -> Boolean,
    private val onSettled: (SettledReservation) -> Unit,
    private val onOutcome: (IdempotencyKey, OutcomeResult) -> Unit,
) {
    private class Shard(val stream: String, var writer: IdempotencyWriter) {
        var state = IdempotencyState()
        var readToEndMillis: Long? = null
    }

    private val held = HashSet<IdempotencyKey>()
    private val random = Random(incarnation.number)
    private val shards = List(SHARDS) { Shard(idempotencyStream(it), IdempotencyWriter(incarnation)) }

    init {
        world.onKeyQuestion { key -> isAlive() && key in held }
        shards.forEach { shard ->
            world.log.follow(
                shard.stream,
                isAlive,
                onRecord = { offset, payload -> fold(shard, offset, payload) },
                onEnd = { shard.readToEndMillis = world.loop.nowMillis },
            )
        }
    }

    /** Asks for a key. */
    fun reserve(record: IdempotencyRecord.Reserve, deadlineMillis: Long) {
        val shard = shardOf(record.key)
        shard.writer = shard.writer.reserve(record, deadlineMillis, world.loop.nowMillis)
        settle(shard)
        pump(shard)
        world.loop.after(shard.writer.settings.reserveTimeoutMillis) { settle(shard) }
    }

    /** Records how a request ended. */
    fun record(outcome: IdempotencyRecord.Outcome) {
        val shard = shardOf(outcome.key)
        shard.writer = shard.writer.record(outcome)
        pump(shard)
    }

    /** Returns how the holder of [key] ended, or `null` while that is unresolved. */
    fun resultOrNull(key: IdempotencyKey): OutcomeResult? = shardOf(key).state.entries[key]?.result

    private fun shardOf(key: IdempotencyKey): Shard = shards[key.shardOf(SHARDS)]

    private fun fold(shard: Shard, offset: Long, payload: String) {
        val before = shard.state
        shard.state = before.foldRecord(offset, payload)
        settle(shard)
        decodeIdempotencyBatchOrNull(payload)?.records.orEmpty().map { it.key }.distinct().forEach { key ->
            val result = shard.state.entries[key]?.result
            if (result != null && before.entries[key]?.result == null) onOutcome(key, result)
        }
    }

    private fun settle(shard: Shard) {
        if (!isAlive()) return
        val step = shard.writer.settle(shard.state, world.loop.nowMillis)
        shard.writer = step.writer
        step.settled.forEach { settled ->
            if (settled.result == ReservationResult.Acquired) held += settled.reserve.key
            onSettled(if (settled.result is ReservationResult.Unavailable) askPeers(shard, settled) else settled)
        }
    }

    private fun askPeers(shard: Shard, settled: SettledReservation): SettledReservation {
        val readToEndMillis = shard.readToEndMillis ?: return settled
        val isKnownFirst = readToEndMillis > world.lastVmEndMillis && world.isHeldByNoVm(settled.reserve.key)
        return settled.copy(result = ReservationResult.Unavailable(isKnownFirst))
    }

    private fun pump(shard: Shard) {
        if (!isAlive() || !shard.writer.isAppendDue(world.loop.nowMillis)) return
        shard.writer = shard.writer.startAppend(epochMillis = world.loop.nowMillis)
        val batch = shard.writer.inFlight ?: return
        world.log.append(shard.stream, batch.encodeToPayload()) { offset -> takeResult(shard, offset) }
    }

    private fun takeResult(shard: Shard, offset: Long?) {
        val nowMillis = world.loop.nowMillis
        shard.writer =
            if (offset == null) shard.writer.appendFailed(nowMillis, random) else shard.writer.appendConfirmed(offset)
        settle(shard)
        world.loop.at(shard.writer.retryAtMillis ?: nowMillis) { pump(shard) }
    }

    private companion object {
        private const val SHARDS = 4
    }
}
