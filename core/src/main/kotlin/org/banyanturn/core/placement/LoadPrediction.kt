package org.banyanturn.core.placement

import java.util.PriorityQueue

/** An overdue load is assumed to need another 1/4 of its predicted time. */
private const val OVERDUE_DIVISOR = 4

/** Returns the time at which this running load is expected to end. */
internal fun QueuedLoad.expectedFinishMillis(nowMillis: Long): Long {
    val startedMillis = checkNotNull(startedMillis) { "the load of $key is not running" }
    val overdueMillis = nowMillis + predictedLoadMillis / OVERDUE_DIVISOR
    val expectedMillis = startedMillis + predictedLoadMillis
    return if (expectedMillis > nowMillis) expectedMillis else overdueMillis
}

/** Returns the expected end of every load in [lane], by simulating the order in which the waiting loads start. */
internal fun LoadQueueState.predictFinishMillis(lane: LoadLane, nowMillis: Long): Map<LoadKey, Long> {
    val finishes = mutableMapOf<LoadKey, Long>()
    running.filter { it.lane == lane }.associateTo(finishes) { it.key to it.expectedFinishMillis(nowMillis) }
    val slotFreeMillis = PriorityQueue(finishes.values)
    while (slotFreeMillis.size < settings.slotsOf(lane)) slotFreeMillis += nowMillis
    val remaining = waiting.filter { it.lane == lane }.toMutableList()
    var simulatedScheduler = scheduler
    while (remaining.isNotEmpty()) {
        val selected = checkNotNull(simulatedScheduler.nextOrNull(remaining, settings.maxLeadMillis))
        val next = selected.load
        remaining -= next
        val finishMillis = maxOf(nowMillis, slotFreeMillis.poll()) + next.predictedLoadMillis
        finishes[next.key] = finishMillis
        slotFreeMillis += finishMillis
        simulatedScheduler = simulatedScheduler.charge(selected)
    }
    return finishes
}

private const val LOCAL_SLOTS = 256

internal fun LoadQueueSettings.slotsOf(lane: LoadLane): Int =
    when (lane) {
        LoadLane.STORE -> storeSlots
        LoadLane.ADAPTER -> adapterSlots
        LoadLane.LOCAL -> LOCAL_SLOTS
    }
