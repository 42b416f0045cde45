package org.banyanturn.core.placement

import kotlinx.collections.immutable.PersistentList
import org.banyanturn.core.MemberId

/**
 * Settings of a [LoadQueue].
 *
 * @property storeSlots the maximum number of concurrent model loads from the weight store.
 * @property adapterSlots the maximum number of concurrent adapter loads.
 * @property maxLeadMillis the load time by which a member may be ahead of the member with the least load time. Loads of
 * a member that is further ahead start later than those of other members, regardless of their slack.
 * @property keepWithoutWaitersMillis the time for which a load without waiting requests stays queued.
 * @property maxAttempts the number of failed attempts after which the waiting requests are refused.
 */
public data class LoadQueueSettings(
    val storeSlots: Int = DEFAULT_STORE_SLOTS,
    val adapterSlots: Int = DEFAULT_ADAPTER_SLOTS,
    val maxLeadMillis: Long = DEFAULT_MAX_LEAD_MILLIS,
    val keepWithoutWaitersMillis: Long = DEFAULT_KEEP_WITHOUT_WAITERS_MILLIS,
    val maxAttempts: Int = DEFAULT_MAX_ATTEMPTS,
) {
    init {
        require(storeSlots > 0) { "storeSlots is $storeSlots, not more than 0" }
        require(adapterSlots > 0) { "adapterSlots is $adapterSlots, not more than 0" }
        require(maxAttempts > 0) { "maxAttempts is $maxAttempts, not more than 0" }
    }
}

/** The default of [LoadQueueSettings.storeSlots]; the weight store serves this many loads at full speed. */
public const val DEFAULT_STORE_SLOTS: Int = 4

/** The default of [LoadQueueSettings.adapterSlots]; this many concurrent adapter loads do not slow each other down. */
public const val DEFAULT_ADAPTER_SLOTS: Int = 30

/** The default of [LoadQueueSettings.maxLeadMillis]. */
public const val DEFAULT_MAX_LEAD_MILLIS: Long = 4_000

/** The default of [LoadQueueSettings.keepWithoutWaitersMillis]. */
public const val DEFAULT_KEEP_WITHOUT_WAITERS_MILLIS: Long = 60_000

/** The default of [LoadQueueSettings.maxAttempts]. */
public const val DEFAULT_MAX_ATTEMPTS: Int = 3

/**
 * A request that needs a copy which is not loaded.
 *
 * @property predictedLoadMillis the predicted duration of the load, without the time in the queue.
 */
public data class LoadRequest(
    val requestId: String,
    val key: LoadKey,
    val memberId: MemberId,
    val deadlineMillis: Long,
    val lane: LoadLane,
    val predictedLoadMillis: Long,
)

/** A request that waits for a load. */
public data class LoadWaiter(val requestId: String, val memberId: MemberId, val deadlineMillis: Long)

/**
 * A load that is queued or running.
 *
 * @property lastMemberId the member that requested the load last.
 * @property lastRequestedMillis the time of the latest request for the load.
 * @property startedMillis the time at which the load started, or `null` while it is queued.
 * @property attempts the number of times that the load was started.
 */
public data class QueuedLoad(
    val key: LoadKey,
    val lane: LoadLane,
    val predictedLoadMillis: Long,
    val waiters: PersistentList<LoadWaiter>,
    val lastMemberId: MemberId,
    val lastRequestedMillis: Long,
    val startedMillis: Long? = null,
    val attempts: Int = 0,
)

/** The outcome of a load. */
public enum class LoadOutcome {
    /** A copy is ready. */
    READY,

    /** The load failed or stalled, and no copy is available. */
    FAILED,
}

/** An action that the caller of a [LoadQueue] has to carry out. */
public sealed interface LoadDecision {
    /** Start [load]; its end must be passed to [LoadQueue.finish]. */
    public data class Start(val load: QueuedLoad) : LoadDecision

    /** Send request [requestId] to the copy that it waited for, which is ready. */
    public data class Serve(val requestId: String, val key: LoadKey) : LoadDecision

    /** Refuse request [requestId], which cannot be served by its deadline; a retry can after [retryAfterMillis]. */
    public data class Refuse(val requestId: String, val key: LoadKey, val retryAfterMillis: Long) : LoadDecision
}

/** The queue after a call, and the decisions to carry out in this order. */
public data class LoadQueueStep(val queue: LoadQueue, val decisions: List<LoadDecision>)

/**
 * An immutable queue of waiting and running loads, with one load per model or adapter version regardless of the number
 * of requests that wait for it. Every modifying function returns a new queue.
 *
 * Loads start in the order of their slack, which is the time left until they must start to meet their earliest
 * deadline. A member that has used much more load time than another one yields to it. A request is refused as soon as
 * the predicted end of its load is past its deadline. The load stays queued for a while, so a retry finds the copy
 * loaded.
 */
public interface LoadQueue {
    /** The waiting loads, in no particular order. */
    public val waiting: List<QueuedLoad>

    /** The running loads, in no particular order. */
    public val running: List<QueuedLoad>

    /** Returns the queue with [request] added to the load of its key, which is created if necessary. */
    public fun enqueue(request: LoadRequest, nowMillis: Long): LoadQueueStep

    /** Returns the queue with a load of [key] that no request waits for yet, charged to [memberId]. */
    public fun prewarm(
        key: LoadKey,
        memberId: MemberId,
        lane: LoadLane,
        predictedLoadMillis: Long,
        nowMillis: Long,
    ): LoadQueueStep

    /** Returns the queue after request [requestId] was cancelled by its caller. */
    public fun cancel(requestId: String): LoadQueue

    /**
     * Returns the queue after starting as many loads as there are free slots. Must be called after every other call.
     */
    public fun startNext(nowMillis: Long): LoadQueueStep

    /** Returns the queue after the load of [key] has ended, or a copy has become available in another way. */
    public fun finish(key: LoadKey, outcome: LoadOutcome, nowMillis: Long): LoadQueueStep
}

/** Returns an empty queue. */
public fun loadQueueOf(settings: LoadQueueSettings = LoadQueueSettings()): LoadQueue = LoadQueueState(settings)
