package org.banyanturn.entry.requests

import org.banyanturn.core.ModelId
import org.banyanturn.core.TargetId
import org.banyanturn.core.ZoneId
import org.banyanturn.core.placement.CopyName
import org.banyanturn.core.routing.CircuitBreakerSettings
import org.banyanturn.core.routing.ColdTargetTracker
import org.banyanturn.core.routing.ReachabilityTracker
import org.banyanturn.core.routing.RequestSizes
import org.banyanturn.core.routing.TargetNotice
import org.banyanturn.core.routing.TargetNoticeTracker
import org.banyanturn.core.routing.circuitBreakerOf
import org.banyanturn.core.routing.targetLoadOf
import org.banyanturn.core.routing.targetSpeedOf
import org.banyanturn.core.routing.tokenLedgerOf
import org.banyanturn.core.serving.Catalog
import org.banyanturn.core.serving.ColdTargetLimit
import org.banyanturn.core.serving.HostWeights
import org.banyanturn.core.serving.KnownTarget
import org.banyanturn.core.serving.ServiceName
import org.banyanturn.core.serving.TargetDirectory
import org.banyanturn.core.stableHash
import org.banyanturn.daemon.ProcessClock
import org.banyanturn.platform.hosted.SocketAddressText
import org.banyanturn.platform.hosted.parseSocketAddressOrNull

/** Holds what this VM has observed of one target through its own requests. */
internal class TargetState(
    targetId: TargetId,
    slots: Int,
    reportTtlMillis: Long,
    breakerSettings: CircuitBreakerSettings,
) {
    /** Hash of the target's id, used for rendezvous hashing of requests. */
    val hash = stableHash(targetId.value)

    var load = targetLoadOf(slots, reportTtlMillis)
    var breaker = circuitBreakerOf(breakerSettings)

    /** The estimate of the target's current speed. */
    var speed = targetSpeedOf()

    /** The tokens of the requests that the target holds. */
    var ledger = tokenLedgerOf(reportTtlMillis)

    private var promptBacklogEndMillis = Long.MIN_VALUE

    /** Records that the target takes [backlogMillis] for the prompts that are unprocessed or wait for their turn. */
    fun recordPromptBacklog(backlogMillis: Long, nowMillis: Long) {
        promptBacklogEndMillis = nowMillis + backlogMillis
    }

    /** Returns the remaining time of the last recorded prompt backlog, in milliseconds. */
    fun promptBacklogMillis(nowMillis: Long): Long = (promptBacklogEndMillis - nowMillis).coerceAtLeast(0)

    /** All models that the target has been listed with since this VM first knew it. */
    val everHeldModels = HashSet<ModelId>()

    /** Presence of copies that overrides the target's entry until it expires. */
    val presenceOverrides = HashMap<CopyName, CopyPresenceOverride>()

    /** Number of this VM's attempts in progress at the target. */
    var openAttempts = 0
        private set

    private val openByCopy = HashMap<CopyName, Int>()
    private val usedCopies = HashSet<CopyName>()

    /** Records that an attempt that uses [copy] has started. */
    fun onAttemptStarted(copy: CopyName?) {
        openAttempts++
        if (copy == null) return
        openByCopy.merge(copy, 1, Int::plus)
        usedCopies += copy
    }

    /** Records that an attempt that used [copy] has ended. */
    fun onAttemptEnded(copy: CopyName?) {
        openAttempts--
        if (copy == null) return
        openByCopy.computeIfPresent(copy) { _, count -> if (count > 1) count - 1 else null }
    }

    /** Returns the copies that were used since the last call or are still in use. */
    fun drainUses(): Set<CopyName> {
        val used = usedCopies + openByCopy.keys
        usedCopies.clear()
        return used
    }
}

/** Represents presence or absence of a copy that is newer than the target's entry; valid until [untilMillis]. */
internal class CopyPresenceOverride(val isPresent: Boolean, val untilMillis: Long)

/** Represents the number of requests that have arrived and the total tokens of their prompts. */
internal data class ArrivedRequests(val count: Int, val promptTokens: Long) {
    operator fun plus(other: ArrivedRequests): ArrivedRequests =
        ArrivedRequests(count + other.count, promptTokens + other.promptTokens)
}

