package org.banyanturn.placer.engines

import com.github.michaelbull.result.Err
import com.github.michaelbull.result.Ok
import com.github.michaelbull.result.Result
import com.github.michaelbull.result.mapBoth
import io.github.oshai.kotlinlogging.KotlinLogging
import kotlinx.coroutines.CompletableDeferred
import kotlinx.coroutines.CoroutineScope
import kotlinx.coroutines.launch
import kotlinx.coroutines.sync.Mutex
import kotlinx.coroutines.sync.withLock
import kotlinx.coroutines.withTimeoutOrNull
import org.banyanturn.core.placement.EngineOwnerDecision
import org.banyanturn.core.placement.EngineOwnerEvent
import org.banyanturn.core.placement.EngineOwnerMachine
import org.banyanturn.core.placement.EngineOwnerSettings
import org.banyanturn.core.placement.OrderId
import org.banyanturn.core.placement.OrderOutcome
import org.banyanturn.core.placement.engineOwnerMachineOf
import org.banyanturn.core.state.CopyKey
import org.banyanturn.core.state.encodeToPayload
import org.banyanturn.daemon.ProcessClock
import org.banyanturn.daemon.logs.Event
import org.banyanturn.daemon.logs.event
import org.banyanturn.daemon.logs.field
import org.banyanturn.placer.LoadFailure
import org.banyanturn.platform.CONFIGURATION_STREAM
import org.banyanturn.platform.EngineControl
import org.banyanturn.platform.LoadUnit
import org.banyanturn.platform.LogService
import org.banyanturn.platform.TargetError

private const val OWNER_RETRY_MILLIS = 1_000L

private val logger = KotlinLogging.logger {}

/** Carries out what the [EngineOwnerMachine] of one engine decides. */
internal interface EngineOwner {
    /** The machine as it stands. */
    val machine: EngineOwnerMachine

    /** Hands [event] to the machine and starts what it decides. */
    suspend fun handle(event: EngineOwnerEvent)

    /** Returns once [copy] is ready, or why it won't be within [remainingMillis]. */
    suspend fun ensureLoaded(copy: CopyKey, memoryMebibytes: Long, remainingMillis: Long): Result<Unit, LoadFailure>
}

/** Returns an owner that gives orders through [control] and appends to [log]; calls run in [scope]. */
internal fun engineOwner(
    settings: EngineOwnerSettings,
    control: EngineControl,
    log: LogService,
    clock: ProcessClock,
    scope: CoroutineScope,
): EngineOwner = MachineEngineOwner(settings, control, log, clock, scope)

