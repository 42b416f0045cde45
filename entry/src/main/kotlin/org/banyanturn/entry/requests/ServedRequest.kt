package org.banyanturn.entry.requests

import io.netty.handler.codec.http.FullHttpRequest
import io.netty.util.concurrent.ScheduledFuture
import org.banyanturn.core.TargetId
import org.banyanturn.core.delivery.AnswerChunk
import org.banyanturn.core.delivery.AttemptEvidence
import org.banyanturn.core.delivery.AttemptId
import org.banyanturn.core.delivery.DeliveryRequest
import org.banyanturn.core.delivery.Refusal
import org.banyanturn.core.delivery.RequestDecision
import org.banyanturn.core.delivery.RequestEvent
import org.banyanturn.core.delivery.RequestId
import org.banyanturn.core.delivery.RequestOutcome
import org.banyanturn.core.delivery.RequestState
import org.banyanturn.core.placement.CopyName
import org.banyanturn.core.serving.KnownTarget
import org.banyanturn.core.serving.RouteKind
import org.banyanturn.core.serving.ServiceName
import org.banyanturn.entry.http.CallerListener
import org.banyanturn.entry.observe.RequestDecisionLog
import org.banyanturn.entry.turns.PendingPrompt
import org.banyanturn.platform.hosted.TargetHeaders
import java.util.concurrent.TimeUnit

/** Names requests on this VM whose caller gave no id. */
private var nextUnnamed = 0L

