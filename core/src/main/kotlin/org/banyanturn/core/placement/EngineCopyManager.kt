package org.banyanturn.core.placement

import org.banyanturn.core.ModelId
import org.banyanturn.core.serving.EngineSpec
import org.banyanturn.core.serving.HeldModel
import org.banyanturn.core.serving.HostWeights
import org.banyanturn.core.serving.ModelSpec
import org.banyanturn.core.serving.WeightsSource

/**
 * The copies of one engine, as the VM that owns the engine manages them; not safe for use by several threads.
 *
 * Load patterns: rare models are asked for at once, demand moves to other models, and the adapters of a busy model
 * exceed the engine's places. One order is under way at a time; room is made by dropping what was used least recently,
 * never what is in use. Whatever may be on the engine takes room: copies of which a load order was sent and not
 * answered count as loaded until the engine itself says otherwise.
 */
public class EngineCopyManager(
    private val spec: EngineSpec,
    private val settings: EngineCopyManagerSettings = EngineCopyManagerSettings(),
) {
    private val room = CopyInventory(spec, settings)
    private val copies = room.copies
    private val wishes = LinkedHashMap<CopyName, PendingCopyRequest>()
    private var lifeEpochMillis: Long? = null
    private var expectedOrders = 0L
    private var isKnown = false
    private var outstanding: CopyOrder? = null
    private var isSending = false
    private var conflicts = 0
    private var nextSendMillis = Long.MIN_VALUE
    private var isUncertain = false
    private var orderedAtMillis = Long.MIN_VALUE / 2
    private var hostWeights = HostWeights()

    /** Whether an entry listed other copies than are known here, too soon after an order to be believed. */
    private var isEntryUnconfirmed = false

    /** Returns whether the engine's own report is needed to go on. */
    public fun needsReport(nowMillis: Long): Boolean {
        if (isSending) return false
        val isEntryDue = isEntryUnconfirmed && hasOutlastedReports(nowMillis)
        return !isKnown || isUncertain || conflicts >= CONFLICTS_TO_REPORT || isLoadEndDue(nowMillis) ||
            isEntryDue
    }

    /** Returns whether an order, a wish or a report of the engine is to come. */
    public fun isBusy(nowMillis: Long): Boolean =
        outstanding != null || wishes.isNotEmpty() || room.isModelLoading || needsReport(nowMillis)

    /**
     * Returns whether a load may have ended: about when it ends from any of the places where the weights may lie, and
     * from its expected end on.
     */
    private fun isLoadEndDue(nowMillis: Long): Boolean =
        copies.any { (name, copy) ->
            val model = spec.models[name.modelId]
            val isLoad = model != null && !name.isAdapter && copy.phase == CopyPhase.LOADING
            isLoad && (nowMillis >= copy.readyAtMillis || isNearAnyEnd(model, nowMillis - copy.loadingSinceMillis))
        }

    private fun isNearAnyEnd(model: ModelSpec, loadingMillis: Long): Boolean =
        WeightsSource.entries.any { source ->
            val endMillis = model.loadMillisFrom(source)
            loadingMillis in endMillis..endMillis + settings.reportSpanMillis
        }

    /** Returns whether the engine is known to take no order, since it loads a model. */
    private fun isLoading(nowMillis: Long): Boolean =
        copies.any { (name, copy) ->
            !name.isAdapter && copy.phase == CopyPhase.LOADING && nowMillis < copy.readyAtMillis
        }

    /**
     * Takes in the engine's report.
     *
     * A new owner, or the owner of an engine that started again, waits until no order is in progress: a load that
     * another owner ordered takes room that no list shows yet.
     *
     * @param bornEpochMillis when this life of the engine began, or `null` if it does not say.
     * @param ordersAccepted how many orders it has accepted in this life.
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
        if (!isKnown || isOtherLife(bornEpochMillis)) {
            if (isCarryingOutOrder) return forgetLife()
            return startLife(bornEpochMillis, ordersAccepted, heldModels, nowMillis)
        }
        if (ordersAccepted < expectedOrders || isSending) return
        val held = namesOf(heldModels)
        if (ordersAccepted > expectedOrders) adoptCount(ordersAccepted)
        if (isCarryingOutOrder) return
        if (outstanding ==
            null
        ) {
            copies.entries.removeIf { (name, copy) -> copy.phase == CopyPhase.UNCERTAIN && name !in held }
        }
        adoptHeld(held, nowMillis)
        if (hasOutlastedReports(nowMillis)) isEntryUnconfirmed = false
        copies.entries.removeIf { (name, copy) ->
            name !in held && copy.phase == CopyPhase.LOADING &&
                hasOutlastedReports(nowMillis)
        }
    }

    /**
     * Takes in the copies that the engine's entry lists; it may be older than the latest orders and counts none.
     *
     * Entries are told only when they change. One that comes soon after an order is not believed, and the engine's own
     * report settles later what it holds.
     */
    public fun onEntry(
        bornEpochMillis: Long?,
        heldModels: Map<ModelId, HeldModel>,
        nowMillis: Long,
        hostWeights: HostWeights = HostWeights(),
    ) {
        this.hostWeights = hostWeights
        if (isKnown && isOtherLife(bornEpochMillis)) return forgetLife()
        if (!isKnown) return
        val held = namesOf(heldModels)
        if (outstanding == null && hasOutlastedReports(nowMillis)) {
            adoptHeld(held, nowMillis)
        } else if (held != copies.keys) {
            isEntryUnconfirmed = true
        }
    }

    private fun isOtherLife(bornEpochMillis: Long?): Boolean =
        bornEpochMillis != null && lifeEpochMillis != null && bornEpochMillis != lifeEpochMillis

    /** Whether the latest order is so long ago that what the engine says tells of its outcome. */
    private fun hasOutlastedReports(nowMillis: Long): Boolean = nowMillis - orderedAtMillis > settings.reportLagMillis

    private fun adoptHeld(held: Set<CopyName>, nowMillis: Long) {
        held.forEach { name ->
            val copy = copies.getOrPut(name) { TrackedCopy(CopyPhase.HELD, nowMillis - settings.modelIdleMillis) }
            if (copy.phase == CopyPhase.LOADING || copy.phase == CopyPhase.UNCERTAIN) copy.phase = CopyPhase.HELD
        }
        copies.entries.removeIf { (name, copy) ->
            name !in held && (copy.phase == CopyPhase.HELD || copy.phase == CopyPhase.UNLOADING) &&
                hasOutlastedReports(nowMillis)
        }
    }

    /** The engine has started again and holds nothing of before; its report tells with what it begins. */
    private fun forgetLife() {
        isKnown = false
        outstanding = null
        isUncertain = false
        isEntryUnconfirmed = false
        conflicts = 0
        copies.clear()
    }

    private fun startLife(born: Long?, ordersAccepted: Long, heldModels: Map<ModelId, HeldModel>, nowMillis: Long) {
        forgetLife()
        isKnown = true
        lifeEpochMillis = born
        expectedOrders = ordersAccepted
        namesOf(heldModels).forEach { copies[it] = TrackedCopy(CopyPhase.HELD, nowMillis - settings.modelIdleMillis) }
    }

    /** The engine has accepted more orders than were answered: the one without an answer was carried out. */
    private fun adoptCount(ordersAccepted: Long) {
        expectedOrders = ordersAccepted
        outstanding = null
        isUncertain = false
        conflicts = 0
    }

    private fun namesOf(heldModels: Map<ModelId, HeldModel>): Set<CopyName> =
        heldModels.values.flatMapTo(LinkedHashSet()) { held ->
            listOf(CopyName(held.modelId)) + held.adapters.map { CopyName(held.modelId, it) }
        }

    /** Notes that a VM uses [copy], and with it the copy's model. */
    public fun recordUse(copy: CopyName, nowMillis: Long) {
        copies[copy]?.usedAtMillis = nowMillis
        copies[copy.model]?.usedAtMillis = nowMillis
    }

    /**
     * Returns what a wish for [copy] can expect; it stands until it is met or nobody repeats it.
     *
     * @param victims the models that may be dropped for it, though they are in use.
     */
    public fun request(copy: CopyName, nowMillis: Long, victims: List<ModelId> = emptyList()): CopyRequestResult {
        val known = copies[copy]
        if (known?.phase == CopyPhase.HELD) return CopyRequestResult.Ready
        if (known?.phase ==
            CopyPhase.LOADING
        ) {
            return CopyRequestResult.Pending((known.readyAtMillis - nowMillis).coerceAtLeast(1))
        }
        val wish = PendingCopyRequest(nowMillis, victims.map { CopyName(it) })
        val declined = declineOrNull(copy, wish, nowMillis)
        if (declined != null) {
            wishes -= copy
            return CopyRequestResult.Declined(declined)
        }
        wishes[copy] = wish
        return CopyRequestResult.Pending(expectedMillis(copy) + orderedBeforeMillis(copy, nowMillis))
    }

    /** Returns how long the model that loads, or was wished for before the adapter [copy], keeps the engine busy. */
    private fun orderedBeforeMillis(copy: CopyName, nowMillis: Long): Long {
        if (!copy.isAdapter) return 0
        val loading = copies.filter { (name, held) -> !name.isAdapter && held.phase == CopyPhase.LOADING }
            .maxOfOrNull { (_, held) -> held.readyAtMillis - nowMillis } ?: 0
        val wished = wishes.keys.filterNot { it.isAdapter || isMet(it) }.maxOfOrNull(::expectedMillis) ?: 0
        return maxOf(loading, wished, 0)
    }

    private fun declineOrNull(copy: CopyName, wish: PendingCopyRequest, nowMillis: Long): CopyDeclineReason? {
        val model = spec.models[copy.modelId] ?: return CopyDeclineReason.IMPOSSIBLE
        if (!isKnown) return CopyDeclineReason.BUSY
        if (model.weightsMegabytes > spec.weightsMegabytes) return CopyDeclineReason.IMPOSSIBLE
        val isModelWished = wishes.keys.any { !it.isAdapter && it != copy }
        if (!copy.isAdapter && (room.isModelLoading || isModelWished)) return CopyDeclineReason.BUSY
        if (copy.isAdapter && !isModelStaying(copy)) return CopyDeclineReason.NO_MODEL
        return CopyDeclineReason.NO_ROOM.takeUnless {
            room.has(copy) ||
                room.victimsOrNull(copy, wish.victims, nowMillis) != null
        }
    }

    /** Returns whether the model of the adapter [adapter] is held, and no model is wished for in its room. */
    private fun isModelStaying(adapter: CopyName): Boolean =
        copies[adapter.model]?.phase == CopyPhase.HELD && wishes.values.none { adapter.model in it.victims }

    private fun expectedMillis(copy: CopyName): Long =
        when {
            copy.isAdapter -> settings.adapterLoadMillis * 2
            room.has(copy) -> loadMillis(copy)
            else -> loadMillis(copy) + settings.evictionMillis
        }

    private fun loadMillis(copy: CopyName): Long {
        if (copy.isAdapter) return settings.adapterLoadMillis
        return spec.models.getValue(copy.modelId).loadMillisFrom(hostWeights.sourceOf(copy.modelId))
    }

    /** Returns the order to send now, or `null`; its answer must be told by [onOrderAnswered]. */
    public fun nextOrderOrNull(nowMillis: Long): CopyOrder? {
        if (!isKnown || isSending || isLoading(nowMillis)) return null
        if (nowMillis < nextSendMillis) return null
        room.finishAdapters(nowMillis)
        wishes.entries.removeIf { (copy, wish) ->
            isMet(copy) || isWithoutModel(copy) || nowMillis - wish.atMillis > settings.wishLifeMillis
        }
        val order = outstanding ?: dueOrderOrNull(nowMillis) ?: return null
        outstanding = order
        orderedAtMillis = nowMillis
        isSending = true
        if (order.kind == CopyOrderKind.LOAD) {
            copies.getOrPut(order.copy) { TrackedCopy(CopyPhase.UNCERTAIN, nowMillis) }
        } else {
            copies[order.copy]?.phase = CopyPhase.UNLOADING
        }
        return order
    }

    /** Returns whether [copy] is an adapter whose model has made room for another. */
    private fun isWithoutModel(copy: CopyName): Boolean =
        copy.isAdapter && copies[copy.model]?.phase != CopyPhase.HELD

    private fun isMet(copy: CopyName): Boolean =
        copies[copy]?.phase.let { it == CopyPhase.HELD || it == CopyPhase.LOADING }

    private fun dueOrderOrNull(nowMillis: Long): CopyOrder? =
        wishes.entries.firstNotNullOfOrNull { (copy, wish) -> orderFor(copy, wish, nowMillis) }

    private fun orderFor(copy: CopyName, wish: PendingCopyRequest, nowMillis: Long): CopyOrder? {
        if (room.has(copy)) return CopyOrder(CopyOrderKind.LOAD, copy, expectedOrders)
        val victim = room.victimsOrNull(copy, wish.victims, nowMillis)?.firstOrNull() ?: return null
        return CopyOrder(CopyOrderKind.UNLOAD, victim, expectedOrders)
    }

    /** Takes in how [order] went. */
    public fun onOrderAnswered(order: CopyOrder, result: CopyOrderResult, nowMillis: Long) {
        isSending = false
        if (order != outstanding) return
        when (result) {
            CopyOrderResult.ACCEPTED -> {
                expectedOrders = order.expectedOrders + 1
                settle(order, isLoadInProgress = true, nowMillis)
            }

            CopyOrderResult.HELD_ALREADY -> settle(order, isLoadInProgress = false, nowMillis)

            CopyOrderResult.CONFLICT -> {
                conflicts++
                val isLong = conflicts >= CONFLICTS_TO_REPORT
                nextSendMillis = nowMillis + if (isLong) settings.repeatMillis else settings.conflictMillis
            }

            CopyOrderResult.REJECTED -> {
                outstanding = null
                wishes -= order.copy
                if (order.kind == CopyOrderKind.UNLOAD) copies[order.copy]?.phase = CopyPhase.HELD
                nextSendMillis = nowMillis + settings.repeatMillis
            }

            CopyOrderResult.UNKNOWN -> {
                isUncertain = true
                nextSendMillis = nowMillis + settings.repeatMillis
            }
        }
    }

    private fun settle(order: CopyOrder, isLoadInProgress: Boolean, nowMillis: Long) {
        outstanding = null
        isUncertain = false
        conflicts = 0
        if (order.kind == CopyOrderKind.UNLOAD) {
            room.drop(order.copy)
            nextSendMillis = nowMillis + 1
            return
        }
        val copy = copies.getOrPut(order.copy) { TrackedCopy(CopyPhase.LOADING, nowMillis) }
        copy.phase = if (isLoadInProgress) CopyPhase.LOADING else CopyPhase.HELD
        copy.usedAtMillis = nowMillis
        copy.loadingSinceMillis = nowMillis
        copy.readyAtMillis = nowMillis + loadMillis(order.copy)
        nextSendMillis = nowMillis + if (order.copy.isAdapter) settings.adapterLoadMillis else 0
    }

    /** Returns whether the engine is known to hold [copy] now. */
    public fun holds(copy: CopyName, nowMillis: Long): Boolean {
        room.finishAdapters(nowMillis)
        return copies[copy]?.phase == CopyPhase.HELD
    }

    private companion object {
        /** Conflicts in a row after which the engine's own word is asked for. */
        const val CONFLICTS_TO_REPORT = 4
    }
}
