package org.banyanturn.entry

import io.netty.channel.Channel
import io.netty.channel.EventLoop
import io.netty.channel.MultiThreadIoEventLoopGroup
import io.netty.channel.nio.NioIoHandler
import io.netty.handler.codec.http.HttpResponseStatus
import kotlinx.coroutines.CoroutineScope
import kotlinx.coroutines.SupervisorJob
import kotlinx.coroutines.asCoroutineDispatcher
import kotlinx.coroutines.launch
import org.banyanturn.core.Incarnation
import org.banyanturn.core.admission.FleetRetryLimit
import org.banyanturn.core.delivery.DrainSettings
import org.banyanturn.core.limits.RESTART_UNUSED_BURST_FRACTION
import org.banyanturn.core.placement.CopyName
import org.banyanturn.core.serving.CallerLimits
import org.banyanturn.core.serving.KnownTarget
import org.banyanturn.daemon.logs.Event
import org.banyanturn.daemon.logs.field
import org.banyanturn.daemon.metrics.metricsText
import org.banyanturn.daemon.processClock
import org.banyanturn.entry.copies.CopyRequestTracker
import org.banyanturn.entry.copies.ModelLoadCoordinator
import org.banyanturn.entry.copies.OwnedEngineController
import org.banyanturn.entry.copies.OwnedEngineSettings
import org.banyanturn.entry.copies.PendingRequests
import org.banyanturn.entry.follow.Ownership
import org.banyanturn.entry.follow.OwnershipSettings
import org.banyanturn.entry.follow.Peer
import org.banyanturn.entry.follow.PlatformLists
import org.banyanturn.entry.follow.StoreOutageTracker
import org.banyanturn.entry.http.CallerConnection
import org.banyanturn.entry.http.CallerConnectionContext
import org.banyanturn.entry.http.PooledHttpExchanges
import org.banyanturn.entry.http.SmallResponse
import org.banyanturn.entry.http.TargetConnectionPool
import org.banyanturn.entry.http.listenForCallers
import org.banyanturn.entry.http.listenForLongPolls
import org.banyanturn.entry.http.listenForSmallRequests
import org.banyanturn.entry.observe.DecisionLog
import org.banyanturn.entry.observe.EntryMetrics
import org.banyanturn.entry.observe.LimitMetrics
import org.banyanturn.entry.observe.RankedWaitLog
import org.banyanturn.entry.observe.StoreEpochLog
import org.banyanturn.entry.observe.UnsolicitedBytesLog
import org.banyanturn.entry.peers.AllotmentExchange
import org.banyanturn.entry.peers.PeerLiveness
import org.banyanturn.entry.peers.PeerMessenger
import org.banyanturn.entry.peers.PeerSocket
import org.banyanturn.entry.requests.CrashEvidence
import org.banyanturn.entry.requests.CrashTracker
import org.banyanturn.entry.requests.EngineMemoryGuard
import org.banyanturn.entry.requests.FleetView
import org.banyanturn.entry.requests.MemberLimits
import org.banyanturn.entry.requests.PromptPartTracker
import org.banyanturn.entry.requests.RequestEnvironment
import org.banyanturn.entry.requests.RequestHandler
import org.banyanturn.entry.requests.ServiceRetryBudgets
import org.banyanturn.entry.requests.TargetRequirements
import org.banyanturn.entry.requests.TargetSelector
import org.banyanturn.entry.requests.WaitQueue
import org.banyanturn.entry.turns.ColdTargetCoordinator
import org.banyanturn.entry.turns.ColdTargetSettings
import org.banyanturn.platform.hosted.EngineOrders
import org.banyanturn.platform.hosted.HostedStore
import org.banyanturn.platform.hosted.SocketAddressText
import org.banyanturn.platform.hosted.VmBoot
import sun.misc.Signal
import java.util.concurrent.CountDownLatch
import java.util.concurrent.TimeUnit
import kotlin.random.Random

/** Number of topics whose partitions are divided; there are more partitions than VMs, so that each VM owns some. */
private const val OWNERSHIP_TOPICS = 8

private const val HOUSEKEEPING_INTERVAL_MILLIS = 1_000L

/** Delay of a periodic task from which the event loop is reported as delayed. */
private const val MIN_LOGGED_DELAY_MILLIS = 250L

/** Interval between reports to the engines' owners and the planners about used copies and demand. */
private const val USAGE_INTERVAL_MILLIS = 250L

/** Timeout of an order to an engine; the engine responds at once, and other zones are a few milliseconds away. */
private const val ORDER_TIMEOUT_MILLIS = 300L

