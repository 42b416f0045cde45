package org.banyanturn.measure.delivery

import org.banyanturn.core.Incarnation
import org.banyanturn.core.MemberId
import org.banyanturn.core.TargetId
import org.banyanturn.core.VmId
import org.banyanturn.core.delivery.AnswerChunk
import org.banyanturn.core.delivery.AttemptEvidence
import org.banyanturn.core.delivery.AttemptId
import org.banyanturn.core.delivery.DeliveryRequest
import org.banyanturn.core.delivery.DrainDecision
import org.banyanturn.core.delivery.DrainStateMachine
import org.banyanturn.core.delivery.DrainStep
import org.banyanturn.core.delivery.FingerprintStatus
import org.banyanturn.core.delivery.IdempotencyKey
import org.banyanturn.core.delivery.IdempotencyRecord
import org.banyanturn.core.delivery.OutcomeResult
import org.banyanturn.core.delivery.RequestDecision
import org.banyanturn.core.delivery.RequestEvent
import org.banyanturn.core.delivery.RequestFingerprint
import org.banyanturn.core.delivery.RequestId
import org.banyanturn.core.delivery.RequestPhase
import org.banyanturn.core.delivery.RequestState
import org.banyanturn.core.delivery.RequestStateMachine
import org.banyanturn.core.delivery.RetryPolicy
import org.banyanturn.core.delivery.SettledReservation
import org.banyanturn.core.delivery.StoredOutcome
import org.banyanturn.core.delivery.unlimitedRetryBudget
import kotlin.random.Random

/** A proxy that does what the core's state machines decide. */
internal class BanyanturnProxy(private val world: World, vm: Int, seed: Long) : Proxy {
    private class Active(val request: PlannedRequest, val channel: CallerChannel, var state: RequestState)

    private val incarnation = Incarnation(VmId("vm-$vm"), world.loop.nowMillis)
    private val random = Random(seed + vm * 1_000_003L + incarnation.number)
    private val machine = RequestStateMachine(RetryPolicy(), unlimitedRetryBudget(), random)
    private val active = LinkedHashMap<RequestId, Active>()
    private var isAlive = true
    private var drain = DrainStateMachine()
    private var onExit: () -> Unit = {}
    private var number = 0
    private val targets = TargetView(world, incarnation, { isAlive }, ::receive, ::lost)
    private val keys = KeyLedger(world, incarnation, { isAlive }, ::settled, ::outcomeRecorded)

    init {
        world.loop.every(TICK_MILLIS, ::tick)
    }

    override val isReady: Boolean get() = isAlive && drain.isReady

    override fun accept(request: PlannedRequest, channel: CallerChannel) {
        if (!isAlive) return channel.reset(CallerResult.CUT_BY_VM_DEATH)
        val requestId = RequestId("$incarnation-${number++}")
        val isOrder = request.kind == RequestKind.ORDER
        val delivery = DeliveryRequest(
            requestId = requestId,
            memberId = member,
            isIdempotent = !isOrder,
            idempotencyKey = if (isOrder) IdempotencyKey(member, request.orderId) else null,
            deadlineMillis = world.loop.nowMillis + request.timeoutMillis,
        )
        active[requestId] = Active(request, channel, RequestState(delivery))
        drain = drain.requestStarted(requestId)
        handle(requestId, RequestEvent.Started)
    }

    override fun kill(): Unit = end(CallerResult.CUT_BY_VM_DEATH)

    override fun shutDown(onExit: () -> Unit) {
        this.onExit = onExit
        execute(drain.shutDown(world.loop.nowMillis))
    }

    private fun tick(): Boolean {
        if (!isAlive) return false
        targets.tick()
        execute(drain.tick(world.loop.nowMillis))
        return isAlive
    }

    private fun execute(step: DrainStep) {
        drain = step.machine
        step.decisions.forEach { decision ->
            when (decision) {
                DrainDecision.AnnounceLeaving, DrainDecision.StopAccepting -> Unit

                is DrainDecision.HandOver -> decision.requestIds.forEach(::handOver)

                is DrainDecision.EndRequests ->
                    decision.requestIds.forEach { handle(it, RequestEvent.ShutdownLimitReached) }

                DrainDecision.Exit -> exit()
            }
        }
    }

