package org.banyanturn.router.delivery

import kotlinx.coroutines.CoroutineScope
import kotlinx.coroutines.Job
import kotlinx.coroutines.cancelChildren
import kotlinx.coroutines.channels.Channel
import kotlinx.coroutines.channels.ReceiveChannel
import kotlinx.coroutines.coroutineScope
import kotlinx.coroutines.delay
import kotlinx.coroutines.launch
import org.banyanturn.core.delivery.AttemptId
import org.banyanturn.core.delivery.DeliveryRequest
import org.banyanturn.core.delivery.Refusal
import org.banyanturn.core.delivery.RequestDecision
import org.banyanturn.core.delivery.RequestEvent
import org.banyanturn.core.delivery.RequestPhase
import org.banyanturn.core.delivery.RequestState
import org.banyanturn.core.delivery.RequestStateMachine
import org.banyanturn.core.delivery.StoredOutcome
import org.banyanturn.daemon.ProcessClock

/** What the caller of a request gets, in order; the last is not a [Part]. */
internal sealed interface CallerOutput {
    /** The next part of a streamed answer. */
    data class Part(val text: String) : CallerOutput

    /** The streamed answer is whole. */
    data class Finished(val tokenCount: Int, val finishReason: String) : CallerOutput

    /** The whole answer; [isReplay] if it is that of an earlier request with the same idempotency key. */
    data class Answered(val answer: StoredOutcome, val isReplay: Boolean) : CallerOutput

    /** The final refusal. */
    data class Refused(val refusal: Refusal) : CallerOutput
}

/** A request on its way, which goes on until its outcome is settled even if its caller has gone. */
internal interface Delivery {
    /** What the caller gets. */
    val outputs: ReceiveChannel<CallerOutput>

    /** Hands [event] to the request's state machine. */
    fun report(event: RequestEvent)
}

/** Returns a delivery of [request] that runs in this scope and does what [machine] decides through [work]. */
internal fun CoroutineScope.deliver(
    request: DeliveryRequest,
    work: RequestWork,
    machine: RequestStateMachine,
    clock: ProcessClock,
): Delivery {
    val delivery = RunningDelivery(request, work, machine, clock)
    launch { delivery.run() }
    return delivery
}

private class RunningDelivery(
    request: DeliveryRequest,
    private val work: RequestWork,
    private val machine: RequestStateMachine,
    private val clock: ProcessClock,
) : Delivery {
    private val events = Channel<RequestEvent>(Channel.UNLIMITED)
    private val attempts = HashMap<AttemptId, Job>()
    private var state = RequestState(request)
    private val mutableOutputs = Channel<CallerOutput>(Channel.UNLIMITED)

    override val outputs: ReceiveChannel<CallerOutput> get() = mutableOutputs

    override fun report(event: RequestEvent) {
        events.trySend(event)
    }

    suspend fun run() {
        report(RequestEvent.Started)
        try {
            coroutineScope {
                while (!isSettled()) step(events.receive())
                coroutineContext.cancelChildren()
            }
        } finally {
            mutableOutputs.close()
        }
    }

    private fun isSettled(): Boolean = (state.phase as? RequestPhase.Ended)?.openAttempt == null && state.isEnded

    private fun CoroutineScope.step(event: RequestEvent) {
        val step = machine.step(state, event, clock.nowMillis())
        state = step.state
        step.decisions.forEach { carryOut(it) }
        if (state.isEnded) mutableOutputs.close()
    }

    private fun CoroutineScope.carryOut(decision: RequestDecision) {
        when (decision) {
            RequestDecision.Reserve -> launch { report(RequestEvent.ReservationSettled(work.reserve())) }
            RequestDecision.AwaitOutcome -> launch { report(work.awaitOutcome()) }
            is RequestDecision.ChooseTarget -> launch { report(work.chooseTarget(decision.avoidedTargets)) }
            is RequestDecision.SendAttempt -> attempts[decision.attemptId] = launch { work.attempt(decision, ::report) }
            is RequestDecision.WaitUntil -> launch { reportTime(decision.atMillis) }
            is RequestDecision.CancelAttempt -> attempts.remove(decision.attemptId)?.cancel()
            is RequestDecision.RecordOutcome -> work.record(decision.result)
            is RequestDecision.Forward -> give(CallerOutput.Part(decision.text))
            is RequestDecision.FinishStream -> give(CallerOutput.Finished(decision.tokenCount, decision.finishReason))
            is RequestDecision.Answer -> give(CallerOutput.Answered(decision.answer, decision.isReplay))
            is RequestDecision.Refuse -> give(CallerOutput.Refused(decision.refusal))
        }
    }

    private suspend fun reportTime(atMillis: Long) {
        delay(atMillis - clock.nowMillis())
        report(RequestEvent.TimerFired)
    }

    private fun give(output: CallerOutput) {
        mutableOutputs.trySend(output)
    }
}
