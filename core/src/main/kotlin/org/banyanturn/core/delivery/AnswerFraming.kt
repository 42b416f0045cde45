package org.banyanturn.core.delivery

/** How a target marks the end of its answer. */
public enum class AnswerFraming {
    /** The head states the length of the body, or the answer can't have a body. */
    LENGTH,

    /** The body comes in chunks, of which the last one is empty. */
    CHUNKS,

    /** The body ends when the connection is closed. */
    CONNECTION,
}

/**
 * How far the stream of an answer came.
 *
 * @property events number of complete events.
 * @property partialBytes number of bytes after the last complete event.
 */
public data class StreamProgress(val events: Int, val partialBytes: Int)

/** What the end of an answer says about its completeness. */
public enum class AnswerEnd {
    /** The framing states that the answer is complete. */
    COMPLETE,

    /** The target closed the connection where a complete answer may end, and nothing states more. */
    PRESUMED,

    /** The answer is incomplete. */
    BROKEN_OFF,
}

/**
 * Returns what the end of an answer with this framing says, if the target reached it without an error.
 *
 * A connection that is reset, or closed before the stated length or the last chunk, is an error and reaches no end.
 *
 * @param stream the progress of the answer's stream, or `null` if the answer is not a stream.
 */
public fun AnswerFraming.answerEnd(stream: StreamProgress?): AnswerEnd =
    when {
        stream != null && stream.partialBytes > 0 -> AnswerEnd.BROKEN_OFF
        this != AnswerFraming.CONNECTION -> AnswerEnd.COMPLETE
        stream != null && stream.events == 0 -> AnswerEnd.BROKEN_OFF
        else -> AnswerEnd.PRESUMED
    }
