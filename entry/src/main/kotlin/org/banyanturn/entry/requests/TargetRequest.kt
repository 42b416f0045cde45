package org.banyanturn.entry.requests

import io.netty.handler.codec.http.DefaultFullHttpRequest
import io.netty.handler.codec.http.EmptyHttpHeaders
import io.netty.handler.codec.http.FullHttpRequest
import io.netty.handler.codec.http.HttpHeaderNames
import io.netty.handler.codec.http.HttpMethod
import io.netty.handler.codec.http.HttpVersion
import org.banyanturn.entry.http.CallerExchange
import org.banyanturn.platform.hosted.TargetHeaders
import org.banyanturn.platform.hosted.targetRequestHeaders

/** Returns the request of [exchange] to send to a target, with the headers [added]. */
internal fun targetRequest(exchange: CallerExchange, added: TargetHeaders): FullHttpRequest {
    val head = exchange.head
    val headers = targetRequestHeaders(head.headers(), added)
    val body = exchange.body.retainedDuplicate()
    if (body.isReadable || head.method() != HttpMethod.GET) {
        headers.set(HttpHeaderNames.CONTENT_LENGTH, body.readableBytes())
    }
    return DefaultFullHttpRequest(
        HttpVersion.HTTP_1_1,
        head.method(),
        head.uri(),
        body,
        headers,
        EmptyHttpHeaders.INSTANCE,
    )
}
