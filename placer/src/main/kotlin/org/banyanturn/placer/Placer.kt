package org.banyanturn.placer

import io.github.oshai.kotlinlogging.KotlinLogging
import io.grpc.Server
import io.prometheus.metrics.core.metrics.Gauge
import io.prometheus.metrics.model.registry.PrometheusRegistry
import kotlinx.coroutines.CoroutineScope
import kotlinx.coroutines.Dispatchers
import kotlinx.coroutines.SupervisorJob
import kotlinx.coroutines.cancel
import kotlinx.coroutines.launch
import org.banyanturn.core.Incarnation
import org.banyanturn.core.VmId
import org.banyanturn.core.state.JoinVm
import org.banyanturn.core.state.LeaveVm
import org.banyanturn.daemon.HttpServer
import org.banyanturn.daemon.logs.Event
import org.banyanturn.daemon.logs.event
import org.banyanturn.daemon.logs.field
import org.banyanturn.daemon.processClock
import org.banyanturn.daemon.rpc.PeerChannels
import org.banyanturn.daemon.rpc.peerChannels
import org.banyanturn.daemon.rpc.startPeerServer
import org.banyanturn.daemon.rpc.withTraces
import org.banyanturn.daemon.settings.incarnationAt
import org.banyanturn.daemon.startAdminServer
import org.banyanturn.daemon.state.PeerRecordSource
import org.banyanturn.daemon.state.StateFollower
import org.banyanturn.daemon.state.StateWriter
import org.banyanturn.daemon.state.followState
import org.banyanturn.daemon.state.stateWriter
import org.banyanturn.daemon.state.writeUntilApplied
import org.banyanturn.daemon.traces.startTracer
import org.banyanturn.placer.engines.EngineOwners
import org.banyanturn.placer.engines.EngineOwnersEnvironment
import org.banyanturn.placer.engines.engineOwners
import org.banyanturn.placer.engines.rendezvousAssignment
import org.banyanturn.placer.engines.takesWork
import org.banyanturn.placer.loads.OwnerLoads
import org.banyanturn.placer.loads.fleetCoordinator
import org.banyanturn.placer.loads.loadCoordinator
import org.banyanturn.placer.loads.ownerClient
import org.banyanturn.placer.rpc.PlacementClient
import org.banyanturn.placer.rpc.PlacementServer
import org.banyanturn.platform.StoredRecord
import org.banyanturn.platform.httpEngineControl
import org.banyanturn.platform.httpLogService
import org.banyanturn.platform.httpVmDirectory
import org.banyanturn.platform.platformHttpClient
import java.time.Clock

private const val SERVER_STOP_MILLIS = 500L

private val logger = KotlinLogging.logger {}

/** A running placer. */
internal class Placer(
    private val incarnation: Incarnation,
    private val writer: StateWriter,
    private val owners: EngineOwners,
    private val peerServer: Server,
    private val adminServer: HttpServer,
    private val channels: PeerChannels,
    private val scope: CoroutineScope,
) {
    /** Hands the engines over, takes this VM out of the log and ends the placer. */
    suspend fun stop() {
        logger.event(Event.SHUTDOWN_STARTED)
        owners.handOver()
        writer.write(LeaveVm(incarnation))
        peerServer.shutdown()
        adminServer.stop(SERVER_STOP_MILLIS, SERVER_STOP_MILLIS)
        channels.close()
        scope.cancel()
        logger.event(Event.SHUTDOWN_FINISHED)
    }
}

/** Returns a started placer. */
internal fun startPlacer(settings: PlacerSettings): Placer {
    val scope = CoroutineScope(SupervisorJob() + Dispatchers.Default)
    val client = platformHttpClient()
    val channels = peerChannels()
    val clock = processClock()
    val incarnation = settings.vm.incarnationAt(Clock.systemUTC().millis())
    val tracer = startTracer("placer-${settings.vm.vmId}", settings.traces)
    val peers = PlacementClient(channels)
    val log = httpLogService(client, settings.platform.logUrl)
    val relay = PeerRelay(settings.vm.vmId, peers)
    val follower = scope.followState(log, relay, clock)
    relay.follower = follower

    val environment = EngineOwnersEnvironment(
        incarnation = incarnation,
        settings = settings.engines,
        follower = follower,
        log = log,
        clock = clock,
        scope = scope,
        control = { httpEngineControl(client, it) },
    )
    val owners = engineOwners(environment, rendezvousAssignment(incarnation))
    val states = { follower.states.value }
    val owned = OwnerLoads(owners, states, tracer)
    val local = loadCoordinator(states, ownerClient(settings.vm.vmId, states, owned, peers), clock, scope)
    val fleet = fleetCoordinator(settings.vm.vmId, states, local, peers)
    val server = PlacementServer(settings.vm.zoneId, local, fleet, owned, follower, tracer)
    val peerServer = startPeerServer(
        settings.vm.address,
        settings.listen.peerPort,
        listOf(server.bindService().withTraces()),
    )
    val registry = PrometheusRegistry()
    scope.exportState(registry, follower)
    val adminServer = startAdminServer(settings.vm.address, settings.listen.adminPort, registry, isReady = {
        states().vms[settings.vm.vmId]?.incarnation == incarnation
    })
    val writer = stateWriter(log, follower, settings.vm.vmId.value)
    scope.launch {
        writer.writeUntilApplied(settings.joinVm(incarnation), states) {
            it.vms[settings.vm.vmId]?.incarnation == incarnation
        }
    }
    settings.platform.vmDirectoryUrl?.let { url ->
        val directory = httpVmDirectory(client, url)
        val confirmMillis = settings.platform.vmGoneConfirmMillis
        val watcher = VmListWatcher(settings.vm.vmId, directory, states, writer, clock, confirmMillis)
        scope.launch { watcher.run() }
    }
    logger.event(Event.PROCESS_STARTED, field("incarnation", incarnation), field("peerPort", peerServer.port))
    return Placer(incarnation, writer, owners, peerServer, adminServer, channels, scope)
}

private fun PlacerSettings.joinVm(incarnation: Incarnation): JoinVm =
    JoinVm(
        incarnation = incarnation,
        zoneId = vm.zoneId,
        routerPeerAddress = routerAddress,
        placerPeerAddress = "${vm.address}:${listen.peerPort}",
    )

private fun CoroutineScope.exportState(registry: PrometheusRegistry, follower: StateFollower) {
    val offset = Gauge.builder()
        .name("banyanturn_state_next_offset")
        .help("Offset of the first record that is not yet folded.")
        .register(registry)
    launch { follower.states.collect { offset.set(it.nextOffset.toDouble()) } }
}

/** Reads records from other placers while the log service does not answer. */
private class PeerRelay(private val ownVmId: VmId, private val peers: PlacementClient) : PeerRecordSource {
    lateinit var follower: StateFollower

    override suspend fun readOrEmpty(fromOffset: Long, maxRecords: Int): List<StoredRecord> {
        val vms = follower.states.value.vms.values.filter { it.takesWork() && it.incarnation.vmId != ownVmId }
        for (vm in vms.shuffled()) {
            val records = peers.readRecords(vm.placerPeerAddress, fromOffset, maxRecords)
            if (records.isNotEmpty()) return records
        }
        return emptyList()
    }
}
