package org.banyanturn.core.routing

import org.banyanturn.core.MemberId
import org.junit.jupiter.api.Assertions.assertEquals
import org.junit.jupiter.api.Assertions.assertTrue
import org.junit.jupiter.api.Test
import kotlin.math.ln
import kotlin.math.roundToLong
import kotlin.random.Random

private const val MAX_GAP_MILLIS = 300L
private const val MAX_FIRST_EVENT_MILLIS = 1_000L
private const val MAX_TOTAL_PREFILL_MILLIS = 135.0
private const val TOKENS_PER_MILLI = 19.1
private const val MAX_TOKENS_PER_STEP = 4_096.0
private const val STEP_MILLIS = 8.9
private const val STEPS_PER_EVENT = 3
private const val MESSAGE_MILLIS = 8.0
private const val STREAMS = 1_500

class PrefillSchedulerTest {
    private val scheduler = PrefillScheduler<Int>()

    private fun prompt(prefillMillis: Double, latestSendMillis: Long = 10_000, member: String = "growers") =
        PrefillRequest(MemberId(member), prefillMillis, MAX_TOTAL_PREFILL_MILLIS, latestSendMillis)

    @Test
    fun `prompts are sent up to the prefill limit and the next one follows when an earlier one has completed`() {
        assertEquals(listOf(1), scheduler.submit(1, prompt(60.0), 0))
        assertEquals(listOf(2), scheduler.submit(2, prompt(70.0), 1))
        assertEquals(emptyList<Int>(), scheduler.submit(3, prompt(50.0), 2))
        assertEquals(emptyList<Int>(), scheduler.submit(4, prompt(1.0), 3), "prompts of one member keep their order")
        assertEquals(listOf(3, 4), scheduler.completed(1, 90))
    }

    @Test
    fun `a prompt that exceeds the prefill limit is sent alone`() {
        assertEquals(listOf(1), scheduler.submit(1, prompt(500.0), 0))
        assertEquals(emptyList<Int>(), scheduler.submit(2, prompt(500.0), 1))
        assertEquals(listOf(2), scheduler.completed(1, 600))
    }

    @Test
    fun `a prompt is sent at its latest send time even if the limit is exceeded`() {
        scheduler.submit(1, prompt(130.0), 0)
        scheduler.submit(2, prompt(130.0, latestSendMillis = 400), 1)
        assertEquals(emptyList<Int>(), scheduler.tick(399))
        assertEquals(listOf(2), scheduler.tick(400))
    }

    /** Load: one member sends many prompts to an engine and another member sends few. */
    @Test
    fun `a member with few prompts does not wait for all prompts of a member with many`() {
        repeat(8) { scheduler.submit(it, prompt(100.0, member = "large"), 0) }
        scheduler.submit(20, prompt(100.0, member = "small"), 1)
        scheduler.submit(21, prompt(100.0, member = "small"), 2)
        assertEquals(listOf(20), scheduler.completed(0, 150))
        assertEquals(listOf(1), scheduler.completed(20, 300))
        assertEquals(listOf(21), scheduler.completed(1, 450))
        assertEquals(listOf(2), scheduler.completed(21, 600))
    }

    private fun ranked(rank: Int?, onTimeByMillis: Long = 1_000, latestSendMillis: Long = 10_000) =
        prompt(100.0, latestSendMillis).copy(urgency = rank?.let { PromptUrgency(it, onTimeByMillis, 400.0) })

    /** Failure: the prompts of a VM that states no rank are always last, or always first. */
    @Test
    fun `prompts of several ranks are sent by rank, and those without a rank in between`() {
        val ranked = PrefillScheduler<Int>(defaultRank = 1)
        ranked.submit(0, ranked(0), 0)
        ranked.submit(1, ranked(2), 1)
        ranked.submit(2, ranked(null), 2)
        ranked.submit(3, ranked(0), 3)
        assertEquals(listOf(3), ranked.completed(0, 100))
        assertEquals(listOf(2), ranked.completed(3, 200))
        assertEquals(listOf(1), ranked.completed(2, 300))
    }

