package org.banyanturn.entry.copies

import org.banyanturn.core.ModelId
import org.banyanturn.core.TargetId
import org.banyanturn.core.placement.CopyName
import org.banyanturn.core.placement.LoadPlan
import org.banyanturn.core.placement.ModelPlanner
import org.banyanturn.core.placement.PlannedEngine
import org.banyanturn.core.serving.ServiceName
import org.banyanturn.daemon.ProcessClock
import org.banyanturn.daemon.logs.Event
import org.banyanturn.daemon.logs.field
import org.banyanturn.entry.observe.DecisionLog
import org.banyanturn.entry.requests.FleetView

/** Engines that are tried for one load, one after the other. */
private const val MAX_TRIES = 3

/** Time after which an owner that does not answer is asked again, and after which it is passed over. */
private const val REPEAT_MILLIS = 40L
private const val GIVE_UP_MILLIS = 250L

/** A VM that asked for a model; [host] is `null` for this VM itself. */
internal data class Asker(val host: String?, val number: Long)

/** How the planner reaches owners of engines and the VMs that ask. */
internal interface PlannerLines {
    /** Asks the owner of the plan's engine to carry [plan] out; returns whether an owner is known. */
    fun order(number: Long, plan: LoadPlan): Boolean

    /** Answers [asker]. */
    fun answer(asker: Asker, answer: CopyAnswer)
}

