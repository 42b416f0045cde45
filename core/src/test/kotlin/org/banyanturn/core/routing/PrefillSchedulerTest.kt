package org.banyanturn.core.routing

import org.banyanturn.core.MemberId
import org.junit.jupiter.api.Assertions.assertEquals
import org.junit.jupiter.api.Assertions.assertTrue
import org.junit.jupiter.api.Test
import kotlin.math.ln
import kotlin.math.roundToLong
import kotlin.random.Random

private const val PAUSE_MILLIS = 300L
private const val FIRST_PART_MILLIS = 1_000L
private const val TOGETHER_MILLIS = 135.0
private const val TOKENS_PER_MILLI = 19.1
private const val MOST_TOKENS_A_STEP = 4_096.0
private const val STEP_MILLIS = 8.9
private const val STEPS_PER_EVENT = 3
private const val MESSAGE_MILLIS = 8.0
private const val STREAMS = 1_500

class PrefillSchedulerTest {
    private val gate = PrefillScheduler<Int>()

    private fun prompt(prefillMillis: Double, latestSendMillis: Long = 10_000, member: String = "growers") =
        PrefillRequest(MemberId(member), prefillMillis, TOGETHER_MILLIS, latestSendMillis)

    @Test
    fun `prompts that fit into half a pause together are sent at once, the next one when one of them was read`() {
        assertEquals(listOf(1), gate.submit(1, prompt(60.0), 0))
        assertEquals(listOf(2), gate.submit(2, prompt(70.0), 1))
        assertEquals(emptyList<Int>(), gate.submit(3, prompt(50.0), 2))
        assertEquals(emptyList<Int>(), gate.submit(4, prompt(1.0), 3), "it does not overtake the one before")
        assertEquals(listOf(3, 4), gate.completed(1, 90))
    }

    @Test
    fun `a prompt that is too long for any pause is sent alone`() {
        assertEquals(listOf(1), gate.submit(1, prompt(500.0), 0))
        assertEquals(emptyList<Int>(), gate.submit(2, prompt(500.0), 1))
        assertEquals(listOf(2), gate.completed(1, 600))
    }

    @Test
    fun `a prompt is sent at the latest when its caller can't wait longer`() {
        gate.submit(1, prompt(130.0), 0)
        gate.submit(2, prompt(130.0, latestSendMillis = 400), 1)
        assertEquals(emptyList<Int>(), gate.tick(399))
        assertEquals(listOf(2), gate.tick(400))
    }

    /** Load: a large member sends many prompts to an engine at which a small one sends few. */
    @Test
    fun `a member with few prompts does not wait behind all those of a member with many`() {
        repeat(8) { gate.submit(it, prompt(100.0, member = "large"), 0) }
        gate.submit(20, prompt(100.0, member = "small"), 1)
        gate.submit(21, prompt(100.0, member = "small"), 2)
        assertEquals(listOf(20), gate.completed(0, 150))
        assertEquals(listOf(1), gate.completed(20, 300))
        assertEquals(listOf(21), gate.completed(1, 450))
        assertEquals(listOf(2), gate.completed(21, 600))
    }

    @Test
    fun `asking twice, or telling of the end twice, changes nothing`() {
        gate.submit(1, prompt(100.0), 0)
        assertEquals(listOf(1), gate.submit(1, prompt(100.0), 5))
        gate.submit(2, prompt(100.0), 6)
        gate.submit(2, prompt(100.0), 7)
        assertEquals(listOf(2), gate.completed(1, 100))
        assertEquals(emptyList<Int>(), gate.completed(1, 101))
        gate.completed(2, 200)
        assertTrue(gate.isEmpty)
    }

    @Test
    fun `a prompt of which nothing is heard again does not hold up the others for long`() {
        gate.submit(1, prompt(100.0), 0)
        gate.submit(2, prompt(100.0), 1)
        assertEquals(emptyList<Int>(), gate.tick(1_000))
        assertEquals(listOf(2), gate.tick(1_001))
    }

