package org.banyanturn.core.delivery

import kotlinx.collections.immutable.PersistentMap
import kotlinx.collections.immutable.persistentMapOf

/**
 * Limits on what a target may send, so that one which sends without end takes neither memory nor time of others.
 *
 * @property maxHeadBytes most bytes before the head of an answer has arrived, with interim answers and those to another
 * attempt.
 * @property maxAnswerBytes most bytes on the connection from a request to the end of its answer, with its framing.
 * @property maxBodyBytes largest body of an answer that is passed on as a whole.
 * @property maxEventBytes largest single event of a stream.
 * @property maxEvents most events of a stream.
 * @property maxBufferedBytes most bytes of incomplete bodies and events, over all answers.
 * @property maxOverdueMillis how long a call that runs only once is awaited after its caller's deadline.
 */
public data class AnswerLimits(
    val maxHeadBytes: Int = 256 * 1024,
    val maxAnswerBytes: Long = 64L * 1024 * 1024,
    val maxBodyBytes: Int = 4 * 1024 * 1024,
    val maxEventBytes: Int = 1024 * 1024,
    val maxEvents: Int = 200_000,
    val maxBufferedBytes: Long = 24L * 1024 * 1024,
    val maxOverdueMillis: Long = 10_000,
)

/**
 * The bytes that are buffered for each of several answers [K]. Immutable.
 *
 * If they are too many in all, the answer with the most of them is given up, since a target that sends without end soon
 * has the most.
 */
public class AnswerBuffers<K : Any> private constructor(
    private val maxBytes: Long,
    private val bytesByAnswer: PersistentMap<K, Long>,
    /** The number of buffered bytes in all. */
    public val totalBytes: Long,
) {
    /** Creates buffers that may hold [maxBytes] in all. */
    public constructor(maxBytes: Long) : this(maxBytes, persistentMapOf(), 0)

    /** Returns the buffers after that of [answer] has come to hold [bytes]. */
    public fun holding(answer: K, bytes: Long): AnswerBuffers<K> {
        val heldBytes = bytesByAnswer[answer] ?: 0
        if (bytes == heldBytes) return this
        val updated = if (bytes == 0L) bytesByAnswer.removing(answer) else bytesByAnswer.putting(answer, bytes)
        return AnswerBuffers(maxBytes, updated, totalBytes + bytes - heldBytes)
    }

    /** Returns the answer to give up, or `null` if the buffers hold no more than they may. */
    public fun excessOrNull(): K? =
        if (totalBytes <= maxBytes) null else bytesByAnswer.maxByOrNull { it.value }?.key
}
