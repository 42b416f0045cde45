package org.banyanturn.entry.http

import io.netty.handler.codec.http.HttpContent
import io.netty.handler.codec.http.HttpObject
import io.netty.handler.codec.http.HttpRequest
import io.netty.util.ReferenceCountUtil

/** Holds the parts of a caller's requests in the order of their arrival, and owns them until they are removed. */
internal class RequestPartQueue {
    private val parts = ArrayDeque<HttpObject>()
    private var sizeBytes = 0L

    /** Whether no part waits. */
    val isEmpty: Boolean
        get() = parts.isEmpty()

    /** Whether so much waits that no more should be read. */
    val isFull: Boolean
        get() = sizeBytes >= MAX_SIZE_BYTES

    /** Appends [part]. */
    fun add(part: HttpObject) {
        parts.addLast(part)
        sizeBytes += sizeOf(part)
    }

    /** Removes the oldest part and returns it; its buffers belong to the caller of this function. */
    fun removeFirst(): HttpObject {
        val part = parts.removeFirst()
        sizeBytes -= sizeOf(part)
        return part
    }

    /** Releases all parts. */
    fun releaseAll() {
        parts.forEach(ReferenceCountUtil::release)
        parts.clear()
        sizeBytes = 0
    }

    private fun sizeOf(part: HttpObject): Long {
        val headBytes = if (part is HttpRequest) headSizeOf(part) else 0
        val contentBytes = if (part is HttpContent) part.content().readableBytes() else 0
        return PART_OVERHEAD_BYTES + headBytes + contentBytes
    }

    private fun headSizeOf(request: HttpRequest): Int =
        request.uri().length + request.headers().sumOf { (name, value) -> name.length + value.length }

    private companion object {
        /** Size above which a connection is not read on. */
        const val MAX_SIZE_BYTES = 131_072L

        /** Estimated size of the objects around the bytes of a part. */
        const val PART_OVERHEAD_BYTES = 256L
    }
}
