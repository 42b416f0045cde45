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
 * Times of asking for copies.
 *
 * @property retryIntervalMillis after what time an unanswered question is sent again; doubled with each time.
 * @property ownerTimeoutMillis after what time an owner of an engine that does not answer is passed over for another.
 * @property plannerTimeoutMillis the same for a planner, which no other VM can stand in for.
 * @property marginMillis how long after the promised time an adapter may still come.
 * @property modelMarginMillis the same for a model.
 * @property declineBackoffMillis how long a question that was declined is not asked again.
 * @property confirmMillis after what time a promise is asked for again: who gave it may have gone, or its word that the
 * copy is there may be lost.
 */
internal data class CopyRequestSettings(
    val retryIntervalMillis: Long = 40,
    val ownerTimeoutMillis: Long = 250,
    val plannerTimeoutMillis: Long = 2_000,
    val marginMillis: Long = 1_500,
    val modelMarginMillis: Long = 1_500,
    val declineBackoffMillis: Long = 300,
    val confirmMillis: Long = 500,
)

/** Load of a missing adapter as it is foreseen: two hops to the owner and back, an unload and a load. */
private const val ADAPTER_LOAD_ESTIMATE_MILLIS = 40L

/** Time to make room for a model, as it is foreseen until the planner has answered. */
private const val EVICTION_ESTIMATE_MILLIS = 500L

/** Why a model is asked for again that was promised and has not come. */
private const val OVERDUE = "overdue"

/** Why an adapter is asked for elsewhere that was asked for at an engine which this VM does not reach now. */
private const val OUT_OF_REACH = "out_of_reach"

/** Reasons that pass soon: another order is under way, an engine's owner changes, its model is on its way out. */
private val TRANSIENT_REASONS = setOf("busy", "not_owner", "no_owner", "no_answer", "no_model", OUT_OF_REACH)

/** When to ask again for a copy for which there is no room now. */
private const val NO_ROOM_RETRY_MILLIS = 1_000L

/** What requests wait for. */
internal interface PendingRequests {
    /** Returns the need of a request that waits for [copy], or `null` if none does. */
    fun requirementsOrNull(copy: CopyName): TargetRequirements?

    /** Returns the targets that hold the model that [requirements] asks for. */
    fun modelHolders(requirements: TargetRequirements): List<KnownTarget>

    /** Refuses the requests that wait for what [requirements] asks for. */
    fun refuse(requirements: TargetRequirements)

    /** Refuses those requests that wait for [copy] which can't wait until [atMillis]. */
    fun refuseExpiringBefore(copy: CopyName, atMillis: Long)
}

/** Carries questions for copies to other VMs; answers come by [CopyRequestTracker.onAnswer]. */
internal interface CopyRequestTransport {
    /** Asks the owner of the engine [targetId] for [copy]; returns whether an owner is known. */
    fun requestFromOwner(number: Long, targetId: TargetId, copy: CopyName): Boolean

    /** Asks the planner of [service] for the model [copy]; returns whether a planner is known. */
    fun requestFromPlanner(number: Long, service: ServiceName, copy: CopyName): Boolean
}

/** An answer to a question for a copy; [readyInMillis] is `null` if the copy won't be loaded. */
internal class CopyAnswer(val number: Long, val readyInMillis: Long?, val targetId: TargetId?, val reason: String)

/**
 * Asks for the copies that this VM's requests wait for; used on the event loop only.
 *
 * Models are asked for at their service's planner, which chooses the engine; adapters at the owner of an engine that
 * holds their model, each adapter first at the same engine from everywhere.
 */
