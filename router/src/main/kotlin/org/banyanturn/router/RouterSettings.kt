package org.banyanturn.router

import kotlinx.serialization.Serializable
import org.banyanturn.daemon.settings.LogSettings
import org.banyanturn.daemon.settings.PlatformSettings
import org.banyanturn.daemon.settings.TraceSettings
import org.banyanturn.daemon.settings.VmSettings

/** The settings of a router. */
@Serializable
internal data class RouterSettings(
    val vm: VmSettings,
    val platform: PlatformSettings,
    val listen: ListenSettings,
    /** gRPC address, `IP:port`, of the placer on this VM. */
    val placerAddress: String,
    val requests: RequestSettings = RequestSettings(),
    val keys: KeySettings = KeySettings(),
    val rates: RateSettings = RateSettings(),
    val shutdown: ShutdownSettings = ShutdownSettings(),
    val logs: LogSettings = LogSettings(),
    val traces: TraceSettings = TraceSettings(),
)

/** The ports of a router on the VM's address. */
@Serializable
internal data class ListenSettings(
    /** Port for callers. */
    val callerPort: Int,
    /** Port for metrics and health checks. */
    val adminPort: Int,
    /** gRPC port for other routers. */
    val peerPort: Int,
)

/** The bounds of a request. */
@Serializable
internal data class RequestSettings(
    /** Largest body that is accepted, in bytes. */
    val maxBodyBytes: Int = 1_048_576,
    /** Time that a request has when its caller names none. */
    val defaultTimeoutMillis: Long = 30_000,
    /** Longest time that a caller may name. */
    val maxTimeoutMillis: Long = 600_000,
    /** Most attempts for one request. */
    val maxAttempts: Int = 3,
    /** Streams over which idempotency keys are spread; the same on every VM. */
    val idempotencyShards: Int = 4,
) {
    init {
        require(maxBodyBytes > 0) { "requests.maxBodyBytes: expected more than 0" }
        require(defaultTimeoutMillis in 1..maxTimeoutMillis) {
            "requests.defaultTimeoutMillis: expected 1 to requests.maxTimeoutMillis"
        }
        require(maxAttempts > 0) { "requests.maxAttempts: expected more than 0" }
        require(idempotencyShards > 0) { "requests.idempotencyShards: expected more than 0" }
    }
}

/** How keys are checked while the state may be out of date. */
@Serializable
internal data class KeySettings(
    /** How long keys are accepted after this VM has heard of records that it has not read. */
    val maxKnownLagMillis: Long = 5_000,
    /** How long keys are accepted without any word from the log; `null` for without end. */
    val maxIsolationMillis: Long? = 600_000,
    /** When a caller whose key can't be checked is told to come back. */
    val retryAfterMillis: Long = 2_000,
)

/** How members' rates are shared between routers. */
@Serializable
internal data class RateSettings(
    /** How long a request waits for a share of its member's rate before it is refused. */
    val answerTimeoutMillis: Long = 1_000,
)

/** How a router stops. */
@Serializable
internal data class ShutdownSettings(
    /** How long running requests may take to finish. */
    val maxDrainMillis: Long = 60_000,
    /** How long the router still answers after readiness is off, so that the balancer notices. */
    val readinessDelayMillis: Long = 1_000,
)
