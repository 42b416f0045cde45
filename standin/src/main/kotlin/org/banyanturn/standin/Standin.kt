package org.banyanturn.standin

import kotlinx.coroutines.Dispatchers
import kotlinx.coroutines.withContext
import kotlinx.serialization.Serializable
import org.banyanturn.platform.platformHttpClient

/** The port of one listener. */
@Serializable
public data class ListenerPort(val name: String, val port: Int)

/** A running stand-in process. */
public interface Standin {
    /** The listeners' ports. */
    public val ports: List<ListenerPort>

    /** Returns the base URL of the listener [name]. */
    public fun urlOf(name: String): String

    /** Stops all listeners. */
    public suspend fun close()
}

/** Starts all listeners of [settings] and returns once they accept connections. */
public suspend fun startStandin(settings: StandinSettings): Standin {
    val client = platformHttpClient()
    val listeners = mutableListOf<RunningListener>()
    val stores = settings.weightStores.map { WeightStoreStandin(it).start(settings.host) }
    listeners += stores
    listeners += settings.logs.map { LogStandin(it).start(settings.host) }
    listeners += settings.vmLists.map { VmListStandin(it).start(settings.host) }
    listeners += settings.engines.map {
        EngineStandin(it, client, storeUrlOrNull(it, settings.host, stores)).start(settings.host)
    }
    listeners += settings.services.map { ServiceStandin(it).start(settings.host) }
    return StartedStandin(settings.host, listeners) { client.close() }
}

private fun storeUrlOrNull(engine: EngineSettings, host: String, stores: List<RunningListener>): String? {
    val reference = engine.weightStore ?: return null
    if (reference.startsWith("http://")) return reference.trimEnd('/')
    return "http://$host:${stores.first { it.name == reference }.port}"
}

private class StartedStandin(
    private val host: String,
    private val listeners: List<RunningListener>,
    private val closeClient: () -> Unit,
) : Standin {
    override val ports: List<ListenerPort> = listeners.map { ListenerPort(it.name, it.port) }

    override fun urlOf(name: String): String {
        val port = ports.firstOrNull { it.name == name }?.port
        requireNotNull(port) { "there is no listener $name" }
        return "http://$host:$port"
    }

    override suspend fun close() {
        withContext(Dispatchers.IO) { listeners.forEach(RunningListener::close) }
        closeClient()
    }
}
