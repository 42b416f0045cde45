package org.banyanturn.core.delivery

import io.kotest.common.ExperimentalKotest
import io.kotest.property.Arb
import io.kotest.property.PropTestConfig
import io.kotest.property.arbitrary.int
import io.kotest.property.arbitrary.list
import io.kotest.property.checkAll
import kotlinx.coroutines.test.runTest
import org.banyanturn.core.Incarnation
import org.banyanturn.core.MemberId
import org.banyanturn.core.VmId
import org.junit.jupiter.api.Assertions.assertEquals
import org.junit.jupiter.api.Assertions.assertNull
import org.junit.jupiter.api.Assertions.assertTrue
import org.junit.jupiter.api.Test
import kotlin.random.Random

@OptIn(ExperimentalKotest::class)
class IdempotencyStateTest {
    private val key = IdempotencyKey(MemberId("growers"), "slot-4")
    private val fingerprint = RequestFingerprint("f")
    private val vms = listOf(Incarnation(VmId("vm-1"), 1), Incarnation(VmId("vm-2"), 1))
    private val answered = OutcomeResult.Answered(StoredOutcome(201, "slot 4", "digest"))

    private fun reserve(id: String, vm: Int = 0, of: IdempotencyKey = key, body: RequestFingerprint = fingerprint) =
        IdempotencyRecord.Reserve(of, RequestId(id), body, vms[vm])

    private fun outcome(id: String, result: OutcomeResult) = IdempotencyRecord.Outcome(key, RequestId(id), result)

    private fun IdempotencyState.plus(record: IdempotencyRecord, vm: Int = 0, atMillis: Long = 0): IdempotencyState =
        foldRecord(nextOffset, IdempotencyBatch(vms[vm], atMillis, listOf(record)).encodeToPayload())

    @Test
    fun `of concurrent reservations the first in log order holds the key on every VM`() {
        val state = IdempotencyState().plus(reserve("a")).plus(reserve("b", vm = 1), vm = 1)
        assertEquals(ReservationResult.Acquired, state.settleOrNull(reserve("a")))
        assertEquals(ReservationResult.InProgress(vms[0]), state.settleOrNull(reserve("b", vm = 1)))
        val ended = state.plus(outcome("b", answered), vm = 1).plus(outcome("a", answered))
        assertEquals(ReservationResult.Replay(answered), ended.settleOrNull(reserve("c", vm = 1)))
    }

    @Test
    fun `a key that was used with another body is refused`() {
        val state = IdempotencyState().plus(reserve("a"))
        val other = reserve("b", body = RequestFingerprint("other"))
        assertEquals(ReservationResult.KeyReused, state.settleOrNull(other))
    }

    @Test
    fun `a released key is free, and a late copy of its reservation is ignored`() {
        val late = reserve("a")
        val state = IdempotencyState().plus(outcome("a", OutcomeResult.NotRun)).plus(late)
        assertNull(state.settleOrNull(late))
        assertEquals(ReservationResult.Acquired, state.plus(reserve("b")).plus(late).settleOrNull(reserve("b")))
    }

    @Test
    fun `one wrong clock expires no key, and a full shard accepts no new key`() {
        val limits = IdempotencyLimits(retentionMillis = 1_000, maxEntries = 1)
        val other = IdempotencyKey(key.memberId, "slot-5")
        val state = IdempotencyState(limits)
            .plus(reserve("a"))
            .plus(reserve("b", vm = 1, of = other), vm = 1, atMillis = 9_000)
        assertEquals(ReservationResult.Acquired, state.settleOrNull(reserve("a")))
        assertNull(state.settleOrNull(reserve("b", vm = 1, of = other)))
        val later = state.plus(reserve("c", of = other), atMillis = 2_000)
        assertNull(later.settleOrNull(reserve("a")))
        assertEquals(ReservationResult.Acquired, later.settleOrNull(reserve("c", of = other)))
    }

    @Test
    fun `a broken record is skipped`() {
        assertEquals(1, IdempotencyState().foldRecord(0, "{").skippedRecords)
    }

    @Test
    fun `lost answers and concurrent writers grant a key to at most one request`() = runTest {
        checkAll(PropTestConfig(seed = 42L), Arb.list(Arb.int(0..9), 5..60)) { steps ->
            val log = FaultyLog(steps.size.toLong())
            steps.forEach(log::step)
            assertTrue(log.holders().size <= 1) { "holders ${log.holders()} with steps $steps" }
        }
    }

    /** Two writers that append to one log, some of whose confirmations are lost. */
    private inner class FaultyLog(seed: Long) {
        private val random = Random(seed)
        private var state = IdempotencyState()
        private val writers = vms.map { IdempotencyWriter(it) }.toMutableList()
        private val acquired = mutableSetOf<RequestId>()
        private var requests = 0
        private var nowMillis = 0L

        fun holders(): Set<RequestId> = acquired

        fun step(choice: Int) {
            nowMillis += 20
            val vm = choice % 2
            when (choice / 2) {
                0 -> writers[vm] = writers[vm].reserve(reserve("r${requests++}", vm), 900_000, nowMillis)
                1 -> append(vm, isAnswered = true)
                2 -> append(vm, isAnswered = false)
                3 -> settle(vm)
                else -> settle(1 - vm)
            }
        }

        private fun append(vm: Int, isAnswered: Boolean) {
            if (!writers[vm].isAppendDue(nowMillis)) return
            val started = writers[vm].startAppend(nowMillis)
            val offset = state.nextOffset
            state = state.foldRecord(offset, checkNotNull(started.inFlight).encodeToPayload())
            writers[vm] =
                if (isAnswered) started.appendConfirmed(offset) else started.appendFailed(nowMillis, random)
        }

        private fun settle(vm: Int) {
            val step = writers[vm].settle(state, nowMillis)
            writers[vm] = step.writer
            step.settled.filter { it.result == ReservationResult.Acquired }.mapTo(acquired) { it.reserve.requestId }
        }
    }
}
