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
