package org.banyanturn.core.placement

/**
 * Times by which an engine's copies are managed.
 *
 * @property adapterLoadMillis how long an adapter takes to load.
 * @property evictionMillis how long it takes on average until a model has finished its runs and is gone.
 * @property modelIdleMillis how long a model must be unused before it may make room for another.
 * @property adapterIdleMillis the same for an adapter.
 * @property conflictMillis wait before an order is sent again that met another one.
 * @property repeatMillis wait before an order is sent again that got no answer.
 * @property reportLagMillis how old an engine's report may be.
 * @property reportSpanMillis how long after a possible end of a load reports are asked for that may tell of it.
 * @property wishLifeMillis how long a wish stands that nobody repeats.
 */
public data class EngineCopyManagerSettings(
    val adapterLoadMillis: Long = 12,
    val evictionMillis: Long = 500,
    val modelIdleMillis: Long = 3_000,
    val adapterIdleMillis: Long = 600,
    val conflictMillis: Long = 8,
    val repeatMillis: Long = 150,
    val reportLagMillis: Long = 2_500,
    val reportSpanMillis: Long = 400,
    val wishLifeMillis: Long = 8_000,
)
