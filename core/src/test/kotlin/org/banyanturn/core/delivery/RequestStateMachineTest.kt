package org.banyanturn.core.delivery

import org.banyanturn.core.Incarnation
import org.banyanturn.core.MemberId
import org.banyanturn.core.TargetId
import org.banyanturn.core.VmId
import org.junit.jupiter.api.Assertions.assertEquals
import org.junit.jupiter.api.Assertions.assertFalse
import org.junit.jupiter.api.Assertions.assertTrue
import org.junit.jupiter.api.Test
import kotlin.random.Random

class RequestStateMachineTest {
    private val machine = RequestStateMachine(RetryPolicy(), unlimitedRetryBudget(), Random(7))
    private val firstTarget = TargetId("t1")
    private val member = MemberId("growers")
    private val attempt = RequestId("r").attempt(1)
    private val answer = StoredOutcome(200, "slot 4", "digest")
    private val nonIdempotentRequest =
        DeliveryRequest(RequestId("r"), member, false, IdempotencyKey(member, "k"), 1_000)
    private val idempotentRequest = DeliveryRequest(RequestId("r"), member, true, null, 1_000)

    private class Run(val machine: RequestStateMachine, request: DeliveryRequest) {
        var state = RequestState(request)

        fun on(event: RequestEvent, nowMillis: Long = 0): List<RequestDecision> =
            machine.step(state, event, nowMillis).also { state = it.state }.decisions
    }

    private fun inFlight(request: DeliveryRequest): Run = Run(machine, request).apply {
        on(RequestEvent.Started)
        on(RequestEvent.ReservationSettled(ReservationResult.Acquired))
        on(RequestEvent.TargetChosen(firstTarget))
    }

    private fun failed(evidence: AttemptEvidence) = RequestEvent.AttemptFailed(attempt, evidence)

    private fun List<RequestDecision>.refusal(): Refusal = filterIsInstance<RequestDecision.Refuse>().single().refusal

    @Test
    fun `a non-idempotent request that may have run is never sent again`() {
        val refusal = inFlight(nonIdempotentRequest).on(failed(AttemptEvidence.UNKNOWN)).refusal()
        assertEquals(RequestOutcome.UNKNOWN, refusal.outcome)
        assertEquals(
            RequestOutcome.RAN,
            inFlight(nonIdempotentRequest).on(failed(AttemptEvidence.RAN)).refusal().outcome,
        )
    }

    @Test
    fun `a non-idempotent request that was not sent is retried on another target`() {
        val run = inFlight(nonIdempotentRequest)
        val wait = run.on(failed(AttemptEvidence.NOT_SENT)).single() as RequestDecision.WaitUntil
        val decisions = run.on(RequestEvent.TimerFired, wait.atMillis)
        assertEquals(listOf(RequestDecision.ChooseTarget(setOf(firstTarget))), decisions)
    }

    @Test
    fun `a non-idempotent request is not sent before its key is recorded`() {
        val run = Run(machine, nonIdempotentRequest)
        assertTrue(RequestDecision.Reserve in run.on(RequestEvent.Started))
        assertEquals(emptyList<RequestDecision>(), run.on(RequestEvent.TargetChosen(firstTarget)))
        val waiting = run.state
        val unread = RequestEvent.ReservationSettled(ReservationResult.Unavailable(isKnownFirst = false))
        assertEquals(RequestOutcome.UNKNOWN, run.on(unread).refusal().outcome)
        run.state = waiting
        val decisions = run.on(RequestEvent.ReservationSettled(ReservationResult.Unavailable(isKnownFirst = true)))
        assertEquals(RequestOutcome.NOT_RUN, decisions.refusal().outcome)
        assertTrue(RequestDecision.RecordOutcome(OutcomeResult.NotRun) in decisions)
    }

    @Test
    fun `a repeated request gets the first outcome, or unknown when the holder is gone`() {
        val holder = Incarnation(VmId("vm-1"), 1)
        val run = Run(machine, nonIdempotentRequest)
        run.on(RequestEvent.Started)
        run.on(RequestEvent.ReservationSettled(ReservationResult.InProgress(holder)))
        val waiting = run.state
        assertEquals(
            listOf(RequestDecision.Answer(answer, isReplay = true)),
            run.on(RequestEvent.OutcomeRecorded(answer)),
        )
        run.state = waiting
        assertEquals(RequestOutcome.UNKNOWN, run.on(RequestEvent.ReservationHolderGone).refusal().outcome)
    }

