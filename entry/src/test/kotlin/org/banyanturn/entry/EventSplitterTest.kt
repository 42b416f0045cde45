package org.banyanturn.entry

import io.netty.buffer.Unpooled
import org.banyanturn.entry.requests.EventSplitter
import org.banyanturn.entry.requests.StreamEvent
import org.junit.jupiter.api.Assertions.assertEquals
import org.junit.jupiter.api.Test
import kotlin.random.Random

class EventSplitterTest {
    private fun split(parts: List<String>): Pair<List<StreamEvent>, EventSplitter> {
        val splitter = EventSplitter()
        val events = ArrayList<StreamEvent>()
        parts.forEach { part ->
            splitter.append(Unpooled.wrappedBuffer(part.encodeToByteArray()))
            events += generateSequence { splitter.nextOrNull() }
        }
        return events to splitter
    }

    @Test
    fun `events are complete for any split of the bytes, and no byte is lost`() {
        val text =
            (1..20).joinToString("") { "id: $it\ndata: part ${"x".repeat(it * 7 % 50)}\n\n" } + "id: 21\ndata: cut"
        repeat(50) { seed ->
            val random = Random(seed)
            val parts = ArrayList<String>()
            var offset = 0
            while (offset < text.length) {
                val end = minOf(text.length, offset + random.nextInt(1, 40))
                parts += text.substring(offset, end)
                offset = end
            }
            val (events, splitter) = split(parts)
            assertEquals((1L..20L).toList(), events.map { it.id }, "seed $seed")
            assertEquals("id: 21\ndata: cut".length, splitter.partialBytes, "seed $seed")
            val joined = events.joinToString("") { it.bytes.decodeToString() } + "id: 21\ndata: cut"
            assertEquals(text, joined, "seed $seed")
        }
    }

    @Test
    fun `lines may end with CRLF, and events may have no id`() {
        val (events, splitter) = split(listOf("data: a\r\n\r\n", "weight-versions: 3\nid: 4\ndata: b\n\n"))
        assertEquals(listOf(null, 4L), events.map { it.id })
        assertEquals(0, splitter.partialBytes)
    }
}
