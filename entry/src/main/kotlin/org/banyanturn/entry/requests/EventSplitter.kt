package org.banyanturn.entry.requests

import io.netty.buffer.ByteBuf

/**
 * Represents one complete event of a stream, including the blank line that ends it.
 *
 * @property id the number in the event's `id` line, or `null` if it has none.
 */
internal class StreamEvent(val bytes: ByteArray, val id: Long?)

/** Splits the bytes of a `text/event-stream` into complete events, so that a stream never stops inside an event. */
internal class EventSplitter {
    private var pending = ByteArray(INITIAL_BYTES)
    private var start = 0
    private var length = 0
    private var scanned = 0

    /** The number of buffered bytes of an incomplete event. */
    val partialBytes: Int
        get() = length - start

    /** The size of the buffer, in bytes. */
    val bufferBytes: Long
        get() = pending.size.toLong()

    /** Appends [content], from which [nextOrNull] takes the events. */
    fun append(content: ByteBuf) {
        val added = content.readableBytes()
        if (length + added > pending.size) moveToFront()
        if (length + added > pending.size) pending = pending.copyOf(maxOf(pending.size * 2, length + added))
        content.readBytes(pending, length, added)
        length += added
    }

    /** Removes the next complete event and returns it, or returns `null` if there is none. */
    fun nextOrNull(): StreamEvent? {
        val end = endOfEventOrNull() ?: return null
        val bytes = pending.copyOfRange(start, end)
        start = end
        scanned = end
        if (start == length) clear()
        return StreamEvent(bytes, idOrNull(bytes))
    }

    private fun moveToFront() {
        pending.copyInto(pending, 0, start, length)
        length -= start
        scanned -= start
        start = 0
    }

    private fun clear() {
        start = 0
        length = 0
        scanned = 0
        if (pending.size > MAX_EMPTY_BYTES) pending = ByteArray(INITIAL_BYTES)
    }

    /** Returns the index after the first blank line, or `null` if there is none. */
    private fun endOfEventOrNull(): Int? {
        for (index in scanned until length) {
            if (pending[index] == NEWLINE && isBlankLineBefore(index)) return index + 1
        }
        scanned = maxOf(start, length - 1)
        return null
    }

    private fun isBlankLineBefore(index: Int): Boolean {
        if (index > start && pending[index - 1] == NEWLINE) return true
        return index > start + 1 && pending[index - 1] == CARRIAGE_RETURN && pending[index - 2] == NEWLINE
    }

    private fun idOrNull(event: ByteArray): Long? =
        event.decodeToString().lineSequence()
            .firstOrNull { it.startsWith(ID_FIELD) }
            ?.removePrefix(ID_FIELD)?.trim()?.toLongOrNull()

    private companion object {
        const val INITIAL_BYTES = 512

        /** Size up to which an empty buffer is kept. */
        const val MAX_EMPTY_BYTES = 16_384
        const val NEWLINE = '\n'.code.toByte()
        const val CARRIAGE_RETURN = '\r'.code.toByte()
        const val ID_FIELD = "id:"
    }
}
