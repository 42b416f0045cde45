package org.banyanturn.standin

import kotlinx.serialization.Serializable

/**
 * Settings of a stand-in process: the listeners that it serves.
 *
 * @property host IP number that all listeners bind to.
 */
@Serializable
public data class StandinSettings(
    val host: String = "127.0.0.1",
    val logs: List<LogSettings> = emptyList(),
    val vmLists: List<VmListSettings> = emptyList(),
    val weightStores: List<WeightStoreSettings> = emptyList(),
    val engines: List<EngineSettings> = emptyList(),
    val services: List<ServiceSettings> = emptyList(),
) {
    init {
        val names = logs.map { it.name } + vmLists.map { it.name } + weightStores.map { it.name } +
            engines.map { it.name } + services.map { it.name }
        val repeated = names.firstOrNull { name -> names.count { it == name } > 1 }
        require(repeated == null) { "two listeners are named $repeated" }
        engines.forEach { engine -> requireStore(engine) }
    }

    private fun requireStore(engine: EngineSettings) {
        val store = engine.weightStore ?: return
        val isKnown = store.startsWith("http://") || weightStores.any { it.name == store }
        require(isKnown) { "engines: weightStore of ${engine.name} names no weight store of the file: $store" }
    }
}

/**
 * Settings of a log service.
 *
 * @property port TCP port, 0 for a free one.
 * @property retentionRecords how many records of each stream are kept.
 */
@Serializable
public data class LogSettings(
    val name: String,
    val port: Int = 0,
    val retentionRecords: Int = 1_000_000,
)

/**
 * Settings of a list of VMs.
 *
 * @property lagMillis how far the list lags behind what it was told.
 */
@Serializable
public data class VmListSettings(
    val name: String,
    val port: Int = 0,
    val lagMillis: Long = 0,
    val vms: List<VmSettings> = emptyList(),
)

/** A VM that the list names from the start; [status] is `live`, `leaving` or `gone`. */
@Serializable
public data class VmSettings(val vmId: String, val zoneId: String, val status: String = "live")

/**
 * Settings of a weight store.
 *
 * @property mebibytesPerSecond speed of each load while no more than [fullSpeedLoads] run.
 * @property adapterMillis time of an adapter while no more than [fullSpeedAdapters] are in transit.
 */
@Serializable
public data class WeightStoreSettings(
    val name: String,
    val port: Int = 0,
    val mebibytesPerSecond: Long = 4_096,
    val fullSpeedLoads: Int = 4,
    val adapterMillis: Long = 7,
    val fullSpeedAdapters: Int = 30,
)

/**
 * Settings of a model engine.
 *
 * @property checksFencing whether orders with an old fencing number are refused.
 * @property weightStore name of a weight store of this process or a base URL; without one remote loads are instant.
 * @property memoryCacheMebibytes room for checkpoints in the VM's memory.
 * @property diskCacheMebibytes room for checkpoints on the VM's disk.
 * @property memoryLoadMillis time to load from the VM's memory.
 * @property diskLoadMillis time to load from the VM's disk.
 * @property reportLagMillis how far reports lag behind the true state.
 * @property poisonText a request whose body contains this text crashes the engine.
 * @property restartMillis how long the engine is down after a crash.
 */
@Serializable
public data class EngineSettings(
    val name: String,
    val port: Int = 0,
    val memoryMebibytes: Long,
    val checksFencing: Boolean = true,
    val weightStore: String? = null,
    val memoryCacheMebibytes: Long = 0,
    val diskCacheMebibytes: Long = 0,
    val memoryLoadMillis: Long = 50,
    val diskLoadMillis: Long = 200,
    val unloadMillis: Long = 10,
    val batchSlots: Int = 16,
    val firstTokenMillis: Long = 20,
    val millisPerToken: Long = 5,
    val tokensPerAnswer: Int = 16,
    val reportLagMillis: Long = 0,
    val poisonText: String? = null,
    val restartMillis: Long = 1_000,
)

/**
 * Settings of a plain service.
 *
 * @property serviceMillis how long a call takes.
 * @property poisonText a call whose body contains this text crashes the service.
 * @property restartMillis how long the service is down after a crash.
 */
@Serializable
public data class ServiceSettings(
    val name: String,
    val port: Int = 0,
    val serviceMillis: Long = 0,
    val poisonText: String? = null,
    val restartMillis: Long = 1_000,
)