    private fun handOver(requestId: RequestId) {
        val moved = active[requestId] ?: return
        val peer = world.peerOrNull(this) ?: return
        active.remove(requestId)
        execute(drain.requestEnded(requestId))
        peer.accept(moved.request, moved.channel)
    }

    private fun exit() {
        end(CallerResult.CUT_BY_RESTART)
        onExit()
    }

    private fun end(result: CallerResult) {
        isAlive = false
        targets.closeAll()
        active.values.filterNot { it.state.isEnded }.forEach { it.channel.reset(result) }
    }

    private fun handle(requestId: RequestId, event: RequestEvent) {
        val entry = active[requestId] ?: return
        val step = machine.step(entry.state, event, world.loop.nowMillis)
        val hasEnded = step.state.isEnded && !entry.state.isEnded
        entry.state = step.state
        step.decisions.forEach { execute(requestId, entry, it) }
        if (hasEnded) execute(drain.requestEnded(requestId))
        if ((step.state.phase as? RequestPhase.Ended)?.openAttempt == null &&
            step.state.isEnded
        ) {
            active.remove(requestId)
        }
    }

    private fun execute(requestId: RequestId, entry: Active, decision: RequestDecision) {
        val channel = entry.channel
        when (decision) {
            RequestDecision.Reserve -> reserve(requestId, entry)

            RequestDecision.AwaitOutcome -> awaitOutcome(requestId, entry)

            is RequestDecision.ChooseTarget -> choose(requestId, entry, decision.avoidedTargets)

            is RequestDecision.SendAttempt -> send(requestId, entry, decision)

            is RequestDecision.WaitUntil ->
                world.loop.at(decision.atMillis) { if (isAlive) handle(requestId, RequestEvent.TimerFired) }

            is RequestDecision.Forward -> channel.token(decision.text)

            is RequestDecision.FinishStream -> {
                channel.finish()
                targets.cleared(entry.request)
            }

            is RequestDecision.Answer -> channel.answer(decision.answer.body.orEmpty())

            is RequestDecision.Refuse -> {
                channel.refuse(decision.refusal.reason, decision.refusal.outcome)
                targets.endedUnanswered(entry.request)
            }

            is RequestDecision.CancelAttempt -> targets.pool(decision.targetId).cancel(decision.attemptId)

            is RequestDecision.RecordOutcome -> entry.state.request.idempotencyKey?.let {
                keys.record(IdempotencyRecord.Outcome(it, requestId, decision.result))
            }
        }
    }

    private fun reserve(requestId: RequestId, entry: Active) {
        val key = entry.state.request.idempotencyKey ?: return
        val fingerprint = RequestFingerprint(entry.request.orderId)
        val record = IdempotencyRecord.Reserve(key, requestId, fingerprint, incarnation)
        keys.reserve(record, entry.state.request.deadlineMillis)
    }

    private fun settled(reservation: SettledReservation): Unit =
        handle(reservation.reserve.requestId, RequestEvent.ReservationSettled(reservation.result))

    private fun awaitOutcome(requestId: RequestId, entry: Active) {
        val key = entry.state.request.idempotencyKey ?: return
        val result = keys.resultOrNull(key) as? OutcomeResult.Answered ?: return
        handle(requestId, RequestEvent.OutcomeRecorded(result.outcome))
    }

    private fun outcomeRecorded(key: IdempotencyKey, result: OutcomeResult) {
        val outcome = (result as? OutcomeResult.Answered)?.outcome ?: return
        active.filterValues { it.state.request.idempotencyKey == key }.keys
            .forEach { handle(it, RequestEvent.OutcomeRecorded(outcome)) }
    }

    private fun choose(requestId: RequestId, entry: Active, avoided: Set<TargetId>) {
        if (targets.statusOf(entry.request) == FingerprintStatus.Clear) {
            handle(requestId, RequestEvent.TargetChosen(targets.choose(entry.request, avoided, random)))
        } else {
            world.loop.after(targets.reportWaitMillis) { chooseForSuspect(requestId, avoided) }
        }
    }

