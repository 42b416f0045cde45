package org.banyanturn.router

import io.github.oshai.kotlinlogging.KotlinLogging
import io.grpc.Server
import io.prometheus.metrics.model.registry.PrometheusRegistry
import kotlinx.coroutines.CoroutineScope
import kotlinx.coroutines.Dispatchers
import kotlinx.coroutines.SupervisorJob
import kotlinx.coroutines.cancel
import kotlinx.coroutines.delay
import kotlinx.coroutines.launch
import kotlinx.coroutines.withTimeoutOrNull
import org.banyanturn.core.Incarnation
import org.banyanturn.core.VmId
import org.banyanturn.core.delivery.RequestStateMachine
import org.banyanturn.core.delivery.RetryPolicy
import org.banyanturn.core.delivery.unlimitedRetryBudget
import org.banyanturn.core.keys.KeyStalenessPolicy
import org.banyanturn.core.limits.RateLimiter
import org.banyanturn.core.limits.ShareSettings
import org.banyanturn.core.state.JoinRouter
import org.banyanturn.core.state.LeaveRouter
import org.banyanturn.core.state.RATE_PARTITIONS
import org.banyanturn.daemon.HttpServer
import org.banyanturn.daemon.logs.Event
import org.banyanturn.daemon.logs.event
import org.banyanturn.daemon.logs.field
import org.banyanturn.daemon.processClock
import org.banyanturn.daemon.rpc.peerChannels
import org.banyanturn.daemon.rpc.startPeerServer
import org.banyanturn.daemon.settings.incarnationAt
import org.banyanturn.daemon.startAdminServer
import org.banyanturn.daemon.startHttpServer
import org.banyanturn.daemon.state.PeerRecordSource
import org.banyanturn.daemon.state.StateWriter
import org.banyanturn.daemon.state.followState
import org.banyanturn.daemon.state.stateWriter
import org.banyanturn.daemon.state.writeUntilApplied
import org.banyanturn.daemon.traces.startTracer
import org.banyanturn.platform.httpLogService
import org.banyanturn.platform.platformHttpClient
import org.banyanturn.router.access.accessControl
import org.banyanturn.router.delivery.Deliveries
import org.banyanturn.router.delivery.IdempotencyEnvironment
import org.banyanturn.router.delivery.deliveries
import org.banyanturn.router.delivery.idempotencyStore
import org.banyanturn.router.generation.GenerationEnvironment
import org.banyanturn.router.generation.GenerationHandler
import org.banyanturn.router.generation.copySource
import org.banyanturn.router.rates.RouterPeerServer
import org.banyanturn.router.rates.routerPeerClient
import org.banyanturn.router.rates.sharedRateGate
import org.banyanturn.router.services.ServiceEnvironment
import org.banyanturn.router.services.ServiceHandler
import java.time.Clock
import kotlin.random.Random

private const val SERVER_STOP_MILLIS = 500L
private const val MAX_FIRST_CALLS = 5
private const val SHUTDOWN_ANSWER_MILLIS = 1_000L

private val logger = KotlinLogging.logger {}

/** The servers of a running router. */
internal class RouterServers(val callers: HttpServer, val admin: HttpServer, val peers: Server)

/** A running router. */
internal class Router(
    private val settings: RouterSettings,
    private val incarnation: Incarnation,
    private val writer: StateWriter,
    private val requests: RunningRequests,
    private val deliveries: Deliveries,
    private val limiter: RateLimiter,
    private val servers: RouterServers,
    private val scope: CoroutineScope,
) {
    /** Lets running requests finish, then ends the router. */
    suspend fun stop() {
        logger.event(Event.SHUTDOWN_STARTED)
        requests.startDraining()
        delay(settings.shutdown.readinessDelayMillis)
        val isIdle = withTimeoutOrNull(settings.shutdown.maxDrainMillis) { requests.awaitIdle() } != null
        if (!isIdle) refuseRunning()
        limiter.stopGranting((0 until RATE_PARTITIONS).toList())
        writer.write(LeaveRouter(incarnation))
        servers.callers.stop(SERVER_STOP_MILLIS, SERVER_STOP_MILLIS)
        servers.admin.stop(SERVER_STOP_MILLIS, SERVER_STOP_MILLIS)
        servers.peers.shutdown()
        scope.cancel()
        logger.event(if (isIdle) Event.SHUTDOWN_FINISHED else Event.SHUTDOWN_EXPIRED)
    }

    private suspend fun refuseRunning() {
        deliveries.reportShutdownLimit()
        withTimeoutOrNull(SHUTDOWN_ANSWER_MILLIS) { requests.awaitIdle() }
    }
}

