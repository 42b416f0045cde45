package org.banyanturn.entry

import org.junit.jupiter.api.AfterEach
import org.junit.jupiter.api.Assertions.assertEquals
import org.junit.jupiter.api.Assertions.assertTrue
import org.junit.jupiter.api.Test
import java.util.concurrent.CompletableFuture
import java.util.concurrent.TimeUnit

/** A join within 0.5 s, the lease of 2 s of former owners, the takeover of 0.4 s, a load of 0.2 s, and some delay. */
private const val LOAD_BOUND_MILLIS = 6_000L

/** The time in which the VM joins again, and so sees the epoch; before that its orders belong to the former one. */
private const val SEEN_MILLIS = 700L
private const val HEARTBEATS = 40
private const val HEARTBEAT_MILLIS = 100L

/** Tests a VM against a store that is restored from an older copy, over real connections. */
class StoreRollbackProcessTest {
    private val fixture = EntryFixture()
    private val platform = fixture.platform

    @AfterEach
    fun stop(): Unit = fixture.close()

    private fun statusOf(attemptId: String, model: String): Int =
        fixture.send("/notes/1", "Authorization", "Bearer k1", "Attempt-Id", attemptId, "Model", model).statusCode()

    private fun highestFencingNumber(): Long =
        listOf("i-1", "i-2").flatMap { platform.fencingNumbersAt(it) }.maxOrNull() ?: 0

    /** Guards against requests refused, a catalog taken back, or orders with a number of before the rollback. */
    @Test
    fun `requests are served during a rollback, and a model is loaded soon after it under a higher number`() {
        platform.storeEpoch = 3
        fixture.startAndAwaitRoutes()
        fixture.awaitTrue("an adapter is loaded") { statusOf("a", "m0/a1") == 200 }
        val numberBefore = highestFencingNumber()
        assertEquals(3, numberBefore shr 32)

        platform.rollBackStore(lostMillis = 1_000)
        val startNanos = System.nanoTime()
        val loadMillis = CompletableFuture.supplyAsync {
            TimeUnit.MILLISECONDS.sleep(SEEN_MILLIS)
            fixture.awaitTrue("a model is loaded") { statusOf("m", "m1") == 200 }
            TimeUnit.NANOSECONDS.toMillis(System.nanoTime() - startNanos)
        }
        val statuses = (1..HEARTBEATS).map { number ->
            platform.listAll()
            TimeUnit.MILLISECONDS.sleep(HEARTBEAT_MILLIS)
            statusOf("r-$number", "m0")
        }
        assertEquals(setOf(200), statuses.toSet())
        val elapsedMillis = loadMillis.get(LOAD_BOUND_MILLIS, TimeUnit.MILLISECONDS)
        println("a model was loaded $elapsedMillis ms after the rollback")
        assertTrue(elapsedMillis < LOAD_BOUND_MILLIS, "$elapsedMillis ms")
        assertEquals(4, highestFencingNumber() shr 32)
    }

    /** Guards against a VM that stays on offsets which the restored store no longer has, where it states no epoch. */
    @Test
    fun `without an epoch the list is read anew and new targets are used`() {
        fixture.startAndAwaitRoutes()
        repeat(100) { platform.listAll() }
        TimeUnit.MILLISECONDS.sleep(1_500)
        platform.rollBackStore(lostMillis = 3_000)
        platform.listAll()
        platform.declare(fixture.hostedDocument(version = 3, keys = "\"k1\", \"k2\""))
        fixture.awaitTrue("the newer catalog is in force") {
            fixture.send("/book/1", "Authorization", "Bearer k2", "Attempt-Id", "k2").statusCode() == 200
        }
        platform.unlist("i-3")
        fixture.awaitTrue("the target is no longer used") {
            fixture.send("/open/1", "Attempt-Id", "gone").statusCode() != 200
        }
    }
}
