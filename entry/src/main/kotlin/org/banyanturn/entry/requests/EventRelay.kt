package org.banyanturn.entry.requests

import io.netty.buffer.ByteBuf
import io.netty.buffer.Unpooled
import io.netty.handler.codec.http.HttpResponse
import org.banyanturn.entry.http.CallerExchange
import org.banyanturn.platform.hosted.callerAnswerHeaders

/** Passes the events of a stream on to its caller, each once, under the head of the first target that answered. */
internal class EventRelay(private val exchange: CallerExchange) {
    /** Whether the caller has the head of the answer. */
    var hasStarted = false
        private set

    /** The number of the last event that was passed on, or `null`. */
    var lastEventId: Long? = null
        private set

    /** Passes [event] on and returns whether it was new to the caller. */
    fun pass(event: StreamEvent, head: HttpResponse): Boolean {
        val last = lastEventId
        if (event.id != null && last != null && event.id <= last) return false
        start(head)
        exchange.write(Unpooled.wrappedBuffer(event.bytes))
        if (event.id != null) lastEventId = event.id
        return true
    }

    /** Passes on what a stream that has ended holds after its last whole event. */
    fun forwardRest(rest: ByteBuf, head: HttpResponse) {
        start(head)
        if (rest.isReadable) exchange.write(rest) else rest.release()
    }

    private fun start(head: HttpResponse) {
        if (hasStarted) return
        hasStarted = true
        exchange.startResponse(head.status().code(), callerAnswerHeaders(head.headers()))
    }
}
