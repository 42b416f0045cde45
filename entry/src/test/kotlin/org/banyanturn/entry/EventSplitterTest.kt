package org.banyanturn.entry

import io.netty.buffer.Unpooled
import org.banyanturn.entry.requests.EventSplitter
import org.banyanturn.entry.requests.StreamEvent
import org.junit.jupiter.api.Assertions.assertEquals
import org.junit.jupiter.api.Assertions.assertFalse
import org.junit.jupiter.api.Assertions.assertTrue
import org.junit.jupiter.api.Test
import kotlin.random.Random

class EventSplitterTest {
    private fun split(parts: List<String>): Pair<List<StreamEvent>, EventSplitter> {
        val splitter = EventSplitter()
        val events = ArrayList<StreamEvent>()
        parts.forEach { part -> splitter.add(Unpooled.wrappedBuffer(part.encodeToByteArray())) { events += it } }
        return events to splitter
    }

    @Test
    fun `events come whole, however the bytes are cut, and nothing is lost`() {
        val text =
            (1..20).joinToString("") { "id: $it\ndata: part ${"x".repeat(it * 7 % 50)}\n\n" } + "id: 21\ndata: cut"
        repeat(50) { seed ->
            val random = Random(seed)
            val parts = ArrayList<String>()
            var at = 0
            while (at < text.length) {
                val next = minOf(text.length, at + random.nextInt(1, 40))
                parts += text.substring(at, next)
                at = next
            }
            val (events, splitter) = split(parts)
            assertEquals((1L..20L).toList(), events.map { it.id }, "seed $seed")
            assertTrue(splitter.hasPartialEvent)
            val all =
                events.joinToString("") { it.bytes.decodeToString() } + splitter.takeRest().toString(Charsets.UTF_8)
            assertEquals(text, all, "seed $seed")
        }
    }

    @Test
    fun `lines may end with carriage returns, and events may have no number`() {
        val (events, splitter) = split(listOf("data: a\r\n\r\n", "weight-versions: 3\nid: 4\ndata: b\n\n"))
        assertEquals(listOf(null, 4L), events.map { it.id })
        assertFalse(splitter.hasPartialEvent)
    }
}
