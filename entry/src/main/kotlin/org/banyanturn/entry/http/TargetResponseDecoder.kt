package org.banyanturn.entry.http

import io.netty.handler.codec.http.HttpDecoderConfig
import io.netty.handler.codec.http.HttpMessage
import io.netty.handler.codec.http.HttpResponseDecoder

/** Decodes the responses of a target, and tells how many received bytes are not part of a decoded response yet. */
internal class TargetResponseDecoder(config: HttpDecoderConfig) : HttpResponseDecoder(config) {
    /** Whether the request that waits for a response has the method HEAD, so that its response has no body. */
    var isHeadRequest: Boolean = false

    /** The number of received bytes that have not been decoded. */
    val undecodedBytes: Int
        get() = actualReadableBytes()

    override fun isContentAlwaysEmpty(message: HttpMessage): Boolean =
        isHeadRequest || super.isContentAlwaysEmpty(message)

    /** Keeps both headers, so that the response is rejected rather than read by one of them. */
    override fun handleTransferEncodingChunkedWithContentLength(message: HttpMessage): Unit = Unit
}
