package org.banyanturn.entry.copies

import org.banyanturn.core.ModelId
import org.banyanturn.core.TargetId
import org.banyanturn.core.placement.CopyName
import org.banyanturn.core.placement.LoadPlan
import org.banyanturn.core.placement.ModelPlanner
import org.banyanturn.core.placement.ModelPlannerSettings
import org.banyanturn.core.placement.PlannedEngine
import org.banyanturn.core.placement.PlanningThrottle
import org.banyanturn.core.placement.PrefillBudget
import org.banyanturn.core.routing.PrefillSpeedEstimator
import org.banyanturn.core.serving.ServiceName
import org.banyanturn.daemon.ProcessClock
import org.banyanturn.daemon.logs.Event
import org.banyanturn.daemon.logs.field
import org.banyanturn.entry.observe.DecisionLog
import org.banyanturn.entry.requests.ArrivedRequests
import org.banyanturn.entry.requests.FleetView

/** Loads that are started at one time at most. */
private const val MAX_STARTS = 8

/** Time beyond the pure load until a report has told of the copy. */
private const val REPORT_MARGIN_MILLIS = 400L

/** Time after which an owner that does not answer is asked again. */
private const val REPEAT_MILLIS = 40L

/** Orders without an answer after which an owner is passed over; a planner that stalled has sent none meanwhile. */
private const val MAX_SENDS = 6

/** Time between two looks for an engine that has become free for what waits. */
private const val TRY_MILLIS = 100L

/** A VM that asked for a model; [host] is `null` for this VM itself. */
internal data class ModelRequester(val host: String?, val number: Long)

/** How the planner reaches owners of engines and the VMs that ask. */
internal interface ModelLoadTransport {
    /** Asks the owner of the plan's engine to carry [plan] out; returns whether an owner is known. */
    fun order(number: Long, plan: LoadPlan): Boolean

    /** Answers [asker]. */
    fun answer(asker: ModelRequester, answer: CopyAnswer)
}

