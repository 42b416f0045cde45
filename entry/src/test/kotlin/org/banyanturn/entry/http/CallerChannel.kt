package org.banyanturn.entry.http

import io.netty.buffer.ByteBuf
import io.netty.buffer.UnpooledByteBufAllocator
import io.netty.channel.embedded.EmbeddedChannel
import io.netty.handler.codec.http.DefaultHttpHeaders
import io.netty.handler.codec.http.FullHttpResponse
import io.netty.handler.codec.http.HttpObjectAggregator
import io.netty.handler.codec.http.HttpResponseDecoder
import org.banyanturn.core.serving.CallerLimits
import org.junit.jupiter.api.Assertions.assertEquals

/** A request as it reaches the code that serves it. */
internal data class SeenRequest(val method: String, val path: String, val id: String?, val body: String)

/** A response as its caller reads it. */
internal data class SeenResponse(val status: Int, val id: String?, val body: String)

/** A caller's connection without a socket, whose requests are answered as [onRequest] says. */
internal class CallerChannel(
    private val maxBodyBytes: Int = 65_536,
    private val onRequest: CallerChannel.(CallerExchange) -> Unit = {},
) {
    /** What the connection's clock shows. */
    var nowMillis = 0L

    /** Whether the process is shutting down. */
    var isClosing = false

    /** The requests in the order in which they were passed on. */
    val requests = ArrayList<SeenRequest>()

    /** The exchange that was passed on last. */
    var lastExchange: CallerExchange? = null
        private set

    /** Whether a request was passed on before the one before it had its response. */
    var hasOverlap = false
        private set

    private val allocator = UnpooledByteBufAllocator(false)
    private val connections = LinkedHashSet<CallerConnection>()
    val channel = EmbeddedChannel()

    /** The connection's handler. */
    val connection: CallerConnection

    /** Whether the connection reads on. */
    val isReading: Boolean
        get() = channel.config().isAutoRead

    init {
        channel.config().allocator = allocator
        val limits = CallerLimits(
            maxHeaderBytes = 8_192,
            maxBodyBytes = maxBodyBytes,
            headerTimeoutMillis = HEADER_TIMEOUT_MILLIS,
            idleTimeoutMillis = IDLE_TIMEOUT_MILLIS,
        )
        val shared = CallerConnectionContext({ nowMillis }, { limits }, { isClosing }, ::pass, connections)
        addCallerConnection(channel, shared)
        connection = connections.single()
    }

    private fun pass(exchange: CallerExchange) {
        if (lastExchange?.hasEnded == false) hasOverlap = true
        lastExchange = exchange
        requests += SeenRequest(
            exchange.head.method().name(),
            exchange.head.uri(),
            exchange.head.headers()[ID],
            exchange.body.toString(Charsets.UTF_8),
        )
        onRequest(exchange)
    }

    /** Delivers [text] in one read; whatever the connection has put off runs afterwards. */
    fun read(text: String) {
        channel.pipeline().fireChannelRead(buffer(text))
        channel.pipeline().fireChannelReadComplete()
        channel.runPendingTasks()
    }

    /** Sends the whole response to [exchange], without running what the connection puts off. */
    fun answer(exchange: CallerExchange) {
        val id = exchange.head.headers()[ID]
        exchange.answer(STATUS_OK, DefaultHttpHeaders().set(ID, id.orEmpty()), buffer("for $id"))
    }

    /** Sends the response to [exchange] in parts, without running what the connection puts off. */
    fun answerInParts(exchange: CallerExchange) {
        val id = exchange.head.headers()[ID]
        exchange.startResponse(STATUS_OK, DefaultHttpHeaders().set(ID, id.orEmpty()))
        exchange.write(buffer("for "))
        exchange.write(buffer("$id"))
        exchange.finish()
    }

    /** Returns a buffer with [text] that counts among those that must be released. */
    fun buffer(text: String): ByteBuf = allocator.buffer().writeBytes(text.encodeToByteArray())

    /** Returns the final responses that were written since the last call, in their order. */
    fun takeResponses(): List<SeenResponse> {
        val decoder = EmbeddedChannel(HttpResponseDecoder(), HttpObjectAggregator(MAX_RESPONSE_BYTES))
        decoder.writeInbound(decoder.alloc().buffer().writeBytes(takeWritten().encodeToByteArray()))
        decoder.finish()
        return generateSequence { decoder.readInbound<FullHttpResponse>() }
            .map { it.use(::seenResponse) }
            .filter { it.status >= STATUS_OK }
            .toList()
    }

    private fun FullHttpResponse.use(read: (FullHttpResponse) -> SeenResponse): SeenResponse =
        try {
            read(this)
        } finally {
            release()
        }

    private fun seenResponse(response: FullHttpResponse): SeenResponse {
        check(response.decoderResult().isSuccess) { "not a response: ${response.decoderResult()}" }
        val body = response.content().toString(Charsets.UTF_8)
        return SeenResponse(response.status().code(), response.headers()[ID], body)
    }

    /** Returns the bytes that were written since the last call. */
    fun takeWritten(): String =
        generateSequence { channel.readOutbound<ByteBuf>() }.joinToString("") { written ->
            written.toString(Charsets.UTF_8).also { written.release() }
        }

    /** Closes the connection and checks that no buffer is left. */
    fun closeAndCheckBuffers() {
        channel.finishAndReleaseAll()
        assertEquals(0, allocator.metric().usedHeapMemory(), "bytes of buffers on the heap that are left")
        assertEquals(0, allocator.metric().usedDirectMemory(), "bytes of direct buffers that are left")
    }

    companion object {
        const val HEADER_TIMEOUT_MILLIS = 5_000L
        const val IDLE_TIMEOUT_MILLIS = 15_000L
        private const val ID = "Attempt-Id"
        private const val STATUS_OK = 200
        private const val MAX_RESPONSE_BYTES = 65_536

        /** Returns the bytes of a request; [chunkSizes] cuts the body into chunks instead of stating its length. */
        fun requestText(request: SeenRequest, extraHeaders: String = "", chunkSizes: List<Int>? = null): String {
            val fields = "Host: a.example\r\n$ID: ${request.id}\r\n$extraHeaders"
            val head = "${request.method} ${request.path} HTTP/1.1\r\n$fields"
            return when {
                chunkSizes != null -> "${head}Transfer-Encoding: chunked\r\n\r\n${chunks(request.body, chunkSizes)}"
                request.body.isEmpty() -> "$head\r\n"
                else -> "${head}Content-Length: ${request.body.length}\r\n\r\n${request.body}"
            }
        }

        private fun chunks(body: String, sizes: List<Int>): String {
            val text = StringBuilder()
            var start = 0
            sizes.forEach { size ->
                val chunk = body.substring(start, minOf(start + size, body.length))
                if (chunk.isNotEmpty()) text.append("${chunk.length.toString(16)}\r\n$chunk\r\n")
                start += chunk.length
            }
            val rest = body.substring(start)
            if (rest.isNotEmpty()) text.append("${rest.length.toString(16)}\r\n$rest\r\n")
            return text.append("0\r\n\r\n").toString()
        }
    }
}