/** The life of one request from its admission to its final answer; used on the event loop only. */
internal class ServedRequest(
    private val admission: Admission,
    private val service: ServiceName,
    private val environment: RequestEnvironment,
) : WaitingRequest, TurnRequest, CallerListener, AnswerReceiver {
    private val exchange = admission.exchange
    private val route = admission.route
    private val machine = environment.machineFor(service, route.maxAttempts)
    private val deadlineMillis = exchange.arrivedAtMillis +
        minOf(admission.call.timeoutMillis ?: route.timeoutMillis, route.timeoutMillis)
    private val memberId = admission.member?.memberId
    private val times = environment.timesOf(route.name)
    private val copy = copyOrNull()
    private val affinityKey = affinityKey()
    private val promptTokens = admission.call.tokens?.prompt ?: 0
    private var state = RequestState(
        DeliveryRequest(requestId(), memberId, route.isRetryable, idempotencyKey = null, deadlineMillis),
    )
    private var avoided: Set<TargetId> = emptySet()
    private var current: OpenAttempt? = null
    private var answer: TargetAnswer? = null
    private var lastTarget: KnownTarget? = null
    private val relay = EventRelay(exchange)
    override val decisionLog: RequestDecisionLog = environment.log.forRequest(id)
    private val timers = ArrayList<ScheduledFuture<*>>()
    private val takesTurns = copy != null && isStream && promptTokens > 0
    private val turns = TurnAcquirer(this, environment)
    private var isWaiting = false
    private var isReleased = false

    /** The caller's id of this attempt, or one made here. */
    val id: String
        get() = state.request.requestId.value

    override val requirements: TargetRequirements
        get() = TargetRequirements(service, copy, affinityKey, avoided, times.wholeAnswerMillis())

    private fun requestId() = RequestId(
        admission.call.attemptId?.takeIf {
            it.isNotBlank()
        } ?: "unnamed-${nextUnnamed++}",
    )

    private fun copyOrNull(): CopyName? {
        val isEngine = environment.view.catalog?.services?.get(service)?.engine != null
        val modelId = admission.call.modelId ?: return null
        return if (isEngine) CopyName(modelId, admission.call.adapterId) else null
    }

    private fun affinityKey(): String =
        copy?.adapterId?.let { copy.toString() } ?: "$copy/${admission.call.promptParts.firstOrNull()?.id}"

    /** Begins to serve the request. */
    fun start() {
        exchange.listener = this
        copy?.let {
            environment.view.recordDemand(service, it, promptTokens)
            environment.targetSelector.recordArrival(requirements)
        }
        handle(RequestEvent.Started)
    }

    private fun handle(event: RequestEvent) {
        val step = machine.step(state, event, now())
        state = step.state
        step.decisions.forEach(::carryOut)
        if (state.isEnded) release()
    }

    private fun carryOut(decision: RequestDecision) {
        when (decision) {
            is RequestDecision.ChooseTarget -> chooseTarget(decision.avoidedTargets)
            is RequestDecision.SendAttempt -> send(decision.attemptId)
            is RequestDecision.WaitUntil -> wakeAt(decision.atMillis)
            is RequestDecision.Forward -> Unit
            is RequestDecision.FinishStream -> finishStream()
            is RequestDecision.Answer -> deliverAnswer()
            is RequestDecision.Refuse -> refuse(decision.refusal, decision.endsStream)
            is RequestDecision.CancelAttempt -> current?.cancel()
            RequestDecision.Reserve, RequestDecision.AwaitOutcome, is RequestDecision.RecordOutcome -> Unit
        }
    }

    private fun wakeAt(atMillis: Long) {
        val delayMillis = (atMillis - now()).coerceAtLeast(0)
        timers += environment.loop.schedule({ handle(RequestEvent.TimerFired) }, delayMillis, TimeUnit.MILLISECONDS)
    }

    private fun chooseTarget(avoidedTargets: Set<TargetId>) {
        avoided = avoidedTargets
        when (val placed = environment.targetSelector.select(requirements)) {
            is TargetSelection.Send -> onTarget(placed.target)
            TargetSelection.Busy -> waitForRoom()
            is TargetSelection.CopyMissing -> waitForCopy(placed)
            is TargetSelection.Quiet -> waitForQuiet(placed.forMillis)
            TargetSelection.NoTarget -> refuseForNow("no_target", RequestTimings.NO_TARGET_RETRY_MILLIS)
        }
    }

    /** Until when a target must take the request so that its caller still gets the answer. */
    private val startByMillis: Long = minOf(
        deadlineMillis - times.wholeAnswerMillis(),
        exchange.arrivedAtMillis + (route.firstEventTimeoutMillis ?: Long.MAX_VALUE / 2) - times.firstPartMillis(),
    )

    private fun waitForRoom() {
        val patienceMillis = minOf(startByMillis - now(), route.targetLatencyMillis)
        if (patienceMillis <= 0) return refuseForNow("busy", times.wholeAnswerMillis())
        join(now() + patienceMillis)
    }

    private fun waitForQuiet(forMillis: Long) {
        val patienceMillis = minOf(startByMillis - now(), route.targetLatencyMillis)
        if (forMillis > patienceMillis) return refuseForNow("targets_quiet", forMillis)
        join(now() + patienceMillis)
    }

    private fun waitForCopy(missing: TargetSelection.CopyMissing) {
        when (val outlook = environment.copyRequester.request(requirements, missing.modelHolders)) {
            is CopyAvailability.Unavailable -> refuseForNow("no_copy", outlook.retryAfterMillis)

            is CopyAvailability.Expected -> {
                val isInTime = now() + outlook.readyInMillis <= startByMillis
                if (isInTime) join(startByMillis) else refuseForNow("copy_too_late", outlook.readyInMillis)
            }
        }
    }

    private fun join(startByMillis: Long) {
        isWaiting = true
        decisionLog.waits(service.value, copy?.toString(), startByMillis - now())
        environment.waitQueue.join(id, memberId ?: RequestEnvironment.PUBLIC_MEMBER, this, startByMillis)
    }

    private fun refuseForNow(reason: String, retryAfterMillis: Long) {
        decisionLog.notPlaced(reason, service.value, copy?.toString())
        val wantedMillis = retryAfterMillis + spread(retryAfterMillis, environment.random)
        val heededMillis = ((deadlineMillis - now()) * HEEDED_FRACTION).toLong()
        handle(RequestEvent.NoTarget(minOf(wantedMillis, heededMillis).coerceAtLeast(1)))
    }

    override fun onTarget(target: KnownTarget) {
        isWaiting = false
        if (takesTurns) turns.take(target) else sendTo(target)
    }

    override val prompt: PendingPrompt
        get() = PendingPrompt(memberId ?: RequestEnvironment.PUBLIC_MEMBER, promptTokens)

    override fun sendByMillis(): Long =
        minOf(startByMillis, exchange.arrivedAtMillis + route.targetLatencyMillis - times.firstPartMillis())

    override fun chooseAgain(): Unit = chooseTarget(avoided)

    override fun sendTo(target: KnownTarget) {
        lastTarget = target
        handle(RequestEvent.TargetChosen(target.entry.targetId))
    }

    override fun onWaitOver() {
        isWaiting = false
        refuseForNow("waited", times.wholeAnswerMillis())
    }

    private fun send(attemptId: AttemptId) {
        val target = checkNotNull(lastTarget) { "a target was chosen" }
        val state = environment.view.stateOf(target)
        val request = requestTo(target)
        state.load = state.load.sent(attemptId.value, now())
        state.breaker = state.breaker.requestSent(now())
        state.begin(copy)
        environment.view.recordAttempt(target)
        decisionLog.sent(attemptId.value, target.entry, state.load.requestsAt(now()), turns.waitedMillis())
        val callerId = admission.call.attemptId
        val open = OpenAttempt(attemptId, target, copy, promptTokens, environment, this, now(), callerId, turns.turn)
        current = open
        val maxIdleMillis = if (route.isRetryable) RequestTimings.KEPT_IDLE_MILLIS else RequestTimings.ONCE_IDLE_MILLIS
        open.begin(environment.channels.send(target.socketAddress, request, open, open, maxIdleMillis))
    }

    private fun requestTo(target: KnownTarget): FullHttpRequest {
        val added = TargetHeaders(
            targetId = target.entry.targetId.value,
            member = memberId?.value,
            remainingMillis = deadlineMillis - now(),
            lastEventId = relay.lastEventId?.toString(),
            rank = admission.member?.rank ?: route.rank,
        )
        return targetRequest(exchange, added)
    }

    override fun onStreamPart(attempt: OpenAttempt, event: StreamEvent) {
        if (attempt !== current || !relay.pass(event, attempt.answerHead)) return
        val index = state.answer.deliveredTokens
        handle(RequestEvent.ChunkReceived(AnswerChunk.Token(attempt.attemptId, index, text = "")))
        if (!exchange.isWritable) attempt.setReading(false)
    }

    override val isStream: Boolean
        get() = route.kind == RouteKind.STREAM

    override val isRetryable: Boolean
        get() = route.isRetryable

    override fun onStreamEnd(attempt: OpenAttempt) {
        if (attempt !== current) return
        relay.passRest(attempt.takeRest(), attempt.answerHead)
        current = null
        times.record(attempt.firstPartMillis, attempt.elapsedMillis())
        environment.crashes.onAnswered(exchange)
        val deliveredEvents = state.answer.deliveredTokens
        handle(RequestEvent.ChunkReceived(AnswerChunk.Finished(attempt.attemptId, deliveredEvents, finishReason = "")))
    }

    override fun onWholeAnswer(attempt: OpenAttempt, whole: TargetAnswer) {
        if (attempt !== current) return whole.release()
        current = null
        keepAnswer(whole)
        times.record(attempt.firstPartMillis, attempt.elapsedMillis())
        environment.crashes.onAnswered(exchange)
        handle(RequestEvent.AttemptAnswered(attempt.attemptId, whole.toOutcome()))
    }

    override fun onFailed(attempt: OpenAttempt, evidence: AttemptEvidence, failing: TargetAnswer?) {
        if (attempt !== current) {
            failing?.release()
            return
        }
        current = null
        failing?.let(::keepAnswer)
        if (evidence == AttemptEvidence.UNKNOWN) {
            environment.crashes.onBroken(exchange, attempt.target.entry.targetId, hasAnswered = relay.hasStarted)
        }
        handle(RequestEvent.AttemptFailed(attempt.attemptId, evidence))
    }

    private fun keepAnswer(kept: TargetAnswer) {
        answer?.release()
        answer = kept
    }

    private fun deliverAnswer() {
        val whole = answer ?: return
        answer = null
        decisionLog.answered(whole.statusCode, state.attempts)
        environment.metrics.answered(now() - exchange.arrivedAtMillis)
        exchange.answer(whole.statusCode, whole.callerHeaders(), whole.body)
    }

    private fun finishStream() {
        decisionLog.answered(STATUS_OK, state.attempts)
        environment.metrics.answered(now() - exchange.arrivedAtMillis)
        exchange.finish()
    }

    private fun refuse(refusal: Refusal, endsStream: Boolean) {
        val isAbort = endsStream || relay.hasStarted
        val targetsOwn = answer
        when {
            isAbort -> {
                decisionLog.aborted(refusal.reason.logName())
                exchange.abort()
            }

            targetsOwn != null && refusal.outcome != RequestOutcome.NOT_RUN -> deliverAnswer()

            else -> answerRefusal(EntryRefusal.of(refusal))
        }
    }

    private fun answerRefusal(refusal: EntryRefusal) {
        decisionLog.refused(refusal)
        environment.metrics.refused(refusal.reason)
        if (refusal.outcome ==
            RequestOutcome.NOT_RUN
        ) {
            admission.member?.let { environment.limits.refund(it, admission.cost) }
        }
        exchange.answerRefusal(refusal, admission.call.attemptId)
    }

    /** Returns whether an attempt that nobody waits for any more is to be stopped: all but calls that run once. */
    private fun stopsWithCaller(): Boolean = isStream || route.isRetryable

    override fun onCallerGone() {
        decisionLog.callerGone()
        if (stopsWithCaller()) current?.cancel()
        handle(RequestEvent.CallerGone)
    }

    override fun onShutdownLimit(): Unit = handle(RequestEvent.ShutdownLimitReached)

    override fun onWritable(isWritable: Boolean) {
        current?.setReading(isWritable)
    }

    private fun release() {
        if (isReleased) return
        isReleased = true
        timers.forEach { it.cancel(false) }
        timers.clear()
        decisionLog.end()
        turns.end()
        if (isWaiting) environment.waitQueue.leave(id)
        isWaiting = false
        answer?.release()
        answer = null
        if (stopsWithCaller()) current?.cancel()
    }

    private fun now(): Long = environment.clock.nowMillis()

    private companion object {
        const val STATUS_OK = 200

        /** Callers heed a wait of up to a third of the time that they have left. */
        const val HEEDED_FRACTION = 0.32
    }
}
