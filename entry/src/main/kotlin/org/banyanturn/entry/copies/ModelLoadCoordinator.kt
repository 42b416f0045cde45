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
private const val MAX_LOADS_PER_ROUND = 8

/** Time beyond the pure load until a report has told of the copy. */
private const val REPORT_MARGIN_MILLIS = 400L

/** Time after which an owner that does not answer is asked again. */
private const val RESEND_MILLIS = 40L

/** Orders without an answer after which an owner is passed over; a planner that stalled has sent none meanwhile. */
private const val MAX_SENDS = 6

/** Time between two looks for an engine that has become free for what waits. */
private const val QUEUE_RETRY_MILLIS = 100L

/** A VM that asked for a model; [host] is `null` for this VM itself. */
internal data class ModelRequester(val host: String?, val number: Long)

/** How the planner reaches owners of engines and the VMs that ask. */
internal interface ModelLoadTransport {
    /** Asks the owner of the plan's engine to carry [plan] out; returns whether an owner is known. */
    fun order(number: Long, plan: LoadPlan): Boolean

    /** Answers [requester]. */
    fun answer(requester: ModelRequester, answer: CopyAnswer)
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
    private val running = LinkedHashMap<Long, RunningLoad>()
    private val queued = HashMap<Pair<ServiceName, ModelId>, QueuedRequesters>()

    private val throttle = PlanningThrottle()
    private val servicesToPlan = LinkedHashSet<ServiceName>()
    private var isPlanning = false
    private var queueRetriedAtMillis = 0L

    /** Whether loads run or wait for their turn. */
    val isBusy: Boolean
        get() = running.isNotEmpty() || queued.isNotEmpty() || servicesToPlan.isNotEmpty()

    /** How owners and askers are reached. */
    lateinit var transport: ModelLoadTransport

    /** Notes that requests for a model or one of its adapters have arrived somewhere. */
    fun recordDemand(service: ServiceName, copy: CopyName, arrived: ArrivedRequests) {
        plannerOf(service)
            .recordDemand(copy.modelId, copy.adapterId, arrived.count, clock.nowMillis(), arrived.promptTokens)
    }

    /** Takes a wish for the model [copy]; the answer goes to [requester]. */
    fun request(service: ServiceName, copy: CopyName, requester: ModelRequester) {
        val holder = holderOrNull(service, copy)
        if (holder != null) return transport.answer(requester, CopyAnswer(requester.number, 0, holder, reason = ""))
        recordMiss(service, copy.modelId, requester)
        requestPlanning(service)
        val runningLoad = loadsOf(service, copy.modelId).minByOrNull { it.expectedAtMillis }
            ?: return enqueue(service, copy, requester)
        runningLoad.requesters += requester
        transport.answer(requester, runningLoad.answerTo(requester, clock.nowMillis()))
    }

    private fun recordMiss(service: ServiceName, modelId: ModelId, requester: ModelRequester) {
        val waiting = queued[service to modelId]?.requesters.orEmpty() + loadsOf(service, modelId).flatMap { it.requesters }
        if (requester in waiting) {
            plannerOf(service).recordStillWaiting(modelId, clock.nowMillis())
        } else {
            plannerOf(service).recordMiss(modelId, clock.nowMillis())
        }
    }

    private fun loadsOf(service: ServiceName, modelId: ModelId): List<RunningLoad> =
        running.values.filter { it.service == service && it.plan.modelId == modelId }

    /** Tells [requester] when the load can be expected whose turn has not come, or that none can. */
    private fun enqueue(service: ServiceName, copy: CopyName, requester: ModelRequester) {
        val spec = view.catalog?.services?.get(service)?.engine
        val readyInMillis = spec?.let {
            plannerOf(service).expectedMillisOrNull(copy.modelId, enginesOf(service), it, clock.nowMillis())
        }
        if (readyInMillis != null) queued.getOrPut(service to copy.modelId, ::QueuedRequesters).add(requester, clock.nowMillis())
        transport.answer(requester, CopyAnswer(requester.number, readyInMillis, targetId = null, reason = "no_plan"))
    }

    private fun holderOrNull(service: ServiceName, copy: CopyName): TargetId? =
        view.usableTargets(service).firstOrNull { view.holds(it, copy) }?.entry?.targetId

    /** Looks for what to load for [service], at once or as soon as it is time for another look. */
    private fun requestPlanning(service: ServiceName) {
        servicesToPlan += service
        planIfDue()
    }

    private fun planIfDue() {
        val startMillis = clock.nowMillis()
        if (isPlanning || servicesToPlan.isEmpty() || !throttle.mayPlan(startMillis)) return
        isPlanning = true
        try {
            val services = servicesToPlan.toList()
            servicesToPlan.clear()
            services.forEach(::startLoads)
        } finally {
            isPlanning = false
            throttle.onPlanned(startMillis, clock.nowMillis())
        }
    }

    /** Starts the loads that gain most, as many as may run. */
    private fun startLoads(service: ServiceName) {
        val spec = view.catalog?.services?.get(service)?.engine ?: return
        val planner = plannerOf(service)
        prefillBudgetOrNull(service)?.let(planner::setPrefillBudget)
        repeat(MAX_LOADS_PER_ROUND) {
            val plan = planner.nextPlanOrNull(enginesOf(service), spec, clock.nowMillis()) ?: return
            val model = spec.models.getValue(plan.modelId)
            val loadMillis = model.loadMillisFrom(plan.source)
            val evictionMillis = if (plan.victims.isEmpty()) 0 else ModelPlannerSettings().evictionMillis
            start(service, plan, loadMillis + evictionMillis + REPORT_MARGIN_MILLIS)
        }
    }

