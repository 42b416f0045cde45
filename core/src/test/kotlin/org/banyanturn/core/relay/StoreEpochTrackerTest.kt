package org.banyanturn.core.relay

import org.junit.jupiter.api.Assertions.assertEquals
import org.junit.jupiter.api.Assertions.assertThrows
import org.junit.jupiter.api.Assertions.assertTrue
import org.junit.jupiter.api.Test

class StoreEpochTrackerTest {
    private val tracker = StoreEpochTracker()

    @Test
    fun `without the header every response is current in epoch 0`() {
        repeat(3) { assertEquals(EpochReading.Current, tracker.observe(null)) }
        assertEquals(0, tracker.current)
    }

    @Test
    fun `the first epoch of a VM that starts late is no rollback, and a later rise is one`() {
        assertEquals(EpochReading.Risen(7, previous = 0, isRollback = false), tracker.observe("7"))
        assertEquals(EpochReading.Risen(8, previous = 7, isRollback = true), tracker.observe("8"))
        assertEquals(EpochReading.Current, tracker.observe("8"))
        assertEquals(EpochReading.Current, tracker.observe(null), "a response without the header")
    }

    @Test
    fun `a response of an earlier epoch that arrives late is stale and changes nothing`() {
        tracker.observe("4")
        tracker.observe("5")
        assertEquals(EpochReading.Stale(4, current = 5), tracker.observe("4"))
        assertEquals(5, tracker.current)
    }

    @Test
    fun `values that are no epoch are ignored, and the last valid one stays in force`() {
        tracker.observe("3")
        listOf("", "x", "-1", "+4", "4.0", "1e3", "0x4", "1048577", "9".repeat(60), "4, 4", "٤").forEach {
            assertEquals(EpochReading.Unreadable(it), tracker.observe(it), "value $it")
        }
        assertEquals(3, tracker.current)
    }

    @Test
    fun `one wrong high value does not make the correct responses stale`() {
        tracker.observe("3")
        assertEquals(EpochReading.Unconfirmed(1_000_000), tracker.observe("1000000"))
        assertEquals(EpochReading.Current, tracker.observe("3"))
        assertEquals(EpochReading.Unconfirmed(1_000_000), tracker.observe("1000000"), "the two are not in a row")
    }

    @Test
    fun `a VM that missed a rollback adopts the epoch with the second response that states it`() {
        tracker.observe("3")
        assertEquals(EpochReading.Unconfirmed(5), tracker.observe("5"))
        assertEquals(EpochReading.Risen(5, previous = 3, isRollback = true), tracker.observe("5"))
    }

    @Test
    fun `fencing numbers rise with the epoch and equal the generation in epoch 0`() {
        assertEquals(41, fencingNumber(epoch = 0, generation = 41))
        assertTrue(fencingNumber(epoch = 2, generation = 0) > fencingNumber(epoch = 1, MAX_GENERATION))
        assertTrue(fencingNumber(MAX_STORE_EPOCH, MAX_GENERATION) < 1L shl 53)
        assertThrows(IllegalArgumentException::class.java) { fencingNumber(epoch = 1, MAX_GENERATION + 1) }
    }
}