/** Chooses the engines for models that are asked for, on the VM that plans for a service; used on the event loop only. */
internal class PlannerDesk(
    private val view: FleetView,
    private val clock: ProcessClock,
    private val log: DecisionLog,
    private val numbers: Iterator<Long>,
) {
    private val planners = HashMap<ServiceName, ModelPlanner>()
    private val running = LinkedHashMap<Long, RunningPlan>()

    /** How owners and askers are reached. */
    lateinit var lines: PlannerLines

    /** Notes that requests for a model have arrived somewhere. */
    fun noteDemand(service: ServiceName, modelId: ModelId, requests: Int) {
        plannerOf(service).noteDemand(modelId, requests, clock.nowMillis())
    }

    /** Takes a wish for the model [copy]; the answer goes to [asker]. */
    fun want(service: ServiceName, copy: CopyName, asker: Asker) {
        val holder = holderOrNull(service, copy)
        if (holder != null) return lines.answer(asker, CopyAnswer(asker.number, 0, holder, reason = ""))
        plannerOf(service).noteMiss(copy.modelId)
        val known = running.values.firstOrNull { it.service == service && it.plan.modelId == copy.modelId }
        if (known != null) {
            known.askers += asker
            return lines.answer(asker, known.answerTo(asker, clock.nowMillis()))
        }
        start(service, copy, linkedSetOf(asker), triesLeft = MAX_TRIES)
    }

    private fun holderOrNull(service: ServiceName, copy: CopyName): TargetId? =
        view.directory.byService[service].orEmpty()
            .firstOrNull { it.takesRequests && view.holds(it, copy) }?.entry?.targetId

    private fun start(service: ServiceName, copy: CopyName, askers: MutableSet<Asker>, triesLeft: Int) {
        val nowMillis = clock.nowMillis()
        val spec = view.catalog?.services?.get(service)?.engine
        val plan = spec?.let { plannerOf(service).planOrNull(copy.modelId, enginesOf(service), it, nowMillis) }
        val loadMillis = spec?.models?.get(copy.modelId)?.loadMillis
        if (plan == null || loadMillis == null || triesLeft == 0) return declineAll(askers, "no_plan")
        val started = RunningPlan(numbers.next(), service, plan, askers, triesLeft, nowMillis)
        started.expectedMillis = nowMillis + loadMillis
        running[started.number] = started
        plannerOf(service).started(plan, loadMillis, nowMillis)
        log.write(
            Event.LOAD_PLANNED,
            field("model", plan.modelId),
            field("target", plan.targetId),
            field("victims", plan.victims),
            field("demandPerSecond", plannerOf(service).demandOf(plan.modelId, nowMillis)),
            field("askers", askers.size),
        )
        send(started)
        if (started.number in running) askers.forEach { lines.answer(it, started.answerTo(it, nowMillis)) }
    }

    private fun enginesOf(service: ServiceName): List<PlannedEngine> =
        view.directory.byService[service].orEmpty().filter { it.takesRequests }.map { target ->
            val held = target.entry.heldModels.values.filter { view.holds(target, CopyName(it.modelId)) }
            val load = view.stateOf(target).load.requestsAt(clock.nowMillis()).toDouble() / target.entry.slots
            PlannedEngine(target.entry.targetId, held.associate { it.modelId to it.adapters.size }, load)
        }

    private fun send(plan: RunningPlan) {
        plan.sentAtMillis = clock.nowMillis()
        if (!lines.order(plan.number, plan.plan)) onDeclined(plan, "no_owner")
    }

    /** Takes in an owner's answer to one of this planner's orders. */
    fun onAnswer(answer: CopyAnswer) {
        val plan = running[answer.number] ?: return
        val readyInMillis = answer.readyInMillis
        plan.isAnswered = true
        when {
            readyInMillis == null -> onDeclined(plan, answer.reason)
            readyInMillis > 0 -> plan.expectedMillis = clock.nowMillis() + readyInMillis
            else -> onReady(plan.plan.targetId, CopyName(plan.plan.modelId))
        }
    }

    /** Notes that the engine [targetId] holds [copy]. */
    fun onReady(targetId: TargetId, copy: CopyName) {
        val plan = running.values.firstOrNull { it.plan.targetId == targetId && it.plan.modelId == copy.modelId } ?: return
        running -= plan.number
        plannerOf(plan.service).ended(copy.modelId, wasDeclined = false, clock.nowMillis())
        plan.askers.forEach { lines.answer(it, CopyAnswer(it.number, 0, targetId, reason = "")) }
    }

    private fun onDeclined(plan: RunningPlan, reason: String) {
        log.write(
            Event.COPY_DECLINED, field("copy", plan.plan.modelId), field("target", plan.plan.targetId), field("reason", reason),
        )
        running -= plan.number
        plannerOf(plan.service).ended(plan.plan.modelId, wasDeclined = true, clock.nowMillis())
        start(plan.service, CopyName(plan.plan.modelId), plan.askers, plan.triesLeft - 1)
    }

    private fun declineAll(askers: Set<Asker>, reason: String) {
        askers.forEach { lines.answer(it, CopyAnswer(it.number, readyInMillis = null, targetId = null, reason)) }
    }

    /** Has further copies loaded of models whose engines are busy, where this VM plans; called about once a second. */
    fun spread(isPlanner: (ServiceName) -> Boolean) {
        val services = view.catalog?.services.orEmpty().values
        services.filter { it.engine != null && isPlanner(it.name) }.forEach { service ->
            val crowded = plannerOf(service.name).crowdedModelOrNull(enginesOf(service.name), clock.nowMillis())
            if (crowded != null) start(service.name, CopyName(crowded), LinkedHashSet(), triesLeft = 1)
        }
    }

    /** Repeats orders that got no answer; called every few milliseconds. */
    fun tick() {
        val nowMillis = clock.nowMillis()
        running.values.toList().forEach { plan ->
            when {
                nowMillis > plan.expectedMillis + plan.graceMillis -> onDeclined(plan, "overdue")
                plan.isAnswered -> Unit
                nowMillis - plan.startedAtMillis > GIVE_UP_MILLIS -> onDeclined(plan, "no_answer")
                nowMillis - plan.sentAtMillis > REPEAT_MILLIS -> send(plan)
            }
        }
    }

    private fun plannerOf(service: ServiceName): ModelPlanner = planners.getOrPut(service) { ModelPlanner() }
}

/** A load that was ordered and has not ended. */
private class RunningPlan(
    val number: Long,
    val service: ServiceName,
    val plan: LoadPlan,
    val askers: MutableSet<Asker>,
    val triesLeft: Int,
    val startedAtMillis: Long,
) {
    var sentAtMillis = startedAtMillis
    var expectedMillis = startedAtMillis
    var isAnswered = false

    /** Loads take longer while many run. */
    val graceMillis: Long
        get() = (expectedMillis - startedAtMillis).coerceAtLeast(MIN_GRACE_MILLIS)

    fun answerTo(asker: Asker, nowMillis: Long): CopyAnswer =
        CopyAnswer(asker.number, (expectedMillis - nowMillis).coerceAtLeast(1), plan.targetId, reason = "")

    private companion object {
        const val MIN_GRACE_MILLIS = 2_000L
    }
}
