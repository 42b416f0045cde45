package org.banyanturn.entry.http

import com.github.michaelbull.result.Err
import com.github.michaelbull.result.Ok
import com.github.michaelbull.result.Result
import io.netty.buffer.ByteBuf
import io.netty.buffer.Unpooled
import io.netty.handler.codec.http.DefaultFullHttpRequest
import io.netty.handler.codec.http.DefaultHttpHeadersFactory
import io.netty.handler.codec.http.HttpHeaderNames
import io.netty.handler.codec.http.HttpMethod
import io.netty.handler.codec.http.HttpResponse
import io.netty.handler.codec.http.HttpVersion
import kotlinx.coroutines.CompletableDeferred
import kotlinx.coroutines.withTimeoutOrNull
import org.banyanturn.core.delivery.AnswerFraming
import org.banyanturn.platform.hosted.HttpExchangeCall
import org.banyanturn.platform.hosted.HttpExchangeFailure
import org.banyanturn.platform.hosted.HttpExchangeReply
import org.banyanturn.platform.hosted.HttpExchanges
import org.banyanturn.platform.hosted.SocketAddressText
import java.io.ByteArrayOutputStream

/**
 * Makes HTTP calls with short responses over the connections of [connectionPool].
 *
 * Not thread-safe: used on the event loop of the pool only.
 */
internal class PooledHttpExchanges(private val connectionPool: TargetConnectionPool) : HttpExchanges {
    override suspend fun call(
        address: SocketAddressText,
        call: HttpExchangeCall,
    ): Result<HttpExchangeReply, HttpExchangeFailure> {
        val collector = ReplyCollector(call.maxReplyBytes)
        val request = toRequest(address, call)
        val attempt =
            connectionPool.send(address, request, attemptId = null, collector, isAlone = call.needsOwnConnection)
        collector.onTooLong = attempt::cancel
        val result = withTimeoutOrNull(call.timeoutMillis) { collector.result.await() }
        if (result != null) return result
        attempt.cancel()
        return Err(HttpExchangeFailure(wasSent = true, "no answer within ${call.timeoutMillis} ms"))
    }

    private fun toRequest(address: SocketAddressText, call: HttpExchangeCall): DefaultFullHttpRequest {
        val request = DefaultFullHttpRequest(
            HttpVersion.HTTP_1_1,
            HttpMethod.valueOf(call.method),
            call.pathAndQuery,
            Unpooled.wrappedBuffer(call.body),
            DefaultHttpHeadersFactory.headersFactory().withValidation(false),
            DefaultHttpHeadersFactory.trailersFactory(),
        )
        request.headers().set(HttpHeaderNames.HOST, address.toString())
        call.headers.forEach { (name, value) -> request.headers().set(name, value) }
        if (call.body.isNotEmpty() || call.method != "GET") {
            request.headers().set(HttpHeaderNames.CONTENT_LENGTH, call.body.size)
        }
        return request
    }
}

private class ReplyCollector(private val maxBytes: Int) : AttemptListener {
    val result = CompletableDeferred<Result<HttpExchangeReply, HttpExchangeFailure>>()
    private val body = ByteArrayOutputStream()
    private var head: HttpResponse? = null

    /** Called when the response exceeds [maxBytes]. */
    var onTooLong: () -> Unit = {}

    override fun onHead(response: HttpResponse) {
        head = response
    }

    override fun onBody(content: ByteBuf) {
        if (body.size() + content.readableBytes() > maxBytes) {
            onTooLong()
            result.complete(Err(HttpExchangeFailure(wasSent = true, "an answer of more than $maxBytes bytes")))
            return
        }
        content.readBytes(body, content.readableBytes())
    }

    override fun onEnd(framing: AnswerFraming) {
        val response = checkNotNull(head) { "the response ended before its head was received" }
        val headers = response.headers().associate { it.key.lowercase() to it.value }
        val repeated = if (headers.size == response.headers().size()) emptySet() else repeatedNames(response)
        result.complete(Ok(HttpExchangeReply(response.status().code(), headers, body.toByteArray(), repeated)))
    }

    private fun repeatedNames(response: HttpResponse): Set<String> {
        val seen = HashSet<String>()
        return response.headers().map { it.key.lowercase() }.filterNotTo(HashSet(), seen::add)
    }

    override fun onFailure(failure: AttemptFailure) {
        result.complete(Err(HttpExchangeFailure(failure.wasSent, failure.reason)))
    }
}
