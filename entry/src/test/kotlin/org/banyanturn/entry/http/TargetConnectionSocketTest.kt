package org.banyanturn.entry.http

import io.netty.channel.MultiThreadIoEventLoopGroup
import io.netty.channel.nio.NioIoHandler
import org.banyanturn.daemon.processClock
import org.banyanturn.entry.ConnectionEnd
import org.banyanturn.entry.ScriptedAnswer
import org.banyanturn.entry.ScriptedTarget
import org.banyanturn.platform.hosted.SocketAddressText
import org.junit.jupiter.api.AfterEach
import org.junit.jupiter.api.Assertions.assertEquals
import org.junit.jupiter.api.Assertions.assertFalse
import org.junit.jupiter.api.Assertions.assertTrue
import org.junit.jupiter.api.Test
import java.util.concurrent.Callable
import java.util.concurrent.ConcurrentHashMap
import java.util.concurrent.CopyOnWriteArrayList
import java.util.concurrent.TimeUnit
import kotlin.random.Random

/** Guards against answers that get mixed up on pooled connections over sockets. */
class TargetConnectionSocketTest {
    private val group = MultiThreadIoEventLoopGroup(1, NioIoHandler.newFactory())
    private val loop = group.next()
    private val settings =
        ConnectionPoolSettings(connectTimeoutMillis = CLEAN_MILLIS.toInt(), maxIdleMillis = MAX_IDLE_MILLIS)
    private val pool = TargetConnectionPool(loop, processClock(), settings = settings)
    private val script = ConcurrentHashMap<String, ScriptedAnswer>()
    private val target = ScriptedTarget { script.getValue(it.attemptId) }
    private val address = SocketAddressText("127.0.0.1", target.port)
    private val attempts = CopyOnWriteArrayList<RecordedAttempt>()

    @AfterEach
    fun stop() {
        target.close()
        group.shutdownGracefully(0, STOP_MILLIS, TimeUnit.MILLISECONDS).await(STOP_MILLIS)
    }

    private fun <T> onLoop(run: () -> T): T = loop.submit(Callable { run() }).get(CLEAN_MILLIS, TimeUnit.MILLISECONDS)

    /** Sends a request that the target answers with [due] after the bytes [before], and awaits its end. */
    private fun exchange(
        due: PlannedAnswer,
        before: String = "",
        trailing: String = "",
        pauseMillis: Long = 0,
        end: ConnectionEnd = ConnectionEnd.KEEP,
        limitMillis: Long = UNCLEAN_MILLIS,
    ): RecordedAttempt {
        val id = checkNotNull(due.id)
        script[id] = ScriptedAnswer(before + due.text, end, pauseMillis = pauseMillis, trailing = trailing)
        val attempt = RecordedAttempt(due).also { attempts += it }
        val sent = onLoop { pool.send(address, attemptRequest(id), id, attempt) }
        if (!attempt.awaitEnd(limitMillis)) onLoop { sent.cancel() }
        return attempt
    }

    private fun assertOwn(attempt: RecordedAttempt, context: () -> String) =
        assertFalse(attempt.isMixed) { "${context()}: $attempt" }

    /** Awaits the closes of all connections, after which nothing may reach an attempt. */
    private fun assertEndedOnce() {
        target.close()
        group.shutdownGracefully(0, STOP_MILLIS, TimeUnit.MILLISECONDS).await(STOP_MILLIS)
        attempts.forEach { assertTrue(it.ends <= 1 && !it.isToldAfterEnd) { "${it.ends} ends: $it" } }
    }

