package org.banyanturn.entry.requests

import io.netty.buffer.ByteBuf

/** Receives the events of a stream from [PacedEvents]. */
internal interface PacedEventReceiver {
    /** Whether further events are to be passed on. */
    val acceptsEvents: Boolean

    /** Called with each complete event, in order. */
    fun onEvent(event: StreamEvent)

    /** Called after the events of a turn, or of a part of the stream. */
    fun onEventsEnd()

    /** Called when the stream is to be read no further for now, and when it is to be read again. */
    fun onPause(isPaused: Boolean)
}

/**
 * Splits a stream into events and passes on a limited number of them in a turn of the event loop, so that a stream of
 * many small events doesn't delay others.
 *
 * Events beyond the limit wait for later turns, and the stream is not read meanwhile.
 *
 * @property nextTurn runs a function in a later turn, after other connections have been served.
 */
internal class PacedEvents(
    private val receiver: PacedEventReceiver,
    private val nextTurn: (() -> Unit) -> Unit,
) {
    private val splitter = EventSplitter()
    private var eventsInTurn = 0
    private var onPassedOn: (() -> Unit)? = null

    /** Whether the received bytes may hold complete events, which wait for a later turn. */
    var isPaused = false
        private set

    /** The number of bytes that were not passed on; those of an incomplete event unless [isPaused]. */
    val partialBytes: Int
        get() = splitter.partialBytes

    /** The size of the buffer, in bytes. */
    val bufferBytes: Long
        get() = splitter.bufferBytes

    /** Appends [content] and passes on the events that it completes, now or in later turns. */
    fun add(content: ByteBuf) {
        splitter.append(content)
        if (!isPaused) passOn()
    }

    /** Runs [action] once all events that were received before it have been passed on, at once if they have been. */
    fun afterEvents(action: () -> Unit) {
        if (isPaused) onPassedOn = action else action()
    }

    private fun passOn() {
        while (eventsInTurn < MAX_EVENTS_PER_TURN && receiver.acceptsEvents) {
            val event = splitter.nextOrNull() ?: break
            eventsInTurn++
            receiver.onEvent(event)
        }
        isPaused = eventsInTurn == MAX_EVENTS_PER_TURN && receiver.acceptsEvents
        receiver.onEventsEnd()
        if (isPaused) pause()
    }

    private fun pause() {
        receiver.onPause(isPaused = true)
        nextTurn(::resume)
    }

    private fun resume() {
        eventsInTurn = 0
        isPaused = false
        if (!receiver.acceptsEvents) return
        passOn()
        if (isPaused) return
        receiver.onPause(isPaused = false)
        onPassedOn?.invoke()
    }

    internal companion object {
        /** Most events of one stream that are passed on in a turn of the event loop. */
        const val MAX_EVENTS_PER_TURN = 256
    }
}
