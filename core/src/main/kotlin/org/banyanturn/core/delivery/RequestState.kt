package org.banyanturn.core.delivery

import kotlinx.collections.immutable.PersistentSet
import kotlinx.collections.immutable.persistentSetOf
import org.banyanturn.core.MemberId
import org.banyanturn.core.TargetId

/**
 * The properties of a request that determine its delivery.
 *
 * @property memberId the member that sent the request, or `null` on a public route.
 * @property isIdempotent whether the request may be run more than once.
 * @property idempotencyKey the idempotency key of a non-idempotent request, or `null`.
 * @property deadlineMillis when the caller must have its final answer, on the same clock as `nowMillis`.
 */
public data class DeliveryRequest(
    val requestId: RequestId,
    val memberId: MemberId?,
    val isIdempotent: Boolean,
    val idempotencyKey: IdempotencyKey?,
    val deadlineMillis: Long,
)

/** Whether the idempotency key must be recorded before this request is sent. */
public val DeliveryRequest.needsReservation: Boolean get() = !isIdempotent && idempotencyKey != null

/** The phase of a request. */
public sealed interface RequestPhase {
    /** The request is admitted and has not started. */
    public data object New : RequestPhase

    /** The idempotency key is being recorded. */
    public data object Reserving : RequestPhase

    /** The request waits for the outcome of an earlier request with the same idempotency key. */
    public data object AwaitingOutcome : RequestPhase

    /** The request waits for a target. */
    public data object ChoosingTarget : RequestPhase

    /** An attempt is running. */
    public data class InFlight(val attemptId: AttemptId, val targetId: TargetId) : RequestPhase

    /** The request waits until [untilMillis] before its next attempt. */
    public data class BackingOff(val untilMillis: Long) : RequestPhase

    /**
     * The caller has its final answer or has disconnected.
     *
     * @property openAttempt a running attempt that can't be cancelled and whose outcome is still to be recorded, or
     * `null`.
     */
    public data class Ended(val openAttempt: AttemptId?) : RequestPhase
}

/**
 * The state of one request.
 *
 * @property attempts number of attempts that were started.
 * @property unsentAttempts number of attempts that ended before any byte was sent.
 * @property outcome the known effect of the attempts that have ended.
 * @property failedTargets targets on which an attempt failed.
 * @property answer the part of a streamed answer that was delivered to the caller.
 * @property holdsReservation whether the idempotency key is reserved for this request and has no outcome yet.
 */
public data class RequestState(
    val request: DeliveryRequest,
    val phase: RequestPhase = RequestPhase.New,
    val attempts: Int = 0,
    val unsentAttempts: Int = 0,
    val outcome: RequestOutcome = RequestOutcome.NOT_RUN,
    val failedTargets: PersistentSet<TargetId> = persistentSetOf(),
    val answer: AnswerAssembler = AnswerAssembler(),
    val holdsReservation: Boolean = false,
) {
    /** Number of attempts that were sent to a target, as far as is known. */
    val sentAttempts: Int get() = attempts - unsentAttempts

    /** Whether the caller has its final answer or has disconnected. */
    val isEnded: Boolean get() = phase is RequestPhase.Ended

    /** The outcome to report if the request were refused now. */
    val outcomeIfRefused: RequestOutcome
        get() = if (phase is RequestPhase.InFlight) maxOf(outcome, RequestOutcome.UNKNOWN) else outcome
}

/** The state of a request after an event, and the decisions that the router carries out in order. */
public data class RequestStep(val state: RequestState, val decisions: List<RequestDecision>)

internal fun RequestStep.precededBy(earlier: List<RequestDecision>): RequestStep = copy(decisions = earlier + decisions)

internal fun RequestState.canRetry(): Boolean = request.isIdempotent || outcome == RequestOutcome.NOT_RUN

internal fun RequestState.afterFailure(phase: RequestPhase.InFlight, evidence: AttemptEvidence): RequestState =
    copy(
        phase = RequestPhase.ChoosingTarget,
        unsentAttempts = unsentAttempts + if (evidence == AttemptEvidence.NOT_SENT) 1 else 0,
        outcome = maxOf(outcome, evidence.outcome()),
        failedTargets = failedTargets.adding(phase.targetId),
        answer = answer.stopAttempt(),
    )

internal fun AttemptEvidence.outcome(): RequestOutcome =
    when (this) {
        AttemptEvidence.NOT_SENT, AttemptEvidence.REFUSED -> RequestOutcome.NOT_RUN
        AttemptEvidence.UNKNOWN -> RequestOutcome.UNKNOWN
        AttemptEvidence.RAN -> RequestOutcome.RAN
    }

internal fun AttemptEvidence.resultOrNull(): OutcomeResult? =
    when (this) {
        AttemptEvidence.NOT_SENT, AttemptEvidence.REFUSED -> OutcomeResult.NotRun
        AttemptEvidence.UNKNOWN -> null
        AttemptEvidence.RAN -> OutcomeResult.AnswerLost
    }
