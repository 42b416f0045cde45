package org.banyanturn.entry.http

import io.kotest.common.ExperimentalKotest
import io.kotest.property.PropTestConfig
import io.kotest.property.arbitrary.arbitrary
import io.kotest.property.checkAll
import io.netty.buffer.Unpooled
import io.netty.channel.embedded.EmbeddedChannel
import io.netty.handler.codec.http.HttpDecoderConfig
import io.netty.handler.codec.http.HttpRequestEncoder
import kotlinx.coroutines.test.runTest
import org.junit.jupiter.api.Assertions.assertTrue
import org.junit.jupiter.api.Test
import kotlin.random.Random

private const val SEED = 44L
private const val CASES = 4_000
private const val MAX_EXCHANGES = 4
private const val MAX_CUTS = 8

/** Shares of the gaps between answers that hold remainders, in percent; a connection has one of them. */
private val REMAINDER_PERCENT = listOf(0, 30, 70)

/** Attempt id that no planned attempt has. */
private const val NEXT_ID = "next"

/** Guards against answers that get mixed up on a connection whose target writes more, or less, than its answers. */
@OptIn(ExperimentalKotest::class)
class TargetConnectionPropertyTest {
    private var sentAgain = 0
    private var withSurplus = 0

    private fun assertNone(rule: ConnectionRule) = runTest {
        checkAll(PropTestConfig(seed = SEED, iterations = CASES), arbitrary { it.random.nextLong() }) { seed ->
            val trial = ConnectionTrial(ConnectionPlan(Random(seed)))
            val broken = trial.run().filter { it.rule == rule }
            assertTrue(broken.isEmpty()) { "seed $seed: ${broken.joinToString("\n")}\n${trial.describe()}" }
            if (trial.sentRequests > 1) sentAgain++
            if (trial.hadSurplus) withSurplus++
        }
        assertTrue(sentAgain > CASES / 10, "$sentAgain connections carried more than one request")
        assertTrue(withSurplus > CASES / 10, "$withSurplus connections brought bytes where no answer was due")
    }

    @Test
    fun `no attempt completes with a status, seal or body that was not meant for it`() = assertNone(ConnectionRule.OWN)

    @Test
    fun `no request is sent after bytes behind an answer or on an idle connection`() =
        assertNone(ConnectionRule.SURPLUS)

    @Test
    fun `no whole answer is lost and no connection is given up before bytes that belong to no answer`() =
        assertNone(ConnectionRule.CLEAN)

    @Test
    fun `no attempt ends twice or never`() = assertNone(ConnectionRule.ONCE)
}

/** What must hold for every connection to a target. */
private enum class ConnectionRule {
    /** A complete result is exactly what the target meant for the attempt. */
    OWN,

    /** A connection on which bytes came behind an answer, or while no attempt waited, carries no further attempt. */
    SURPLUS,

    /** As long as there were only whole answers, each attempt completes and the connection is usable again. */
    CLEAN,

    /** An attempt ends once, at the latest with its connection, and is told nothing after that. */
    ONCE,
}

private class Violation(val rule: ConnectionRule, private val text: String) {
    override fun toString(): String = "$rule: $text"
}

/** The bytes of one connection in the order in which they arrive, and when requests are sent in between. */
private class ConnectionPlan(random: Random) {
    private val bytes = TargetBytes(random)
    private val remainderPercent = REMAINDER_PERCENT.random(random)

    val answers = mutableListOf<PlannedAnswer>()

    /** Offset of the end of each answer. */
    val answerEnds = mutableListOf<Int>()

    /** Number of bytes that have come before a request at the latest when it is sent. */
    val sendOffsets = mutableListOf<Int>()

    /** Whether a request is sent by the one who is told of the end of the answer before, in the midst of a read. */
    val isSentAtOnce = mutableListOf<Boolean>()

    /** Number of answers before the first remainder. */
    val cleanAnswers: Int

    val stream: String

    /** Ends of the reads. */
    val cuts: List<Int>

    init {
        val written = StringBuilder()
        var clean: Int? = null
        repeat(random.nextInt(1, MAX_EXCHANGES + 1)) { index ->
            val gap = gap(random)
            if (gap.isNotEmpty() && clean == null) clean = index
            sendOffsets += written.length + listOf(0, gap.length, random.nextInt(gap.length + 1)).random(random)
            isSentAtOnce += random.nextBoolean()
            answers += bytes.answer("attempt-$index")
            written.append(gap).append(answers.last().text)
            answerEnds += written.length
        }
        written.append(gap(random))
        cleanAnswers = clean ?: answers.size
        stream = truncated(written.toString(), random)
        cuts = cuts(random)
    }

    private fun gap(random: Random): String {
        if (random.nextInt(100) >= remainderPercent) return ""
        val isFirst = answers.isEmpty()
        val pieces = if (isFirst) 1 else random.nextInt(1, 3)
        return (1..pieces).joinToString("") { bytes.remainder(answers, isFirst) }
    }

