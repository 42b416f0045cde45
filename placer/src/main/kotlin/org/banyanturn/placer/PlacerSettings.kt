package org.banyanturn.placer

import kotlinx.serialization.Serializable
import org.banyanturn.core.placement.DEFAULT_LEASE_MILLIS
import org.banyanturn.core.placement.DEFAULT_ORDER_DELAY_MILLIS
import org.banyanturn.daemon.settings.LogSettings
import org.banyanturn.daemon.settings.PlatformSettings
import org.banyanturn.daemon.settings.TraceSettings
import org.banyanturn.daemon.settings.VmSettings

/** The settings of a placer. */
@Serializable
internal data class PlacerSettings(
    val vm: VmSettings,
    val platform: PlatformSettings,
    val listen: PlacerListenSettings,
    /** gRPC address, `IP:port`, of the router on this VM. */
    val routerAddress: String,
    val engines: EngineSettings = EngineSettings(),
    val logs: LogSettings = LogSettings(),
    val traces: TraceSettings = TraceSettings(),
)

/** The ports of a placer on the VM's address. */
@Serializable
internal data class PlacerListenSettings(
    /** Port for metrics and health checks. */
    val adminPort: Int,
    /** gRPC port for routers and other placers. */
    val peerPort: Int,
)

/** How engines are owned. */
@Serializable
internal data class EngineSettings(
    /** How long after a read of the log an owner may order an engine that ignores fencing numbers. */
    val leaseMillis: Long = DEFAULT_LEASE_MILLIS,
    /** The longest time after sending in which an order can still reach an engine. */
    val orderDelayMillis: Long = DEFAULT_ORDER_DELAY_MILLIS,
    /** Time between two reports of an owned engine. */
    val reportIntervalMillis: Long = 250,
) {
    init {
        require(leaseMillis > 0) { "engines.leaseMillis: expected more than 0" }
        require(orderDelayMillis >= 0) { "engines.orderDelayMillis: expected 0 or more" }
        require(reportIntervalMillis > 0) { "engines.reportIntervalMillis: expected more than 0" }
    }
}