/** Has models loaded that are asked for, on the VM that plans for their service; used on the event loop only. */
internal class ModelLoadCoordinator(
    private val view: FleetView,
    private val clock: ProcessClock,
    private val log: DecisionLog,
    private val numbers: Iterator<Long>,
    private val prefillSpeed: PrefillSpeedEstimator,
) {
    private val planners = HashMap<ServiceName, ModelPlanner>()
    private val running = LinkedHashMap<Long, RunningPlan>()
    private val queued = HashMap<Pair<ServiceName, ModelId>, QueuedAskers>()

    private val pacer = PlanningThrottle()
    private val servicesToLook = LinkedHashSet<ServiceName>()
    private var isLooking = false
    private var triedAtMillis = 0L

    /** Whether loads run or wait for their turn. */
    val isBusy: Boolean
        get() = running.isNotEmpty() || queued.isNotEmpty() || servicesToLook.isNotEmpty()

    /** How owners and askers are reached. */
    lateinit var transport: ModelLoadTransport

    /** Notes that requests for a model or one of its adapters have arrived somewhere. */
    fun recordDemand(service: ServiceName, copy: CopyName, arrived: ArrivedRequests) {
        plannerOf(service)
            .recordDemand(copy.modelId, copy.adapterId, arrived.count, clock.nowMillis(), arrived.promptTokens)
    }

    /** Takes a wish for the model [copy]; the answer goes to [asker]. */
    fun request(service: ServiceName, copy: CopyName, asker: ModelRequester) {
        val holder = holderOrNull(service, copy)
        if (holder != null) return transport.answer(asker, CopyAnswer(asker.number, 0, holder, reason = ""))
        noteWanted(service, copy.modelId, asker)
        requestLook(service)
        val known = plansFor(service, copy.modelId).minByOrNull { it.expectedMillis }
            ?: return queue(service, copy, asker)
        known.askers += asker
        transport.answer(asker, known.answerTo(asker, clock.nowMillis()))
    }

    private fun noteWanted(service: ServiceName, modelId: ModelId, asker: ModelRequester) {
        val waiting = queued[service to modelId]?.askers.orEmpty() + plansFor(service, modelId).flatMap { it.askers }
        if (asker in waiting) {
            plannerOf(service).recordStillWaiting(modelId, clock.nowMillis())
        } else {
            plannerOf(service).recordMiss(modelId, clock.nowMillis())
        }
    }

    private fun plansFor(service: ServiceName, modelId: ModelId): List<RunningPlan> =
        running.values.filter { it.service == service && it.plan.modelId == modelId }

    /** Tells [asker] when the load can be expected whose turn has not come, or that none can. */
    private fun queue(service: ServiceName, copy: CopyName, asker: ModelRequester) {
        val spec = view.catalog?.services?.get(service)?.engine
        val inMillis = spec?.let {
            plannerOf(service).expectedMillisOrNull(copy.modelId, enginesOf(service), it, clock.nowMillis())
        }
        if (inMillis != null) queued.getOrPut(service to copy.modelId, ::QueuedAskers).add(asker, clock.nowMillis())
        transport.answer(asker, CopyAnswer(asker.number, inMillis, targetId = null, reason = "no_plan"))
    }

    private fun holderOrNull(service: ServiceName, copy: CopyName): TargetId? =
        view.usableTargets(service).firstOrNull { view.holds(it, copy) }?.entry?.targetId

    /** Looks for what to load for [service], at once or as soon as it is time for another look. */
    private fun requestLook(service: ServiceName) {
        servicesToLook += service
        lookIfDue()
    }

    private fun lookIfDue() {
        val startMillis = clock.nowMillis()
        if (isLooking || servicesToLook.isEmpty() || !pacer.mayPlan(startMillis)) return
        isLooking = true
        try {
            val services = servicesToLook.toList()
            servicesToLook.clear()
            services.forEach(::startNext)
        } finally {
            isLooking = false
            pacer.onPlanned(startMillis, clock.nowMillis())
        }
    }

    /** Starts the loads that gain most, as many as may run. */
    private fun startNext(service: ServiceName) {
        val spec = view.catalog?.services?.get(service)?.engine ?: return
        val planner = plannerOf(service)
        paceOrNull(service)?.let(planner::setPrefillBudget)
        repeat(MAX_STARTS) {
            val plan = planner.nextPlanOrNull(enginesOf(service), spec, clock.nowMillis()) ?: return
            val model = spec.models.getValue(plan.modelId)
            val loadMillis = model.loadMillisFrom(plan.source)
            val evictionMillis = if (plan.victims.isEmpty()) 0 else ModelPlannerSettings().evictionMillis
            start(service, plan, loadMillis + evictionMillis + REPORT_MARGIN_MILLIS)
        }
    }

    private fun paceOrNull(service: ServiceName): PrefillBudget? {
        val pauseMillis = view.catalog?.minGapMillisOrNull(service) ?: return null
        return prefillSpeed.millisPerTokenOrNull()?.let { PrefillBudget(it, pauseMillis) }
    }

    private fun start(service: ServiceName, plan: LoadPlan, loadMillis: Long) {
        val nowMillis = clock.nowMillis()
        val planner = plannerOf(service)
        val started = RunningPlan(numbers.next(), service, plan, nowMillis)
        started.expectedMillis = nowMillis + loadMillis
        started.askers += queued.remove(service to plan.modelId)?.askers.orEmpty()
        running[started.number] = started
        planner.started(plan, loadMillis, nowMillis)
        log.write(
            Event.LOAD_PLANNED,
            field("model", plan.modelId),
            field("target", plan.targetId),
            field("victims", plan.victims),
            field("source", plan.source.name.lowercase()),
            field("millisPerPromptToken", prefillSpeed.millisPerTokenOrNull()),
            field("demandPerSecond", planner.demandPerSecond(plan.modelId, nowMillis)),
        )
        send(started)
        if (started.number in running) started.askers.forEach { transport.answer(it, started.answerTo(it, nowMillis)) }
    }

    private fun enginesOf(service: ServiceName): List<PlannedEngine> =
        view.usableTargets(service).map { target ->
            val held = view.heldModels(target)
            PlannedEngine(target.entry.targetId, held, view.hostWeights(target))
        }

    private fun send(plan: RunningPlan) {
        plan.sentAtMillis = clock.nowMillis()
        plan.sends++
        if (!transport.order(plan.number, plan.plan)) onDeclined(plan, "no_owner")
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
        val plan =
            running.values.firstOrNull { it.plan.targetId == targetId && it.plan.modelId == copy.modelId } ?: return
        running -= plan.number
        view.directory.targets[targetId]?.let { view.recordCopyPresence(it, copy, isPresent = true) }
        plannerOf(plan.service).ended(plan.plan, wasDeclined = false, clock.nowMillis())
        val askers = plan.askers + plansFor(plan.service, copy.modelId).flatMap { it.takeAskers() }
        askers.forEach { transport.answer(it, CopyAnswer(it.number, 0, targetId, reason = "")) }
        requestLook(plan.service)
    }

    private fun onDeclined(plan: RunningPlan, reason: String) {
        log.write(
            Event.COPY_DECLINED,
            field("copy", plan.plan.modelId),
            field("target", plan.plan.targetId),
            field("reason", reason),
        )
        running -= plan.number
        plannerOf(plan.service).ended(plan.plan, wasDeclined = true, clock.nowMillis())
        val other = plansFor(plan.service, plan.plan.modelId).minByOrNull { it.expectedMillis }
        if (other != null) {
            other.askers += plan.askers
            return
        }
        plan.askers.forEach { queue(plan.service, CopyName(plan.plan.modelId), it) }
        if (plan.askers.isNotEmpty()) requestLook(plan.service)
    }

    /** Starts what is due for the services that this VM plans for; called about once a second. */
    fun startDueLoads(isPlanner: (ServiceName) -> Boolean) {
        view.catalog?.services.orEmpty().values
            .filter { it.engine != null && isPlanner(it.name) }
            .forEach { requestLook(it.name) }
    }

    /** Repeats orders that got no answer, and starts loads whose turn has come; called every few milliseconds. */
    fun tick() {
        val nowMillis = clock.nowMillis()
        if (nowMillis - triedAtMillis >= TRY_MILLIS) startQueued(nowMillis)
        lookIfDue()
        running.values.toList().forEach { plan ->
            when {
                nowMillis > plan.expectedMillis + plan.graceMillis -> onDeclined(plan, "overdue")
                view.isRefusingConnections(plan.plan.targetId) -> onDeclined(plan, "dead")
                plan.isAnswered -> Unit
                nowMillis - plan.sentAtMillis <= REPEAT_MILLIS -> Unit
                plan.sends >= MAX_SENDS -> onDeclined(plan, "no_answer")
                else -> send(plan)
            }
        }
    }

    private fun startQueued(nowMillis: Long) {
        triedAtMillis = nowMillis
        queued.values.removeIf { nowMillis - it.askedAtMillis > ModelPlannerSettings().missWindowMillis }
        queued.keys.mapTo(LinkedHashSet()) { (service, _) -> service }.forEach(::requestLook)
    }

    private fun plannerOf(service: ServiceName): ModelPlanner = planners.getOrPut(service) { ModelPlanner() }
}

