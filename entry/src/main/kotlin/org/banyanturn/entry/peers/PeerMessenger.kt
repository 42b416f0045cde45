package org.banyanturn.entry.peers

import org.banyanturn.core.Incarnation
import org.banyanturn.core.ModelId
import org.banyanturn.core.TargetId
import org.banyanturn.core.VmId
import org.banyanturn.core.isIdentifier
import org.banyanturn.core.placement.CopyName
import org.banyanturn.core.placement.LoadPlan
import org.banyanturn.core.serving.KnownTarget
import org.banyanturn.core.serving.ServiceName
import org.banyanturn.entry.copies.CopyAnswer
import org.banyanturn.entry.copies.CopyRequestTracker
import org.banyanturn.entry.copies.CopyRequestTransport
import org.banyanturn.entry.copies.ModelLoadCoordinator
import org.banyanturn.entry.copies.ModelLoadTransport
import org.banyanturn.entry.copies.ModelRequester
import org.banyanturn.entry.copies.OwnedEngineController
import org.banyanturn.entry.follow.CatalogRelay
import org.banyanturn.entry.follow.Ownership
import org.banyanturn.entry.follow.Peer
import org.banyanturn.entry.requests.ArrivedRequests
import org.banyanturn.entry.requests.CrashEvidence
import org.banyanturn.entry.requests.FleetView
import org.banyanturn.entry.turns.ColdPermitMessage
import org.banyanturn.entry.turns.ColdPermitTransport
import org.banyanturn.entry.turns.ColdTargetCoordinator
import org.banyanturn.entry.turns.PromptTurnCoordinator
import org.banyanturn.entry.turns.TurnMessage
import org.banyanturn.entry.turns.TurnOwner
import org.banyanturn.entry.turns.TurnTransport

/** Most hosts of other VMs that are remembered since they sent a datagram. */
private const val MAX_SENDER_HOSTS = 1_000

/** The number of VMs to which a VM repeats its verdicts each second. */
private const val VERDICT_FAN_OUT = 3

