package org.banyanturn.measure

/**
 * The sizes of a deployment.
 *
 * @property zoneDelayMillis one-way delay between availability zones.
 * @property clientDelayMillis one-way delay to clients.
 * @property storeLoadsPerSecond loads from the weight store in steady state.
 */
internal data class Deployment(
    val name: String,
    val zones: Int,
    val vms: Int,
    val zoneDelayMillis: Double,
    val clientDelayMillis: Double,
    val assistantEngines: Int,
    val serviceEngines: Int,
    val models: Int,
    val adapters: Int,
    val storeLoadsPerSecond: Double,
    val members: Int,
)

/** The booking platform of the distillery. */
internal val distillery: Deployment = Deployment(
    name = "distillery",
    zones = 4,
    vms = 8,
    zoneDelayMillis = 4.0,
    clientDelayMillis = 3.0,
    assistantEngines = 8,
    serviceEngines = 4,
    models = 40,
    adapters = 75,
    storeLoadsPerSecond = 3.0,
    members = 5,
)

/** The dispatch office of the association. */
internal val association: Deployment = Deployment(
    name = "association",
    zones = 3,
    vms = 8,
    zoneDelayMillis = 4.5,
    clientDelayMillis = 3.0,
    assistantEngines = 8,
    serviceEngines = 3,
    models = 25,
    adapters = 75,
    storeLoadsPerSecond = 4.0,
    members = 5,
)

/** Loads from the weight store that run at full speed at once. */
internal const val FULL_SPEED_STORE_LOADS: Int = 4

/** Adapter loads in transit, over all engines, beyond which each takes proportionally longer. */
internal const val FULL_SPEED_ADAPTER_LOADS: Int = 30