/** How long a new owner waits after the old lease has expired, to allow for clock drift. */
private const val TAKEOVER_MARGIN_MILLIS = 300L

/** How long the balancer takes to detect that a VM is not ready: two probes, one per second, and some delay. */
private const val READINESS_DELAY_MILLIS = 2_500L

/** How long the event loop may take to write the last bytes after all requests have their response. */
private const val EVENT_LOOP_STOP_MILLIS = 100L

/** Time between the end of the shutdown and the moment at which the platform kills the process. */
private const val EXIT_MARGIN_MILLIS = 400L

/** The limits for callers while no catalog is known. */
private val DEFAULT_CALLER_LIMITS = CallerLimits(
    maxHeaderBytes = 16_384,
    maxBodyBytes = 1_048_576,
    headerTimeoutMillis = 5_000,
    idleTimeoutMillis = 15_000,
)

/** Represents the process of an entry VM: it serves callers and controls the engines that this VM owns. */
internal class EntryProcess(private val boot: VmBoot) : ShutdownActions {
    private val clock = processClock()
    private val group = MultiThreadIoEventLoopGroup(1, NioIoHandler.newFactory())
    private val loop: EventLoop = group.next()
    private val scope = CoroutineScope(SupervisorJob() + loop.asCoroutineDispatcher())
    private val random = Random(System.nanoTime() xor boot.vmId.hashCode().toLong())
    private val metrics = EntryMetrics()
    private val log = DecisionLog(clock, metrics)
    private val self = Peer(Incarnation(boot.vmId, System.currentTimeMillis()), boot.zoneId, boot.address)
    private val view = FleetView(clock, boot.zoneId)
    private val connectionPool = TargetConnectionPool(
        loop,
        clock,
        boot.answerLimits,
        unsolicitedBytesListener = UnsolicitedBytesLog(log, metrics),
    )
    private val exchanges = PooledHttpExchanges(connectionPool)
    private val store = HostedStore(boot.storeAddress, exchanges, epochListener = StoreEpochLog(log, metrics))
    private val ownershipSettings =
        OwnershipSettings(ttlMillis = maxOf(OwnershipSettings().ttlMillis, boot.leastGroupTtlMillis))
    private val ownership = Ownership(
        group = store.ownershipGroup(
            name = "banyanturn",
            member = self.toMemberName(),
            topics = List(OWNERSHIP_TOPICS) { "ownership-$it" },
            partitionsPerTopic = boot.partitionsPerTopic,
        ),
        self = self,
        settings = ownershipSettings,
        outages = StoreOutageTracker("group", clock, log),
        clock = clock,
        log = log,
        storeEpoch = store::epoch,
    )
    private val platformLists =
        PlatformLists(self, ownership, store, boot.relayPort, exchanges, view, scope, clock, log, random)
    private val liveness = PeerLiveness(ownership, self, clock)
    private val limits = MemberLimits(
        vmCount = { liveness.sharingVms().count },
        initialFraction = if (boot.isFirstStart) 1.0 else RESTART_UNUSED_BURST_FRACTION,
        startMillis = clock.nowMillis(),
        metrics = LimitMetrics(metrics.registry),
    )
    private val allotments = AllotmentExchange(limits, ownership, view, self.incarnation, clock, liveness)
    private val coldTargets = ColdTargetCoordinator(
        view,
        ColdTargetSettings(
            boot.bounds.coldExcess,
            boot.bounds.coldSlack,
            ownerChangeMillis = ownershipSettings.ttlMillis + TAKEOVER_MARGIN_MILLIS,
        ),
        clock,
        log,
        metrics,
    )
    private val memoryGuard =
        EngineMemoryGuard(view, clock, boot.boundsMemory, { liveness.sharingVms().count }, log, metrics)
    private val placement =
        TargetSelector(view, clock, random, memoryGuard, { liveness.sharingVms().count }, coldTargets)
    private val rankedWaitLog = RankedWaitLog(log, metrics)
    private val waitQueue = WaitQueue(placement, clock, view, rankedWaitLog)
    private val retries = ServiceRetryBudgets(
        FleetRetryLimit(boot.bounds.retryRatio, boot.bounds.retrySlack, boot.bounds.retryWindowMillis),
        { liveness.sharingVms().count },
    )
    private val requestNumbers = generateSequence(1L) { it + 1 }.iterator()
    private val copyRequests = CopyRequestTracker(view, clock, log, requestNumbers)
    private val suspensionMonitor = SuspensionMonitor(clock::nowMillis, System::currentTimeMillis)
    private val crashes = CrashEvidence(
        CrashTracker(self.incarnation, System::currentTimeMillis),
        PromptPartTracker(log, clock::nowMillis),
    )
    private val environment = RequestEnvironment(
        clock, loop, view, connectionPool, placement, waitQueue, copyRequests, limits, retries, crashes, log, metrics,
        random, boot.answerLimits,
    )
    private val engines = OwnedEngineController(
        vmName = boot.vmId.value,
        settings = OwnedEngineSettings(takeoverMillis = boot.bounds.orderLeaseMillis + TAKEOVER_MARGIN_MILLIS),
        ownership = ownership,
        view = view,
        orders = EngineOrders(exchanges, ORDER_TIMEOUT_MILLIS, environment.notices),
        scope = scope,
        clock = clock,
        log = log,
        checkSuspension = ::checkSuspension,
    )
    private val planner = ModelLoadCoordinator(view, clock, log, requestNumbers, environment.prefillSpeed)
    private val handler = RequestHandler(environment)
    private val peerMessenger = PeerMessenger(
        self, ownership, liveness, allotments, copyRequests, planner, engines, view, platformLists.relay, crashes,
        environment.turns, coldTargets,
    )
    private val pendingRequests = object : PendingRequests {
        override fun requirementsOrNull(copy: CopyName): TargetRequirements? = waitQueue.requirementsOrNull(copy)

        override fun modelHolders(requirements: TargetRequirements): List<KnownTarget> =
            placement.modelHolders(requirements)

        override fun refuse(requirements: TargetRequirements): Unit = waitQueue.refuse(requirements)

        override fun refuseExpiringBefore(copy: CopyName, atMillis: Long): Unit =
            waitQueue.refuseExpiringBefore(copy, atMillis)
    }
    private val shutdown = Shutdown(
        DrainSettings(READINESS_DELAY_MILLIS, boot.bounds.graceMillis - EXIT_MARGIN_MILLIS, handOverMillis = 0),
        clock,
        this,
    )
    private val ticker = Ticker(loop, clock, supervised("tick", ::tick), ::isBusy)
    private val connections = LinkedHashSet<CallerConnection>()
    private val exitLatch = CountDownLatch(1)
    private lateinit var callerSocket: Channel