    /** Failure: prompts of the least urgent rank never get a turn while urgent ones arrive. */
    @Test
    fun `a prompt of the least urgent rank is sent at its latest send time`() {
        ranked(0).let { urgent -> repeat(8) { scheduler.submit(it, urgent, 0) } }
        scheduler.submit(20, ranked(2, onTimeByMillis = 300, latestSendMillis = 300), 0)
        assertEquals(listOf(1), scheduler.completed(0, 100))
        assertEquals(listOf(2), scheduler.completed(1, 200))
        assertEquals(listOf(20), scheduler.tick(300))
    }

    @Test
    fun `submitting and completing a prompt are idempotent`() {
        scheduler.submit(1, prompt(100.0), 0)
        assertEquals(listOf(1), scheduler.submit(1, prompt(100.0), 5))
        scheduler.submit(2, prompt(100.0), 6)
        scheduler.submit(2, prompt(100.0), 7)
        assertEquals(listOf(2), scheduler.completed(1, 100))
        assertEquals(emptyList<Int>(), scheduler.completed(1, 101))
        scheduler.completed(2, 200)
        assertTrue(scheduler.isEmpty)
    }

    @Test
    fun `a prompt whose completion is not reported blocks the others only until the timeout`() {
        scheduler.submit(1, prompt(100.0), 0)
        scheduler.submit(2, prompt(100.0), 1)
        assertEquals(emptyList<Int>(), scheduler.tick(1_000))
        assertEquals(listOf(2), scheduler.tick(1_001))
    }

    /** Load: pairs of prompts for a busy model with one copy, whose engine spends a third of its time on prefill. */
    @Test
    fun `the scheduler at least halves the streams that begin late or exceed the gap limit`() {
        listOf(1, 2, 3).forEach { seed ->
            val unscheduled = EngineSimulation(seed, usesScheduler = false).run()
            listOf(0.7, 1.0, 1.5).forEach { speedErrorFactor ->
                val scheduled = EngineSimulation(seed, usesScheduler = true, speedErrorFactor).run()
                assertTrue(
                    scheduled.withLongGap + scheduled.late < (unscheduled.withLongGap + unscheduled.late) / 2,
                    "seed $seed, speed error factor $speedErrorFactor: $scheduled, without the scheduler $unscheduled",
                )
                assertTrue(
                    scheduled.late <= 2 * unscheduled.late + STREAMS / 50,
                    "$scheduled, without the scheduler $unscheduled",
                )
            }
        }
    }
}

/** The number of streams with an event after more than [MAX_GAP_MILLIS], and of those whose first event was late. */
private data class LateStreams(val withLongGap: Int, val late: Int)

/**
 * Simulates an engine that interleaves chunked prefill with the decoding steps of its streams, and its callers.
 *
 * @property speedErrorFactor ratio of the estimated to the actual prefill time.
 */
