package org.banyanturn.core.delivery

import kotlin.random.Random

/**
 * Returns what the router does next for each event in a request's life.
 *
 * The rules follow what is known of the attempts: one that was not sent, or that the target says it did not run, may
 * move to another target. One that was sent and has no answer may move only if the request is idempotent. A request
 * that is given up on gets its final answer at once. Events that don't fit the request's phase, such as a late answer
 * of an earlier attempt, change nothing.
 */
public interface RequestMachine {
    /** Returns the life after [event] and what to do. */
    public fun step(life: RequestLife, event: RequestEvent, nowMillis: Long): RequestStep
}

/** Returns a machine with these rules; [random] draws the jitter of the backoff. */
public fun RequestMachine(policy: RetryPolicy, retryBudget: RetryBudget, random: Random): RequestMachine =
    DefaultRequestMachine(policy, retryBudget, random)

private class DefaultRequestMachine(
    private val policy: RetryPolicy,
    private val retryBudget: RetryBudget,
    private val random: Random,
) : RequestMachine {
    override fun step(life: RequestLife, event: RequestEvent, nowMillis: Long): RequestStep =
        if (life.isEnded) stepEnded(life, event) else stepOpen(life, event, nowMillis)

    private fun stepOpen(life: RequestLife, event: RequestEvent, nowMillis: Long): RequestStep =
        when (event) {
            RequestEvent.Started -> start(life)
            is RequestEvent.ReservationSettled -> settleReservation(life, event.result, nowMillis)
            is RequestEvent.OutcomeRecorded -> replayWhenAwaited(life, OutcomeResult.Answered(event.outcome))
            RequestEvent.ReservationHolderGone -> refuseWhenAwaiting(life)
            is RequestEvent.TargetChosen -> send(life, event, nowMillis)
            is RequestEvent.NoTarget -> refuse(life, RefusalReason.NO_TARGET, event.retryAfterMillis)
            is RequestEvent.ChunkReceived -> takeChunk(life, event.chunk, nowMillis)
            is RequestEvent.AttemptAnswered -> takeAnswer(life, event)
            is RequestEvent.AttemptFailed -> takeFailure(life, event, nowMillis)
            RequestEvent.TimeReached -> takeTime(life, nowMillis)
            RequestEvent.CallerGone -> end(life, emptyList())
            RequestEvent.KeyWithdrawn -> refuse(life, RefusalReason.KEY_WITHDRAWN)
            RequestEvent.ShutdownLimitReached -> refuse(life, RefusalReason.SHUTDOWN)
            is RequestEvent.FingerprintBlocked -> refuse(life, RefusalReason.CRASHES_TARGETS, event.releaseInMillis)
        }

    private fun start(life: RequestLife): RequestStep =
        when {
            life.phase != RequestPhase.New -> unchanged(life)

            life.request.needsReservation -> RequestStep(
                life.copy(phase = RequestPhase.Reserving),
                listOf(RequestDecision.Reserve, RequestDecision.WaitUntil(life.request.deadlineMillis)),
            )

            else -> chooseTarget(life, RequestDecision.WaitUntil(life.request.deadlineMillis))
        }

    private fun chooseTarget(life: RequestLife, vararg before: RequestDecision): RequestStep =
        RequestStep(
            life.copy(phase = RequestPhase.ChoosingTarget),
            before.toList() + RequestDecision.ChooseTarget(life.failedTargets),
        )

    private fun settleReservation(life: RequestLife, result: ReservationResult, nowMillis: Long): RequestStep {
        if (life.phase != RequestPhase.Reserving) return unchanged(life)
        return when (result) {
            ReservationResult.Won -> startReserved(life.copy(holdsReservation = true), nowMillis)

            is ReservationResult.Replay -> replay(life, result.result)

            is ReservationResult.InProgress -> RequestStep(
                life.copy(phase = RequestPhase.AwaitingOutcome),
                listOf(RequestDecision.AwaitOutcome),
            )

            ReservationResult.KeyReused -> refuse(
                life.copy(phase = RequestPhase.AwaitingOutcome),
                RefusalReason.KEY_REUSED,
            )

            is ReservationResult.Unavailable -> refuseUnrecorded(life, result.isKnownFirst)
        }
    }

    private fun refuseUnrecorded(life: RequestLife, isKnownFirst: Boolean): RequestStep {
        val refused = refuse(life, RefusalReason.RECORD_UNAVAILABLE)
        if (isKnownFirst) return refused
        val uncertain = refuse(life.copy(outcome = RequestOutcome.UNKNOWN), RefusalReason.RECORD_UNAVAILABLE)
        return uncertain.precededBy(releaseOf(life))
    }

    private fun startReserved(life: RequestLife, nowMillis: Long): RequestStep =
        if (nowMillis < life.request.deadlineMillis) chooseTarget(life) else refuse(life, RefusalReason.DEADLINE)

    private fun replayWhenAwaited(life: RequestLife, result: OutcomeResult): RequestStep =
        if (life.phase == RequestPhase.AwaitingOutcome) replay(life, result) else unchanged(life)

    private fun replay(life: RequestLife, result: OutcomeResult): RequestStep {
        val outcome = (result as? OutcomeResult.Answered)?.outcome
        val known = life.copy(outcome = RequestOutcome.RAN)
        return when {
            outcome == null -> refuse(known, RefusalReason.ANSWER_NOT_KEPT)
            outcome.body == null -> refuse(known, RefusalReason.ANSWER_NOT_KEPT)
            else -> end(known, listOf(RequestDecision.Answer(outcome, isReplay = true)))
        }
    }

    private fun refuseWhenAwaiting(life: RequestLife): RequestStep =
        if (life.phase == RequestPhase.AwaitingOutcome) refuseUnresolved(life) else unchanged(life)

    private fun refuseUnresolved(life: RequestLife): RequestStep =
        refuse(life.copy(outcome = RequestOutcome.UNKNOWN), RefusalReason.UNRESOLVED)

    private fun send(life: RequestLife, event: RequestEvent.TargetChosen, nowMillis: Long): RequestStep {
        if (life.phase != RequestPhase.ChoosingTarget) return unchanged(life)
        if (nowMillis >= life.request.deadlineMillis) return refuse(life, RefusalReason.DEADLINE)
        val attempts = life.attempts + 1
        val attemptId = life.request.requestId.attempt(attempts)
        val sent = life.copy(
            phase = RequestPhase.InFlight(attemptId, event.targetId),
            attempts = attempts,
            answer = life.answer.startAttempt(attemptId),
        )
        val decision = RequestDecision.SendAttempt(attemptId, event.targetId, life.answer.deliveredTokens)
        return RequestStep(sent, listOf(decision))
    }

    private fun takeChunk(life: RequestLife, chunk: AnswerChunk, nowMillis: Long): RequestStep {
        val phase = life.phase as? RequestPhase.InFlight ?: return unchanged(life)
        val next = life.copy(answer = life.answer.accept(chunk))
        return when (val verdict = life.answer.judge(chunk)) {
            ChunkVerdict.Discard -> unchanged(life)

            is ChunkVerdict.Deliver -> RequestStep(next, listOf(RequestDecision.Forward(verdict.text)))

            is ChunkVerdict.Whole -> RequestStep(
                next.copy(phase = RequestPhase.Ended(openAttempt = null), outcome = RequestOutcome.RAN),
                listOf(RequestDecision.FinishStream(verdict.tokenCount, verdict.finishReason)),
            )

            is ChunkVerdict.Gap -> {
                val failed = next.afterFailure(phase, AttemptEvidence.UNKNOWN)
                retryOrRefuse(failed, nowMillis).precededBy(cancelOf(life))
            }

            ChunkVerdict.Mismatch -> refuse(life, RefusalReason.ANSWER_MISMATCH)
        }
    }

    private fun takeAnswer(life: RequestLife, event: RequestEvent.AttemptAnswered): RequestStep {
        val phase = life.phase as? RequestPhase.InFlight
        if (phase?.attemptId != event.attemptId) return unchanged(life)
        val answer = RequestDecision.Answer(event.answer, isReplay = false)
        val record = recordOf(life, OutcomeResult.Answered(event.answer.forRecord()))
        val ended = life.copy(
            phase = RequestPhase.Ended(openAttempt = null),
            outcome = RequestOutcome.RAN,
            holdsReservation = false,
        )
        return RequestStep(ended, record + answer)
    }

    private fun takeFailure(life: RequestLife, event: RequestEvent.AttemptFailed, nowMillis: Long): RequestStep {
        val phase = life.phase as? RequestPhase.InFlight
        if (phase?.attemptId != event.attemptId) return unchanged(life)
        val failed = life.afterFailure(phase, event.evidence)
        return when {
            !event.mayMove -> refuse(failed, RefusalReason.TARGET_REFUSED)
            !failed.mayRunAgain() -> refuse(failed, RefusalReason.ATTEMPTS_FAILED)
            else -> retryOrRefuse(failed, nowMillis)
        }.precededBy(if (event.evidence == AttemptEvidence.UNKNOWN) cancelOf(life) else emptyList())
    }

    private fun retryOrRefuse(life: RequestLife, nowMillis: Long): RequestStep {
        if (!life.mayRunAgain()) return refuse(life, RefusalReason.ATTEMPTS_FAILED)
        if (life.sentAttempts >= policy.maxAttempts) return refuse(life, RefusalReason.ATTEMPTS_FAILED)
        if (life.unsentAttempts >= policy.maxUnsentAttempts) return refuse(life, RefusalReason.ATTEMPTS_FAILED)
        val resumeMillis = nowMillis + policy.backoffMillis(life.attempts, random)
        if (resumeMillis >= life.request.deadlineMillis) return refuse(life, RefusalReason.DEADLINE)
        val needsBudget = life.sentAttempts > 0
        if (needsBudget && !retryBudget.tryTake(life.request.memberId, nowMillis)) {
            return refuse(life, RefusalReason.RETRY_BUDGET)
        }
        return RequestStep(
            life.copy(phase = RequestPhase.BackingOff(resumeMillis)),
            listOf(RequestDecision.WaitUntil(resumeMillis)),
        )
    }

    private fun takeTime(life: RequestLife, nowMillis: Long): RequestStep {
        val phase = life.phase
        return when {
            nowMillis >= life.request.deadlineMillis -> takeDeadline(life)
            phase is RequestPhase.BackingOff && nowMillis >= phase.untilMillis -> chooseTarget(life)
            else -> unchanged(life)
        }
    }

    private fun takeDeadline(life: RequestLife): RequestStep =
        if (life.phase == RequestPhase.AwaitingOutcome) refuseUnresolved(life) else refuse(life, RefusalReason.DEADLINE)

    private fun refuse(life: RequestLife, reason: RefusalReason, retryAfterMillis: Long? = null): RequestStep {
        val outcome = life.outcomeIfRefused
        val waitMillis = retryAfterMillis ?: policy.retryAfterMillis(outcome)
        val decision = RequestDecision.Refuse(
            Refusal(reason, outcome, waitMillis),
            endsStream = life.answer.deliveredTokens > 0,
        )
        return end(life, listOf(decision))
    }

    private fun end(life: RequestLife, decisions: List<RequestDecision>): RequestStep {
        val openAttempt = (life.phase as? RequestPhase.InFlight)?.attemptId?.takeIf { life.holdsReservation }
        val isCertain = life.phase !is RequestPhase.InFlight
        val ended = life.copy(
            phase = RequestPhase.Ended(openAttempt),
            outcome = life.outcomeIfRefused,
            holdsReservation = openAttempt != null,
        )
        return RequestStep(ended, cancelOf(life) + (if (isCertain) settledOutcomeOf(life) else emptyList()) + decisions)
    }

    private fun stepEnded(life: RequestLife, event: RequestEvent): RequestStep {
        val openAttempt = (life.phase as RequestPhase.Ended).openAttempt ?: return unchanged(life)
        val result = when {
            event is RequestEvent.AttemptAnswered && event.attemptId == openAttempt ->
                OutcomeResult.Answered(event.answer.forRecord())

            event is RequestEvent.AttemptFailed && event.attemptId == openAttempt -> event.evidence.resultOrNull()

            else -> return unchanged(life)
        }
        val closed = life.copy(phase = RequestPhase.Ended(openAttempt = null), holdsReservation = false)
        return RequestStep(closed, if (result == null) emptyList() else recordOf(life, result))
    }

    private fun settledOutcomeOf(life: RequestLife): List<RequestDecision> =
        when (life.outcome) {
            RequestOutcome.NOT_RUN -> releaseOf(life)
            RequestOutcome.UNKNOWN -> emptyList()
            RequestOutcome.RAN -> recordOf(life, OutcomeResult.AnswerLost)
        }

    private fun releaseOf(life: RequestLife): List<RequestDecision> {
        val mayHaveReserved = life.holdsReservation || life.phase == RequestPhase.Reserving
        return if (mayHaveReserved) listOf(RequestDecision.RecordOutcome(OutcomeResult.NotRun)) else emptyList()
    }

    private fun recordOf(life: RequestLife, result: OutcomeResult): List<RequestDecision> =
        if (life.holdsReservation) listOf(RequestDecision.RecordOutcome(result)) else emptyList()

    private fun cancelOf(life: RequestLife): List<RequestDecision> {
        val phase = life.phase as? RequestPhase.InFlight ?: return emptyList()
        if (!life.request.isIdempotent) return emptyList()
        return listOf(RequestDecision.CancelAttempt(phase.attemptId, phase.targetId))
    }

    private fun unchanged(life: RequestLife): RequestStep = RequestStep(life, emptyList())
}
