package org.banyanturn.core.delivery

import org.banyanturn.core.TargetId

/** The evidence on whether an attempt without a usable answer was run. */
public enum class AttemptEvidence {
    /** No byte of the request was sent to the target. */
    NOT_SENT,

    /** The target responded that it ran no part of the request. */
    REFUSED,

    /** Bytes of the request were sent, and no usable answer arrived. */
    UNKNOWN,

    /** The target reported that it ran the request, but its answer is incomplete. */
    RAN,
}

/** An event in the processing of a request. */
public sealed interface RequestEvent {
    /** The request was admitted and may start. */
    public data object Started : RequestEvent

    /** The reservation of the idempotency key has a [result]. */
    public data class ReservationSettled(val result: ReservationResult) : RequestEvent

    /** The outcome of the earlier request with the same idempotency key was recorded. */
    public data class OutcomeRecorded(val outcome: StoredOutcome) : RequestEvent

    /** The VM that holds the idempotency key is gone, so no outcome will be recorded. */
    public data object ReservationHolderGone : RequestEvent

    /** The router chose [targetId] for the next attempt. */
    public data class TargetChosen(val targetId: TargetId) : RequestEvent

    /** No target can accept the request within [retryAfterMillis] milliseconds. */
    public data class NoTarget(val retryAfterMillis: Long) : RequestEvent

    /** A chunk of a streamed answer arrived. */
    public data class ChunkReceived(val chunk: AnswerChunk) : RequestEvent

    /** The whole answer of a call arrived; a status that states that nothing was run is [AttemptFailed] instead. */
    public data class AttemptAnswered(val attemptId: AttemptId, val answer: StoredOutcome) : RequestEvent

    /**
     * The attempt ended without a usable answer.
     *
     * @property isRetryable whether another target may succeed; `false` if the request itself is invalid.
     */
    public data class AttemptFailed(
        val attemptId: AttemptId,
        val evidence: AttemptEvidence,
        val isRetryable: Boolean = true,
    ) : RequestEvent

    /** A timer of [RequestDecision.WaitUntil] fired: a wait or the deadline may be over. */
    public data object TimerFired : RequestEvent

    /** The caller closed its connection. */
    public data object CallerGone : RequestEvent

    /** The API key of the request was withdrawn. */
    public data object KeyWithdrawn : RequestEvent

    /** The VM is shutting down and has reached its time limit for running requests. */
    public data object ShutdownLimitReached : RequestEvent

    /** The request's fingerprint is blocked for [releaseInMillis] more milliseconds, since it crashed its targets. */
    public data class FingerprintBlocked(val releaseInMillis: Long) : RequestEvent
}