/** Returns a started router. */
internal fun startRouter(settings: RouterSettings): Router {
    val scope = CoroutineScope(SupervisorJob() + Dispatchers.Default)
    val parts = RouterParts(settings, scope)
    val vm = settings.vm
    val incarnation = parts.incarnation
    val adminServer = startAdminServer(vm.address, settings.listen.adminPort, parts.metrics.registry, isReady = {
        parts.hasJoined && !parts.requests.isDraining
    })
    val peerServer = startPeerServer(vm.address, settings.listen.peerPort, listOf(parts.peerServer().bindService()))
    val callerServer = startHttpServer(vm.address, settings.listen.callerPort) { parts.callerApi.install(this) }
    val join = JoinRouter(incarnation, vm.zoneId, "${vm.address}:${settings.listen.peerPort}")
    scope.launch { parts.join(join) }
    logger.event(Event.PROCESS_STARTED, field("incarnation", incarnation), field("port", settings.listen.callerPort))
    val servers = RouterServers(callerServer, adminServer, peerServer)
    return Router(settings, incarnation, parts.writer, parts.requests, parts.deliveries, parts.limiter, servers, scope)
}

/** The parts of a router, wired together. */
private class RouterParts(private val settings: RouterSettings, scope: CoroutineScope) {
    private val client = platformHttpClient()
    private val channels = peerChannels()
    private val clock = processClock()
    private val wallClock = Clock.systemUTC()
    private val tracer = startTracer("router-${settings.vm.vmId}", settings.traces)
    private val log = httpLogService(client, settings.platform.logUrl)
    private val placerRecords = PeerRecordSource { from, max ->
        readPlacerRecords(channels, settings.placerAddress, from, max)
    }
    private val follower = scope.followState(log, placerRecords, clock)
    private val clients = targetClients(client)

    val incarnation = settings.vm.incarnationAt(wallClock.millis())
    val states = { follower.states.value }
    val metrics = RouterMetrics(PrometheusRegistry())
    val requests = runningRequests()
    val writer = stateWriter(log, follower, settings.vm.vmId.value)
    val limiter =
        RateLimiter(incarnation, ShareSettings(answerTimeoutMillis = settings.rates.answerTimeoutMillis))
    private val access = accessControl(settings.keys.toPolicy(), follower, clock, scope)
    private val peers = routerPeerClient(channels, states)
    private val rates = sharedRateGate(limiter, peers, follower, clock, scope)
    private val machine = RequestStateMachine(
        RetryPolicy(maxAttempts = settings.requests.maxAttempts),
        unlimitedRetryBudget(),
        Random.Default,
    )
    val deliveries = deliveries(machine, follower.states, clock, scope)
    private val store = idempotencyStore(
        IdempotencyEnvironment(incarnation, log, states, clock, wallClock, scope),
        settings.requests.idempotencyShards,
    )
    private val generations = GenerationEnvironment(
        states = states,
        copies = copySource(settings.vm.zoneId, states, placerCopyLoader(channels, settings.placerAddress)),
        clients = clients,
        clock = clock,
        tracer = tracer,
    )
    private val services =
        ServiceEnvironment(incarnation, settings.vm.zoneId, states, clients, store, clock, tracer)
    val callerApi = CallerApi(
        generation = GenerationHandler(access, rates, deliveries, generations, settings.requests),
        services = ServiceHandler(access, rates, deliveries, services, settings.requests),
        requests = requests,
        metrics = metrics,
        tracer = tracer,
        clock = clock,
    )

    /** Whether the log has accepted this incarnation and peers have been called once. */
    @Volatile
    var hasJoined: Boolean = false
        private set

    /** Announces this router and opens the connections to the homes of the members' rates. */
    suspend fun join(change: JoinRouter) {
        writer.writeUntilApplied(change, states) { it.routers[incarnation.vmId]?.incarnation == incarnation }
        val homes = states().rateHomes.values.map { it.incarnation.vmId }.distinct()
        homes.filter { it != incarnation.vmId }.forEach { callOnce(it) }
        hasJoined = true
    }

    /** A process's first calls are slow; requests that wait for a share should not pay for that. */
    private suspend fun callOnce(vmId: VmId) {
        repeat(MAX_FIRST_CALLS) {
            if (peers.heartbeat(vmId, incarnation, settings.vm.zoneId)) return
        }
    }

    init {
        scope.launch { follower.states.collect { metrics.onState(it.nextOffset) } }
    }

    fun peerServer(): RouterPeerServer =
        RouterPeerServer(incarnation, settings.vm.zoneId, limiter, clock, states, isDraining = { requests.isDraining })
}

private fun KeySettings.toPolicy(): KeyStalenessPolicy =
    KeyStalenessPolicy(maxKnownLagMillis, maxIsolationMillis, retryAfterMillis)
