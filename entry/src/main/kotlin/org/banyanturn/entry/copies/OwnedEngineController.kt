package org.banyanturn.entry.copies

import com.github.michaelbull.result.fold
import kotlinx.coroutines.CoroutineScope
import kotlinx.coroutines.delay
import kotlinx.coroutines.launch
import org.banyanturn.core.ModelId
import org.banyanturn.core.TargetId
import org.banyanturn.core.placement.CopyDeclineReason
import org.banyanturn.core.placement.CopyName
import org.banyanturn.core.placement.CopyOrder
import org.banyanturn.core.placement.CopyOrderKind
import org.banyanturn.core.placement.CopyOrderResult
import org.banyanturn.core.placement.CopyRequestResult
import org.banyanturn.core.placement.EngineCopyManager
import org.banyanturn.core.placement.StoreLoad
import org.banyanturn.core.serving.EngineSpec
import org.banyanturn.core.serving.KnownTarget
import org.banyanturn.daemon.ProcessClock
import org.banyanturn.daemon.logs.Event
import org.banyanturn.daemon.logs.field
import org.banyanturn.entry.follow.Ownership
import org.banyanturn.entry.observe.DecisionLog
import org.banyanturn.entry.requests.FleetView
import org.banyanturn.entry.requests.socketAddress
import org.banyanturn.platform.hosted.EngineOrder
import org.banyanturn.platform.hosted.EngineOrders
import org.banyanturn.platform.hosted.OrderKind
import org.banyanturn.platform.hosted.OrderReply

/**
 * Settings of [OwnedEngineController].
 *
 * @property takeoverMillis how long a new owner waits before its first order, so that the previous owner has stopped.
 * @property reportIntervalMillis time between report requests to an engine while a report is needed.
 * @property unloadDelayMillis time between the announcement that a model is unloaded and the order, so that requests in
 * transit still reach the model.
 */
internal data class OwnedEngineSettings(
    val takeoverMillis: Long,
    val reportIntervalMillis: Long = 120,
    val unloadDelayMillis: Long = 20,
)