/** Sends the messages of this VM's components to other VMs, and dispatches received datagrams to the components. */
internal class PeerMessenger(
    private val self: Peer,
    private val ownership: Ownership,
    private val liveness: PeerLiveness,
    private val allotments: AllotmentExchange,
    private val copyRequests: CopyRequestTracker,
    private val planner: ModelLoadCoordinator,
    private val engines: OwnedEngineController,
    private val view: FleetView,
    private val relay: CatalogRelay,
    private val crashes: CrashEvidence,
    private val turns: PromptTurnCoordinator,
    private val coldTargets: ColdTargetCoordinator,
) : CopyRequestTransport, ModelLoadTransport, TurnTransport, ColdPermitTransport {
    private val senderHosts = LinkedHashSet<String>()
    private val ownedCopies = OwnedCopyRequests(engines)

    /** The socket that sends the datagrams; must be set before the first one is sent. */
    lateinit var socket: PeerSocket

    /** Sends the allotment reports that are due; called at each tick, every 20 to 100 ms. */
    fun sendReports() {
        allotments.dueReports().forEach { (peer, reports) -> send(peer.host, reports = reports) }
    }

    /**
     * Sends a heartbeat with the version of this VM's catalog; called about once a second.
     *
     * Recipients are the VMs of this zone and the collectors of the members' usage, which reserve a part of each limit
     * for VMs whose heartbeats are missing.
     */
    fun sendHeartbeats() {
        val zonePeers = otherVms().filter { it.zoneId == self.zoneId }
        val collectors = allotments.collectorVms().filterNot(ownership::isSelf)
        (zonePeers + collectors).distinct().forEach { send(it.host) }
    }

    /** Announces to all VMs that this VM shuts down. */
    fun sendLeaving() {
        otherVms().forEach { send(it.host, isLeaving = true) }
    }

    /** Sends all VMs a record with evidence about a request that may crash its targets. */
    fun sendCrashRecord(payload: String) {
        knownHosts().forEach { send(it, crashRecords = listOf(payload)) }
    }

    /** Sends all VMs a record with evidence about a part of prompts that may crash targets. */
    fun sendPromptPartRecord(payload: String) {
        knownHosts().forEach { send(it, promptPartRecords = listOf(payload)) }
    }

    /** Repeats the verdicts on parts of prompts to a few VMs, so that each VM soon has them; called once a second. */
    fun repeatPromptPartVerdicts() {
        val verdicts = crashes.promptParts.repeatedVerdicts()
        if (verdicts.isEmpty()) return
        knownHosts().shuffled().take(VERDICT_FAN_OUT).forEach { host ->
            verdicts.forEach { send(host, promptPartRecords = listOf(it)) }
        }
    }

    /** Reports to the planner of the service of [target] that connections to the target are refused. */
    fun sendDeadTarget(target: KnownTarget) {
        val peer = plannerOrNull(target.entry.service)?.takeUnless(ownership::isSelf) ?: return
        send(peer.host, deadTargets = listOf(target.entry.targetId.value))
    }

    /** Returns the hosts of the other VMs, also of those that the list of owners doesn't have yet. */
    private fun knownHosts(): Set<String> = otherVms().mapTo(LinkedHashSet(senderHosts)) { it.host }

    private fun recordSender(host: String) {
        senderHosts -= host
        senderHosts += host
        if (senderHosts.size > MAX_SENDER_HOSTS) senderHosts -= senderHosts.first()
    }

    private fun otherVms(): List<Peer> = ownership.peers.filterNot(ownership::isSelf)

    /**
     * Reports the copies that this VM uses to the owners of their engines, and to the planners the demand of its
     * callers and the loads of its engines.
     */
    fun sendUsageAndDemand() {
        val uses = usesByOwner()
        val demands = demandsByPlanner()
        val storeLoads = storeLoadsByPlanner()
        (uses.keys + demands.keys + storeLoads.keys).forEach { peer ->
            send(
                peer.host,
                uses = uses[peer].orEmpty(),
                demands = demands[peer].orEmpty(),
                storeLoads = storeLoads[peer].orEmpty(),
            )
        }
    }

    /** Records uses of copies on the own engines, and returns the others. */
    private fun usesByOwner(): Map<Peer, List<CopyLocationMessage>> {
        val uses = LinkedHashMap<Peer, MutableList<CopyLocationMessage>>()
        view.drainUses().forEach { (targetId, copies) ->
            val owner = ownerOrNull(targetId) ?: return@forEach
            if (ownership.isSelf(owner)) {
                copies.forEach { engines.recordUse(targetId, it) }
            } else {
                uses.getOrPut(owner) { ArrayList() } += copies.map { it.toLocationMessage(targetId) }
            }
        }
        return uses
    }

    /** Records demand for services that this VM plans for, and returns the rest. */
    private fun demandsByPlanner(): Map<Peer, List<DemandMessage>> {
        val demands = LinkedHashMap<Peer, MutableList<DemandMessage>>()
        view.drainDemands().forEach { (requested, arrived) ->
            val (service, copy) = requested
            val peer = plannerOrNull(service) ?: return@forEach
            if (ownership.isSelf(peer)) {
                planner.recordDemand(service, copy, arrived)
            } else {
                demands.getOrPut(peer) { ArrayList() } += copy.toDemandMessage(service, arrived)
            }
        }
        return demands
    }

    /** Records loads of the own engines for services that this VM plans for, and returns the rest. */
    private fun storeLoadsByPlanner(): Map<Peer, List<StoreLoadMessage>> {
        val loads = LinkedHashMap<Peer, MutableList<StoreLoadMessage>>()
        engines.storeLoads().forEach { (target, load) ->
            val service = target.entry.service
            val peer = plannerOrNull(service) ?: return@forEach
            if (ownership.isSelf(peer)) {
                planner.recordStoreLoad(service, target.entry.targetId, load)
            } else {
                loads.getOrPut(peer) { ArrayList() } += load.toMessage(service, target.entry.targetId)
            }
        }
        return loads
    }

    override fun requestFromOwner(number: Long, targetId: TargetId, copy: CopyName): Boolean =
        sendToOwner(copy.toRequestMessage(number, targetId, emptyList()), targetId) { copyRequests.onAnswer(it) }

    override fun order(number: Long, plan: LoadPlan): Boolean {
        val request = CopyName(plan.modelId).toRequestMessage(number, plan.targetId, plan.victims)
        return sendToOwner(request, plan.targetId) { planner.onAnswer(it) }
    }

    private fun sendToOwner(
        request: CopyRequestMessage,
        targetId: TargetId,
        onLocalAnswer: (CopyAnswer) -> Unit,
    ): Boolean {
        val owner = ownerOrNull(targetId) ?: return false
        if (ownership.isSelf(owner)) {
            onLocalAnswer(ownedCopies.replyTo(request, targetId).toAnswer())
        } else {
            send(owner.host, wants = listOf(request))
        }
        return true
    }

    override fun requestFromPlanner(number: Long, service: ServiceName, copy: CopyName): Boolean {
        val peer = plannerOrNull(service) ?: return false
        if (ownership.isSelf(peer)) {
            planner.request(service, copy, ModelRequester(host = null, number))
        } else {
            send(
                peer.host,
                wants = listOf(CopyRequestMessage(number, modelId = copy.modelId.value, service = service.value)),
            )
        }
        return true
    }

    override fun answer(requester: ModelRequester, answer: CopyAnswer) {
        if (requester.host == null) {
            copyRequests.onAnswer(answer)
        } else {
            send(requester.host, replies = listOf(answer.toMessage()))
        }
    }

    /** Notifies the local components and the VMs that requested [copy] that [target] holds it now. */
    fun notifyCopyReady(target: KnownTarget, copy: CopyName) {
        val targetId = target.entry.targetId
        copyRequests.onReady(targetId, copy)
        planner.onReady(targetId, copy)
        ownedCopies.takeWaiters(targetId, copy).forEach { (host, number) ->
            send(host, replies = listOf(CopyReplyMessage(number, readyInMillis = 0, targetId = targetId.value)))
        }
    }

    /** Announces to all VMs that [copy] on [target] is about to be evicted. */
    fun announceEviction(target: KnownTarget, copy: CopyName) {
        view.recordCopyPresence(target, copy, isPresent = false)
        val leaving = listOf(copy.toLocationMessage(target.entry.targetId))
        otherVms().forEach { send(it.host, leaving = leaving) }
    }

    private fun ownerOrNull(targetId: TargetId): Peer? = ownership.ownerOrNull(OwnedEngineController.keyOf(targetId))

    /** Returns whether this VM is the planner of [service]. */
    fun isPlanner(service: ServiceName): Boolean = plannerOrNull(service)?.let(ownership::isSelf) == true

    private fun plannerOrNull(service: ServiceName): Peer? = ownership.ownerOrNull("planner/${service.value}")

    override fun turnOwnerOrNull(targetId: TargetId): TurnOwner? =
        ownerOrNull(targetId)?.let { TurnOwner(if (ownership.isSelf(it)) null else it.host) }

    override fun sendTurn(host: String, message: TurnMessage): Unit = send(host, turns = listOf(message))

    override fun permitOwnerOrNull(targetId: TargetId): TurnOwner? = turnOwnerOrNull(targetId)

    override fun ownedSinceMillisOrNull(targetId: TargetId): Long? =
        ownership.ownedSinceMillisOrNull(OwnedEngineController.keyOf(targetId))

    override fun sendPermit(host: String, message: ColdPermitMessage): Unit = send(host, coldPermits = listOf(message))

    override fun sendPermitToAll(message: ColdPermitMessage): Unit = otherVms().forEach { sendPermit(it.host, message) }

    /** Dispatches a received [datagram] to the components and replies to its reports and requests. */
    fun onDatagram(datagram: PeerDatagram, senderHost: String) {
        if (!isIdentifier(datagram.vmId)) return
        val from = Incarnation(VmId(datagram.vmId), datagram.incarnation)
        if (datagram.isLeaving) {
            senderHosts -= senderHost
            return liveness.onLeft(from)
        }
        recordSender(senderHost)
        liveness.onReceived(from, datagram.isInGroup)
        relay.onPeerVersion(datagram.catalogVersion, senderHost)
        if (datagram.grants.isNotEmpty()) allotments.onGrants(datagram.grants)
        datagram.replies.map { it.toAnswer() }.forEach { answer ->
            copyRequests.onAnswer(answer)
            planner.onAnswer(answer)
        }
        datagram.uses.forEach { use -> use.copyOrNull()?.let { engines.recordUse(TargetId(use.targetId), it) } }
        datagram.leaving.forEach(::onCopyLeaving)
        datagram.crashRecords.forEach(crashes.requests::onPeerRecord)
        datagram.promptPartRecords.forEach(crashes.promptParts::onPeerRecord)
        datagram.deadTargets.filter(::isIdentifier).mapNotNull {
            view.directory.targets[TargetId(it)]
        }.forEach(view::recordConnectionRefused)
        datagram.demands.forEach { demand ->
            val copy = copyNameOrNull(demand.modelId, demand.adapterId) ?: return@forEach
            val arrived = ArrivedRequests(demand.requests, demand.promptTokens)
            planner.recordDemand(ServiceName(demand.service), copy, arrived)
        }
        datagram.storeLoads.forEach(::onStoreLoad)
        datagram.turns.forEach { turns.onMessage(it, senderHost) }
        datagram.coldPermits.forEach { coldTargets.onMessage(it, senderHost) }
        val grants = allotments.onReports(from, datagram.reports)
        val replies = datagram.wants.mapNotNull { onCopyRequest(it, senderHost) }
        if (grants.isNotEmpty() || replies.isNotEmpty()) send(senderHost, grants = grants, replies = replies)
    }

    private fun onCopyLeaving(message: CopyLocationMessage) {
        val copy = message.copyOrNull() ?: return
        view.directory.targets[TargetId(message.targetId)]?.let { view.recordCopyPresence(it, copy, isPresent = false) }
    }

    private fun onStoreLoad(message: StoreLoadMessage) {
        val load = message.storeLoadOrNull() ?: return
        planner.recordStoreLoad(ServiceName(message.service), TargetId(message.targetId), load)
    }

    private fun onCopyRequest(request: CopyRequestMessage, senderHost: String): CopyReplyMessage? {
        if (!isIdentifier(request.modelId)) return null
        if (request.targetId.isEmpty()) {
            planner.request(
                ServiceName(request.service),
                CopyName(ModelId(request.modelId)),
                ModelRequester(senderHost, request.number),
            )
            return null
        }
        return ownedCopies.onPeerRequest(request, senderHost)
    }

    private fun send(
        host: String,
        reports: List<AllotmentReportMessage> = emptyList(),
        grants: List<AllotmentGrantMessage> = emptyList(),
        wants: List<CopyRequestMessage> = emptyList(),
        replies: List<CopyReplyMessage> = emptyList(),
        uses: List<CopyLocationMessage> = emptyList(),
        leaving: List<CopyLocationMessage> = emptyList(),
        demands: List<DemandMessage> = emptyList(),
        crashRecords: List<String> = emptyList(),
        promptPartRecords: List<String> = emptyList(),
        deadTargets: List<String> = emptyList(),
        turns: List<TurnMessage> = emptyList(),
        storeLoads: List<StoreLoadMessage> = emptyList(),
        coldPermits: List<ColdPermitMessage> = emptyList(),
        isLeaving: Boolean = false,
    ) {
        val datagram = PeerDatagram(
            vmId = self.incarnation.vmId.value,
            incarnation = self.incarnation.number,
            catalogVersion = view.catalog?.version ?: -1,
            reports = reports,
            grants = grants,
            wants = wants,
            replies = replies,
            uses = uses,
            leaving = leaving,
            demands = demands,
            crashRecords = crashRecords,
            promptPartRecords = promptPartRecords,
            deadTargets = deadTargets,
            turns = turns,
            storeLoads = storeLoads,
            coldPermits = coldPermits,
            isLeaving = isLeaving,
            isInGroup = ownership.isInGroup,
        )
        socket.send(host, datagram)
    }
}
