package org.banyanturn.entry.copies

import org.banyanturn.core.placement.LoadPlan
import org.banyanturn.core.serving.ServiceName

/** The latest request of each VM for one model; a VM that requests a model again has given up its earlier request. */
internal class Requesters {
    private val byHost = LinkedHashMap<String?, ModelRequester>()

    /** Returns whether the VM [host] has requested the model. */
    fun hasRequestOf(host: String?): Boolean = host in byHost

    /** Adds [requester] in place of an earlier request of its VM. */
    operator fun plusAssign(requester: ModelRequester) {
        byHost[requester.host] = requester
    }

    /** Adds the requests of [others] in place of earlier requests of their VMs. */
    operator fun plusAssign(others: Requesters) {
        byHost += others.byHost
    }

    /** Returns the requests, which may be answered while others arrive. */
    fun toList(): List<ModelRequester> = byHost.values.toList()

    /** Removes all requests. */
    fun clear(): Unit = byHost.clear()
}

/** Represents a requested model whose load has not started, with the VMs that requested it. */
internal class QueuedLoad {
    val requesters = Requesters()
    var requestedAtMillis = Long.MIN_VALUE
        private set

    fun add(requester: ModelRequester, nowMillis: Long) {
        requesters += requester
        requestedAtMillis = nowMillis
    }
}

/** Represents a load that was ordered and has not ended. */
internal class RunningLoad(
    val number: Long,
    val service: ServiceName,
    val plan: LoadPlan,
    val startedAtMillis: Long,
) {
    val requesters = Requesters()
    var sentAtMillis = startedAtMillis
    var sends = 0
    var expectedAtMillis = startedAtMillis
    var isAnswered = false

    /** Whether another planner ordered the load. */
    var isAdopted = false

    /** Returns the time beyond [expectedAtMillis] before the load is overdue; [storeLoads] run from the store. */
    fun graceMillis(storeLoads: Int): Long {
        val factor = if (plan.isFromStore) storeLoads else 1
        return ((expectedAtMillis - startedAtMillis) * factor).coerceAtLeast(MIN_GRACE_MILLIS)
    }

    /** Returns and removes the requests that wait for this load. */
    fun drainRequesters(): Requesters =
        Requesters().also {
            it += requesters
            requesters.clear()
        }

    fun answerTo(requester: ModelRequester, nowMillis: Long): CopyAnswer =
        CopyAnswer(requester.number, (expectedAtMillis - nowMillis).coerceAtLeast(1), plan.targetId, reason = "")

    private companion object {
        const val MIN_GRACE_MILLIS = 2_000L
    }
}
