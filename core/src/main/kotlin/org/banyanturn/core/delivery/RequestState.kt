package org.banyanturn.core.delivery

import kotlinx.collections.immutable.PersistentSet
import kotlinx.collections.immutable.persistentSetOf
import org.banyanturn.core.MemberId
import org.banyanturn.core.TargetId

/**
 * A request as far as its delivery is concerned.
 *
 * @property memberId whose request it is, or `null` on a route that is open to all.
 * @property isIdempotent whether running it more than once does no harm.
 * @property idempotencyKey the key that came with a request that is not idempotent, or `null`.
 * @property deadlineMillis when the caller must have its final answer, on the clock of `nowMillis`.
 */
public data class DeliveryRequest(
    val requestId: RequestId,
    val memberId: MemberId?,
    val isIdempotent: Boolean,
    val idempotencyKey: IdempotencyKey?,
    val deadlineMillis: Long,
)

/** Whether this request's idempotency key has to be recorded before it is sent. */
public val DeliveryRequest.needsReservation: Boolean get() = !isIdempotent && idempotencyKey != null

/** Where a request stands. */
public sealed interface RequestPhase {
    /** It was admitted and has not started. */
    public data object New : RequestPhase

    /** Its idempotency key is being recorded. */
    public data object Reserving : RequestPhase

    /** It waits for the outcome of the earlier request with the same idempotency key. */
    public data object AwaitingOutcome : RequestPhase

    /** It waits for a target. */
    public data object ChoosingTarget : RequestPhase

    /** An attempt runs. */
    public data class InFlight(val attemptId: AttemptId, val targetId: TargetId) : RequestPhase

    /** It waits before its next attempt. */
    public data class BackingOff(val untilMillis: Long) : RequestPhase

    /**
     * Its caller has the final answer or is gone.
     *
     * @property openAttempt an attempt that can't be taken back and whose outcome is still worth recording.
     */
    public data class Ended(val openAttempt: AttemptId?) : RequestPhase
}

/**
 * The life of one request so far.
 *
 * @property attempts how many attempts were begun.
 * @property unsentAttempts how many of them ended before any byte had left.
 * @property outcome what is known of the effect of the attempts that have ended.
 * @property failedTargets targets on which an attempt failed.
 * @property answer the part of a streamed answer that the caller has.
 * @property holdsReservation whether the idempotency key was reserved for this request and has no outcome yet.
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
    /** How many attempts left for a target, as far as is known. */
    val sentAttempts: Int get() = attempts - unsentAttempts

    /** Whether the caller has its final answer or is gone. */
    val isEnded: Boolean get() = phase is RequestPhase.Ended

    /** What would be known of the request's effect if it were given up on now. */
    val outcomeIfRefused: RequestOutcome
        get() = if (phase is RequestPhase.InFlight) maxOf(outcome, RequestOutcome.UNKNOWN) else outcome
}

/** A request's life after an event, and what the router does next, in order. */
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
