package org.banyanturn.entry.requests

import io.netty.buffer.Unpooled
import io.netty.handler.codec.http.HttpResponse
import org.banyanturn.entry.http.CallerExchange
import org.banyanturn.platform.hosted.callerAnswerHeaders

/**
 * Forwards the events of a stream to its caller, each of them once.
 *
 * The caller receives the response head of the first target that answered.
 */
internal class EventRelay(private val exchange: CallerExchange) {
    /** Whether the head of the response has been sent to the caller. */
    var hasStarted = false
        private set

    /** The id of the last forwarded event that has one, or `null` if there is none. */
    var lastEventId: Long? = null
        private set

    /** Forwards [event], which [flush] sends, unless the caller has it, and returns whether it was forwarded. */
    fun forward(event: StreamEvent, head: HttpResponse): Boolean {
        val last = lastEventId
        if (event.id != null && last != null && event.id <= last) return false
        start(head)
        exchange.write(Unpooled.wrappedBuffer(event.bytes))
        if (event.id != null) lastEventId = event.id
        return true
    }

    /** Sends the events that were forwarded. */
    fun flush(): Unit = exchange.flush()

    /** Sends [head] to the caller, unless a head was sent before; the stream may have no events. */
    fun start(head: HttpResponse) {
        if (hasStarted) return
        hasStarted = true
        exchange.startResponse(head.status().code(), callerAnswerHeaders(head.headers()))
    }
}
