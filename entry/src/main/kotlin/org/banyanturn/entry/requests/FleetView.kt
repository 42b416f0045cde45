package org.banyanturn.entry.requests

import org.banyanturn.core.ModelId
import org.banyanturn.core.TargetId
import org.banyanturn.core.ZoneId
import org.banyanturn.core.placement.CopyName
import org.banyanturn.core.routing.CircuitBreakerSettings
import org.banyanturn.core.routing.ReachabilityTracker
import org.banyanturn.core.routing.TargetNotice
import org.banyanturn.core.routing.TargetNoticeTracker
import org.banyanturn.core.routing.circuitBreakerOf
import org.banyanturn.core.routing.targetLoadOf
import org.banyanturn.core.serving.Catalog
import org.banyanturn.core.serving.HostWeights
import org.banyanturn.core.serving.KnownTarget
import org.banyanturn.core.serving.ServiceName
import org.banyanturn.core.serving.TargetDirectory
import org.banyanturn.core.stableHash
import org.banyanturn.daemon.ProcessClock
import org.banyanturn.platform.hosted.SocketAddressText
import org.banyanturn.platform.hosted.parseSocketAddressOrNull

/** What this VM knows of one target from its own requests. */
internal class TargetState(
    targetId: TargetId,
    slots: Int,
    reportTtlMillis: Long,
    breakerSettings: CircuitBreakerSettings,
) {
    /** Hash of the target's id, by which requests are spread. */
    val hash = stableHash(targetId.value)

    var load = targetLoadOf(slots, reportTtlMillis)
    var breaker = circuitBreakerOf(breakerSettings)

    private var promptBacklogEndMillis = Long.MIN_VALUE

    /** Notes that the target takes [backlogMillis] for the prompts that are unread or wait for their turn. */
    fun recordPromptBacklog(backlogMillis: Long, nowMillis: Long) {
        promptBacklogEndMillis = nowMillis + backlogMillis
    }

    /** Returns how long the target takes yet for the prompts that were known of last. */
    fun promptBacklogMillis(nowMillis: Long): Long = (promptBacklogEndMillis - nowMillis).coerceAtLeast(0)

    /** Models that the target has held as long as this VM knows it. */
    val everHeldModels = HashSet<ModelId>()

    /** Copies whose presence is known otherwise than from the target's entry, and until when that holds. */
    val presenceOverrides = HashMap<CopyName, CopyPresenceOverride>()

    /** Attempts of this VM that are under way there. */
    var openAttempts = 0
        private set

    private val openByCopy = HashMap<CopyName, Int>()
    private val usedCopies = HashSet<CopyName>()

    /** Notes that an attempt that uses [copy] has begun. */
    fun begin(copy: CopyName?) {
        openAttempts++
        if (copy == null) return
        openByCopy.merge(copy, 1, Int::plus)
        usedCopies += copy
    }

    /** Notes that an attempt that used [copy] has ended. */
    fun end(copy: CopyName?) {
        openAttempts--
        if (copy == null) return
        openByCopy.computeIfPresent(copy) { _, count -> if (count > 1) count - 1 else null }
    }

    /** Returns the copies that were used since the last call, or are still in use. */
    fun drainUses(): Set<CopyName> {
        val used = usedCopies + openByCopy.keys
        usedCopies.clear()
        return used
    }
}

/** Word of a copy that is newer than the target's entry. */
internal class CopyPresenceOverride(val isPresent: Boolean, val untilMillis: Long)

/** Requests that have arrived, and how many tokens their prompts have together. */
internal data class ArrivedRequests(val count: Int, val promptTokens: Long) {
    operator fun plus(other: ArrivedRequests): ArrivedRequests =
        ArrivedRequests(count + other.count, promptTokens + other.promptTokens)
}

/** Lifetimes of what this VM believes of targets. */
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