    private fun assertAllCuts(exchangeTwice: (PlannedAnswer, PlannedAnswer, String) -> List<RecordedAttempt>) {
        val bytes = TargetBytes(Random(SEED))
        listOf("earlier" to false, null to true).forEach { (id, isChunked) ->
            val second = bytes.answer(id, status = 200, isChunked).text
            (1..second.length).forEach { cut ->
                val first = bytes.answer("first-$id-$isChunked-$cut", status = 200)
                val next = bytes.answer("next-$id-$isChunked-$cut", status = 500)
                val remainder = second.take(cut)
                exchangeTwice(first, next, remainder).forEach { attempt ->
                    assertOwn(attempt) { "seed $SEED remainder '${escaped(remainder)}'" }
                }
            }
        }
        assertEndedOnce()
    }

    @Test
    fun `no part of a second answer in the write of the first turns the next failure into a success`() =
        assertAllCuts { first, next, remainder ->
            listOf(exchange(first, trailing = remainder), exchange(next, end = ConnectionEnd.CLOSE))
        }

    @Test
    fun `no part of a second answer on an idle connection turns the next failure into a success`() =
        assertAllCuts { first, next, remainder ->
            val done = exchange(first, trailing = remainder, pauseMillis = PAUSE_MILLIS)
            Thread.sleep(2 * PAUSE_MILLIS)
            listOf(done, exchange(next, end = ConnectionEnd.CLOSE))
        }

    @Test
    fun `no part of a second answer before the next failure turns it into a success`() =
        assertAllCuts { first, next, remainder ->
            listOf(exchange(first), exchange(next, before = remainder, end = ConnectionEnd.CLOSE))
        }

    @Test
    fun `no random remainder gives an attempt the answer of another`() {
        repeat(RANDOM_CASES) { case ->
            val seed = SEED + case
            exchangeAtRandom(case, Random(seed)) { "seed $seed" }
        }
        assertEndedOnce()
    }

    private fun exchangeAtRandom(case: Int, random: Random, context: () -> String) {
        val bytes = TargetBytes(random)
        val earlier = mutableListOf<PlannedAnswer>()
        repeat(EXCHANGES) { index ->
            val due = bytes.answer("case-$case-$index")
            val before = if (random.nextInt(3) == 0) bytes.remainder(earlier, isFirst = true) else ""
            earlier += due
            val trailing = if (random.nextBoolean()) bytes.remainder(earlier, isFirst = false) else ""
            val pauseMillis = if (random.nextBoolean()) PAUSE_MILLIS else 0
            val isLast = before.isNotEmpty() || index == EXCHANGES - 1
            val end = if (isLast) ConnectionEnd.CLOSE else ConnectionEnd.KEEP
            val attempt = exchange(due, before, trailing, pauseMillis, end)
            assertOwn(attempt) { "${context()} before '${escaped(before)}' behind '${escaped(trailing)}'" }
            if (random.nextBoolean()) Thread.sleep(2 * PAUSE_MILLIS)
        }
    }

    @Test
    fun `clean answers in sequence do not cost a connection each`() {
        val bytes = TargetBytes(Random(SEED))
        repeat(CLEAN_REQUESTS) { index ->
            val attempt = exchange(bytes.answer("clean-$index"), limitMillis = CLEAN_MILLIS)
            assertEquals(attempt.due.toString(), attempt.completed) { "seed $SEED request $index: ${attempt.failure}" }
        }
        assertEquals(1, onLoop { pool.openedConnections })
        assertEquals(1, target.openedConnections.get())
        assertEndedOnce()
    }

    private companion object {
        const val SEED = 44L
        const val RANDOM_CASES = 150
        const val EXCHANGES = 3
        const val CLEAN_REQUESTS = 60

        /** Time before a remainder that comes while the connection is idle. */
        const val PAUSE_MILLIS = 2L

        /** Time after which an attempt is given up whose answer a remainder may have swallowed. */
        const val UNCLEAN_MILLIS = 300L
        const val CLEAN_MILLIS = 5_000L
        const val STOP_MILLIS = 2_000L

        /** Time after which a connection is stale; long, since a remainder without an id needs a used connection. */
        const val MAX_IDLE_MILLIS = 60_000L
    }
}
