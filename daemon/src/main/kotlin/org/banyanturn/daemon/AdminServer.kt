package org.banyanturn.daemon

import io.ktor.http.ContentType
import io.ktor.http.HttpStatusCode
import io.ktor.server.application.Application
import io.ktor.server.cio.CIO
import io.ktor.server.cio.CIOApplicationEngine
import io.ktor.server.engine.EmbeddedServer
import io.ktor.server.engine.embeddedServer
import io.ktor.server.response.respondText
import io.ktor.server.routing.Routing
import io.ktor.server.routing.get
import io.ktor.server.routing.routing
import io.prometheus.metrics.model.registry.PrometheusRegistry
import org.banyanturn.daemon.metrics.metricsText

/** A running HTTP server. */
public typealias HttpServer = EmbeddedServer<CIOApplicationEngine, CIOApplicationEngine.Configuration>

private val metricsContentType = ContentType.parse("text/plain; version=0.0.4; charset=utf-8")

/** System property for the Ktor hook that stops servers on process shutdown even while requests are in progress. */
private const val KTOR_SHUTDOWN_HOOK_PROPERTY = "io.ktor.server.engine.ShutdownHook"

/**
 * Returns a started HTTP server on [port] of [address] with the routes that [module] installs.
 *
 * The server runs until it is stopped explicitly, even while the process shuts down.
 */
public fun startHttpServer(address: String, port: Int, module: Application.() -> Unit): HttpServer {
    System.setProperty(KTOR_SHUTDOWN_HOOK_PROPERTY, "false")
    return embeddedServer(CIO, host = address, port = port, module = module).start(wait = false)
}

/**
 * Returns a started HTTP server for metrics and health checks.
 *
 * `/metrics` returns the metrics of [registry] in the Prometheus text format. `/health/live` always returns 200;
 * `/health/ready` returns 503 while [isReady] returns `false`, and 200 otherwise.
 */
public fun startAdminServer(
    address: String,
    port: Int,
    registry: PrometheusRegistry,
    isReady: () -> Boolean,
    additionalRoutes: Routing.() -> Unit = {},
): HttpServer =
    startHttpServer(address, port) {
        routing {
            get("/metrics") { call.respondText(metricsText(registry), metricsContentType) }
            get("/health/live") { call.respondText("live") }
            get("/health/ready") {
                val status = if (isReady()) HttpStatusCode.OK else HttpStatusCode.ServiceUnavailable
                call.respondText(if (isReady()) "ready" else "not ready", status = status)
            }
            additionalRoutes()
        }
    }