    private fun chooseForSuspect(requestId: RequestId, avoided: Set<TargetId>) {
        val request = active[requestId]?.takeUnless { it.state.isEnded }?.request ?: return
        if (targets.isUnresolved(request)) {
            return world.loop.after(targets.reportWaitMillis) { chooseForSuspect(requestId, avoided) }
        }
        when (val verdict = targets.statusOf(request)) {
            is FingerprintStatus.Blocked -> handle(requestId, blocked(verdict))

            is FingerprintStatus.Suspect -> {
                val choice = targets.chooseForSuspect(request, avoided + verdict.avoidedTargets, verdict.rank)
                world.loop.after(choice.delayMillis) { sendSuspect(requestId, choice.targetId) }
            }

            FingerprintStatus.Clear ->
                handle(requestId, RequestEvent.TargetChosen(targets.choose(request, avoided, random)))
        }
    }

    private fun sendSuspect(requestId: RequestId, targetId: TargetId) {
        val request = active[requestId]?.request ?: return
        val verdict = targets.statusOf(request)
        val event = if (verdict is FingerprintStatus.Blocked) blocked(verdict) else RequestEvent.TargetChosen(targetId)
        handle(requestId, event)
    }

    private fun blocked(verdict: FingerprintStatus.Blocked): RequestEvent =
        RequestEvent.FingerprintBlocked(verdict.untilEpochMillis - world.loop.nowMillis)

    private fun send(requestId: RequestId, entry: Active, decision: RequestDecision.SendAttempt) {
        drain = drain.attemptSent(requestId)
        targets.pool(decision.targetId).send(decision.attemptId, entry.request, decision.resumeAtToken)
        targets.started(decision.attemptId, decision.targetId, entry.request)
    }

    private fun receive(pool: ConnectionPool, event: WireEvent) {
        if (!isAlive) return
        when (event) {
            is WireEvent.Token -> {
                val chunk = AnswerChunk.Token(AttemptId(event.attemptId), event.index, event.text)
                handle(requestOf(event.stream), RequestEvent.ChunkReceived(chunk))
                targets.answered(AttemptId(event.stream))
            }

            is WireEvent.Finished -> {
                pool.ended(AttemptId(event.attemptId))
                val chunk = AnswerChunk.Finished(AttemptId(event.attemptId), event.tokenCount, "stop")
                handle(requestOf(event.attemptId), RequestEvent.ChunkReceived(chunk))
            }

            is WireEvent.Answer -> {
                pool.ended(AttemptId(event.attemptId))
                val answer = StoredOutcome(STATUS_OK, event.body, event.body)
                handle(requestOf(event.attemptId), RequestEvent.AttemptAnswered(AttemptId(event.attemptId), answer))
            }

            is WireEvent.Closed -> failed(pool, event.attemptId, AttemptEvidence.UNKNOWN)

            is WireEvent.StreamReset -> failed(pool, event.attemptId, AttemptEvidence.UNKNOWN)

            is WireEvent.NotSent -> {
                targets.unreachable(pool)
                failed(pool, event.attemptId, AttemptEvidence.NOT_SENT)
            }

            WireEvent.ConnectionReset -> targets.connectionReset(pool)

            WireEvent.ProbeAnswer -> Unit
        }
    }

    private fun failed(pool: ConnectionPool, attemptId: String, evidence: AttemptEvidence) {
        pool.ended(AttemptId(attemptId))
        handle(requestOf(attemptId), RequestEvent.AttemptFailed(AttemptId(attemptId), evidence))
    }

    private fun lost(attemptId: AttemptId) {
        if (!isAlive) return
        handle(requestOf(attemptId.value), RequestEvent.AttemptFailed(attemptId, AttemptEvidence.UNKNOWN))
    }

    private fun requestOf(attemptId: String): RequestId = RequestId(attemptId.substringBeforeLast('.'))

    private companion object {
        private const val TICK_MILLIS = 100L
        private const val STATUS_OK = 200
        private val member = MemberId("growers")
    }
}
