package org.banyanturn.core.state

import io.kotest.common.ExperimentalKotest
import io.kotest.property.Arb
import io.kotest.property.PropTestConfig
import io.kotest.property.arbitrary.long
import io.kotest.property.checkAll
import kotlinx.coroutines.test.runTest
import org.banyanturn.core.MemberId
import org.junit.jupiter.api.Assertions.assertEquals
import org.junit.jupiter.api.Assertions.assertNotEquals
import org.junit.jupiter.api.Assertions.assertTrue
import org.junit.jupiter.api.Test
import kotlin.random.Random

private const val SEED = 44L
private const val GIVE_UP_MILLIS = 60_000L

@OptIn(ExperimentalKotest::class)
class AppendTrackerTest {
    private val member = MemberId("growers")
    private val createEntry = LogEntry("create", "ops", CreateMember(member, 1.0, 1.0))

    @Test
    fun `appends whose responses are lost are settled by reading the log and take effect once`() = runTest {
        var lostResponses = 0
        checkAll(PropTestConfig(seed = SEED, iterations = 200), Arb.long()) { seed ->
            val random = Random(seed)
            val log = mutableListOf(createEntry.encodeToPayload())
            val rates = List(5) { LogEntry("rate$it", "ops", SetRate(member, it.toDouble(), 1.0)) }
            var state = FleetState()
            var tracker = rates.fold(AppendTracker(Backoff(100, 1_000), seed)) { tracker, entry ->
                tracker.submit(entry, state, GIVE_UP_MILLIS)
            }
            val outcomes = mutableMapOf<String, AppendOutcome>()
            var nowMillis = 0L
            while (tracker.pendingRecordIds.isNotEmpty() && nowMillis <= GIVE_UP_MILLIS) {
                val start = tracker.start(nowMillis)
                tracker = start.tracker
                for (append in start.appends) {
                    val takesEffect = random.nextBoolean()
                    if (takesEffect) log += append.payload
                    val hasResponse = random.nextInt(4) == 0
                    if (takesEffect && !hasResponse) lostResponses++
                    tracker = when {
                        !hasResponse -> tracker.unconfirmed(append.recordId, nowMillis)
                        takesEffect -> tracker.confirmed(append.recordId)
                        else -> tracker.refused(append.recordId, nowMillis)
                    }
                }
                if (random.nextInt(4) == 0) {
                    state = state.foldAll(log.drop(state.nextOffset.toInt()))
                    val settlement = tracker.settle(state, nowMillis)
                    tracker = settlement.tracker
                    settlement.finished.forEach { outcomes[it.recordId] = it.outcome }
                }
                nowMillis += 50
            }
            val expectedState = FleetState().foldAll(log)
            for (entry in rates) {
                val verdict = expectedState.verdicts.getValue(entry.recordId)
                assertEquals(AppendOutcome.Settled(verdict), outcomes[entry.recordId], "seed $seed")
            }
        }
        assertTrue(lostResponses > 500, "lost responses: $lostResponses")
    }

    @Test
    fun `an append is reported as not appended only if no attempt can have taken effect`() {
        val submitted = AppendTracker(Backoff(100, 1_000), 1).submit(createEntry, FleetState(), deadlineMillis = 1_000)
        val started = submitted.start(0).tracker
        val afterLostResponse = started.unconfirmed("create", 10).settle(FleetState(), 1_000)
        assertEquals(listOf(FinishedAppend("create", AppendOutcome.Unknown)), afterLostResponse.finished)
        val refused = started.refused("create", 10).settle(FleetState(), 1_000)
        assertEquals(listOf(FinishedAppend("create", AppendOutcome.NotAppended)), refused.finished)
        val underWay = started.settle(FleetState(), 1_000)
        assertEquals(listOf(FinishedAppend("create", AppendOutcome.Unknown)), underWay.finished)
    }

    @Test
    fun `an append is retried with the same payload after a jittered delay`() {
        val submitted = AppendTracker(Backoff(100, 1_000), 1).submit(createEntry, FleetState(), GIVE_UP_MILLIS)
        val first = submitted.start(0)
        val afterLostResponse = first.tracker.unconfirmed("create", 0)
        assertEquals(emptyList<Append>(), afterLostResponse.start(49).appends)
        assertEquals(first.appends, afterLostResponse.start(100).appends)
        assertEquals(emptyList<Append>(), first.tracker.confirmed("create").start(GIVE_UP_MILLIS - 1).appends)
        assertNotEquals(Backoff(100, 1_000).delayMillis(3, 1), Backoff(100, 1_000).delayMillis(3, 2))
    }
}