private class MachineEngineOwner(
    private val settings: EngineOwnerSettings,
    private val control: EngineControl,
    private val log: LogService,
    private val clock: ProcessClock,
    private val scope: CoroutineScope,
) : EngineOwner {
    private val mutex = Mutex()
    private val waiters = HashMap<CopyKey, MutableList<CompletableDeferred<Result<Unit, LoadFailure>>>>()

    @Volatile
    override var machine: EngineOwnerMachine = engineOwnerMachineOf(settings)
        private set

    override suspend fun handle(event: EngineOwnerEvent) {
        mutex.withLock { step(event) }
    }

    override suspend fun ensureLoaded(
        copy: CopyKey,
        memoryMebibytes: Long,
        remainingMillis: Long,
    ): Result<Unit, LoadFailure> {
        val answer = CompletableDeferred<Result<Unit, LoadFailure>>()
        mutex.withLock {
            waiters.getOrPut(copy) { mutableListOf() } += answer
            step(EngineOwnerEvent.LoadRequested(copy, memoryMebibytes, clock.nowMillis() + remainingMillis))
        }
        return withTimeoutOrNull(remainingMillis) { answer.await() } ?: Err(notInTime)
    }

    private fun step(event: EngineOwnerEvent) {
        val before = machine.fencingNumberOrNull
        val step = machine.handle(event, clock.nowMillis())
        machine = step.machine
        logOwnership(before)
        step.decisions.forEach(::carryOut)
    }

    private fun logOwnership(before: Long?) {
        val fencingNumber = machine.fencingNumberOrNull
        if (fencingNumber == before) return
        val event = if (fencingNumber != null) Event.ENGINE_OWNED else Event.ENGINE_LOST
        logger.event(event, field("targetId", settings.targetId), field("fencingNumber", fencingNumber ?: before))
    }

    private fun carryOut(decision: EngineOwnerDecision) {
        when (decision) {
            is EngineOwnerDecision.Append -> scope.launch { append(decision) }

            is EngineOwnerDecision.SendLoad -> scope.launch { load(decision) }

            is EngineOwnerDecision.SendUnload -> scope.launch { unload(decision) }

            is EngineOwnerDecision.CopyReady -> answerWaiters(decision.copy, Ok(Unit))

            is EngineOwnerDecision.CopyUnavailable -> Unit

            is EngineOwnerDecision.RefuseLoad -> {
                val message = "engine ${settings.targetId}: ${decision.reason.name.lowercase()}"
                answerWaiters(decision.copy, Err(LoadFailure(message, decision.retryAfterMillis)))
            }
        }
    }

    private fun answerWaiters(copy: CopyKey, answer: Result<Unit, LoadFailure>) {
        waiters.remove(copy)?.forEach { it.complete(answer) }
    }

    private suspend fun append(decision: EngineOwnerDecision.Append) {
        log.append(CONFIGURATION_STREAM, decision.entry.encodeToPayload())
            .mapBoth(success = {}, failure = { logger.event(Event.APPEND_FAILED, field("error", it.message)) })
    }

    private suspend fun load(decision: EngineOwnerDecision.SendLoad) {
        if (clock.nowMillis() > decision.sendDeadlineMillis) return answered(decision.orderId, OrderOutcome.NOT_SENT)
        val unit = decision.copy.toLoadUnit()
        logger.event(Event.LOAD_STARTED, field("targetId", settings.targetId), field("unit", unit))
        val outcome = control.load(unit, decision.memoryMebibytes, decision.fencingNumber)
            .mapBoth(success = { OrderOutcome.CONFIRMED }, failure = { it.toOutcome() })
        val event = if (outcome == OrderOutcome.CONFIRMED) Event.LOAD_FINISHED else Event.LOAD_FAILED
        logger.event(event, field("targetId", settings.targetId), field("unit", unit), field("outcome", outcome))
        answered(decision.orderId, outcome)
    }

    private suspend fun unload(decision: EngineOwnerDecision.SendUnload) {
        if (clock.nowMillis() > decision.sendDeadlineMillis) return answered(decision.orderId, OrderOutcome.NOT_SENT)
        val unit = decision.copy.toLoadUnit()
        val outcome = control.unload(unit, decision.fencingNumber)
            .mapBoth(success = { OrderOutcome.CONFIRMED }, failure = { it.toOutcome() })
        logger.event(
            Event.UNLOAD_FINISHED,
            field("targetId", settings.targetId),
            field("unit", unit),
            field("outcome", outcome),
        )
        answered(decision.orderId, outcome)
    }

    private suspend fun answered(orderId: OrderId, outcome: OrderOutcome) {
        handle(EngineOwnerEvent.OrderAnswered(orderId, outcome))
    }
}

private const val HTTP_CONFLICT = 409

private val notInTime = LoadFailure("the copy was not ready within the request's time", OWNER_RETRY_MILLIS)

private fun TargetError.toOutcome(): OrderOutcome =
    when (this) {
        is TargetError.NotSent -> OrderOutcome.NOT_SENT
        is TargetError.Unconfirmed -> OrderOutcome.UNCONFIRMED
        is TargetError.Refused -> if (statusCode == HTTP_CONFLICT) OrderOutcome.FENCED_OFF else OrderOutcome.REFUSED
    }

/** Returns what this is a copy of, in the form of the engine's orders. */
internal fun CopyKey.toLoadUnit(): LoadUnit = LoadUnit(modelId, adapterId, modelVersion)
