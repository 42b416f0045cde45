package org.banyanturn.core.delivery

import org.banyanturn.core.TargetId

/** What the router does next for a request. */
public sealed interface RequestDecision {
    /** Record the idempotency key; report [RequestEvent.ReservationSettled]. */
    public data object Reserve : RequestDecision

    /** Watch for the outcome that the holder of the idempotency key records; report [RequestEvent.OutcomeRecorded]. */
    public data object AwaitOutcome : RequestDecision

    /** Choose a target, other than the [avoidedTargets] if there is any; report [RequestEvent.TargetChosen]. */
    public data class ChooseTarget(val avoidedTargets: Set<TargetId>) : RequestDecision

    /** Send the request to [targetId]; the answer leaves out its first [resumeAtToken] tokens. */
    public data class SendAttempt(val attemptId: AttemptId, val targetId: TargetId, val resumeAtToken: Int) :
        RequestDecision

    /** Report [RequestEvent.TimerFired] at [atMillis]. */
    public data class WaitUntil(val atMillis: Long) : RequestDecision

    /** Give [text] to the caller, as the next part of its answer. */
    public data class Forward(val text: String) : RequestDecision

    /** Tell the caller that its streamed answer is whole. */
    public data class FinishStream(val tokenCount: Int, val finishReason: String) : RequestDecision

    /** Give the caller the whole [answer]; [isReplay] if it is the first outcome of a repeated request. */
    public data class Answer(val answer: StoredOutcome, val isReplay: Boolean) : RequestDecision

    /** Give the caller this final refusal; [endsStream] if parts of the answer were given, so that it ends in error. */
    public data class Refuse(val refusal: Refusal, val endsStream: Boolean) : RequestDecision

    /** Cancel the attempt on its engine. */
    public data class CancelAttempt(val attemptId: AttemptId, val targetId: TargetId) : RequestDecision

    /** Record the outcome of the idempotency key; the request ends whether or not that succeeds. */
    public data class RecordOutcome(val result: OutcomeResult) : RequestDecision
}