/** Sends load and unload orders to the engines that this VM owns; used on the event loop only. */
internal class OwnedEngineController(
    private val vmName: String,
    private val settings: OwnedEngineSettings,
    private val ownership: Ownership,
    private val view: FleetView,
    private val orders: EngineOrders,
    private val scope: CoroutineScope,
    private val clock: ProcessClock,
    private val log: DecisionLog,
    private val checkSuspension: () -> Unit,
) {
    private val engines = HashMap<TargetId, OwnedEngine>()

    /** Whether an order, a requested copy or a report of an owned engine is pending. */
    val isBusy: Boolean
        get() = engines.values.any { it.copyManager.isBusy(clock.nowMillis()) }

    /** Called when an owned engine is known to hold a requested copy. */
    var onCopyReady: (KnownTarget, CopyName) -> Unit = { _, _ -> }

    /** Called before a copy is unloaded, so that no VM sends further requests for it. */
    var onCopyUnloading: (KnownTarget, CopyName) -> Unit = { _, _ -> }

    /** Returns whether this VM may send orders to the engine [targetId] now. */
    private fun maySendOrders(targetId: TargetId): Boolean {
        val sinceMillis = ownership.ownedSinceMillisOrNull(keyOf(targetId)) ?: return false
        return clock.nowMillis() - sinceMillis >= settings.takeoverMillis
    }

    /**
     * Requests [copy] at the engine [targetId].
     *
     * @param victims the models that may be unloaded for it even if they are in use.
     * @return when the copy can be expected or why it is declined, or `null` if this VM may not send orders there.
     */
    fun request(targetId: TargetId, copy: CopyName, victims: List<ModelId> = emptyList()): CopyRequestResult? {
        val engine = engines[targetId]?.takeIf { maySendOrders(targetId) } ?: return null
        val target = view.directory.targets[targetId] ?: return null
        if (!view.takesOrders(target)) return CopyRequestResult.Declined(CopyDeclineReason.BUSY)
        val result = engine.copyManager.request(copy, clock.nowMillis(), victims)
        engine.copyManager.takeDrainingAdapterOrNull(clock.nowMillis())?.let { onCopyUnloading(target, it) }
        if (result is CopyRequestResult.Pending) {
            engine.awaitedCopies += copy
            advance(targetId, engine)
        }
        return result
    }

    /** Records that a VM has used [copy] at the engine [targetId]. */
    fun recordUse(targetId: TargetId, copy: CopyName) {
        engines[targetId]?.copyManager?.recordUse(copy, clock.nowMillis())
    }

    /** Returns the loads from the weight store that the owned engines carry out. */
    fun storeLoads(): Map<KnownTarget, StoreLoad> =
        engines.entries.mapNotNull { (targetId, engine) ->
            val target = view.directory.targets[targetId]
            val load = engine.copyManager.storeLoadOrNull(clock.nowMillis())
            if (target == null || load == null) null else target to load
        }.toMap()

    /** Updates the owned engines from the current list of targets. */
    fun onDirectory() {
        val owned = view.directory.targets.values.filter { specOf(it) != null && isOwned(it.entry.targetId) }
        engines.keys.retainAll(owned.mapTo(HashSet()) { it.entry.targetId })
        owned.forEach(::applyEntry)
    }

    private fun isOwned(targetId: TargetId): Boolean = ownership.ownedSinceMillisOrNull(keyOf(targetId)) != null

    private fun applyEntry(target: KnownTarget) {
        val spec = specOf(target) ?: return
        val entry = target.entry
        val engine = engines[entry.targetId]?.takeIf { it.spec == spec }
            ?: OwnedEngine(spec).also { engines[entry.targetId] = it }
        if (engine.entryAtMillis == target.entryAtMillis) return
        engine.entryAtMillis = target.entryAtMillis
        engine.copyManager.onEntry(entry.bornEpochMillis, entry.heldModels, clock.nowMillis(), entry.hostWeights)
    }

    private fun specOf(target: KnownTarget): EngineSpec? = view.catalog?.services?.get(target.entry.service)?.engine

    /** Sends due orders and report requests; called every few milliseconds. */
    fun tick() {
        engines.forEach { (targetId, engine) -> advance(targetId, engine) }
    }

    private fun advance(targetId: TargetId, engine: OwnedEngine) {
        reportReadyCopies(targetId, engine)
        if (!maySendOrders(targetId)) return
        val target = view.directory.targets[targetId]?.takeIf(view::takesOrders) ?: return
        if (engine.copyManager.needsReport(clock.nowMillis())) requestReport(target, engine)
        val order = engine.copyManager.nextOrderOrNull(clock.nowMillis()) ?: return
        scope.launch { send(target, engine, order) }
    }

    private suspend fun send(target: KnownTarget, engine: OwnedEngine, order: CopyOrder) {
        if (order.kind == CopyOrderKind.UNLOAD) {
            onCopyUnloading(target, order.copy)
            if (!order.copy.isAdapter) delay(settings.unloadDelayMillis)
        }
        val result = sendIfAllowed(target, order)
        log.write(
            Event.ORDER_ANSWERED,
            field("target", target.entry.targetId),
            field("order", order.kind.name.lowercase()),
            field("copy", order.copy),
            field("expectedOrders", order.expectedOrders),
            field("fencingNumber", ownership.fencingNumber),
            field("result", result.name.lowercase()),
        )
        engine.copyManager.onOrderAnswered(order, result, clock.nowMillis())
        advance(target.entry.targetId, engine)
    }

    /**
     * Sends [order] if this VM still may.
     *
     * The lease is checked right before sending. [checkSuspension] first detects time that the monotonic clock has not
     * counted.
     */
    private suspend fun sendIfAllowed(target: KnownTarget, order: CopyOrder): CopyOrderResult {
        checkSuspension()
        if (!maySendOrders(target.entry.targetId) || !view.takesOrders(target)) return CopyOrderResult.CONFLICT
        val reply = orders.send(
            target.socketAddress,
            target.entry.targetId,
            EngineOrder(
                kind = if (order.kind == CopyOrderKind.LOAD) OrderKind.LOAD else OrderKind.UNLOAD,
                modelId = order.copy.modelId,
                adapterId = order.copy.adapterId,
                holder = vmName,
                fencingNumber = ownership.fencingNumber,
                expectedOrders = order.expectedOrders,
            ),
        )
        return when (reply) {
            OrderReply.ACCEPTED -> CopyOrderResult.ACCEPTED
            OrderReply.HELD_ALREADY -> CopyOrderResult.HELD_ALREADY
            OrderReply.CONFLICT -> CopyOrderResult.CONFLICT
            OrderReply.REJECTED -> CopyOrderResult.REJECTED
            OrderReply.UNKNOWN -> CopyOrderResult.UNKNOWN
        }
    }

    private fun requestReport(target: KnownTarget, engine: OwnedEngine) {
        val nowMillis = clock.nowMillis()
        if (nowMillis < engine.nextReportMillis) return
        engine.nextReportMillis = nowMillis + settings.reportIntervalMillis
        scope.launch {
            orders.report(target.socketAddress, target.entry.targetId).fold(
                success = {
                    engine.copyManager.onReport(
                        it.bornEpochMillis,
                        it.ordersAccepted,
                        it.isCarryingOutOrder,
                        it.heldModels,
                        clock.nowMillis(),
                        it.hostWeights,
                    )
                },
                failure = {
                    log.write(Event.REPORT_FAILED, field("target", target.entry.targetId), field("error", it))
                },
            )
        }
    }

    private fun reportReadyCopies(targetId: TargetId, engine: OwnedEngine) {
        if (engine.awaitedCopies.isEmpty()) return
        val target = view.directory.targets[targetId] ?: return
        val nowMillis = clock.nowMillis()
        val ready = engine.awaitedCopies.filter { engine.copyManager.holds(it, nowMillis) }
        engine.awaitedCopies -= ready.toSet()
        ready.forEach { copy ->
            log.write(Event.LOAD_FINISHED, field("target", targetId), field("copy", copy))
            onCopyReady(target, copy)
        }
    }

    internal companion object {
        /** Returns the key that determines the owner of the engine [targetId]. */
        fun keyOf(targetId: TargetId): String = "engine/$targetId"
    }
}

/** Represents an engine that this VM owns, with the requested copies that are not reported ready yet. */
private class OwnedEngine(val spec: EngineSpec) {
    val copyManager = EngineCopyManager(spec)
    val awaitedCopies = LinkedHashSet<CopyName>()
    var entryAtMillis = Long.MIN_VALUE
    var nextReportMillis = Long.MIN_VALUE
}