    /** Lets the target close the connection within the last exchange, now and then. */
    private fun truncated(written: String, random: Random): String =
        if (random.nextInt(4) > 0) written else written.take(random.nextInt(sendOffsets.last(), written.length + 1))

    private fun cuts(random: Random): List<Int> {
        val anywhere = (0..random.nextInt(MAX_CUTS)).map { random.nextInt(stream.length + 1) }
        return (anywhere + sendOffsets + stream.length).filter { it > 0 }.distinct().sorted()
    }

    /** Whether the connection has brought nothing but whole answers up to the one at [index], which came whole. */
    fun isClean(index: Int): Boolean = index < cleanAnswers && answerEnds[index] <= stream.length

    /** Whether the connection has brought nothing but whole answers before the request at [index]. */
    fun isCleanBefore(index: Int): Boolean = index < cleanAnswers

    /** Whether the connection has brought [arrivedBytes], which are nothing but [wholeAnswers] whole answers. */
    fun areAllClean(wholeAnswers: Int, arrivedBytes: Int): Boolean =
        wholeAnswers in 1..cleanAnswers && answerEnds[wholeAnswers - 1] == arrivedBytes
}

/** Plays a [plan] on a connection without a socket, as the pool uses it. */
private class ConnectionTrial(private val plan: ConnectionPlan) {
    private val decoder = TargetResponseDecoder(HttpDecoderConfig())
    private val channel = EmbeddedChannel()
    private val connection = TargetConnection(
        channel,
        decoder,
        onIdle = {},
        onClosed = {},
        onUnsolicitedBytes = { _, _ -> },
    )
    private val attempts = mutableListOf<RecordedAttempt>()
    private val violations = mutableListOf<Violation>()
    private val events = mutableListOf<String>()
    private var arrivedBytes = 0
    private var isOver = false

    val sentRequests: Int
        get() = attempts.size

    /** Whether bytes came while no answer was due. */
    var hadSurplus = false
        private set

    /** Returns which rules the connection has broken. */
    fun run(): List<Violation> {
        channel.pipeline().addLast(connection.byteCounter, HttpRequestEncoder(), decoder, connection)
        sendIfDue()
        for (end in plan.cuts) {
            if (isOver || !channel.isOpen) break
            read(end)
            sendIfDue()
        }
        events += "<close>"
        channel.finishAndReleaseAll()
        attempts.forEachIndexed(::checkResult)
        return violations
    }

    private fun read(end: Int) {
        val bytes = plan.stream.substring(arrivedBytes, end)
        arrivedBytes = end
        events += escaped(bytes)
        channel.writeInbound(Unpooled.copiedBuffer(bytes, Charsets.ISO_8859_1))
        channel.releaseOutbound()
        if (attempts.all { it.isEnded }) checkIdle()
    }

    private fun checkIdle() {
        val isUsable = isUsable(NEXT_ID)
        checkSurplus(isUsable)
        if (!isUsable && plan.areAllClean(attempts.size, arrivedBytes)) {
            report(ConnectionRule.CLEAN, "not usable after ${attempts.size} whole answers")
        }
    }

    private fun isUsable(id: String?): Boolean = connection.isUsable && connection.mayCarry(id)

    private fun sendIfDue() {
        val index = attempts.size
        if (!isOver && index < plan.answers.size && plan.sendOffsets[index] <= arrivedBytes) send(index)
    }

    private fun sendAtOnce() {
        val index = attempts.size
        if (!isOver && index < plan.answers.size && plan.isSentAtOnce[index]) send(index)
    }

    private fun send(index: Int) {
        val due = plan.answers[index]
        val isUsable = attempts.all { it.isEnded } && isUsable(due.id)
        isOver = !isUsable
        checkSurplus(isUsable)
        if (!isUsable && plan.isCleanBefore(index)) report(ConnectionRule.CLEAN, "not usable for attempt $index")
        if (!isUsable) return
        events += "<request $index>"
        attempts += RecordedAttempt(due, ::sendAtOnce)
        connection.send(attemptRequest(due.id), due.id, attempts.last())
    }

    private fun checkSurplus(isUsable: Boolean) {
        val dueBytes = if (attempts.isEmpty()) 0 else plan.answerEnds[attempts.size - 1]
        if (arrivedBytes <= dueBytes) return
        hadSurplus = true
        if (isUsable) report(ConnectionRule.SURPLUS, "usable after ${arrivedBytes - dueBytes} bytes for no attempt")
    }

    private fun checkResult(index: Int, attempt: RecordedAttempt) {
        if (attempt.isMixed) report(ConnectionRule.OWN, "attempt $index $attempt")
        if (attempt.completed == null && plan.isClean(index)) report(ConnectionRule.CLEAN, "attempt $index $attempt")
        if (attempt.ends != 1 || attempt.isToldAfterEnd) report(ConnectionRule.ONCE, "attempt $index: ${attempt.ends}")
    }

    private fun report(rule: ConnectionRule, text: String) {
        violations += Violation(rule, text)
    }

    /** Returns the reads, one a line, and the requests between them. */
    fun describe(): String = events.joinToString("\n")
}