    /** Load: pairs of prompts come to the one holder of a busy model, which reads a third of its time. */
    @Test
    fun `held back for a moment, prompts break less than half as many streams`() {
        listOf(1, 2, 3).forEach { seed ->
            val sentAtOnce = EngineReplay(seed, isGated = false).lateStreams()
            listOf(0.7, 1.0, 1.5).forEach { error ->
                val gated = EngineReplay(seed, isGated = true, error).lateStreams()
                assertTrue(
                    gated.broken + gated.late < (sentAtOnce.broken + sentAtOnce.late) / 2,
                    "seed $seed, speed wrong by $error: $gated, without the gate $sentAtOnce",
                )
                assertTrue(gated.late <= 2 * sentAtOnce.late + STREAMS / 50, "$gated, without $sentAtOnce")
            }
        }
    }
}

/** How many streams had their pauses broken, and how many began late. */
private data class LateStreams(val broken: Int, val late: Int)

/**
 * An engine that reads prompts in pieces between the tokens of its streams, and the prompts that callers send there.
 *
 * @property error by what factor the estimate of the engine's speed is wrong.
 */
private class EngineReplay(seed: Int, private val isGated: Boolean, private val error: Double = 1.0) {
    private class Stream(val arrivedMillis: Double, val tokens: Double, val events: Int) {
        var unreadTokens = tokens
        var steps = 0
        var lastEventMillis = 0.0
        var seen = 0
        var isBroken = false
        var isLate = false
    }

    private val random = Random(seed)
    private val streams = arrivals()
    private val gate = PrefillScheduler<Int>()

    /** Messages on their way, by the time when they arrive. */
    private val sent = ArrayList<Pair<Double, Int>>()
    private val read = ArrayList<Pair<Double, Int>>()

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
        if (!isGated) {
            sent += atMillis to index
            return
        }
        val stream = streams[index]
        val prefillMillis = stream.tokens / TOKENS_PER_MILLI * error
        val latestSendMillis = stream.arrivedMillis.roundToLong() + FIRST_PART_MILLIS
        val prompt = PrefillRequest(MemberId("growers"), prefillMillis, TOGETHER_MILLIS, latestSendMillis)
        admit(gate.submit(index, prompt, atMillis.roundToLong()), atMillis)
    }

    private fun admit(indices: List<Int>, atMillis: Double) {
        indices.forEach { sent += atMillis + MESSAGE_MILLIS to it }
    }

    fun lateStreams(): LateStreams {
        var nowMillis = 0.0
        var asked = 0
        val unread = ArrayDeque<Stream>()
        val running = ArrayList<Stream>()
        while (streams.any { it.seen < it.events }) {
            while (asked < STREAMS && streams[asked].arrivedMillis <= nowMillis) {
                submit(asked, streams[asked].arrivedMillis)
                asked++
            }
            if (isGated) hear(nowMillis)
            sent.filter { it.first <= nowMillis }.forEach { unread += streams[it.second] }
            sent.removeIf { it.first <= nowMillis }
            val begun = ArrayList<Stream>()
            nowMillis += STEP_MILLIS + readPieces(unread, begun) / TOKENS_PER_MILLI
            running.forEach { step(it, nowMillis) }
            running.removeIf { it.seen >= it.events }
            running += begun
        }
        return LateStreams(streams.count { it.isBroken }, streams.count { it.isLate })
    }

    private fun hear(nowMillis: Double) {
        read.filter { it.first <= nowMillis }.forEach { (atMillis, index) ->
            admit(gate.completed(index, atMillis.roundToLong()), atMillis)
        }
        read.removeIf { it.first <= nowMillis }
        admit(gate.tick(nowMillis.roundToLong()), nowMillis)
    }

    private fun readPieces(unread: ArrayDeque<Stream>, begun: MutableList<Stream>): Double {
        var room = MOST_TOKENS_A_STEP
        while (room > 0 && unread.isNotEmpty()) {
            val first = unread.first()
            val piece = minOf(room, first.unreadTokens)
            first.unreadTokens -= piece
            room -= piece
            if (first.unreadTokens <= 0) begun += unread.removeFirst()
        }
        return MOST_TOKENS_A_STEP - room
    }

    private fun step(stream: Stream, nowMillis: Double) {
        stream.steps++
        if (stream.steps % STEPS_PER_EVENT != 0) return
        if (stream.seen == 0) {
            stream.isLate = nowMillis - stream.arrivedMillis > FIRST_PART_MILLIS
            read += nowMillis + MESSAGE_MILLIS to streams.indexOf(stream)
        } else if (nowMillis - stream.lastEventMillis > PAUSE_MILLIS) {
            stream.isBroken = true
        }
        stream.lastEventMillis = nowMillis
        stream.seen++
    }
}
