package org.banyanturn.entry

import io.netty.buffer.Unpooled
import org.banyanturn.entry.requests.PacedEventReceiver
import org.banyanturn.entry.requests.PacedEvents
import org.banyanturn.entry.requests.StreamEvent
import org.junit.jupiter.api.Assertions.assertEquals
import org.junit.jupiter.api.Assertions.assertFalse
import org.junit.jupiter.api.Assertions.assertTrue
import org.junit.jupiter.api.Test

private const val MAX_EVENTS = PacedEvents.MAX_EVENTS_PER_TURN

class PacedEventsTest {
    private val laterTurns = ArrayDeque<() -> Unit>()
    private val receiver = RecordingReceiver()
    private val events = PacedEvents(receiver) { laterTurns += it }

    private class RecordingReceiver : PacedEventReceiver {
        override var acceptsEvents = true
        val ids = ArrayList<Long?>()
        val flushedCounts = ArrayList<Int>()
        var isPaused = false
        var onEach: () -> Unit = {}

        override fun onEvent(event: StreamEvent) {
            ids += event.id
            onEach()
        }

        override fun onEventsEnd() {
            flushedCounts += ids.size
        }

        override fun onPause(isPaused: Boolean) {
            this.isPaused = isPaused
        }
    }

    private fun add(numbers: LongRange, rest: String = "") {
        val text = numbers.joinToString("") { "id: $it\n\n" } + rest
        events.add(Unpooled.wrappedBuffer(text.encodeToByteArray()))
    }

    private fun runTurn() = laterTurns.removeFirst().invoke()

    private fun runAllTurns() {
        while (laterTurns.isNotEmpty()) runTurn()
    }

    @Test
    fun `a stream of many small events passes on a limited number of them in a turn`() {
        add(1L..MAX_EVENTS * 4L)
        assertEquals(MAX_EVENTS, receiver.ids.size)
        var turns = 1
        while (laterTurns.isNotEmpty()) {
            val before = receiver.ids.size
            runTurn()
            turns++
            assertTrue(receiver.ids.size - before <= MAX_EVENTS, "turn $turns")
            assertTrue(laterTurns.size <= 1, "turn $turns")
        }
        assertEquals((1L..MAX_EVENTS * 4L).toList(), receiver.ids)
    }

    @Test
    fun `many parts that arrive in one turn pass on no more events than one part`() {
        (1L..MAX_EVENTS * 2L).forEach { add(it..it) }
        assertEquals(MAX_EVENTS, receiver.ids.size)
        assertEquals(1, laterTurns.size)
        runAllTurns()
        assertEquals((1L..MAX_EVENTS * 2L).toList(), receiver.ids)
    }

    @Test
    fun `a stream is not read while events wait, and is read again after the last of them`() {
        add(1L..MAX_EVENTS * 2L + 1)
        assertTrue(receiver.isPaused)
        runTurn()
        assertTrue(receiver.isPaused)
        runTurn()
        assertFalse(receiver.isPaused)
        assertEquals(MAX_EVENTS * 2 + 1, receiver.ids.size)
    }

    @Test
    fun `the events of each turn are sent at its end`() {
        add(1L..MAX_EVENTS * 2L + 1)
        runAllTurns()
        assertEquals(listOf(MAX_EVENTS, MAX_EVENTS * 2, MAX_EVENTS * 2 + 1), receiver.flushedCounts)
    }

    @Test
    fun `the end of a stream comes after all events that wait`() {
        var countAtEnd = -1
        add(1L..MAX_EVENTS + 1L)
        add(MAX_EVENTS + 2L..MAX_EVENTS * 3L, rest = "data: cut")
        events.afterEvents { countAtEnd = receiver.ids.size }
        assertEquals(-1, countAtEnd)
        runAllTurns()
        assertEquals(MAX_EVENTS * 3, countAtEnd)
        assertEquals("data: cut".length, events.partialBytes)
    }

    @Test
    fun `the end of a stream without events that wait comes at once`() {
        var hasEnded = false
        add(1L..3L)
        events.afterEvents { hasEnded = true }
        assertTrue(hasEnded)
        assertTrue(laterTurns.isEmpty())
    }

    @Test
    fun `neither events nor the end follow once no more are accepted`() {
        var hasEnded = false
        add(1L..MAX_EVENTS * 3L)
        events.afterEvents { hasEnded = true }
        receiver.acceptsEvents = false
        runAllTurns()
        assertEquals(MAX_EVENTS, receiver.ids.size)
        assertFalse(hasEnded)
    }

    @Test
    fun `no event follows one at which no more are accepted, and no turn is taken for it`() {
        receiver.onEach = { if (receiver.ids.size == MAX_EVENTS) receiver.acceptsEvents = false }
        add(1L..MAX_EVENTS * 2L)
        assertEquals(MAX_EVENTS, receiver.ids.size)
        assertTrue(laterTurns.isEmpty())
    }
}