/** VMs that wait for the turn of a model. */
private class QueuedAskers {
    val askers = LinkedHashSet<ModelRequester>()
    var askedAtMillis = Long.MIN_VALUE
        private set

    fun add(asker: ModelRequester, nowMillis: Long) {
        askers += asker
        askedAtMillis = nowMillis
    }
}

/** A load that was ordered and has not ended. */
private class RunningPlan(
    val number: Long,
    val service: ServiceName,
    val plan: LoadPlan,
    val startedAtMillis: Long,
) {
    val askers = LinkedHashSet<ModelRequester>()
    var sentAtMillis = startedAtMillis
    var sends = 0
    var expectedMillis = startedAtMillis
    var isAnswered = false

    /** Loads take longer while many run. */
    val graceMillis: Long
        get() = (expectedMillis - startedAtMillis).coerceAtLeast(MIN_GRACE_MILLIS)

    fun takeAskers(): Set<ModelRequester> = askers.toSet().also { askers.clear() }

    fun answerTo(asker: ModelRequester, nowMillis: Long): CopyAnswer =
        CopyAnswer(asker.number, (expectedMillis - nowMillis).coerceAtLeast(1), plan.targetId, reason = "")

    private companion object {
        const val MIN_GRACE_MILLIS = 2_000L
    }
}