/** What this VM knows of the fleet; used on the event loop only. */
internal class FleetView(
    private val clock: ProcessClock,
    val zoneId: ZoneId,
    private val settings: FleetViewSettings = FleetViewSettings(),
) {
    private val states = HashMap<TargetId, TargetState>()
    private val reachability = ReachabilityTracker()
    private val notices = TargetNoticeTracker()
    private val demands = HashMap<Pair<ServiceName, CopyName>, ArrivedRequests>()
    private val listeners = ArrayList<() -> Unit>()

    /** What operators have declared, or `null` while it is not known. */
    var catalog: Catalog? = null
        private set

    /** The targets that the platform lists. */
    var directory = TargetDirectory.empty()
        private set

    /** Whether the list of targets was read at least once. */
    var hasDirectory = false
        private set

    /** Calls [listener] after each change. */
    fun watch(listener: () -> Unit) {
        listeners += listener
    }

    /** Takes over [newer] unless an equal or newer catalog is known, and returns whether it was taken. */
    fun adopt(newer: Catalog): Boolean {
        if (newer.version <= (catalog?.version ?: Long.MIN_VALUE)) return false
        catalog = newer
        notifyListeners()
        return true
    }

    /** Takes over a changed list of targets. */
    fun adopt(changed: TargetDirectory) {
        directory = changed
        hasDirectory = true
        changed.targets.values.forEach { stateOf(it).everHeldModels += it.entry.heldModels.keys }
        reachability.retain(changed.targets.keys)
        states.keys.retainAll(changed.targets.keys + states.filterValues { it.openAttempts > 0 }.keys)
        notifyListeners()
    }

    /** Returns what is known of [target] from this VM's own requests. */
    fun stateOf(target: KnownTarget): TargetState =
        states.getOrPut(target.entry.targetId) {
            val isEngine = catalog?.services?.get(target.entry.service)?.engine != null
            val ttlMillis = if (isEngine) settings.engineReportTtlMillis else settings.serviceReportTtlMillis
            TargetState(target.entry.targetId, target.entry.slots, ttlMillis, settings.breaker)
        }

    /** Notes that a request for [copy] at [service] with a prompt of [promptTokens] has arrived. */
    fun recordDemand(service: ServiceName, copy: CopyName, promptTokens: Long) {
        demands.merge(service to copy, ArrivedRequests(1, promptTokens), ArrivedRequests::plus)
    }

    /** Returns which requests for each copy have arrived since the last call. */
    fun drainDemands(): Map<Pair<ServiceName, CopyName>, ArrivedRequests> = demands.toMap().also { demands.clear() }

    /** Returns the copies that this VM has used since the last call, or still uses, by target. */
    fun drainUses(): Map<TargetId, Set<CopyName>> =
        states.mapValues { (_, state) -> state.drainUses() }.filterValues { it.isNotEmpty() }

    /** Returns whether [target] is taken to hold [copy]. */
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

    /** Returns the models that [target] is taken to hold, each with the number of its adapters there. */
    fun heldModels(target: KnownTarget): Map<ModelId, Int> {
        val candidates = target.entry.heldModels.keys + stateOf(target).presenceOverrides.keys.map { it.modelId }
        return candidates.filter { holds(target, CopyName(it)) }
            .associateWith { target.entry.heldModels[it]?.adapters?.size ?: 0 }
    }

    /** Returns the targets of [service] that this VM reaches, with those that want no requests for a while. */
    fun usableTargets(service: ServiceName): List<KnownTarget> {
        val nowMillis = clock.nowMillis()
        return directory.byService[service].orEmpty().filter { isUsable(it, nowMillis) }
    }

    /** Returns whether the target [targetId] is listed, takes requests and is reached by this VM. */
    fun isUsable(targetId: TargetId): Boolean =
        directory.targets[targetId]?.let { isUsable(it, clock.nowMillis()) } ?: false

    /** Returns whether the host of the target [targetId] has turned a connection away lately. */
    fun isRefusingConnections(targetId: TargetId): Boolean = reachability.isRefusingConnections(targetId, clock.nowMillis())

    private fun isUsable(target: KnownTarget, nowMillis: Long): Boolean =
        target.takesRequests && !isLeaving(target) &&
            reachability.isReachable(target.entry.targetId, target.entry.zoneId, nowMillis)

    /** Returns whether [target] said in an answer to this VM that it is about to stop. */
    private fun isLeaving(target: KnownTarget): Boolean =
        notices.isLeaving(target.entry.targetId, target.entry.bornEpochMillis)

    /** Returns for how long [target] wants nothing from this VM yet, in milliseconds, or 0. */
    fun remainingQuietMillis(target: KnownTarget): Long =
        notices.remainingQuietMillis(target.entry.targetId, target.entry.bornEpochMillis, clock.nowMillis())

    /** Returns whether this VM may send orders and questions to [target]. */
    fun takesOrders(target: KnownTarget): Boolean = !isLeaving(target) && remainingQuietMillis(target) == 0L

    /** Takes in what [target] said about further requests; returns whether that changes what it may get. */
    fun recordNotice(target: KnownTarget, notice: TargetNotice): Boolean {
        val isNew = notices.record(target.entry.targetId, target.entry.bornEpochMillis, notice, clock.nowMillis())
        if (isNew) notifyListeners()
        return isNew
    }

    /** Notes that a request is sent to [target]. */
    fun recordAttempt(target: KnownTarget): Unit =
        reachability.onAttempt(target.entry.targetId, target.entry.zoneId, clock.nowMillis())

    /** Notes that [target] has not answered a try to connect; returns whether that is news. */
    fun recordConnectTimeout(target: KnownTarget): Boolean =
        reachability.onConnectTimeout(target.entry.targetId, target.entry.zoneId, clock.nowMillis())

    /** Notes that the host of [target] turned a connection away; returns whether that is news. */
    fun recordConnectionRefused(target: KnownTarget): Boolean {
        val isNew = reachability.onConnectionRefused(target.entry.targetId, clock.nowMillis())
        if (isNew) notifyListeners()
        return isNew
    }

    /** Notes that [target] has answered; returns whether it, or its zone, was out of reach. */
    fun recordAnswer(target: KnownTarget): Boolean =
        reachability.onAnswerCompleted(target.entry.targetId, target.entry.zoneId)

    /** Returns the weights at the host of [target], or those that it was seen to hold if it tells none. */
    fun hostWeights(target: KnownTarget): HostWeights {
        val listed = target.entry.hostWeights
        return if (listed.onDisk.isEmpty()) listed.withLoaded(stateOf(target).everHeldModels) else listed
    }

    /** Notes that [copy] is or is not at [target], which goes before the target's entry for a while. */
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

/** The address of a target; entries without a valid one are never listed. */
internal val KnownTarget.socketAddress: SocketAddressText
    get() = checkNotNull(parseSocketAddressOrNull(entry.address)) { "entry without address: ${entry.targetId}" }
