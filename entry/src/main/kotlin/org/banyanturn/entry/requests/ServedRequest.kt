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
import org.banyanturn.core.queueing.StartTerms
import org.banyanturn.core.routing.PromptUrgency
import org.banyanturn.core.serving.KnownTarget
import org.banyanturn.core.serving.RouteKind
import org.banyanturn.core.serving.ServiceName
import org.banyanturn.entry.http.CallerListener
import org.banyanturn.entry.observe.RequestDecisionLog
import org.banyanturn.entry.turns.PendingPrompt
import org.banyanturn.entry.turns.SendPermission
import org.banyanturn.platform.hosted.TargetHeaders
import java.util.concurrent.TimeUnit

/** Number of the next id that is generated for a request whose caller sent none. */
private var nextGeneratedId = 0L

/** Serves one request from its admission to its final response; used on the event loop only. */
internal class ServedRequest(
    private val admission: Admission,
    private val service: ServiceName,
    private val environment: RequestEnvironment,
) : WaitingRequest, TurnRequest, CallerListener, ResponseReceiver {
    private val exchange = admission.exchange
    private val route = admission.route
    private val machine = environment.requestMachineFor(service, route.maxAttempts)
    private val timing = RequestTiming(admission, service, environment)
    private val deadlineMillis = timing.deadlineMillis
    private val memberId = admission.member?.memberId
    private val latencies = timing.latencies
    private val copy = copyOrNull()
    private val affinityKey = affinityKey()
    private val crashEvidence = RequestEvidence(
        environment.crashes,
        exchange,
        if (copy == null) emptyList() else admission.call.sharedPromptParts,
    )
    private val promptTokens = admission.call.tokens?.prompt ?: 0
    private var state = RequestState(
        DeliveryRequest(requestId(), memberId, route.isRetryable, idempotencyKey = null, deadlineMillis),
    )
    private var avoidedTargetIds: Set<TargetId> = emptySet()
    private var currentAttempt: OpenAttempt? = null
    private var response: TargetResponse? = null
    private var lastTarget: KnownTarget? = null
    private var sendPermission = SendPermission(permit = null)
    private val relay = EventRelay(exchange)
    override val decisionLog: RequestDecisionLog = environment.log.forRequest(id)
    private val timers = ArrayList<ScheduledFuture<*>>()
    private val usesPromptTurns = copy != null && isStream && promptTokens > 0
    private val turnAcquirer = TurnAcquirer(this, environment)
    private var isWaiting = false
    private var hasSelectedTarget = false
    private var isReleased = false

    /** The caller's id of this attempt, or a generated one. */
    val id: String
        get() = state.request.requestId.value

    override val requirements: TargetRequirements
        get() = TargetRequirements(
            service,
            copy,
            affinityKey,
            avoidedTargetIds,
            latencies.fullResponseMillis(),
            generationMillis = latencies.fullResponseMillis() - latencies.firstPartMillis(),
            promptTokens = promptTokens,
            maxOutputTokens = admission.call.tokens?.maxGenerated,
        )

    private fun requestId() = RequestId(
        admission.call.attemptId?.takeIf { it.isNotBlank() } ?: "unnamed-${nextGeneratedId++}",
    )

    private fun copyOrNull(): CopyName? {
        val isEngine = environment.view.catalog?.services?.get(service)?.engine != null
        val modelId = admission.call.modelId ?: return null
        return if (isEngine) CopyName(modelId, admission.call.adapterId) else null
    }

    private fun affinityKey(): String =
        copy?.adapterId?.let { copy.toString() } ?: "$copy/${admission.call.promptParts.firstOrNull()?.id}"

    /** Starts serving the request. */
    fun start() {
        exchange.listener = this
        copy?.let {
            environment.view.recordDemand(service, it, promptTokens)
            environment.targetSelector.recordArrival(requirements)
            environment.copyOutcomes.recordArrival(it)
        }
        handle(RequestEvent.Started)
    }

    private fun handle(event: RequestEvent) {
        val step = machine.step(state, event, now())
        state = step.state
        step.decisions.forEach(::execute)
        if (state.isEnded) release()
    }

    private fun execute(decision: RequestDecision) {
        when (decision) {
            is RequestDecision.ChooseTarget -> selectTarget(decision.avoidedTargets)
            is RequestDecision.SendAttempt -> send(decision.attemptId)
            is RequestDecision.WaitUntil -> scheduleWakeUp(decision.atMillis)
            is RequestDecision.Forward -> Unit
            is RequestDecision.FinishStream -> finishStream()
            is RequestDecision.Answer -> deliverResponse()
            is RequestDecision.Refuse -> refuse(decision.refusal, decision.endsStream)
            is RequestDecision.CancelAttempt -> currentAttempt?.cancel()
            RequestDecision.Reserve, RequestDecision.AwaitOutcome, is RequestDecision.RecordOutcome -> Unit
        }
    }

    private fun scheduleWakeUp(atMillis: Long) {
        val delayMillis = (atMillis - now()).coerceAtLeast(0)
        timers += environment.loop.schedule({ handle(RequestEvent.TimerFired) }, delayMillis, TimeUnit.MILLISECONDS)
    }

    private fun selectTarget(avoided: Set<TargetId>) {
        avoidedTargetIds = avoided
        when (val selection = environment.targetSelector.select(requirements)) {
            is TargetSelection.Selected -> startOrQueue(selection.target)
            TargetSelection.AllBusy, TargetSelection.MemoryFull -> waitForCapacity()
            is TargetSelection.CopyMissing -> waitForCopy(selection)
            is TargetSelection.AllQuiet -> waitForQuietEnd(selection.quietMillis)
            TargetSelection.NoTarget -> refuseTemporarily("no_target", RequestTimings.NO_TARGET_RETRY_MILLIS)
        }
    }

    override val startTerms: StartTerms
        get() = timing.startTerms()

    /** Sends the request to [target] unless a request of its service waits for the same copy. */
    private fun startOrQueue(target: KnownTarget) {
        if (hasSelectedTarget) return onTarget(target)
        if (environment.waitQueue.isOvertaking(requirements) && timing.startByMillis > now()) {
            enqueue(timing.startByMillis)
            return environment.waitQueue.dispatch()
        }
        environment.waitQueue.recordUnqueued(service, startTerms, isStarted = true)
        onTarget(target)
    }

    private fun waitForCapacity() {
        val maxWaitMillis = minOf(timing.startByMillis - now(), maxCapacityWaitMillis())
        if (maxWaitMillis <= 0) {
            environment.waitQueue.recordUnqueued(service, startTerms, isStarted = false)
            return refuseTemporarily("busy", latencies.fullResponseMillis())
        }
        enqueue(now() + maxWaitMillis)
    }

    /** A request that is late may still be started when no request that can be on time waits. */
    private fun maxCapacityWaitMillis(): Long =
        if (environment.waitQueue.isRanked(service)) Long.MAX_VALUE else route.targetLatencyMillis

    private fun waitForQuietEnd(quietMillis: Long) {
        val maxWaitMillis = minOf(timing.startByMillis - now(), maxCapacityWaitMillis())
        if (quietMillis > maxWaitMillis) return refuseTemporarily("targets_quiet", quietMillis)
        enqueue(now() + maxWaitMillis)
    }

    private fun waitForCopy(copyMissing: TargetSelection.CopyMissing) {
        when (val availability = environment.copyRequester.request(requirements, copyMissing.modelHolders)) {
            is CopyAvailability.Unavailable -> refuseTemporarily("no_copy", availability.retryAfterMillis)

            is CopyAvailability.Expected -> {
                val isInTime = now() + availability.readyInMillis <= timing.startByMillis
                if (!isInTime) return refuseTemporarily("copy_too_late", availability.readyInMillis)
                enqueue(timing.startByMillis)
            }
        }
    }

    private fun enqueue(startByMillis: Long) {
        isWaiting = true
        decisionLog.waits(service.value, copy?.toString(), startByMillis - now())
        environment.waitQueue.enqueue(id, memberId ?: RequestEnvironment.PUBLIC_MEMBER, this, startByMillis)
    }

    private fun refuseTemporarily(reason: String, retryAfterMillis: Long) {
        decisionLog.notPlaced(reason, service.value, copy?.toString())
        val jitteredMillis = retryAfterMillis + retryJitterMillis(retryAfterMillis, environment.random)
        val maxRetryAfterMillis = ((deadlineMillis - now()) * MAX_RETRY_AFTER_FRACTION).toLong()
        handle(RequestEvent.NoTarget(minOf(jitteredMillis, maxRetryAfterMillis).coerceAtLeast(1)))
    }

    override fun onTarget(target: KnownTarget) {
        isWaiting = false
        hasSelectedTarget = true
        if (usesPromptTurns) turnAcquirer.acquire(target) else sendTo(target)
    }

    override val prompt: PendingPrompt
        get() = PendingPrompt(memberId ?: RequestEnvironment.PUBLIC_MEMBER, promptTokens, timing.promptUrgencyOrNull())

    override fun sendByMillis(): Long = timing.sendByMillis()

    override fun reselectTarget(): Unit = selectTarget(avoidedTargetIds)

    override fun sendTo(target: KnownTarget) {
        val blockedMillis = crashEvidence.refusedOnSendForMillisOrNull()
        if (blockedMillis != null) return handle(RequestEvent.FingerprintBlocked(blockedMillis))
        sendPermission = environment.coldTargets.takeOrNull(target) ?: return reselectWithoutTurn()
        lastTarget = target
        handle(RequestEvent.TargetChosen(target.entry.targetId))
    }

    private fun reselectWithoutTurn() {
        turnAcquirer.end()
        reselectTarget()
    }

    override fun onNoTarget(expectedInMillis: Long?) {
        isWaiting = false
        refuseTemporarily("waited", expectedInMillis ?: latencies.fullResponseMillis())
    }

    private fun send(attemptId: AttemptId) {
        val target = checkNotNull(lastTarget) { "no target was selected" }
        val targetState = environment.view.stateOf(target)
        val request = requestTo(target)
        targetState.load = targetState.load.sent(attemptId.value, now())
        recordTokens(targetState, attemptId)
        targetState.breaker = targetState.breaker.requestSent(now())
        targetState.onAttemptStarted(copy)
        environment.view.recordAttempt(target)
        decisionLog.sent(attemptId.value, target.entry, targetState.load.requestsAt(now()), turnAcquirer.waitedMillis())
        val callerId = admission.call.attemptId
        val attempt =
            OpenAttempt(attemptId, target, copy, promptTokens, environment, this, now(), callerId, turnAcquirer.turn)
        currentAttempt = attempt
        val permission = sendPermission
        val maxIdleMillis =
            if (route.isRetryable) RequestTimings.RETRYABLE_IDLE_MILLIS else RequestTimings.ONCE_IDLE_MILLIS
        val started = environment.connectionPool.send(
            target.socketAddress,
            request,
            callerId,
            attempt,
            maxIdleMillis,
            isAlone = callerId == null,
            maySend = { environment.coldTargets.maySend(permission) },
        )
        attempt.begin(started)
    }

    private fun recordTokens(targetState: TargetState, attemptId: AttemptId) {
        val sizes = environment.view.requestSizes(service)
        val tokens = requirements.tokens
        sizes.record(tokens ?: 0, now())
        targetState.ledger = targetState.ledger.sent(attemptId.value, tokens ?: sizes.meanTokens.toLong(), now())
    }

    private fun requestTo(target: KnownTarget): FullHttpRequest {
        val added = TargetHeaders(
            targetId = target.entry.targetId.value,
            member = memberId?.value,
            remainingMillis = deadlineMillis - now(),
            lastEventId = relay.lastEventId?.toString(),
            rank = timing.rank,
        )
        return targetRequest(exchange, added)
    }

    override fun onStreamPart(attempt: OpenAttempt, event: StreamEvent) {
        if (attempt !== currentAttempt) return
        crashEvidence.onEvent(attempt)
        if (!relay.forward(event, attempt.responseHead)) return
        val index = state.answer.deliveredTokens
        handle(RequestEvent.ChunkReceived(AnswerChunk.Token(attempt.attemptId, index, text = "")))
        if (!exchange.isWritable) attempt.setReading(false)
    }

    override fun onStreamPartsEnd(): Unit = relay.flush()

    override val isStream: Boolean
        get() = route.kind == RouteKind.STREAM

    override val isRetryable: Boolean
        get() = route.isRetryable

    override fun onStreamEnd(attempt: OpenAttempt) {
        if (attempt !== currentAttempt) return
        relay.start(attempt.responseHead)
        currentAttempt = null
        latencies.record(attempt.firstPartMillis, attempt.elapsedMillis())
        crashEvidence.onAnswered(attempt)
        val deliveredEvents = state.answer.deliveredTokens
        handle(RequestEvent.ChunkReceived(AnswerChunk.Finished(attempt.attemptId, deliveredEvents, finishReason = "")))
    }

    override fun onResponse(attempt: OpenAttempt, received: TargetResponse) {
        if (attempt !== currentAttempt) return received.release()
        currentAttempt = null
        if (isReleased) return received.release()
        retainResponse(received)
        latencies.record(attempt.firstPartMillis, attempt.elapsedMillis())
        crashEvidence.onAnswered(attempt)
        handle(RequestEvent.AttemptAnswered(attempt.attemptId, received.toOutcome()))
    }

    override fun onFailed(attempt: OpenAttempt, evidence: AttemptEvidence, errorResponse: TargetResponse?) {
        if (attempt !== currentAttempt) {
            errorResponse?.release()
            return
        }
        currentAttempt = null
        if (isReleased) errorResponse?.release() else errorResponse?.let(::retainResponse)
        crashEvidence.onFailed(attempt, hasAnswered = relay.hasStarted)
        handle(RequestEvent.AttemptFailed(attempt.attemptId, evidence))
    }

    private fun retainResponse(retained: TargetResponse) {
        response?.release()
        response = retained
    }

    private fun deliverResponse() {
        val received = response ?: return
        response = null
        decisionLog.answered(received.statusCode, state.attempts)
        environment.metrics.answered(now() - exchange.arrivedAtMillis)
        if (received.statusCode == STATUS_OK) copy?.let(environment.copyOutcomes::recordServed)
        val unread = AnswerHolder { exchange.drop() }
        environment.answerMemory.hold(unread, received.body.capacity().toLong())
        exchange.answer(received.statusCode, received.callerHeaders(), received.body) {
            environment.answerMemory.hold(unread, 0)
        }
    }

    private fun finishStream() {
        decisionLog.answered(STATUS_OK, state.attempts)
        environment.metrics.answered(now() - exchange.arrivedAtMillis)
        copy?.let(environment.copyOutcomes::recordServed)
        exchange.finish()
    }

    private fun refuse(refusal: Refusal, endsStream: Boolean) {
        val isAbort = endsStream || relay.hasStarted
        val errorResponse = response
        when {
            isAbort -> {
                decisionLog.aborted(refusal.reason.reasonName())
                exchange.abort()
            }

            errorResponse != null && refusal.outcome != RequestOutcome.NOT_RUN -> deliverResponse()

            else -> respondWithRefusal(EntryRefusal.of(refusal))
        }
    }

    private fun respondWithRefusal(refusal: EntryRefusal) {
        decisionLog.refused(refusal)
        environment.metrics.refused(refusal.reason)
        copy?.let(environment.copyOutcomes::recordRefused)
        if (refusal.outcome == RequestOutcome.NOT_RUN) {
            admission.member?.let { environment.limits.refund(it, admission.cost) }
        }
        exchange.respondWithRefusal(refusal, admission.call.attemptId)
    }

    /** Returns whether the attempt is cancelled once its caller is gone; calls that may run only once complete. */
    private fun cancelsWithCaller(): Boolean = isStream || route.isRetryable

    override fun onCallerGone() {
        decisionLog.callerGone()
        if (cancelsWithCaller()) currentAttempt?.cancel()
        handle(RequestEvent.CallerGone)
    }

    override fun onShutdownDeadline(): Unit = handle(RequestEvent.ShutdownLimitReached)

    override fun onWritable(isWritable: Boolean) {
        currentAttempt?.setReading(isWritable)
    }

    private fun release() {
        if (isReleased) return
        isReleased = true
        timers.forEach { it.cancel(false) }
        timers.clear()
        decisionLog.end()
        turnAcquirer.end()
        if (isWaiting) environment.waitQueue.remove(id)
        isWaiting = false
        response?.release()
        response = null
        if (cancelsWithCaller()) currentAttempt?.cancel() else currentAttempt?.let(::limitOverdue)
    }

    /** Lets a call that runs only once come to its end, but not without end. */
    private fun limitOverdue(attempt: OpenAttempt) {
        val maxMillis = environment.answerLimits.maxOverdueMillis
        val delayMillis = (deadlineMillis - now()).coerceAtLeast(0) + maxMillis
        val giveUp = { attempt.giveUp("no end within $maxMillis ms after its deadline") }
        environment.loop.schedule(giveUp, delayMillis, TimeUnit.MILLISECONDS)
    }

    private fun now(): Long = environment.clock.nowMillis()

    private companion object {
        const val STATUS_OK = 200

        /** Callers honour a retry delay of up to a third of their remaining time. */
        const val MAX_RETRY_AFTER_FRACTION = 0.32
    }
}
