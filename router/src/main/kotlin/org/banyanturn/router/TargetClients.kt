package org.banyanturn.router

import io.ktor.client.HttpClient
import org.banyanturn.platform.EngineGeneration
import org.banyanturn.platform.ServiceClient
import org.banyanturn.platform.httpEngineGeneration
import org.banyanturn.platform.httpServiceClient
import java.util.concurrent.ConcurrentHashMap

/** Clients of the targets, by base URL. */
internal interface TargetClients {
    /** Returns the client of the engine at [address]. */
    fun engine(address: String): EngineGeneration

    /** Returns the client of the plain service at [address]. */
    fun service(address: String): ServiceClient
}

/** Returns clients that share the connections of [client]. */
internal fun targetClients(client: HttpClient): TargetClients = HttpTargetClients(client)

private class HttpTargetClients(private val client: HttpClient) : TargetClients {
    private val engines = ConcurrentHashMap<String, EngineGeneration>()
    private val services = ConcurrentHashMap<String, ServiceClient>()

    override fun engine(address: String): EngineGeneration =
        engines.computeIfAbsent(address) { httpEngineGeneration(client, it) }

    override fun service(address: String): ServiceClient =
        services.computeIfAbsent(address) { httpServiceClient(client, it) }
}
