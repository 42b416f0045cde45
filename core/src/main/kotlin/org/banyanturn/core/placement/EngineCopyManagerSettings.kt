package org.banyanturn.core.placement

/**
 * Settings of an [EngineCopyManager].
 *
 * @property adapterLoadMillis the time that an adapter takes to load.
 * @property evictionMillis the average time until a model has finished its running requests and is unloaded.
 * @property modelIdleMillis the time for which a model must be unused before it may be evicted.
 * @property adapterIdleMillis the time for which an adapter must be unused before it may be evicted.
 * @property adapterTurnMillis the time for which an adapter is refused before another one makes room for it, and the
 * minimum time for which an adapter keeps its place.
 * @property adapterDrainMillis the maximum time until the requests for a draining adapter have ended.
 * @property adapterRefusalMemoryMillis the time after which a refused adapter counts as not refused.
 * @property conflictRetryMillis the delay before an order that conflicted with another one is sent again.
 * @property retryMillis the delay before an order without a response is sent again. It also applies after a rejected
 * order and after several conflicts in a row.
 * @property reportLagMillis the maximum age of an engine's report or directory entry.
 * @property reportWindowMillis the time after each possible end of a load during which reports are requested.
 * @property requestTtlMillis the time after which a request for a copy expires unless it is repeated.
 */
public data class EngineCopyManagerSettings(
    val adapterLoadMillis: Long = 12,
    val evictionMillis: Long = 500,
    val modelIdleMillis: Long = 3_000,
    val adapterIdleMillis: Long = 600,
    val adapterTurnMillis: Long = 4_000,
    val adapterDrainMillis: Long = 4_000,
    val adapterRefusalMemoryMillis: Long = 30_000,
    val conflictRetryMillis: Long = 8,
    val retryMillis: Long = 150,
    val reportLagMillis: Long = 2_500,
    val reportWindowMillis: Long = 400,
    val requestTtlMillis: Long = 8_000,
)
