package org.banyanturn.core.delivery

import kotlin.random.Random

/**
 * The state machine of a request's delivery: decides, for each event, what the router does next.
 *
 * The rules depend on the evidence about the attempts. An attempt that was not sent, or that the target reports not to
 * have run, may be retried on another target. An attempt that was sent and has no answer may be retried only if the
 * request is idempotent. A request that can't be completed is refused at once. Events that don't match the request's
 * phase, such as a late answer to an earlier attempt, have no effect.
 */
public interface RequestStateMachine {
    /** Returns the state after [event] and the decisions to carry out. */
    public fun step(state: RequestState, event: RequestEvent, nowMillis: Long): RequestStep
}

/** Creates a [RequestStateMachine]; [random] is the source of the backoff jitter. */
public fun RequestStateMachine(policy: RetryPolicy, retryBudget: RetryBudget, random: Random): RequestStateMachine =
    DefaultRequestStateMachine(policy, retryBudget, random)

private class DefaultRequestStateMachine(
    private val policy: RetryPolicy,
    private val retryBudget: RetryBudget,
    private val random: Random,
) : RequestStateMachine {
    override fun step(state: RequestState, event: RequestEvent, nowMillis: Long): RequestStep =
        if (state.isEnded) stepEnded(state, event) else stepActive(state, event, nowMillis)

    private fun stepActive(state: RequestState, event: RequestEvent, nowMillis: Long): RequestStep =
        when (event) {
            RequestEvent.Started -> start(state)
            is RequestEvent.ReservationSettled -> settleReservation(state, event.result, nowMillis)
            is RequestEvent.OutcomeRecorded -> replayIfAwaiting(state, OutcomeResult.Answered(event.outcome))
            RequestEvent.ReservationHolderGone -> refuseIfAwaiting(state)
            is RequestEvent.TargetChosen -> send(state, event, nowMillis)
            is RequestEvent.NoTarget -> refuse(state, RefusalReason.NO_TARGET, event.retryAfterMillis)
            is RequestEvent.ChunkReceived -> onChunk(state, event.chunk, nowMillis)
            is RequestEvent.AttemptAnswered -> onAnswer(state, event)
            is RequestEvent.AttemptFailed -> onFailure(state, event, nowMillis)
            RequestEvent.TimerFired -> onTimer(state, nowMillis)
            RequestEvent.CallerGone -> end(state, emptyList())
            RequestEvent.KeyWithdrawn -> refuse(state, RefusalReason.KEY_WITHDRAWN)
            RequestEvent.ShutdownLimitReached -> refuse(state, RefusalReason.SHUTDOWN)
            is RequestEvent.FingerprintBlocked -> refuse(state, RefusalReason.CRASHES_TARGETS, event.releaseInMillis)
        }

    private fun start(state: RequestState): RequestStep =
        when {
            state.phase != RequestPhase.New -> unchanged(state)

            state.request.needsReservation -> RequestStep(
                state.copy(phase = RequestPhase.Reserving),
                listOf(RequestDecision.Reserve, RequestDecision.WaitUntil(state.request.deadlineMillis)),
            )

            else -> chooseTarget(state, RequestDecision.WaitUntil(state.request.deadlineMillis))
        }

    private fun chooseTarget(state: RequestState, vararg before: RequestDecision): RequestStep =
        RequestStep(
            state.copy(phase = RequestPhase.ChoosingTarget),
            before.toList() + RequestDecision.ChooseTarget(state.failedTargets),
        )

    private fun settleReservation(state: RequestState, result: ReservationResult, nowMillis: Long): RequestStep {
        if (state.phase != RequestPhase.Reserving) return unchanged(state)
        return when (result) {
            ReservationResult.Acquired -> startReserved(state.copy(holdsReservation = true), nowMillis)

            is ReservationResult.Replay -> replay(state, result.result)

            is ReservationResult.InProgress -> RequestStep(
                state.copy(phase = RequestPhase.AwaitingOutcome),
                listOf(RequestDecision.AwaitOutcome),
            )

            ReservationResult.KeyReused -> refuse(
                state.copy(phase = RequestPhase.AwaitingOutcome),
                RefusalReason.KEY_REUSED,
            )

            is ReservationResult.Unavailable -> refuseUnrecorded(state, result.isKnownFirst)
        }
    }

    private fun refuseUnrecorded(state: RequestState, isKnownFirst: Boolean): RequestStep {
        val refused = refuse(state, RefusalReason.RECORD_UNAVAILABLE)
        if (isKnownFirst) return refused
        val uncertain = refuse(state.copy(outcome = RequestOutcome.UNKNOWN), RefusalReason.RECORD_UNAVAILABLE)
        return uncertain.precededBy(releaseDecisions(state))
    }

    private fun startReserved(state: RequestState, nowMillis: Long): RequestStep =
        if (nowMillis < state.request.deadlineMillis) chooseTarget(state) else refuse(state, RefusalReason.DEADLINE)

    private fun replayIfAwaiting(state: RequestState, result: OutcomeResult): RequestStep =
        if (state.phase == RequestPhase.AwaitingOutcome) replay(state, result) else unchanged(state)

    private fun replay(state: RequestState, result: OutcomeResult): RequestStep {
        val outcome = (result as? OutcomeResult.Answered)?.outcome
        val known = state.copy(outcome = RequestOutcome.RAN)
        return when {
            outcome == null -> refuse(known, RefusalReason.ANSWER_NOT_KEPT)
            outcome.body == null -> refuse(known, RefusalReason.ANSWER_NOT_KEPT)
            else -> end(known, listOf(RequestDecision.Answer(outcome, isReplay = true)))
        }
    }

    private fun refuseIfAwaiting(state: RequestState): RequestStep =
        if (state.phase == RequestPhase.AwaitingOutcome) refuseUnresolved(state) else unchanged(state)

    private fun refuseUnresolved(state: RequestState): RequestStep =
        refuse(state.copy(outcome = RequestOutcome.UNKNOWN), RefusalReason.UNRESOLVED)

    private fun send(state: RequestState, event: RequestEvent.TargetChosen, nowMillis: Long): RequestStep {
        if (state.phase != RequestPhase.ChoosingTarget) return unchanged(state)
        if (nowMillis >= state.request.deadlineMillis) return refuse(state, RefusalReason.DEADLINE)
        val attempts = state.attempts + 1
        val attemptId = state.request.requestId.attempt(attempts)
        val sent = state.copy(
            phase = RequestPhase.InFlight(attemptId, event.targetId),
            attempts = attempts,
            answer = state.answer.startAttempt(attemptId),
        )
        val decision = RequestDecision.SendAttempt(attemptId, event.targetId, state.answer.deliveredTokens)
        return RequestStep(sent, listOf(decision))
    }

    private fun onChunk(state: RequestState, chunk: AnswerChunk, nowMillis: Long): RequestStep {
        val phase = state.phase as? RequestPhase.InFlight ?: return unchanged(state)
        val next = state.copy(answer = state.answer.accept(chunk))
        return when (val chunkResult = state.answer.evaluate(chunk)) {
            ChunkResult.Discard -> unchanged(state)

            is ChunkResult.Deliver -> RequestStep(next, listOf(RequestDecision.Forward(chunkResult.text)))

            is ChunkResult.Complete -> RequestStep(
                next.copy(phase = RequestPhase.Ended(openAttempt = null), outcome = RequestOutcome.RAN),
                listOf(RequestDecision.FinishStream(chunkResult.tokenCount, chunkResult.finishReason)),
            )

            is ChunkResult.Gap -> {
                val failed = next.afterFailure(phase, AttemptEvidence.UNKNOWN)
                retryOrRefuse(failed, nowMillis).precededBy(cancelDecisions(state))
            }

            ChunkResult.Mismatch -> refuse(state, RefusalReason.ANSWER_MISMATCH)
        }
    }

    private fun onAnswer(state: RequestState, event: RequestEvent.AttemptAnswered): RequestStep {
        val phase = state.phase as? RequestPhase.InFlight
        if (phase?.attemptId != event.attemptId) return unchanged(state)
        if (state.answer.deliveredTokens > 0) return refuseAfterStream(state, phase)
        val answer = RequestDecision.Answer(event.answer, isReplay = false)
        val record = recordDecisions(state, OutcomeResult.Answered(event.answer.withoutLargeBody()))
        val ended = state.copy(
            phase = RequestPhase.Ended(openAttempt = null),
            outcome = RequestOutcome.RAN,
            holdsReservation = false,
        )
        return RequestStep(ended, record + answer)
    }

    /** Ends a stream whose next attempt brought a whole answer, such as an error, which can not follow its parts. */
    private fun refuseAfterStream(state: RequestState, phase: RequestPhase.InFlight): RequestStep =
        refuse(state.afterFailure(phase, AttemptEvidence.RAN), RefusalReason.ATTEMPTS_FAILED)

    private fun onFailure(state: RequestState, event: RequestEvent.AttemptFailed, nowMillis: Long): RequestStep {
        val phase = state.phase as? RequestPhase.InFlight
        if (phase?.attemptId != event.attemptId) return unchanged(state)
        val failed = state.afterFailure(phase, event.evidence)
        return when {
            !event.isRetryable -> refuse(failed, RefusalReason.TARGET_REFUSED)
            !failed.canRetry() -> refuse(failed, RefusalReason.ATTEMPTS_FAILED)
            else -> retryOrRefuse(failed, nowMillis)
        }.precededBy(if (event.evidence == AttemptEvidence.UNKNOWN) cancelDecisions(state) else emptyList())
    }

    private fun retryOrRefuse(state: RequestState, nowMillis: Long): RequestStep {
        if (!state.canRetry()) return refuse(state, RefusalReason.ATTEMPTS_FAILED)
        if (state.sentAttempts >= policy.maxAttempts) return refuse(state, RefusalReason.ATTEMPTS_FAILED)
        if (state.unsentAttempts >= policy.maxUnsentAttempts) return refuse(state, RefusalReason.ATTEMPTS_FAILED)
        val retryAtMillis = nowMillis + policy.backoffMillis(state.attempts, random)
        if (retryAtMillis >= state.request.deadlineMillis) return refuse(state, RefusalReason.DEADLINE)
        val needsBudget = state.sentAttempts > 0
        if (needsBudget && !retryBudget.tryTake(state.request.memberId, nowMillis)) {
            return refuse(state, RefusalReason.RETRY_BUDGET)
        }
        return RequestStep(
            state.copy(phase = RequestPhase.BackingOff(retryAtMillis)),
            listOf(RequestDecision.WaitUntil(retryAtMillis)),
        )
    }

    private fun onTimer(state: RequestState, nowMillis: Long): RequestStep {
        val phase = state.phase
        return when {
            nowMillis >= state.request.deadlineMillis -> onDeadline(state)
            phase is RequestPhase.BackingOff && nowMillis >= phase.untilMillis -> chooseTarget(state)
            else -> unchanged(state)
        }
    }

    private fun onDeadline(state: RequestState): RequestStep =
        if (state.phase == RequestPhase.AwaitingOutcome) {
            refuseUnresolved(state)
        } else {
            refuse(state, RefusalReason.DEADLINE)
        }

    private fun refuse(state: RequestState, reason: RefusalReason, retryAfterMillis: Long? = null): RequestStep {
        val outcome = state.outcomeIfRefused
        val waitMillis = retryAfterMillis ?: policy.retryAfterMillis(outcome)
        val decision = RequestDecision.Refuse(
            Refusal(reason, outcome, waitMillis),
            endsStream = state.answer.deliveredTokens > 0,
        )
        return end(state, listOf(decision))
    }

    private fun end(state: RequestState, decisions: List<RequestDecision>): RequestStep {
        val openAttempt = (state.phase as? RequestPhase.InFlight)?.attemptId?.takeIf { state.holdsReservation }
        val hasNoAttemptInFlight = state.phase !is RequestPhase.InFlight
        val ended = state.copy(
            phase = RequestPhase.Ended(openAttempt),
            outcome = state.outcomeIfRefused,
            holdsReservation = openAttempt != null,
        )
        return RequestStep(
            ended,
            cancelDecisions(state) +
                (if (hasNoAttemptInFlight) knownOutcomeDecisions(state) else emptyList()) +
                decisions,
        )
    }

    private fun stepEnded(state: RequestState, event: RequestEvent): RequestStep {
        val openAttempt = (state.phase as RequestPhase.Ended).openAttempt ?: return unchanged(state)
        val result = when {
            event is RequestEvent.AttemptAnswered && event.attemptId == openAttempt ->
                OutcomeResult.Answered(event.answer.withoutLargeBody())

            event is RequestEvent.AttemptFailed && event.attemptId == openAttempt -> event.evidence.resultOrNull()

            else -> return unchanged(state)
        }
        val closed = state.copy(phase = RequestPhase.Ended(openAttempt = null), holdsReservation = false)
        return RequestStep(closed, if (result == null) emptyList() else recordDecisions(state, result))
    }

    private fun knownOutcomeDecisions(state: RequestState): List<RequestDecision> =
        when (state.outcome) {
            RequestOutcome.NOT_RUN -> releaseDecisions(state)
            RequestOutcome.UNKNOWN -> emptyList()
            RequestOutcome.RAN -> recordDecisions(state, OutcomeResult.AnswerLost)
        }

    private fun releaseDecisions(state: RequestState): List<RequestDecision> {
        val mayHaveReserved = state.holdsReservation || state.phase == RequestPhase.Reserving
        return if (mayHaveReserved) listOf(RequestDecision.RecordOutcome(OutcomeResult.NotRun)) else emptyList()
    }

    private fun recordDecisions(state: RequestState, result: OutcomeResult): List<RequestDecision> =
        if (state.holdsReservation) listOf(RequestDecision.RecordOutcome(result)) else emptyList()

    private fun cancelDecisions(state: RequestState): List<RequestDecision> {
        val phase = state.phase as? RequestPhase.InFlight ?: return emptyList()
        if (!state.request.isIdempotent) return emptyList()
        return listOf(RequestDecision.CancelAttempt(phase.attemptId, phase.targetId))
    }

    private fun unchanged(state: RequestState): RequestStep = RequestStep(state, emptyList())
}