private class EngineSimulation(
    seed: Int,
    private val usesScheduler: Boolean,
    private val speedErrorFactor: Double = 1.0,
) {
    private class Stream(val arrivedMillis: Double, val tokens: Double, val events: Int) {
        var remainingTokens = tokens
        var steps = 0
        var lastEventMillis = 0.0
        var deliveredEvents = 0
        var hasLongGap = false
        var isLate = false
    }

    private val random = Random(seed)
    private val streams = arrivals()
    private val scheduler = PrefillScheduler<Int>()

    /** Messages in transit, each with its arrival time and the index of its stream. */
    private val promptsInTransit = ArrayList<Pair<Double, Int>>()
    private val completionsInTransit = ArrayList<Pair<Double, Int>>()

    private fun exponential(mean: Double): Double = -ln(1 - random.nextDouble()) * mean

    private fun arrivals(): List<Stream> {
        var atMillis = 0.0
        return List(STREAMS) { index ->
            if (index % 2 == 0) atMillis += exponential(mean = 400.0)
            val tokens = 350 + exponential(mean = 1_000.0).coerceAtMost(3_790.0)
            Stream(atMillis, tokens, events = 5 + exponential(mean = 40.0).toInt().coerceAtMost(150))
        }
    }

    private fun submit(index: Int, atMillis: Double) {
        if (!usesScheduler) {
            promptsInTransit += atMillis to index
            return
        }
        val stream = streams[index]
        val prefillMillis = stream.tokens / TOKENS_PER_MILLI * speedErrorFactor
        val latestSendMillis = stream.arrivedMillis.roundToLong() + MAX_FIRST_EVENT_MILLIS
        val prompt = PrefillRequest(MemberId("growers"), prefillMillis, MAX_TOTAL_PREFILL_MILLIS, latestSendMillis)
        send(scheduler.submit(index, prompt, atMillis.roundToLong()), atMillis)
    }

    private fun send(indices: List<Int>, atMillis: Double) {
        indices.forEach { promptsInTransit += atMillis + MESSAGE_MILLIS to it }
    }

    fun run(): LateStreams {
        var nowMillis = 0.0
        var submittedCount = 0
        val pendingPrefills = ArrayDeque<Stream>()
        val running = ArrayList<Stream>()
        while (streams.any { it.deliveredEvents < it.events }) {
            while (submittedCount < STREAMS && streams[submittedCount].arrivedMillis <= nowMillis) {
                submit(submittedCount, streams[submittedCount].arrivedMillis)
                submittedCount++
            }
            if (usesScheduler) receiveCompletions(nowMillis)
            promptsInTransit.filter { it.first <= nowMillis }.forEach { pendingPrefills += streams[it.second] }
            promptsInTransit.removeIf { it.first <= nowMillis }
            val started = ArrayList<Stream>()
            nowMillis += STEP_MILLIS + prefillChunks(pendingPrefills, started) / TOKENS_PER_MILLI
            running.forEach { step(it, nowMillis) }
            running.removeIf { it.deliveredEvents >= it.events }
            running += started
        }
        return LateStreams(streams.count { it.hasLongGap }, streams.count { it.isLate })
    }

    private fun receiveCompletions(nowMillis: Double) {
        completionsInTransit.filter { it.first <= nowMillis }.forEach { (atMillis, index) ->
            send(scheduler.completed(index, atMillis.roundToLong()), atMillis)
        }
        completionsInTransit.removeIf { it.first <= nowMillis }
        send(scheduler.tick(nowMillis.roundToLong()), nowMillis)
    }

    private fun prefillChunks(pendingPrefills: ArrayDeque<Stream>, started: MutableList<Stream>): Double {
        var tokenBudget = MAX_TOKENS_PER_STEP
        while (tokenBudget > 0 && pendingPrefills.isNotEmpty()) {
            val first = pendingPrefills.first()
            val chunk = minOf(tokenBudget, first.remainingTokens)
            first.remainingTokens -= chunk
            tokenBudget -= chunk
            if (first.remainingTokens <= 0) started += pendingPrefills.removeFirst()
        }
        return MAX_TOKENS_PER_STEP - tokenBudget
    }

    private fun step(stream: Stream, nowMillis: Double) {
        stream.steps++
        if (stream.steps % STEPS_PER_EVENT != 0) return
        if (stream.deliveredEvents == 0) {
            stream.isLate = nowMillis - stream.arrivedMillis > MAX_FIRST_EVENT_MILLIS
            completionsInTransit += nowMillis + MESSAGE_MILLIS to streams.indexOf(stream)
        } else if (nowMillis - stream.lastEventMillis > MAX_GAP_MILLIS) {
            stream.hasLongGap = true
        }
        stream.lastEventMillis = nowMillis
        stream.deliveredEvents++
    }
}
