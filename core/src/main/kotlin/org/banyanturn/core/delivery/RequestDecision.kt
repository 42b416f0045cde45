package org.banyanturn.core.delivery

import org.banyanturn.core.TargetId

/** An action that the router carries out for a request. */
public sealed interface RequestDecision {
    /** Record the idempotency key, then report [RequestEvent.ReservationSettled]. */
    public data object Reserve : RequestDecision

    /** Wait until the holder of the idempotency key records an outcome, then report [RequestEvent.OutcomeRecorded]. */
    public data object AwaitOutcome : RequestDecision

    /** Choose a target, if possible none of the [avoidedTargets], then report [RequestEvent.TargetChosen]. */
    public data class ChooseTarget(val avoidedTargets: Set<TargetId>) : RequestDecision

    /** Send the request to [targetId]; the answer omits its first [resumeAtToken] tokens. */
    public data class SendAttempt(val attemptId: AttemptId, val targetId: TargetId, val resumeAtToken: Int) :
        RequestDecision

    /** Report [RequestEvent.TimerFired] at [atMillis]. */
    public data class WaitUntil(val atMillis: Long) : RequestDecision

    /** Forward [text] to the caller as the next part of its answer. */
    public data class Forward(val text: String) : RequestDecision

    /** Signal the caller that its streamed answer is complete. */
    public data class FinishStream(val tokenCount: Int, val finishReason: String) : RequestDecision

    /** Send the caller the whole [answer]; [isReplay] if it is the stored answer to an earlier request. */
    public data class Answer(val answer: StoredOutcome, val isReplay: Boolean) : RequestDecision

    /** Refuse the request; [endsStream] if parts of the answer were delivered, so the stream ends with an error. */
    public data class Refuse(val refusal: Refusal, val endsStream: Boolean) : RequestDecision

    /** Cancel the attempt on its engine. */
    public data class CancelAttempt(val attemptId: AttemptId, val targetId: TargetId) : RequestDecision

    /** Record the outcome for the idempotency key; the request ends whether or not that succeeds. */
    public data class RecordOutcome(val result: OutcomeResult) : RequestDecision
}