internal class CopyRequestTracker(
    private val view: FleetView,
    private val clock: ProcessClock,
    private val log: DecisionLog,
    private val numbers: Iterator<Long>,
    private val settings: CopyRequestSettings = CopyRequestSettings(),
) : CopyRequester {
    private val pending = LinkedHashMap<CopyName, PendingCopy>()
    private val declined = HashMap<Pair<CopyName, TargetId?>, Long>()
    private val deferred = HashMap<CopyName, Long>()

    /** Whether copies are asked for that have not come. */
    val isBusy: Boolean
        get() = pending.isNotEmpty() || deferred.isNotEmpty()

    /** Where questions go. */
    lateinit var transport: CopyRequestTransport

    /** What requests wait for. */
    lateinit var waiting: PendingRequests

    override fun request(requirements: TargetRequirements, modelHolders: List<KnownTarget>): CopyAvailability {
        val copy = requirements.copy ?: return CopyAvailability.Unavailable(NO_ROOM_RETRY_MILLIS)
        val known = pending[copy]
        if (known != null) return known.availability(clock.nowMillis())
        deferred[copy]?.let { return CopyAvailability.Expected((it - clock.nowMillis()).coerceAtLeast(1)) }
        return when {
            !copy.isAdapter -> requestFromPlanner(requirements, copy)
            modelHolders.isEmpty() -> requestModelFirst(requirements, copy)
            else -> requestFromOwner(requirements, copy, modelHolders)
        }
    }

    private fun requestFromPlanner(requirements: TargetRequirements, copy: CopyName): CopyAvailability {
        if (isDeclined(copy, null)) return CopyAvailability.Unavailable(NO_ROOM_RETRY_MILLIS)
        val model = specOf(requirements.service)?.models?.get(copy.modelId)
            ?: return CopyAvailability.Unavailable(NO_ROOM_RETRY_MILLIS)
        val estimatedMillis = model.diskLoadMillis + EVICTION_ESTIMATE_MILLIS
        return submit(copy, PendingCopy(numbers.next(), requirements, targetId = null, clock.nowMillis(), estimatedMillis))
    }

    private fun requestFromOwner(
        requirements: TargetRequirements,
        copy: CopyName,
        modelHolders: List<KnownTarget>,
    ): CopyAvailability {
        val target = modelHolders
            .filterNot { view.holds(it, copy) || isDeclined(copy, it.entry.targetId) }
            .maxByOrNull { stableHash("$copy/${it.entry.targetId}") }
            ?: return CopyAvailability.Unavailable(NO_ROOM_RETRY_MILLIS)
        val asked =
            PendingCopy(numbers.next(), requirements, target.entry.targetId, clock.nowMillis(), ADAPTER_LOAD_ESTIMATE_MILLIS)
        return submit(copy, asked)
    }

    /** An adapter whose model no engine holds waits for the model. */
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
        return CopyAvailability.Expected(availability.readyInMillis + ADAPTER_LOAD_ESTIMATE_MILLIS)
    }

    private fun submit(copy: CopyName, asked: PendingCopy): CopyAvailability {
        pending[copy] = asked
        log.write(
            Event.COPY_WANTED,
            field("copy", copy),
            field("target", asked.targetId),
            field("number", asked.number),
        )
        sendRequest(copy, asked)
        return pending[copy]?.availability(clock.nowMillis()) ?: availabilityAfterAnswer(asked.requirements, copy)
    }

    private fun availabilityAfterAnswer(requirements: TargetRequirements, copy: CopyName): CopyAvailability {
        val isHeld = view.directory.byService[requirements.service].orEmpty().any { view.holds(it, copy) }
        return if (isHeld) {
            CopyAvailability.Expected(
                readyInMillis = 1,
            )
        } else {
            CopyAvailability.Unavailable(NO_ROOM_RETRY_MILLIS)
        }
    }

    private fun sendRequest(copy: CopyName, asked: PendingCopy) {
        asked.sentAtMillis = clock.nowMillis()
        val targetId = asked.targetId
        val isSent = if (targetId == null) {
            transport.requestFromPlanner(asked.number, asked.requirements.service, copy)
        } else {
            transport.requestFromOwner(asked.number, targetId, copy)
        }
        if (!isSent) decline(copy, asked, "no_owner")
    }

    /** Takes in an answer to a question of this VM. */
    fun onAnswer(answer: CopyAnswer) {
        val (copy, asked) = pending.entries.firstOrNull { it.value.number == answer.number } ?: return
        val readyInMillis = answer.readyInMillis
        asked.isAnswered = true
        when {
            readyInMillis == null -> decline(copy, asked, answer.reason)
            readyInMillis > 0 -> onAccepted(copy, asked, clock.nowMillis() + readyInMillis)
            else -> (answer.targetId ?: asked.targetId)?.let { onHeldAt(it, copy) }
        }
    }

    /** A copy at an engine that this VM does not reach serves nobody: who named it may know better soon. */
    private fun onHeldAt(targetId: TargetId, copy: CopyName) {
        if (view.isUsable(targetId)) return onReady(targetId, copy)
        pending -= copy
        defer(copy)
    }

    private fun onAccepted(copy: CopyName, asked: PendingCopy, expectedAtMillis: Long) {
        asked.isAccepted = true
        asked.expectedAtMillis = expectedAtMillis
        waiting.refuseExpiringBefore(copy, expectedAtMillis)
    }

    /** Notes that the engine [targetId] holds [copy]; requests that wait for it go on. */
    fun onReady(targetId: TargetId, copy: CopyName) {
        pending -= copy
        deferred -= copy
        view.directory.targets[targetId]?.let { view.recordCopyPresence(it, copy, isPresent = true) }
    }

    private fun isDeclined(copy: CopyName, targetId: TargetId?): Boolean =
        clock.nowMillis() < (declined[copy to targetId] ?: Long.MIN_VALUE)

    /** The copy won't come from where it was asked for: another engine is asked, or the requests are refused. */
    private fun decline(copy: CopyName, asked: PendingCopy, reason: String) {
        log.write(Event.COPY_DECLINED, field("copy", copy), field("target", asked.targetId), field("reason", reason))
        val isRetried = reason == OVERDUE && asked.targetId == null
        if (!isRetried) declined[copy to asked.targetId] = clock.nowMillis() + settings.declineBackoffMillis
        pending -= copy
        val requirements = waiting.requirementsOrNull(copy) ?: return
        if (request(requirements, waiting.modelHolders(requirements)) !is CopyAvailability.Unavailable) return
        val isTransient = asked.targetId != null && reason in TRANSIENT_REASONS
        if (isTransient) defer(copy) else waiting.refuse(requirements)
    }

    /** Lets the requests for [copy] wait on and asks again soon: who declined may be free, or another one, by then. */
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

    /** Repeats questions that got no answer, and asks for what came too late; called every few milliseconds. */
    fun tick() {
        val nowMillis = clock.nowMillis()
        declined.values.removeIf { it <= nowMillis }
        retryDeferred(nowMillis)
        pending.entries.toList().forEach { (copy, asked) ->
            when {
                nowMillis > asked.expectedAtMillis + marginMillis(copy) -> decline(copy, asked, OVERDUE)
                asked.targetId?.let(view::isUsable) == false -> decline(copy, asked, OUT_OF_REACH)
                asked.isAnswered -> if (nowMillis - asked.requestedAtMillis >= settings.confirmMillis) confirm(copy, asked)
                nowMillis - asked.requestedAtMillis > timeoutMillis(asked) -> onTimeout(copy, asked)
                nowMillis - asked.sentAtMillis > settings.retryIntervalMillis shl asked.resends -> resend(copy, asked)
            }
        }
    }

    private fun timeoutMillis(asked: PendingCopy): Long =
        if (asked.targetId == null) settings.plannerTimeoutMillis else settings.ownerTimeoutMillis

    /** What was promised may come without a word of who promised it: the list of targets tells of it too. */
    private fun onTimeout(copy: CopyName, asked: PendingCopy) {
        if (asked.isAccepted) confirm(copy, asked) else decline(copy, asked, "no_answer")
    }

    /** Asks again for what was promised; the promise holds until there is an answer. */
    private fun confirm(copy: CopyName, asked: PendingCopy) {
        asked.requestedAtMillis = clock.nowMillis()
        asked.isAnswered = false
        asked.resends = 0
        sendRequest(copy, asked)
    }

    private fun resend(copy: CopyName, asked: PendingCopy) {
        asked.resends++
        sendRequest(copy, asked)
    }

    private fun marginMillis(copy: CopyName): Long =
        if (copy.isAdapter) settings.marginMillis else settings.modelMarginMillis

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

/** A copy that was asked for, at the owner of [targetId] or, where that is `null`, at the planner. */
private class PendingCopy(
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

    fun availability(nowMillis: Long): CopyAvailability = CopyAvailability.Expected(
        (expectedAtMillis - nowMillis).coerceAtLeast(1),
    )
}
