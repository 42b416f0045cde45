package org.banyanturn.core.placement

import kotlinx.collections.immutable.PersistentMap
import kotlinx.collections.immutable.persistentListOf
import kotlinx.collections.immutable.persistentMapOf
import kotlinx.collections.immutable.toPersistentList
import org.banyanturn.core.MemberId

internal data class LoadQueueState(
    val settings: LoadQueueSettings,
    val loads: PersistentMap<LoadKey, QueuedLoad> = persistentMapOf(),
    val scheduler: FairLoadScheduler = FairLoadScheduler(),
) : LoadQueue {
    override val waiting: List<QueuedLoad> get() = loads.values.filter { it.startedMillis == null }

    override val running: List<QueuedLoad> get() = loads.values.filter { it.startedMillis != null }

    override fun enqueue(request: LoadRequest, nowMillis: Long): LoadQueueStep {
        val waiter = LoadWaiter(request.requestId, request.memberId, request.deadlineMillis)
        val load = loads[request.key] ?: request.newLoad(nowMillis)
        val updated = load.copy(
            waiters = load.waiters.adding(waiter),
            lastMemberId = request.memberId,
            lastRequestedMillis = nowMillis,
        )
        return with(updated).refuseUnreachable(updated.lane, nowMillis)
    }

    override fun prewarm(
        key: LoadKey,
        memberId: MemberId,
        lane: LoadLane,
        predictedLoadMillis: Long,
        nowMillis: Long,
    ): LoadQueueStep {
        val load = loads[key] ?: QueuedLoad(key, lane, predictedLoadMillis, persistentListOf(), memberId, nowMillis)
        return with(load).refuseUnreachable(lane, nowMillis)
    }

    override fun cancel(requestId: String): LoadQueue {
        val load = loads.values.firstOrNull { load -> load.waiters.any { it.requestId == requestId } } ?: return this
        return with(load.copy(waiters = load.waiters.removingAll { it.requestId == requestId }))
    }

    override fun startNext(nowMillis: Long): LoadQueueStep {
        val oldestMillis = nowMillis - settings.keepWithoutWaitersMillis
        val unexpiredLoads = waiting.filter { it.waiters.isEmpty() && it.lastRequestedMillis < oldestMillis }
            .fold(loads) { remaining, load -> remaining.removing(load.key) }
        val step = LoadLane.entries.fold(LoadQueueStep(copy(loads = unexpiredLoads), emptyList())) { step, lane ->
            step.then { (it as LoadQueueState).startLane(lane, nowMillis) }
        }
        return LoadLane.entries.fold(step) { accumulated, lane ->
            accumulated.then { (it as LoadQueueState).refuseUnreachable(lane, nowMillis) }
        }
    }

    private fun startLane(lane: LoadLane, nowMillis: Long): LoadQueueStep {
        val freeSlots = settings.slotsOf(lane) - running.count { it.lane == lane }
        val selected = scheduler.nextOrNull(waiting.filter { it.lane == lane }, settings.maxLeadMillis)
        if (freeSlots <= 0 || selected == null) return LoadQueueStep(this, emptyList())
        val started = selected.load.copy(startedMillis = nowMillis, attempts = selected.load.attempts + 1)
        val queue = with(started).copy(scheduler = scheduler.charge(selected))
        val step = LoadQueueStep(queue, listOf(LoadDecision.Start(started)))
        return step.then { (it as LoadQueueState).startLane(lane, nowMillis) }
    }

    override fun finish(key: LoadKey, outcome: LoadOutcome, nowMillis: Long): LoadQueueStep {
        val load = loads[key] ?: return LoadQueueStep(this, emptyList())
        val remaining = copy(loads = loads.removing(key))
        return when {
            outcome == LoadOutcome.READY ->
                LoadQueueStep(remaining, load.waiters.map { LoadDecision.Serve(it.requestId, key) })

            load.startedMillis == null -> LoadQueueStep(this, emptyList())

            load.attempts >= settings.maxAttempts ->
                LoadQueueStep(remaining, load.waiters.map { it.refuse(key, load.predictedLoadMillis * load.attempts) })

            else -> with(load.copy(startedMillis = null)).refuseUnreachable(load.lane, nowMillis)
        }
    }

    private fun with(load: QueuedLoad): LoadQueueState = copy(loads = loads.putting(load.key, load))

    private fun refuseUnreachable(lane: LoadLane, nowMillis: Long): LoadQueueStep {
        val finishMillis = predictFinishMillis(lane, nowMillis)
        val decisions = mutableListOf<LoadDecision>()
        var queue = this
        finishMillis.forEach { (key, finish) ->
            val load = queue.loads.getValue(key)
            val (reachable, unreachable) = load.waiters.partition { it.deadlineMillis >= finish }
            unreachable.mapTo(decisions) { it.refuse(key, finish - nowMillis) }
            if (unreachable.isNotEmpty()) queue = queue.with(load.copy(waiters = reachable.toPersistentList()))
        }
        return LoadQueueStep(queue, decisions)
    }
}

private fun LoadQueueStep.then(next: (LoadQueue) -> LoadQueueStep): LoadQueueStep {
    val following = next(queue)
    return LoadQueueStep(following.queue, decisions + following.decisions)
}

private fun LoadWaiter.refuse(key: LoadKey, retryAfterMillis: Long): LoadDecision =
    LoadDecision.Refuse(requestId, key, retryAfterMillis.coerceAtLeast(1))

private fun LoadRequest.newLoad(nowMillis: Long): QueuedLoad =
    QueuedLoad(key, lane, predictedLoadMillis, persistentListOf(), memberId, nowMillis)
