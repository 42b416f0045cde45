package org.banyanturn.placer.loads

import com.github.michaelbull.result.Err
import com.github.michaelbull.result.Ok
import com.github.michaelbull.result.Result
import com.github.michaelbull.result.mapBoth
import kotlinx.coroutines.CompletableDeferred
import kotlinx.coroutines.CoroutineScope
import kotlinx.coroutines.launch
import kotlinx.coroutines.sync.Mutex
import kotlinx.coroutines.sync.withLock
import kotlinx.coroutines.withTimeoutOrNull
import org.banyanturn.core.MemberId
import org.banyanturn.core.TargetId
import org.banyanturn.core.ZoneId
import org.banyanturn.core.placement.CheckpointTier
import org.banyanturn.core.placement.LoadDecision
import org.banyanturn.core.placement.LoadKey
import org.banyanturn.core.placement.LoadOutcome
import org.banyanturn.core.placement.LoadQueue
import org.banyanturn.core.placement.LoadQueueStep
import org.banyanturn.core.placement.LoadRequest
import org.banyanturn.core.placement.QueuedLoad
import org.banyanturn.core.placement.laneFrom
import org.banyanturn.core.placement.loadQueueOf
import org.banyanturn.core.state.FleetState
import org.banyanturn.daemon.ProcessClock
import org.banyanturn.placer.LoadFailure
import org.banyanturn.platform.LoadUnit
import java.util.UUID

private const val NO_ENGINE_RETRY_MILLIS = 2_000L

/** A request for a copy: what is to be loaded, for whom and from which zone. */
internal data class CopyRequest(
    val unit: LoadUnit,
    val memberId: MemberId,
    val zoneId: ZoneId,
    val remainingMillis: Long,
    val traceParent: String?,
)

/** Has a copy loaded by the VM that owns the engine. */
internal fun interface OwnerClient {
    /** Returns once the copy that [request] needs is ready on [targetId], or why it won't be. */
    suspend fun ensureLoaded(targetId: TargetId, request: CopyRequest): Result<Unit, LoadFailure>
}

/** Orders the loads of the fleet: one for each model or adapter version, however many requests wait for it. */
internal interface LoadCoordinator {
    /** Returns the engine on which the copy for [request] is ready, or why none will be in time. */
    suspend fun ensureLoaded(request: CopyRequest): Result<TargetId, LoadFailure>
}

/** Returns a coordinator that runs loads in [scope]. */
internal fun loadCoordinator(
    states: () -> FleetState,
    owners: OwnerClient,
    clock: ProcessClock,
    scope: CoroutineScope,
): LoadCoordinator = QueuedLoadCoordinator(states, owners, clock, scope)

private class Waiter(val request: CopyRequest) {
    val answer = CompletableDeferred<Result<TargetId, LoadFailure>>()
}

private class QueuedLoadCoordinator(
    private val states: () -> FleetState,
    private val owners: OwnerClient,
    private val clock: ProcessClock,
    private val scope: CoroutineScope,
) : LoadCoordinator {
    private val mutex = Mutex()
    private val waiters = HashMap<String, Waiter>()
    private val failures = HashMap<LoadKey, LoadFailure>()
    private val readyOn = HashMap<LoadKey, TargetId>()
    private var queue: LoadQueue = loadQueueOf()

    override suspend fun ensureLoaded(request: CopyRequest): Result<TargetId, LoadFailure> {
        readyTargetOrNull(request.unit)?.let { return Ok(it) }
        val requestId = UUID.randomUUID().toString()
        val waiter = Waiter(request)
        mutex.withLock {
            waiters[requestId] = waiter
            carryOut(queue.enqueue(request.toLoadRequest(requestId), clock.nowMillis()))
        }
        val answer = withTimeoutOrNull(request.remainingMillis) { waiter.answer.await() }
        if (answer != null) return answer
        mutex.withLock {
            waiters.remove(requestId)
            queue = queue.cancel(requestId)
        }
        return Err(LoadFailure("the copy was not ready within the request's time", NO_ENGINE_RETRY_MILLIS))
    }

    private fun readyTargetOrNull(unit: LoadUnit): TargetId? {
        val state = states()
        return state.copies.values
            .firstOrNull {
                it.isReady && it.key.toUnit() == unit && state.targets[it.key.targetId]?.isDraining == false
            }
            ?.key?.targetId
    }

    private fun CopyRequest.toLoadRequest(requestId: String): LoadRequest {
        val key = unit.toLoadKey()
        return LoadRequest(
            requestId = requestId,
            key = key,
            memberId = memberId,
            deadlineMillis = clock.nowMillis() + remainingMillis,
            lane = key.laneFrom(CheckpointTier.REMOTE),
            predictedLoadMillis = expectedLoadMillis(CheckpointTier.REMOTE, key.adapterId != null),
        )
    }

    private fun carryOut(step: LoadQueueStep) {
        queue = step.queue
        step.decisions.forEach(::carryOut)
        val started = queue.startNext(clock.nowMillis())
        queue = started.queue
        started.decisions.forEach(::carryOut)
    }

    private fun carryOut(decision: LoadDecision) {
        when (decision) {
            is LoadDecision.Start -> start(decision.load)
            is LoadDecision.Serve -> serve(decision)
            is LoadDecision.Refuse -> refuse(decision)
        }
    }

    private fun start(load: QueuedLoad) {
        val waiter = load.waiters.firstNotNullOfOrNull { waiters[it.requestId] }
        scope.launch { run(load, waiter?.request) }
    }

    private suspend fun run(load: QueuedLoad, request: CopyRequest?) {
        val result = if (request == null) Err(abandoned) else loadSomewhere(load.key, request)
        mutex.withLock {
            val outcome = result.mapBoth(
                success = {
                    readyOn[load.key] = it
                    LoadOutcome.READY
                },
                failure = {
                    failures[load.key] = it
                    LoadOutcome.FAILED
                },
            )
            carryOut(queue.finish(load.key, outcome, clock.nowMillis()))
        }
    }

    private suspend fun loadSomewhere(key: LoadKey, request: CopyRequest): Result<TargetId, LoadFailure> {
        val refusedOn = HashSet<TargetId>()
        var failure = noEngine(key)
        while (true) {
            val targetId = states().chooseEngineOrNull(key, request.zoneId, refusedOn) ?: return Err(failure)
            val result = owners.ensureLoaded(targetId, request)
            if (result.isOk) return Ok(targetId)
            failure = result.mapBoth(success = { failure }, failure = { it })
            refusedOn += targetId
        }
    }

    private fun serve(decision: LoadDecision.Serve) {
        val targetId = readyOn[decision.key] ?: return
        waiters.remove(decision.requestId)?.answer?.complete(Ok(targetId))
    }

    private fun refuse(decision: LoadDecision.Refuse) {
        val message = failures[decision.key]?.message ?: "the copy can't be ready within the request's time"
        val failure = LoadFailure(message, decision.retryAfterMillis)
        waiters.remove(decision.requestId)?.answer?.complete(Err(failure))
    }
}

private fun noEngine(key: LoadKey): LoadFailure =
    LoadFailure("no engine has memory for ${key.adapterId ?: key.modelId} ${key.version}", NO_ENGINE_RETRY_MILLIS)

private val abandoned = LoadFailure("no request waits for the load any more", NO_ENGINE_RETRY_MILLIS)
