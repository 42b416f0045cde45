package org.banyanturn.entry.http

import io.netty.buffer.ByteBuf
import io.netty.channel.embedded.EmbeddedChannel
import io.netty.handler.codec.http.HttpResponseStatus
import org.junit.jupiter.api.Assertions.assertEquals
import org.junit.jupiter.api.Test

/** Guards against long polls that are sent ahead on a connection and get each other's responses. */
class LongPollSentAheadTest {
    private val responders = LinkedHashMap<String, (SmallResponse) -> Unit>()
    private val channel = EmbeddedChannel().also { embedded ->
        addSmallRequestHandlers(embedded) { request, respond -> responders[request.uri()] = respond }
    }

    private fun send(path: String) {
        channel.writeInbound(channel.alloc().buffer().writeBytes("GET $path HTTP/1.1\r\n\r\n".encodeToByteArray()))
    }

    private fun respond(path: String) {
        responders.getValue(path)(SmallResponse(HttpResponseStatus.OK, "[$path]".encodeToByteArray()))
    }

    private fun writtenBodies(): List<String> {
        val written = generateSequence { channel.readOutbound<ByteBuf>() }.joinToString("") { buffer ->
            buffer.toString(Charsets.UTF_8).also { buffer.release() }
        }
        return Regex("\\[(.*)]").findAll(written).map { it.groupValues[1] }.toList()
    }

    @Test
    fun `responses come in the order of the requests`() {
        listOf("/1", "/2", "/3").forEach(::send)
        respond("/2")
        assertEquals(emptyList<String>(), writtenBodies())
        respond("/1")
        assertEquals(listOf("/1", "/2"), writtenBodies())
        respond("/3")
        assertEquals(listOf("/3"), writtenBodies())
        channel.finishAndReleaseAll()
    }
}
