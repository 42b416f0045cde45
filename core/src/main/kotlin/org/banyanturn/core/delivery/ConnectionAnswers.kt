package org.banyanturn.core.delivery

import kotlinx.collections.immutable.PersistentSet
import kotlinx.collections.immutable.persistentSetOf

/**
 * The answers that a connection to a target has brought so far, from which it follows which attempts it may carry and
 * to which attempt its next answer belongs. Immutable.
 *
 * A faulty target may write an earlier answer once more, whole or in part. Only the attempt id tells such an answer
 * from the one that is due, so an attempt that was answered on a connection must not be sent on it again. Bytes that
 * belong to no answer may be the beginning of one: what comes next would be read as its rest, so the connection carries
 * nothing more.
 */
public data class ConnectionAnswers(
    /** Whether all bytes that have come belong to answers that were due. */
    val isClean: Boolean = true,
    private val hasAnswered: Boolean = false,
    private val answeredAttempts: PersistentSet<String> = persistentSetOf(),
) {
    /** Returns whether an attempt with [attemptId], or without an id if it is `null`, may be sent on the connection. */
    public fun mayCarry(attemptId: String?): Boolean =
        isClean && attemptId !in answeredAttempts && answeredAttempts.size < MAX_ANSWERED_ATTEMPTS

    /** Returns whether an answer with [answeredId] belongs to the attempt with [attemptId], which waits for one. */
    public fun isDue(attemptId: String?, answeredId: String?): Boolean =
        answeredId == attemptId || (answeredId == null && !hasAnswered && isClean)

    /** Returns the answers after one to the attempt with [attemptId], or without an id if it is `null`. */
    public fun answered(attemptId: String?): ConnectionAnswers =
        copy(
            hasAnswered = true,
            answeredAttempts = if (attemptId == null) answeredAttempts else answeredAttempts.adding(attemptId),
        )

    /** Returns the answers after [byteCount] bytes have come that belong to none of them. */
    public fun receivedOutside(byteCount: Int): ConnectionAnswers = if (byteCount > 0) copy(isClean = false) else this

    private companion object {
        /** Number of answered attempts after which a connection is given up, so that their ids need no more room. */
        const val MAX_ANSWERED_ATTEMPTS = 64
    }
}