/**
 * Settings of [FleetView].
 *
 * @property engineReportTtlMillis how long a load report of an engine is used.
 * @property serviceReportTtlMillis how long a load report of a plain service's target is used.
 * @property presenceOverrideMillis how long the known presence of a copy overrides the target's entry.
 * @property absenceOverrideMillis how long the known absence of a copy overrides the target's entry.
 * @property breaker settings of each target's circuit breaker.
 */
internal data class FleetViewSettings(
    val engineReportTtlMillis: Long = 1_500,
    val serviceReportTtlMillis: Long = 300,
    val presenceOverrideMillis: Long = 3_000,
    val absenceOverrideMillis: Long = 5_000,
    val breaker: CircuitBreakerSettings = CircuitBreakerSettings(
        failuresToOpen = 3,
        openMillis = 1_000,
        maxOpenMillis = 8_000,
        probeTimeoutMillis = 3_000,
    ),
)

/** Holds what this VM knows of the catalog and of all targets; used on the event loop only. */
internal class FleetView(
    private val clock: ProcessClock,
    val zoneId: ZoneId,
    private val settings: FleetViewSettings = FleetViewSettings(),
    private val epochMillis: () -> Long = System::currentTimeMillis,
) {
    private val states = HashMap<TargetId, TargetState>()
    private val reachability = ReachabilityTracker()
    private val notices = TargetNoticeTracker()
    private val coldTargets = ColdTargetTracker()
    private val demands = HashMap<Pair<ServiceName, CopyName>, ArrivedRequests>()
    private val requestSizes = HashMap<ServiceName, RequestSizes>()
    private val listeners = ArrayList<() -> Unit>()

    /** The configuration declared by operators, or `null` until it is known. */
    var catalog: Catalog? = null
        private set

    /** The targets listed by the platform. */
    var directory = TargetDirectory.empty()
        private set

    /** Whether the list of targets has been read at least once. */
    var hasDirectory = false
        private set

    /** The zones whose targets receive no requests and no orders, as stated by operators. */
    var evacuatedZones: Set<ZoneId> = emptySet()
        private set

    /** Sets the evacuated [zones], and returns whether they have changed. */
    fun setEvacuatedZones(zones: Set<ZoneId>): Boolean {
        if (zones == evacuatedZones) return false
        evacuatedZones = zones
        notifyListeners()
        return true
    }

    /** Returns whether the target [targetId] is listed in an evacuated zone. */
    fun isEvacuated(targetId: TargetId): Boolean = directory.targets[targetId]?.let(::isEvacuated) ?: false

    private fun isEvacuated(target: KnownTarget): Boolean = target.entry.zoneId in evacuatedZones

    /** Registers [listener], which is called after each change. */
    fun watch(listener: () -> Unit) {
        listeners += listener
    }

    /** Adopts [newer] unless an equal or newer catalog is known, and returns whether it was adopted. */
    fun adopt(newer: Catalog): Boolean {
        if (newer.version <= (catalog?.version ?: Long.MIN_VALUE)) return false
        catalog = newer
        notifyListeners()
        return true
    }

    /** Adopts a changed list of targets. */
    fun adopt(changed: TargetDirectory) {
        coldTargets.onListed(changed.targets.values, isFirstList = !hasDirectory, clock.nowMillis(), epochMillis())
        directory = changed
        hasDirectory = true
        changed.targets.values.forEach { stateOf(it).everHeldModels += it.entry.heldModels.keys }
        reachability.retain(changed.targets.keys)
        states.keys.retainAll(changed.targets.keys + states.filterValues { it.openAttempts > 0 }.keys)
        notifyListeners()
    }

    /** Returns what this VM's own requests have shown of [target]. */
    fun stateOf(target: KnownTarget): TargetState =
        states.getOrPut(target.entry.targetId) {
            val isEngine = catalog?.services?.get(target.entry.service)?.engine != null
            val ttlMillis = if (isEngine) settings.engineReportTtlMillis else settings.serviceReportTtlMillis
            TargetState(target.entry.targetId, target.entry.slots, ttlMillis, settings.breaker)
        }

    /** Returns the sizes of this VM's requests for [service]. */
    fun requestSizes(service: ServiceName): RequestSizes = requestSizes.getOrPut(service, ::RequestSizes)

    /** Returns how long work takes at the target [targetId] now, relative to normal. */
    fun workFactor(targetId: TargetId): Double = states[targetId]?.speed?.workFactorAt(clock.nowMillis()) ?: 1.0

    /** Records that a request for [copy] of [service] with a prompt of [promptTokens] tokens has arrived. */
    fun recordDemand(service: ServiceName, copy: CopyName, promptTokens: Long) {
        demands.merge(service to copy, ArrivedRequests(1, promptTokens), ArrivedRequests::plus)
    }

    /** Returns the requests for each copy that have arrived since the last call. */
    fun drainDemands(): Map<Pair<ServiceName, CopyName>, ArrivedRequests> = demands.toMap().also { demands.clear() }

    /** Returns the copies that this VM has used since the last call or still uses, by target. */
    fun drainUses(): Map<TargetId, Set<CopyName>> =
        states.mapValues { (_, state) -> state.drainUses() }.filterValues { it.isNotEmpty() }

    /** Returns whether [target] is believed to hold [copy]. */
    fun holds(target: KnownTarget, copy: CopyName): Boolean {
        val nowMillis = clock.nowMillis()
        val overrides = stateOf(target).presenceOverrides
        overrides[copy]?.let { if (nowMillis < it.untilMillis) return it.isPresent }
        if (copy.isAdapter &&
            overrides[copy.model]?.let { nowMillis < it.untilMillis && !it.isPresent } == true
        ) {
            return false
        }
        val held = target.entry.heldModels[copy.modelId] ?: return false
        return copy.adapterId == null || copy.adapterId in held.adapters
    }

    /** Returns the models that [target] is believed to hold, each with the number of its adapters there. */
    fun heldModels(target: KnownTarget): Map<ModelId, Int> {
        val candidates = target.entry.heldModels.keys + stateOf(target).presenceOverrides.keys.map { it.modelId }
        return candidates.filter { holds(target, CopyName(it)) }
            .associateWith { target.entry.heldModels[it]?.adapters?.size ?: 0 }
    }

    /** Returns the reachable targets of [service] that are not evacuated, including those in a quiet period. */
    fun usableTargets(service: ServiceName): List<KnownTarget> {
        val nowMillis = clock.nowMillis()
        return directory.byService[service].orEmpty().filter { isUsable(it, nowMillis) }
    }

    /** Returns whether [targetId] is listed, takes requests, is not evacuated and is reachable from this VM. */
    fun isUsable(targetId: TargetId): Boolean =
        directory.targets[targetId]?.let { isUsable(it, clock.nowMillis()) } ?: false

    /** Returns whether the host of the target [targetId] has recently refused a connection. */
    fun isRefusingConnections(
        targetId: TargetId,
    ): Boolean = reachability.isRefusingConnections(targetId, clock.nowMillis())

    private fun isUsable(target: KnownTarget, nowMillis: Long): Boolean =
        target.takesRequests && !isEvacuated(target) && !isLeaving(target) &&
            reachability.isReachable(target.entry.targetId, target.entry.zoneId, nowMillis)

    /** Returns whether [target] has announced in a response to this VM that it is about to stop. */
    private fun isLeaving(target: KnownTarget): Boolean =
        notices.isLeaving(target.entry.targetId, target.entry.bornEpochMillis)

    /** Returns the remaining time for which [target] accepts no requests from this VM, in milliseconds, or 0. */
    fun remainingQuietMillis(target: KnownTarget): Long =
        notices.remainingQuietMillis(target.entry.targetId, target.entry.bornEpochMillis, clock.nowMillis())

    /** Returns whether this VM may send orders and report requests to [target]. */
    fun takesOrders(target: KnownTarget): Boolean =
        !isEvacuated(target) && !isLeaving(target) && remainingQuietMillis(target) == 0L

    /** Records the [notice] of [target] on further requests, and returns whether it changes what may be sent there. */
    fun recordNotice(target: KnownTarget, notice: TargetNotice): Boolean {
        val isNew = notices.record(target.entry.targetId, target.entry.bornEpochMillis, notice, clock.nowMillis())
        if (isNew) notifyListeners()
        return isNew
    }

    /** Records that a request is sent to [target]. */
    fun recordAttempt(target: KnownTarget): Unit =
        reachability.onAttempt(target.entry.targetId, target.entry.zoneId, clock.nowMillis())

    /** Records that a connection attempt to [target] timed out, and returns whether its reachability changed. */
    fun recordConnectTimeout(target: KnownTarget): Boolean =
        reachability.onConnectTimeout(target.entry.targetId, target.entry.zoneId, clock.nowMillis())

    /** Records that the host of [target] refused a connection, and returns whether its reachability changed. */
    fun recordConnectionRefused(target: KnownTarget): Boolean {
        val isNew = reachability.onConnectionRefused(target.entry.targetId, clock.nowMillis())
        recordStopped(target)
        if (isNew) notifyListeners()
        return isNew
    }

    /** Records that nothing listens at [target], which is cold when it is back; its new entry may be read later. */
    private fun recordStopped(target: KnownTarget) {
        val limit = coldLimitOrNull(target) ?: return
        coldTargets.onCold(target.entry.targetId, limit.startMillis, limit.startMillis, clock.nowMillis())
    }

    /** Returns the limit on requests to the target [targetId] while it is cold, or `null` if there is none. */
    fun coldLimitOrNull(targetId: TargetId): ColdTargetLimit? = directory.targets[targetId]?.let(::coldLimitOrNull)

    private fun coldLimitOrNull(target: KnownTarget): ColdTargetLimit? =
        catalog?.services?.get(target.entry.service)?.coldLimit

    /** Returns how long [target] stays cold in milliseconds, or 0 if requests to it are not limited. */
    fun remainingColdMillis(target: KnownTarget): Long {
        val limit = coldLimitOrNull(target) ?: return 0
        return coldTargets.remainingMillis(target.entry.targetId, limit.startMillis, clock.nowMillis())
    }

    /** Returns whether the target [targetId] is listed and cold. */
    fun isCold(targetId: TargetId): Boolean = directory.targets[targetId]?.let { remainingColdMillis(it) > 0 } ?: false

    /** Returns the listed targets that are cold. */
    fun coldTargets(): List<KnownTarget> =
        catalog?.services.orEmpty().values.filter { it.coldLimit != null }
            .flatMap { directory.byService[it.name].orEmpty() }
            .filter { remainingColdMillis(it) > 0 }

    /** Records that [targetId] stays cold for [coldMillis], and returns whether it has not counted as cold before. */
    fun recordCold(targetId: TargetId, coldMillis: Long): Boolean {
        val limit = coldLimitOrNull(targetId) ?: return false
        return coldTargets.onCold(targetId, coldMillis, limit.startMillis, clock.nowMillis())
    }

    /** Records that [target] has answered, and returns whether it or its zone was unreachable before. */
    fun recordResponse(target: KnownTarget): Boolean =
        reachability.onAnswered(target.entry.targetId, target.entry.zoneId)

    /** Returns the weights at the host of [target], or the models that it has held if its entry lists none. */
    fun hostWeights(target: KnownTarget): HostWeights {
        val listed = target.entry.hostWeights
        return if (listed.onDisk.isEmpty()) listed.withLoaded(stateOf(target).everHeldModels) else listed
    }

    /** Records whether [copy] is present at [target], which overrides the target's entry for a limited time. */
    fun recordCopyPresence(target: KnownTarget, copy: CopyName, isPresent: Boolean) {
        val ttlMillis = if (isPresent) settings.presenceOverrideMillis else settings.absenceOverrideMillis
        val untilMillis = clock.nowMillis() + ttlMillis
        stateOf(target).presenceOverrides[copy] = CopyPresenceOverride(isPresent, untilMillis)
        notifyListeners()
    }

    private fun notifyListeners() {
        listeners.forEach { it() }
    }
}

/** The address of a target; entries without a valid address are never listed. */
internal val KnownTarget.socketAddress: SocketAddressText
    get() = checkNotNull(parseSocketAddressOrNull(entry.address)) { "target ${entry.targetId} has no valid address" }
