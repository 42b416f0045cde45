package org.banyanturn.entry.copies

import org.banyanturn.core.TargetId
import org.banyanturn.core.placement.CopyName
import org.banyanturn.core.serving.EngineSpec
import org.banyanturn.core.serving.KnownTarget
import org.banyanturn.core.serving.ServiceName
import org.banyanturn.core.stableHash
import org.banyanturn.daemon.ProcessClock
import org.banyanturn.daemon.logs.Event
import org.banyanturn.daemon.logs.field
import org.banyanturn.entry.observe.DecisionLog
import org.banyanturn.entry.requests.CopyAvailability
import org.banyanturn.entry.requests.CopyRequester
import org.banyanturn.entry.requests.FleetView
import org.banyanturn.entry.requests.TargetRequirements

/**
 * Settings of [CopyRequestTracker].
 *
 * @property retryIntervalMillis time after which an unanswered request is resent; doubles with each resend.
 * @property ownerTimeoutMillis time after which an engine's owner that does not answer counts as failed and another
 * engine is tried.
 * @property plannerTimeoutMillis the same time for a planner; it is longer because no other VM can replace the planner.
 * @property adapterMarginMillis how long after its expected time an adapter may still become ready.
 * @property modelMarginMillis how long after its expected time a model may still become ready.
 * @property declineBackoffMillis how long a declined request is not repeated.
 * @property confirmMillis interval at which an accepted request is repeated: the VM that accepted it may have stopped,
 * or its message that the copy is ready may be lost.
 */
internal data class CopyRequestSettings(
    val retryIntervalMillis: Long = 40,
    val ownerTimeoutMillis: Long = 250,
    val plannerTimeoutMillis: Long = 2_000,
    val adapterMarginMillis: Long = 1_500,
    val modelMarginMillis: Long = 1_500,
    val declineBackoffMillis: Long = 300,
    val confirmMillis: Long = 500,
)

/** Estimated time to load a missing adapter: the round trip to the owner, an unload and a load. */
private const val ADAPTER_ESTIMATE_MILLIS = 40L

/** Estimated time to evict other models for a model, used until the planner has answered. */
private const val EVICTION_ESTIMATE_MILLIS = 500L

/** Decline reason of a copy that did not become ready in time; a model is then requested again. */
private const val OVERDUE = "overdue"

/** Decline reason of an adapter requested at an engine that has become unreachable; it is requested elsewhere. */
private const val OUT_OF_REACH = "out_of_reach"

/**
 * Decline reasons that are expected to pass soon.
 *
 * Examples are another order in progress, a change of the engine's owner, or a model that is being unloaded.
 */
private val TRANSIENT_REASONS = setOf("busy", "not_owner", "no_owner", "no_answer", "no_model", OUT_OF_REACH)

/** Retry delay for requests whose copy can't be loaded now. */
private const val RETRY_MILLIS = 1_000L

/** Gives access to the requests that wait for copies. */
internal interface PendingRequests {
    /** Returns the requirements of a request that waits for [copy], or `null` if none does. */
    fun requirementsOrNull(copy: CopyName): TargetRequirements?

    /** Returns the targets that hold the model of the copy in [requirements]. */
    fun modelHolders(requirements: TargetRequirements): List<KnownTarget>

    /** Refuses the requests that wait for the copy of [requirements]. */
    fun refuse(requirements: TargetRequirements)

    /** Refuses the requests for [copy] that can't wait until [atMillis]. */
    fun refuseExpiringBefore(copy: CopyName, atMillis: Long)
}

/** Sends requests for copies to other VMs; answers are passed to [CopyRequestTracker.onAnswer]. */
internal interface CopyRequestTransport {
    /** Requests [copy] from the owner of the engine [targetId], and returns whether an owner is known. */
    fun requestFromOwner(number: Long, targetId: TargetId, copy: CopyName): Boolean

