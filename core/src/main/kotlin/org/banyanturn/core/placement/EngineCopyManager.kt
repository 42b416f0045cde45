package org.banyanturn.core.placement

import org.banyanturn.core.ModelId
import org.banyanturn.core.serving.EngineSpec
import org.banyanturn.core.serving.HeldModel
import org.banyanturn.core.serving.HostWeights
import org.banyanturn.core.serving.ModelSpec
import org.banyanturn.core.serving.WeightsSource

/**
 * Manages the copies on one engine, on the VM that owns the engine. Not thread-safe.
 *
 * Typical load patterns are bursts of requests for rare models, demand that shifts to other models, and more adapters
 * of a busy model in use than the engine has adapter slots. At most one order is in flight at a time. The least
 * recently used copies are evicted first, and copies in use are not evicted unless the request names them. Every copy
 * that may be on the engine occupies memory: a copy whose load order was sent without a response counts as loaded until
 * a report of the engine shows otherwise.
 */
public class EngineCopyManager(
    private val spec: EngineSpec,
    private val settings: EngineCopyManagerSettings = EngineCopyManagerSettings(),
) {
    private val inventory = CopyInventory(spec, settings)
    private val copies = inventory.copies
    private val pendingRequests = LinkedHashMap<CopyName, PendingCopyRequest>()
    private val adapterTurns = AdapterTurns(settings)
    private var engineStartEpochMillis: Long? = null
    private var expectedOrders = 0L
    private var isStateKnown = false
    private var outstandingOrder: CopyOrder? = null
    private var isOrderInFlight = false
    private var consecutiveConflicts = 0
    private var nextOrderMillis = Long.MIN_VALUE
    private var isOutcomeUncertain = false
    private var lastOrderedAtMillis = Long.MIN_VALUE / 2
    private var hostWeights = HostWeights()

    /** Whether a directory entry listed different copies, but too soon after an order to be applied. */
    private var hasUnconfirmedEntry = false

    /** Returns whether a report of the engine is needed before the next decision. */
    public fun needsReport(nowMillis: Long): Boolean {
        if (isOrderInFlight) return false
        val isEntryCheckDue = hasUnconfirmedEntry && isPastReportLag(nowMillis)
        return !isStateKnown || isOutcomeUncertain || consecutiveConflicts >= CONFLICTS_BEFORE_REPORT ||
            mayLoadHaveEnded(nowMillis) || isEntryCheckDue
    }

    /** Returns whether an order or a request is outstanding, a model is loading, or a report is needed. */
    public fun isBusy(nowMillis: Long): Boolean =
        outstandingOrder != null || pendingRequests.isNotEmpty() || inventory.isModelLoading || needsReport(nowMillis)

    /**
     * Returns whether the load of a model may have ended.
     *
     * This is the case after its expected end, and in the report window after the time at which the load would end from
     * each possible source of the weights.
     */
    private fun mayLoadHaveEnded(nowMillis: Long): Boolean =
        copies.any { (name, copy) ->
            val model = spec.models[name.modelId]
            val isLoad = model != null && !name.isAdapter && copy.phase == CopyPhase.LOADING
            isLoad &&
                (nowMillis >= copy.readyAtMillis || isWithinReportWindow(model, nowMillis - copy.loadStartedAtMillis))
        }

    private fun isWithinReportWindow(model: ModelSpec, loadingMillis: Long): Boolean =
        WeightsSource.entries.any { source ->
            val endMillis = model.loadMillisFrom(source)
            loadingMillis in endMillis..endMillis + settings.reportWindowMillis
        }

    /** Returns whether a model is expected to be still loading, so that the engine accepts no order. */
    private fun isModelLoadExpected(nowMillis: Long): Boolean =
        copies.any { (name, copy) ->
            !name.isAdapter && copy.phase == CopyPhase.LOADING && nowMillis < copy.readyAtMillis
        }

    /**
     * Applies a report of the engine.
     *
     * A new owner, or the owner of a restarted engine, waits until no order is in progress, because a load that another
     * owner ordered occupies memory although no report lists the copy yet.
     *
     * @param bornEpochMillis when the engine started last, or `null` if it does not report this.
     * @param ordersAccepted the number of orders that the engine has accepted since it started.
     */
    public fun onReport(
        bornEpochMillis: Long?,
        ordersAccepted: Long,
        isCarryingOutOrder: Boolean,
        heldModels: Map<ModelId, HeldModel>,
        nowMillis: Long,
        hostWeights: HostWeights = HostWeights(),
    ) {
        this.hostWeights = hostWeights
        if (!isStateKnown || hasRestarted(bornEpochMillis)) {
            if (isCarryingOutOrder) return reset()
            return initialize(bornEpochMillis, ordersAccepted, heldModels, nowMillis)
        }
        if (ordersAccepted < expectedOrders || isOrderInFlight) return
        val held = copyNamesOf(heldModels)
        if (ordersAccepted > expectedOrders) applyOrderCount(ordersAccepted)
        if (isCarryingOutOrder) return
        if (outstandingOrder == null) {
            copies.entries.removeIf { (name, copy) -> copy.phase == CopyPhase.UNCERTAIN && name !in held }
        }
        reconcile(held, nowMillis)
        if (isPastReportLag(nowMillis)) hasUnconfirmedEntry = false
        copies.entries.removeIf { (name, copy) ->
            name !in held && copy.phase == CopyPhase.LOADING && isPastReportLag(nowMillis)
        }
    }

    /**
     * Applies the copies listed in the engine's directory entry.
     *
     * An entry has no order count and may be older than the latest order, and it is delivered only when it changes. An
     * entry that arrives soon after an order is therefore not applied; a report is requested later instead.
     */
    public fun onEntry(
        bornEpochMillis: Long?,
        heldModels: Map<ModelId, HeldModel>,
        nowMillis: Long,
        hostWeights: HostWeights = HostWeights(),
    ) {
        this.hostWeights = hostWeights
        if (isStateKnown && hasRestarted(bornEpochMillis)) return reset()
        if (!isStateKnown) return
        val held = copyNamesOf(heldModels)
        if (outstandingOrder == null && isPastReportLag(nowMillis)) {
            reconcile(held, nowMillis)
        } else if (held != copies.keys) {
            hasUnconfirmedEntry = true
        }
    }

    private fun hasRestarted(bornEpochMillis: Long?): Boolean =
        bornEpochMillis != null && engineStartEpochMillis != null && bornEpochMillis != engineStartEpochMillis

    /** Returns whether reports and entries received now are more recent than the latest order. */
    private fun isPastReportLag(nowMillis: Long): Boolean = nowMillis - lastOrderedAtMillis > settings.reportLagMillis

    private fun reconcile(held: Set<CopyName>, nowMillis: Long) {
        held.forEach { name ->
            val copy = copies.getOrPut(name) { TrackedCopy(CopyPhase.HELD, nowMillis - settings.modelIdleMillis) }
            if (copy.phase == CopyPhase.LOADING || copy.phase == CopyPhase.UNCERTAIN) copy.phase = CopyPhase.HELD
        }
        copies.entries.removeIf { (name, copy) ->
            name !in held && (copy.phase == CopyPhase.HELD || copy.phase == CopyPhase.UNLOADING) &&
                isPastReportLag(nowMillis)
        }
    }

    /** Clears the known state after a restart of the engine; the next report provides the new state. */
    private fun reset() {
        isStateKnown = false
        outstandingOrder = null
        isOutcomeUncertain = false
        hasUnconfirmedEntry = false
        consecutiveConflicts = 0
        copies.clear()
    }

    private fun initialize(born: Long?, ordersAccepted: Long, heldModels: Map<ModelId, HeldModel>, nowMillis: Long) {
        reset()
        isStateKnown = true
        engineStartEpochMillis = born
        expectedOrders = ordersAccepted
        copyNamesOf(heldModels).forEach {
            copies[it] = TrackedCopy(CopyPhase.HELD, nowMillis - settings.modelIdleMillis)
        }
    }

    /** Applies an order count above the expected one: the engine has accepted the order that had no response. */
    private fun applyOrderCount(ordersAccepted: Long) {
        expectedOrders = ordersAccepted
        outstandingOrder = null
        isOutcomeUncertain = false
        consecutiveConflicts = 0
    }

    private fun copyNamesOf(heldModels: Map<ModelId, HeldModel>): Set<CopyName> =
        heldModels.values.flatMapTo(LinkedHashSet()) { held ->
            listOf(CopyName(held.modelId)) + held.adapters.map { CopyName(held.modelId, it) }
        }

    /** Records that a VM uses [copy], and with it the model of the copy. */
    public fun recordUse(copy: CopyName, nowMillis: Long) {
        copies[copy]?.lastUsedAtMillis = nowMillis
        copies[copy.model]?.lastUsedAtMillis = nowMillis
    }

    /**
     * Requests [copy] and returns whether and when it can be expected.
     *
     * The request stays pending until the copy is loaded, or until it expires because it is not repeated.
     *
     * @param victims the models that may be evicted for the copy even while in use.
     */
    public fun request(copy: CopyName, nowMillis: Long, victims: List<ModelId> = emptyList()): CopyRequestResult {
        val known = copies[copy]
        if (known?.phase == CopyPhase.HELD) {
            val isDraining = adapterTurns.isDraining(copy, nowMillis)
            return if (isDraining) CopyRequestResult.Declined(CopyDeclineReason.NO_ROOM) else CopyRequestResult.Ready
        }
        if (known?.phase == CopyPhase.LOADING) {
            return CopyRequestResult.Pending((known.readyAtMillis - nowMillis).coerceAtLeast(1))
        }
        val request = PendingCopyRequest(nowMillis, victims.map { CopyName(it) })
        val declined = declineReasonOrNull(copy, request, nowMillis)
        val waitsForTurn = declined == CopyDeclineReason.NO_ROOM && waitsForTurn(copy, nowMillis)
        if (declined != null && !waitsForTurn) {
            pendingRequests -= copy
            return CopyRequestResult.Declined(declined)
        }
        pendingRequests[copy] = request
        val turnMillis = if (waitsForTurn) settings.adapterDrainMillis else 0
        return CopyRequestResult.Pending(expectedMillis(copy) + engineBusyMillis(copy, nowMillis) + turnMillis)
    }

    /** Returns whether an adapter in use makes room for the adapter [copy], for which all places are in use. */
    private fun waitsForTurn(copy: CopyName, nowMillis: Long): Boolean {
        val held = copies.filterKeys { it.isAdapter }
        return copy.isAdapter && held.size >= spec.adapterSlots && adapterTurns.onRefused(copy, held, nowMillis)
    }

    /** Returns the adapter that is to get no new requests from now on, once, or `null` if there is none. */
    public fun takeDrainingAdapterOrNull(nowMillis: Long): CopyName? = adapterTurns.takeDrainingOrNull(nowMillis)

    /** Returns how long the engine is busy with a model that is loading or was requested before the adapter [copy]. */
    private fun engineBusyMillis(copy: CopyName, nowMillis: Long): Long {
        if (!copy.isAdapter) return 0
        val loadingMillis = copies.filter { (name, held) -> !name.isAdapter && held.phase == CopyPhase.LOADING }
            .maxOfOrNull { (_, held) -> held.readyAtMillis - nowMillis } ?: 0
        val requestedMillis =
            pendingRequests.keys.filterNot { it.isAdapter || isSatisfied(it) }.maxOfOrNull(::expectedMillis) ?: 0
        return maxOf(loadingMillis, requestedMillis, 0)
    }

    private fun declineReasonOrNull(copy: CopyName, request: PendingCopyRequest, nowMillis: Long): CopyDeclineReason? {
        val model = spec.models[copy.modelId] ?: return CopyDeclineReason.IMPOSSIBLE
        if (!isStateKnown) return CopyDeclineReason.BUSY
        if (model.weightsMegabytes > spec.weightsMegabytes) return CopyDeclineReason.IMPOSSIBLE
        val isModelRequested = pendingRequests.keys.any { !it.isAdapter && it != copy }
        if (!copy.isAdapter && (inventory.isModelLoading || isModelRequested)) return CopyDeclineReason.BUSY
        if (copy.isAdapter && !isModelRetained(copy)) return CopyDeclineReason.NO_MODEL
        return CopyDeclineReason.NO_ROOM.takeUnless {
            inventory.fits(copy) || inventory.victimsOrNull(copy, request.victims, nowMillis) != null
        }
    }

    /** Returns whether the model of [adapter] is held and no pending request may evict it. */
    private fun isModelRetained(adapter: CopyName): Boolean =
        copies[adapter.model]?.phase == CopyPhase.HELD && pendingRequests.values.none { adapter.model in it.victims }

    private fun expectedMillis(copy: CopyName): Long =
        when {
            copy.isAdapter -> settings.adapterLoadMillis * 2
            inventory.fits(copy) -> loadMillis(copy)
            else -> loadMillis(copy) + settings.evictionMillis
        }

    private fun loadMillis(copy: CopyName): Long {
        if (copy.isAdapter) return settings.adapterLoadMillis
        return spec.models.getValue(copy.modelId).loadMillisFrom(hostWeights.sourceOf(copy.modelId))
    }

    /** Returns the order to send now, or `null`; its result must be passed to [onOrderAnswered]. */
    public fun nextOrderOrNull(nowMillis: Long): CopyOrder? {
        if (!isStateKnown || isOrderInFlight || isModelLoadExpected(nowMillis)) return null
        if (nowMillis < nextOrderMillis) return null
        inventory.completeAdapterLoads(nowMillis)
        pendingRequests.entries.removeIf { (copy, request) ->
            isSatisfied(copy) || isModelMissing(copy) ||
                nowMillis - request.requestedAtMillis > settings.requestTtlMillis
        }
        val order = outstandingOrder ?: newOrderOrNull(nowMillis) ?: return null
        outstandingOrder = order
        lastOrderedAtMillis = nowMillis
        isOrderInFlight = true
        if (order.kind == CopyOrderKind.LOAD) {
            copies.getOrPut(order.copy) { TrackedCopy(CopyPhase.UNCERTAIN, nowMillis) }
        } else {
            copies[order.copy]?.phase = CopyPhase.UNLOADING
        }
        return order
    }

    /** Returns whether [copy] is an adapter whose model is not held any more, for example after an eviction. */
    private fun isModelMissing(copy: CopyName): Boolean =
        copy.isAdapter && copies[copy.model]?.phase != CopyPhase.HELD

    private fun isSatisfied(copy: CopyName): Boolean =
        copies[copy]?.phase.let { it == CopyPhase.HELD || it == CopyPhase.LOADING }

    private fun newOrderOrNull(nowMillis: Long): CopyOrder? =
        pendingRequests.entries.firstNotNullOfOrNull { (copy, request) -> orderFor(copy, request, nowMillis) }

    private fun orderFor(copy: CopyName, request: PendingCopyRequest, nowMillis: Long): CopyOrder? {
        if (inventory.fits(copy)) return CopyOrder(CopyOrderKind.LOAD, copy, expectedOrders)
        val evicted = inventory.victimsOrNull(copy, request.victims, nowMillis)?.firstOrNull() ?: return null
        return CopyOrder(CopyOrderKind.UNLOAD, evicted, expectedOrders)
    }

    /** Applies the [result] of sending [order]. */
    public fun onOrderAnswered(order: CopyOrder, result: CopyOrderResult, nowMillis: Long) {
        isOrderInFlight = false
        if (order != outstandingOrder) return
        when (result) {
            CopyOrderResult.ACCEPTED -> {
                expectedOrders = order.expectedOrders + 1
                completeOrder(order, isLoadInProgress = true, nowMillis)
            }

            CopyOrderResult.HELD_ALREADY -> completeOrder(order, isLoadInProgress = false, nowMillis)

            CopyOrderResult.CONFLICT -> {
                consecutiveConflicts++
                val isReportNeeded = consecutiveConflicts >= CONFLICTS_BEFORE_REPORT
                nextOrderMillis = nowMillis + if (isReportNeeded) settings.retryMillis else settings.conflictRetryMillis
            }

            CopyOrderResult.REJECTED -> {
                outstandingOrder = null
                pendingRequests -= order.copy
                if (order.kind == CopyOrderKind.UNLOAD) copies[order.copy]?.phase = CopyPhase.HELD
                nextOrderMillis = nowMillis + settings.retryMillis
            }

            CopyOrderResult.UNKNOWN -> {
                isOutcomeUncertain = true
                nextOrderMillis = nowMillis + settings.retryMillis
            }
        }
    }

    private fun completeOrder(order: CopyOrder, isLoadInProgress: Boolean, nowMillis: Long) {
        outstandingOrder = null
        isOutcomeUncertain = false
        consecutiveConflicts = 0
        if (order.kind == CopyOrderKind.UNLOAD) {
            inventory.remove(order.copy)
            nextOrderMillis = nowMillis + 1
            return
        }
        val copy = copies.getOrPut(order.copy) { TrackedCopy(CopyPhase.LOADING, nowMillis) }
        copy.phase = if (isLoadInProgress) CopyPhase.LOADING else CopyPhase.HELD
        copy.lastUsedAtMillis = nowMillis
        copy.loadStartedAtMillis = nowMillis
        if (order.copy.isAdapter) adapterTurns.onLoaded(order.copy)
        copy.isLoadedFromStore = hostWeights.sourceOf(order.copy.modelId) == WeightsSource.STORE
        copy.readyAtMillis = nowMillis + loadMillis(order.copy)
        nextOrderMillis = nowMillis + if (order.copy.isAdapter) settings.adapterLoadMillis else 0
    }

    /** Returns the load of a model from the weight store that the engine carries out, or `null` if there is none. */
    public fun storeLoadOrNull(nowMillis: Long): StoreLoad? {
        val (name, copy) = copies.entries.firstOrNull { (name, copy) -> isLoadingFromStore(name, copy) } ?: return null
        return StoreLoad(name.modelId, nowMillis - copy.loadStartedAtMillis)
    }

    private fun isLoadingFromStore(name: CopyName, copy: TrackedCopy): Boolean =
        !name.isAdapter && copy.phase == CopyPhase.LOADING && copy.isLoadedFromStore

    /** Returns whether the engine is known to hold [copy] now. */
    public fun holds(copy: CopyName, nowMillis: Long): Boolean {
        inventory.completeAdapterLoads(nowMillis)
        return copies[copy]?.phase == CopyPhase.HELD
    }

    private companion object {
        /** The number of conflicts in a row after which a report of the engine is requested. */
        const val CONFLICTS_BEFORE_REPORT = 4
    }
}