    @Test
    fun `a late answer to a non-idempotent request is recorded although its caller was refused`() {
        val run = inFlight(nonIdempotentRequest)
        val decisions = run.on(RequestEvent.TimerFired, 1_000)
        assertEquals(RequestOutcome.UNKNOWN, decisions.refusal().outcome)
        assertFalse(decisions.any { it is RequestDecision.CancelAttempt || it is RequestDecision.RecordOutcome })
        assertEquals(
            listOf(RequestDecision.RecordOutcome(OutcomeResult.Answered(answer))),
            run.on(RequestEvent.AttemptAnswered(attempt, answer), 2_000),
        )
    }

    @Test
    fun `a broken stream resumes at its token offset, and chunks of another attempt are discarded`() {
        val run = inFlight(idempotentRequest)
        run.on(RequestEvent.ChunkReceived(AnswerChunk.Token(attempt, 0, "calm")))
        val broken = run.on(failed(AttemptEvidence.UNKNOWN))
        val wait = broken.last() as RequestDecision.WaitUntil
        assertEquals(listOf(RequestDecision.CancelAttempt(attempt, firstTarget), wait), broken)
        run.on(RequestEvent.TimerFired, wait.atMillis)
        val secondAttempt = RequestId("r").attempt(2)
        assertEquals(
            listOf(RequestDecision.SendAttempt(secondAttempt, TargetId("t2"), resumeAtToken = 1)),
            run.on(RequestEvent.TargetChosen(TargetId("t2")), wait.atMillis),
        )
        assertTrue(run.on(RequestEvent.ChunkReceived(AnswerChunk.Token(attempt, 1, "old"))).isEmpty())
        val text = run.on(RequestEvent.ChunkReceived(AnswerChunk.Token(secondAttempt, 1, "sea")))
        assertEquals(listOf(RequestDecision.Forward("sea")), text)
        val end = run.on(RequestEvent.ChunkReceived(AnswerChunk.Finished(secondAttempt, 2, "stop")))
        assertEquals(listOf(RequestDecision.FinishStream(2, "stop")), end)
    }

    @Test
    fun `a truncated stream is not reported as complete`() {
        val run = inFlight(idempotentRequest)
        run.on(RequestEvent.ChunkReceived(AnswerChunk.Token(attempt, 0, "calm")))
        val decisions = run.on(RequestEvent.ChunkReceived(AnswerChunk.Finished(attempt, 3, "stop")))
        assertEquals(RequestDecision.CancelAttempt(attempt, firstTarget), decisions.first())
        assertFalse(decisions.any { it is RequestDecision.FinishStream })
    }

    @Test
    fun `a whole answer after delivered parts ends the stream instead of being sent`() {
        val run = inFlight(idempotentRequest)
        run.on(RequestEvent.ChunkReceived(AnswerChunk.Token(attempt, 0, "calm")))
        val refused = run.on(RequestEvent.AttemptAnswered(attempt, answer)).single() as RequestDecision.Refuse
        assertTrue(refused.endsStream)
        assertEquals(RequestOutcome.RAN, refused.refusal.outcome)
    }

    @Test
    fun `a disconnected caller cancels an idempotent request, but not a non-idempotent one`() {
        val cancel = listOf(RequestDecision.CancelAttempt(attempt, firstTarget))
        assertEquals(cancel, inFlight(idempotentRequest).on(RequestEvent.CallerGone))
        assertEquals(emptyList<RequestDecision>(), inFlight(nonIdempotentRequest).on(RequestEvent.CallerGone))
    }

    @Test
    fun `an exhausted retry budget and a near deadline cause an immediate refusal`() {
        val runWithoutBudget = Run(RequestStateMachine(RetryPolicy(), { _, _ -> false }, Random(1)), idempotentRequest)
        runWithoutBudget.on(RequestEvent.Started)
        runWithoutBudget.on(RequestEvent.TargetChosen(firstTarget))
        assertEquals(RefusalReason.RETRY_BUDGET, runWithoutBudget.on(failed(AttemptEvidence.UNKNOWN)).refusal().reason)
        val lateDecisions = inFlight(idempotentRequest).on(failed(AttemptEvidence.NOT_SENT), 999)
        assertEquals(RefusalReason.DEADLINE, lateDecisions.refusal().reason)
    }

    @Test
    fun `a withdrawn key ends a request in every phase`() {
        val waiting = Run(machine, idempotentRequest).apply { on(RequestEvent.Started) }
        assertEquals(RequestOutcome.NOT_RUN, waiting.on(RequestEvent.KeyWithdrawn).refusal().outcome)
        val running = inFlight(idempotentRequest).on(RequestEvent.KeyWithdrawn)
        assertEquals(RequestOutcome.UNKNOWN, running.refusal().outcome)
        assertTrue(running.any { it is RequestDecision.CancelAttempt })
    }
}
