package org.banyanturn.entry.requests

import org.banyanturn.core.delivery.AnswerBuffers

/** Holds bytes of an answer in memory. */
internal fun interface AnswerHolder {
    /** Gives up the answer and releases its bytes. */
    fun giveUp(reason: String)
}

/**
 * Bounds the memory that all answers take: those that are being received, and those that callers have not read yet.
 *
 * Used on the event loop only.
 */
internal class AnswerMemory(maxBytes: Long) {
    private var buffers = AnswerBuffers<AnswerHolder>(maxBytes)

    /** Records that [holder] holds [bytes], and gives up the answer with the most bytes if they are too many. */
    fun hold(holder: AnswerHolder, bytes: Long) {
        buffers = buffers.holding(holder, bytes)
        buffers.excessOrNull()?.giveUp("too many bytes of answers in memory")
    }
}