    /** Serves until a stop is requested and all requests have their final response. */
    fun run() {
        listen()
        installSignalHandlers()
        onLoop(::startComponents)
        log.write(
            Event.PROCESS_STARTED,
            field("vm", boot.vmId),
            field("zone", boot.zoneId),
            field("incarnation", self.incarnation.number),
        )
        exitLatch.await()
        log.write(Event.SHUTDOWN_FINISHED, field("vm", boot.vmId))
        group.shutdownGracefully(0, EVENT_LOOP_STOP_MILLIS, TimeUnit.MILLISECONDS).sync()
    }

    private fun listen() {
        val shared = CallerConnectionContext(
            clock = clock,
            limits = { view.catalog?.callerLimits ?: DEFAULT_CALLER_LIMITS },
            isClosing = { !shutdown.isServing },
            onRequest = { exchange ->
                shutdown.track(exchange)
                handler.onRequest(exchange)
                if (limits.isWaiting) peerMessenger.sendReports()
                ticker.wake()
            },
            connections = connections,
        )
        peerMessenger.socket = PeerSocket(group, boot.address, boot.peerPort) { datagram, senderHost ->
            peerMessenger.onDatagram(datagram, senderHost)
            ticker.wake()
        }
        listenForSmallRequests(group, boot.readinessAddress) { readinessResponse() }
        listenForSmallRequests(group, SocketAddressText(boot.address, boot.metricsPort)) {
            SmallResponse(HttpResponseStatus.OK, metricsText(metrics.registry).encodeToByteArray())
        }
        listenForLongPolls(group, SocketAddressText(boot.address, boot.relayPort), platformLists::handle)
        callerSocket = listenForCallers(group, boot.callerAddress, shared)
    }

    private fun readinessResponse(): SmallResponse {
        val isReady = shutdown.isServing && view.catalog != null && view.hasDirectory
        return SmallResponse(if (isReady) HttpResponseStatus.OK else HttpResponseStatus.SERVICE_UNAVAILABLE)
    }

