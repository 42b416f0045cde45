package org.banyanturn.core.delivery

import org.banyanturn.core.TargetId

/** What is known of an attempt that did not end with a usable answer. */
public enum class AttemptEvidence {
    /** No byte of the request left for the target. */
    NOT_SENT,

    /** The target answered that it did nothing. */
    REFUSED,

    /** Bytes of the request left and no usable answer came. */
    UNKNOWN,

    /** The target said that it ran the request, but its answer was cut. */
    RAN,
}

/** What happens to a request. */
public sealed interface RequestEvent {
    /** The request was admitted and may start. */
    public data object Started : RequestEvent

    /** The idempotency key's record is settled. */
    public data class ReservationSettled(val result: ReservationResult) : RequestEvent

    /** The outcome of the earlier request with the same idempotency key was recorded. */
    public data class OutcomeRecorded(val outcome: StoredOutcome) : RequestEvent

    /** The VM that holds the idempotency key is gone, so that nobody will record an outcome. */
    public data object ReservationHolderGone : RequestEvent

    /** The router's policy chose [targetId] for the next attempt. */
    public data class TargetChosen(val targetId: TargetId) : RequestEvent

    /** No target can take the request within [retryAfterMillis]. */
    public data class NoTarget(val retryAfterMillis: Long) : RequestEvent

    /** A part of a streamed answer came. */
    public data class ChunkReceived(val chunk: AnswerChunk) : RequestEvent

    /** The whole answer of a call came; a refusal by status that says nothing was done is [AttemptFailed]. */
    public data class AttemptAnswered(val attemptId: AttemptId, val answer: StoredOutcome) : RequestEvent

    /**
     * The attempt ended without a usable answer.
     *
     * @property isRetryable whether another target may do better; `false` where the request itself is at fault.
     */
    public data class AttemptFailed(
        val attemptId: AttemptId,
        val evidence: AttemptEvidence,
        val isRetryable: Boolean = true,
    ) : RequestEvent

    /** Time has passed: a wait or the deadline may be over. */
    public data object TimerFired : RequestEvent

    /** The caller closed its connection. */
    public data object CallerGone : RequestEvent

    /** The key that came with the request was withdrawn. */
    public data object KeyWithdrawn : RequestEvent

    /** The VM shuts down, and its limit for running requests has come. */
    public data object ShutdownLimitReached : RequestEvent

    /** The request's fingerprint is blocked, since it crashed its targets; released in [releaseInMillis]. */
    public data class FingerprintBlocked(val releaseInMillis: Long) : RequestEvent
}