    private fun prefillBudgetOrNull(service: ServiceName): PrefillBudget? {
        val gapMillis = view.catalog?.minGapMillisOrNull(service) ?: return null
        return prefillSpeed.millisPerTokenOrNull()?.let { PrefillBudget(it, gapMillis) }
    }

    private fun start(service: ServiceName, plan: LoadPlan, loadMillis: Long) {
        val nowMillis = clock.nowMillis()
        val planner = plannerOf(service)
        val load = RunningLoad(numbers.next(), service, plan, nowMillis)
        load.expectedAtMillis = nowMillis + loadMillis
        load.requesters += queued.remove(service to plan.modelId)?.requesters.orEmpty()
        running[load.number] = load
        planner.load(plan, loadMillis, nowMillis)
        log.write(
            Event.LOAD_PLANNED,
            field("model", plan.modelId),
            field("target", plan.targetId),
            field("victims", plan.victims),
            field("source", plan.source.name.lowercase()),
            field("millisPerPromptToken", prefillSpeed.millisPerTokenOrNull()),
            field("demandPerSecond", planner.demandPerSecond(plan.modelId, nowMillis)),
        )
        send(load)
        if (load.number in running) load.requesters.forEach { transport.answer(it, load.answerTo(it, nowMillis)) }
    }

    private fun enginesOf(service: ServiceName): List<PlannedEngine> =
        view.usableTargets(service).map { target ->
            val heldModels = view.heldModels(target)
            PlannedEngine(target.entry.targetId, heldModels, view.hostWeights(target))
        }

    private fun send(plan: RunningLoad) {
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
            readyInMillis > 0 -> plan.expectedAtMillis = clock.nowMillis() + readyInMillis
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
        val requesters = plan.requesters + loadsOf(plan.service, copy.modelId).flatMap { it.drainRequesters() }
        requesters.forEach { transport.answer(it, CopyAnswer(it.number, 0, targetId, reason = "")) }
        requestPlanning(plan.service)
    }

    private fun onDeclined(plan: RunningLoad, reason: String) {
        log.write(
            Event.COPY_DECLINED,
            field("copy", plan.plan.modelId),
            field("target", plan.plan.targetId),
            field("reason", reason),
        )
        running -= plan.number
        plannerOf(plan.service).ended(plan.plan, wasDeclined = true, clock.nowMillis())
        val other = loadsOf(plan.service, plan.plan.modelId).minByOrNull { it.expectedAtMillis }
        if (other != null) {
            other.requesters += plan.requesters
            return
        }
        plan.requesters.forEach { enqueue(plan.service, CopyName(plan.plan.modelId), it) }
        if (plan.requesters.isNotEmpty()) requestPlanning(plan.service)
    }

    /** Starts what is due for the services that this VM plans for; called about once a second. */
    fun startDueLoads(isPlanner: (ServiceName) -> Boolean) {
        view.catalog?.services.orEmpty().values
            .filter { it.engine != null && isPlanner(it.name) }
            .forEach { requestPlanning(it.name) }
    }

    /** Repeats orders that got no answer, and starts loads whose turn has come; called every few milliseconds. */
    fun tick() {
        val nowMillis = clock.nowMillis()
        if (nowMillis - queueRetriedAtMillis >= QUEUE_RETRY_MILLIS) startQueued(nowMillis)
        planIfDue()
        running.values.toList().forEach { plan ->
            when {
                nowMillis > plan.expectedAtMillis + plan.graceMillis -> onDeclined(plan, "overdue")
                view.isRefusingConnections(plan.plan.targetId) -> onDeclined(plan, "dead")
                plan.isAnswered -> Unit
                nowMillis - plan.sentAtMillis <= RESEND_MILLIS -> Unit
                plan.sends >= MAX_SENDS -> onDeclined(plan, "no_answer")
                else -> send(plan)
            }
        }
    }

    private fun startQueued(nowMillis: Long) {
        queueRetriedAtMillis = nowMillis
        queued.values.removeIf { nowMillis - it.requestedAtMillis > ModelPlannerSettings().missWindowMillis }
        queued.keys.mapTo(LinkedHashSet()) { (service, _) -> service }.forEach(::requestPlanning)
    }

    private fun plannerOf(service: ServiceName): ModelPlanner = planners.getOrPut(service) { ModelPlanner() }
}

/** VMs that wait for the turn of a model. */
private class QueuedRequesters {
    val requesters = LinkedHashSet<ModelRequester>()
    var requestedAtMillis = Long.MIN_VALUE
        private set

    fun add(requester: ModelRequester, nowMillis: Long) {
        requesters += requester
        requestedAtMillis = nowMillis
    }
}

/** A load that was ordered and has not ended. */
private class RunningLoad(
    val number: Long,
    val service: ServiceName,
    val plan: LoadPlan,
    val startedAtMillis: Long,
) {
    val requesters = LinkedHashSet<ModelRequester>()
    var sentAtMillis = startedAtMillis
    var sends = 0
    var expectedAtMillis = startedAtMillis
    var isAnswered = false

    /** Loads take longer while many run. */
    val graceMillis: Long
        get() = (expectedAtMillis - startedAtMillis).coerceAtLeast(MIN_GRACE_MILLIS)

    fun drainRequesters(): Set<ModelRequester> = requesters.toSet().also { requesters.clear() }

    fun answerTo(requester: ModelRequester, nowMillis: Long): CopyAnswer =
        CopyAnswer(requester.number, (expectedAtMillis - nowMillis).coerceAtLeast(1), plan.targetId, reason = "")

    private companion object {
        const val MIN_GRACE_MILLIS = 2_000L
    }
}