    private fun startComponents() {
        connectComponents()
        platformLists.start()
        scope.launch { superviseForever("ownership") { ownership.run() } }
        ticker.start()
        scheduleEvery(USAGE_INTERVAL_MILLIS, supervised("uses", peerMessenger::sendUsageAndDemand))
        scheduleEvery(HOUSEKEEPING_INTERVAL_MILLIS, supervised("second", ::runHousekeeping))
    }

    private fun scheduleEvery(periodMillis: Long, work: () -> Unit) {
        loop.scheduleAtFixedRate(work, periodMillis, periodMillis, TimeUnit.MILLISECONDS)
    }

    private fun connectComponents() {
        crashes.requests.onRecord = peerMessenger::sendCrashRecord
        crashes.promptParts.onRecord = peerMessenger::sendPromptPartRecord
        placement.promptMillisPerToken = { environment.prefillSpeed.millisPerTokenOrNull() ?: 0.0 }
        environment.onTargetDead = peerMessenger::sendDeadTarget
        environment.acceptsRequests = { shutdown.acceptsRequests }
        environment.turns.transport = peerMessenger
        coldTargets.transport = peerMessenger
        coldTargets.onUsable = waitQueue::dispatch
        coldTargets.checkSuspension = ::checkSuspension
        copyRequests.transport = peerMessenger
        copyRequests.waiting = pendingRequests
        waitQueue.onCopyMissing = copyRequests::onCopyMissing
        planner.transport = peerMessenger
        engines.onCopyReady = peerMessenger::notifyCopyReady
        engines.onCopyUnloading = peerMessenger::announceEviction
        ownership.onChange = engines::onDirectory
        view.watch(engines::onDirectory)
        view.watch(waitQueue::dispatch)
    }

    private fun tick() {
        checkSuspension()
        engines.tick()
        planner.tick()
        copyRequests.tick()
        limits.tick(clock.nowMillis())
        environment.turns.tick()
        coldTargets.tick()
        waitQueue.expire()
        peerMessenger.sendReports()
        platformLists.tick()
        shutdown.tick()
    }

    private fun isBusy(): Boolean =
        waitQueue.size > 0 || limits.isWaiting || environment.turns.isBusy || coldTargets.isBusy ||
            copyRequests.isBusy || planner.isBusy || engines.isBusy || !shutdown.isServing

    private fun checkSuspension() {
        val gapMillis = suspensionMonitor.takeGapMillis()
        if (gapMillis == 0L) return
        ownership.dropLease()
        platformLists.invalidateAge()
        coldTargets.withdrawPermits()
        log.write(Event.PROCESS_SUSPENDED, field("gapMillis", gapMillis))
    }

    private fun runHousekeeping() {
        val nowMillis = clock.nowMillis()
        connections.toList().forEach { it.closeIfOverdue(nowMillis) }
        connectionPool.closeStale()
        liveness.refresh()
        liveness.setCollecting(allotments.collectorVms().any(ownership::isSelf))
        peerMessenger.sendHeartbeats()
        peerMessenger.repeatPromptPartVerdicts()
        allotments.dropUnownedCollectors()
        engines.onDirectory()
        planner.startDueLoads(peerMessenger::isPlanner)
        writeSummaries()
    }

    private fun writeSummaries() {
        planner.writeSummary()
        environment.copyOutcomes.write()
        coldTargets.writeSummary()
        rankedWaitLog.write()
        val delayMillis = ticker.takeLongestDelayMillis()
        if (delayMillis < MIN_LOGGED_DELAY_MILLIS) return
        log.write(Event.EVENT_LOOP_DELAYED, field("delayMillis", delayMillis))
    }

    private fun installSignalHandlers() {
        Signal.handle(Signal("TERM")) { requestStop() }
        Signal.handle(Signal("HUP")) {
            onLoop { log.write(Event.SETTINGS_RELOADED, field("vm", boot.vmId)) }
        }
    }

    /** Requests a graceful shutdown, which finishes the accepted requests; the same as SIGTERM. */
    fun requestStop() {
        if (exitLatch.count > 0) onLoop(shutdown::begin)
    }

    private fun onLoop(action: () -> Unit) {
        loop.execute(action)
    }

    override fun announceLeaving() {
        log.write(Event.SHUTDOWN_STARTED, field("vm", boot.vmId))
        peerMessenger.sendLeaving()
        scope.launch { ownership.leave() }
    }

    override fun refuseWaiting(): Unit = waitQueue.refuseAll()

    override fun stopAccepting() {
        callerSocket.close()
        connections.toList().forEach { it.closeIfIdle() }
    }

    override fun exit() {
        exitLatch.countDown()
    }
}