    /** Requests the model [copy] from the planner of [service], and returns whether a planner is known. */
    fun requestFromPlanner(number: Long, service: ServiceName, copy: CopyName): Boolean
}

/**
 * Represents the answer to a request for a copy.
 *
 * @property number the number of the request.
 * @property readyInMillis when the copy is expected to be ready, 0 if it is ready, or `null` if it won't be loaded.
 * @property targetId the engine that holds or will hold the copy, if the answer names one.
 * @property reason why the copy won't be loaded; meaningful only if [readyInMillis] is `null`.
 */
internal class CopyAnswer(val number: Long, val readyInMillis: Long?, val targetId: TargetId?, val reason: String)

/**
 * Requests the copies that this VM's requests wait for, and tracks them until they are ready; used on the event loop
 * only.
 *
 * Models are requested from the planner of their service, which chooses the engine. Adapters are requested from the
 * owner of an engine that holds their model; all VMs prefer the same engine for the same adapter.
 */
internal class CopyRequestTracker(
    private val view: FleetView,
    private val clock: ProcessClock,
    private val log: DecisionLog,
    private val numbers: Iterator<Long>,
    private val settings: CopyRequestSettings = CopyRequestSettings(),
) : CopyRequester {
    private val pending = LinkedHashMap<CopyName, PendingLoad>()
    private val declined = HashMap<Pair<CopyName, TargetId?>, Long>()
    private val deferred = HashMap<CopyName, Long>()

    /** Whether requested copies are not ready yet. */
    val isBusy: Boolean
        get() = pending.isNotEmpty() || deferred.isNotEmpty()

    /** Sends requests to other VMs. */
    lateinit var transport: CopyRequestTransport

    /** The requests that wait for copies. */
    lateinit var waiting: PendingRequests

    override fun request(requirements: TargetRequirements, modelHolders: List<KnownTarget>): CopyAvailability {
        val copy = requirements.copy ?: return CopyAvailability.Unavailable(RETRY_MILLIS)
        val load = pending[copy]
        if (load != null) return load.availability(clock.nowMillis())
        deferred[copy]?.let { return CopyAvailability.Expected((it - clock.nowMillis()).coerceAtLeast(1)) }
        return when {
            !copy.isAdapter -> requestFromPlanner(requirements, copy)
            modelHolders.isEmpty() -> requestModelFirst(requirements, copy)
            else -> requestFromOwner(requirements, copy, modelHolders)
        }
    }

    private fun requestFromPlanner(requirements: TargetRequirements, copy: CopyName): CopyAvailability {
        if (isDeclined(copy, null)) return CopyAvailability.Unavailable(RETRY_MILLIS)
        val model = specOf(requirements.service)?.models?.get(copy.modelId)
            ?: return CopyAvailability.Unavailable(RETRY_MILLIS)
        val loadMillis = model.diskLoadMillis + EVICTION_ESTIMATE_MILLIS
        return submit(copy, PendingLoad(numbers.next(), requirements, targetId = null, clock.nowMillis(), loadMillis))
    }

    private fun requestFromOwner(
        requirements: TargetRequirements,
        copy: CopyName,
        modelHolders: List<KnownTarget>,
    ): CopyAvailability {
        val target = modelHolders
            .filterNot { view.holds(it, copy) || isDeclined(copy, it.entry.targetId) }
            .maxByOrNull { stableHash("$copy/${it.entry.targetId}") }
            ?: return CopyAvailability.Unavailable(RETRY_MILLIS)
        val load =
            PendingLoad(numbers.next(), requirements, target.entry.targetId, clock.nowMillis(), ADAPTER_ESTIMATE_MILLIS)
        return submit(copy, load)
    }

    /** Requests the model of an adapter whose model no engine holds; the adapter is requested after that. */
    private fun requestModelFirst(requirements: TargetRequirements, copy: CopyName): CopyAvailability {
        val modelRequirements =
            TargetRequirements(
                requirements.service,
                copy.model,
                requirements.affinityKey,
                requirements.avoidedTargetIds,
                requirements.holdMillis,
            )
        val availability = request(modelRequirements, emptyList())
        if (availability !is CopyAvailability.Expected) return availability
        return CopyAvailability.Expected(availability.readyInMillis + ADAPTER_ESTIMATE_MILLIS)
    }

    private fun submit(copy: CopyName, load: PendingLoad): CopyAvailability {
        pending[copy] = load
        log.write(
            Event.COPY_WANTED,
            field("copy", copy),
            field("target", load.targetId),
            field("number", load.number),
        )
        sendRequest(copy, load)
        return pending[copy]?.availability(clock.nowMillis()) ?: availabilityAfterAnswer(load.requirements, copy)
    }

    private fun availabilityAfterAnswer(requirements: TargetRequirements, copy: CopyName): CopyAvailability {
        val isHeld = view.directory.byService[requirements.service].orEmpty().any { view.holds(it, copy) }
        return if (isHeld) CopyAvailability.Expected(readyInMillis = 1) else CopyAvailability.Unavailable(RETRY_MILLIS)
    }

    private fun sendRequest(copy: CopyName, load: PendingLoad) {
        load.sentAtMillis = clock.nowMillis()
        val targetId = load.targetId
        val isSent = if (targetId == null) {
            transport.requestFromPlanner(load.number, load.requirements.service, copy)
        } else {
            transport.requestFromOwner(load.number, targetId, copy)
        }
        if (!isSent) decline(copy, load, "no_owner")
    }

    /** Handles an answer to a request of this VM. */
    fun onAnswer(answer: CopyAnswer) {
        val (copy, load) = pending.entries.firstOrNull { it.value.number == answer.number } ?: return
        val readyInMillis = answer.readyInMillis
        load.isAnswered = true
        when {
            readyInMillis == null -> decline(copy, load, answer.reason)
            readyInMillis > 0 -> onAccepted(copy, load, clock.nowMillis() + readyInMillis)
            else -> (answer.targetId ?: load.targetId)?.let { onHeldAt(it, copy) }
        }
    }

    /** Handles an answer that [targetId] holds [copy]; if this VM can't reach that engine, the request is repeated. */
    private fun onHeldAt(targetId: TargetId, copy: CopyName) {
        if (view.isUsable(targetId)) return onReady(targetId, copy)
        pending -= copy
        defer(copy)
    }

    private fun onAccepted(copy: CopyName, load: PendingLoad, expectedAtMillis: Long) {
        load.isAccepted = true
        load.expectedAtMillis = expectedAtMillis
        waiting.refuseExpiringBefore(copy, expectedAtMillis)
    }

    /** Records that the engine [targetId] holds [copy], so that the requests waiting for it can proceed. */
    fun onReady(targetId: TargetId, copy: CopyName) {
        pending -= copy
        deferred -= copy
        view.directory.targets[targetId]?.let { view.recordCopyPresence(it, copy, isPresent = true) }
    }

    private fun isDeclined(copy: CopyName, targetId: TargetId?): Boolean =
        clock.nowMillis() < (declined[copy to targetId] ?: Long.MIN_VALUE)

    /** Handles a failed request for [copy]: it is repeated elsewhere or later, or the waiting requests are refused. */
    private fun decline(copy: CopyName, load: PendingLoad, reason: String) {
        log.write(Event.COPY_DECLINED, field("copy", copy), field("target", load.targetId), field("reason", reason))
        val isRetried = reason == OVERDUE && load.targetId == null
        if (!isRetried) declined[copy to load.targetId] = clock.nowMillis() + settings.declineBackoffMillis
        pending -= copy
        val requirements = waiting.requirementsOrNull(copy) ?: return
        if (request(requirements, waiting.modelHolders(requirements)) !is CopyAvailability.Unavailable) return
        val isTransient = load.targetId != null && reason in TRANSIENT_REASONS
        if (isTransient) defer(copy) else waiting.refuse(requirements)
    }

    /** Keeps the requests for [copy] waiting and schedules a retry, as an engine or owner may be available by then. */
    private fun defer(copy: CopyName) {
        deferred[copy] = clock.nowMillis() + settings.declineBackoffMillis
    }

    private fun retryDeferred(nowMillis: Long) {
        val due = deferred.filterValues { it <= nowMillis }.keys
        deferred -= due
        due.forEach { copy ->
            val requirements = waiting.requirementsOrNull(copy) ?: return@forEach
            if (request(requirements, waiting.modelHolders(requirements)) is CopyAvailability.Unavailable) defer(copy)
        }
    }

    /** Resends unanswered requests and handles overdue copies; called every few milliseconds. */
    fun tick() {
        val nowMillis = clock.nowMillis()
        declined.values.removeIf { it <= nowMillis }
        retryDeferred(nowMillis)
        pending.entries.toList().forEach { (copy, load) ->
            when {
                nowMillis > load.expectedAtMillis + marginMillis(copy) -> decline(copy, load, OVERDUE)
                load.targetId?.let(view::isUsable) == false -> decline(copy, load, OUT_OF_REACH)
                load.isAnswered -> if (nowMillis - load.requestedAtMillis >= settings.confirmMillis) confirm(copy, load)
                nowMillis - load.requestedAtMillis > timeoutMillis(load) -> onTimeout(copy, load)
                nowMillis - load.sentAtMillis > settings.retryIntervalMillis shl load.resends -> resend(copy, load)
            }
        }
    }

    private fun timeoutMillis(load: PendingLoad): Long =
        if (load.targetId == null) settings.plannerTimeoutMillis else settings.ownerTimeoutMillis

    /**
     * Handles a request without an answer.
     *
     * An accepted request is kept, since the copy may still become ready: the list of targets shows it too.
     */
    private fun onTimeout(copy: CopyName, load: PendingLoad) {
        if (load.isAccepted) confirm(copy, load) else decline(copy, load, "no_answer")
    }

    /** Repeats an accepted request, which remains accepted until there is an answer. */
    private fun confirm(copy: CopyName, load: PendingLoad) {
        load.requestedAtMillis = clock.nowMillis()
        load.isAnswered = false
        load.resends = 0
        sendRequest(copy, load)
    }

    private fun resend(copy: CopyName, load: PendingLoad) {
        load.resends++
        sendRequest(copy, load)
    }

    private fun marginMillis(copy: CopyName): Long =
        if (copy.isAdapter) settings.adapterMarginMillis else settings.modelMarginMillis

    /**
     * Requests the copy that requests with [requirements] wait for.
     *
     * The requests are refused if no target holds the model any more and it can't be loaded.
     */
    fun onCopyMissing(requirements: TargetRequirements) {
        val holders = waiting.modelHolders(requirements)
        val copy = requirements.copy ?: return
        if (copy in pending || request(requirements, holders) !is CopyAvailability.Unavailable) return
        if (holders.isEmpty()) waiting.refuse(requirements) else defer(copy)
    }

    private fun specOf(service: ServiceName): EngineSpec? = view.catalog?.services?.get(service)?.engine
}

/** Represents a copy requested from the owner of [targetId], or from the planner if [targetId] is `null`. */
private class PendingLoad(
    val number: Long,
    val requirements: TargetRequirements,
    val targetId: TargetId?,
    startedAtMillis: Long,
    expectedInMillis: Long,
) {
    var requestedAtMillis = startedAtMillis
    var sentAtMillis = startedAtMillis
    var expectedAtMillis = startedAtMillis + expectedInMillis
    var isAnswered = false
    var isAccepted = false
    var resends = 0

    fun availability(nowMillis: Long): CopyAvailability =
        CopyAvailability.Expected((expectedAtMillis - nowMillis).coerceAtLeast(1))
}
