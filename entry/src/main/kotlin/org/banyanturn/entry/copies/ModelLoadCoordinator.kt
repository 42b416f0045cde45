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
import org.banyanturn.core.placement.StoreLoad
import org.banyanturn.core.routing.PrefillSpeedEstimator
import org.banyanturn.core.serving.ServiceName
import org.banyanturn.daemon.ProcessClock
import org.banyanturn.daemon.logs.Event
import org.banyanturn.daemon.logs.field
import org.banyanturn.entry.observe.DecisionLog
import org.banyanturn.entry.observe.PlanningLog
import org.banyanturn.entry.requests.ArrivedRequests
import org.banyanturn.entry.requests.FleetView

/** Maximum number of loads that one round of planning starts for a service. */
private const val MAX_LOADS_PER_ROUND = 8

/** Time beyond the load itself until a report of the engine lists the copy. */
private const val REPORT_MARGIN_MILLIS = 400L

/** Time after which an unanswered order is sent again. */
private const val RESEND_MILLIS = 40L

/**
 * Number of times an order is sent without an answer before the plan is abandoned.
 *
 * Sends are counted instead of time, so that a pause of this VM doesn't count against the owner.
 */
private const val MAX_SENDS = 6

/** Time between two attempts to plan loads for queued requests. */
private const val QUEUE_RETRY_MILLIS = 100L

/** Identifies a VM's request for a model by its [host], which is `null` for this VM, and its [number] on that VM. */
internal data class ModelRequester(val host: String?, val number: Long)

/** Sends orders to the owners of engines, and answers to the VMs that requested a model. */
internal interface ModelLoadTransport {
    /** Sends [plan] to the owner of its engine, and returns whether an owner is known. */
    fun order(number: Long, plan: LoadPlan): Boolean

    /** Sends [answer] to [requester]. */
    fun answer(requester: ModelRequester, answer: CopyAnswer)
}

/** Plans and orders the loads of requested models on the VM that plans for a service; used on the event loop only. */
internal class ModelLoadCoordinator(
    private val view: FleetView,
    private val clock: ProcessClock,
    private val log: DecisionLog,
    private val numbers: Iterator<Long>,
    private val prefillSpeed: PrefillSpeedEstimator,
) {
    private val planners = HashMap<ServiceName, ModelPlanner>()
    private val running = LinkedHashMap<Long, RunningLoad>()
    private val queued = HashMap<Pair<ServiceName, ModelId>, QueuedLoad>()

    private val expectations = LoadExpectationCache(clock)
    private val planningLog = PlanningLog(clock, log)
    private val throttle = PlanningThrottle()
    private val servicesToPlan = LinkedHashSet<ServiceName>()
    private var isPlanning = false
    private var queueRetriedAtMillis = 0L

    /** Whether loads are running, queued or about to be planned. */
    val isBusy: Boolean
        get() = running.isNotEmpty() || queued.isNotEmpty() || servicesToPlan.isNotEmpty()

    /** Sends orders and answers to other VMs. */
    lateinit var transport: ModelLoadTransport

    /** Records that requests for a model or one of its adapters have arrived at some VM. */
    fun recordDemand(service: ServiceName, copy: CopyName, arrived: ArrivedRequests) {
        plannerOf(service)
            .recordDemand(copy.modelId, copy.adapterId, arrived.count, clock.nowMillis(), arrived.promptTokens)
    }

    /** Handles a request for the model [copy]; the answer is sent to [requester]. */
    fun request(service: ServiceName, copy: CopyName, requester: ModelRequester): Unit =
        planningLog.measureRequest { handleRequest(service, copy, requester) }

    private fun handleRequest(service: ServiceName, copy: CopyName, requester: ModelRequester) {
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
        val isWaiting = queued[service to modelId]?.requesters?.hasRequestOf(requester.host) == true ||
            loadsOf(service, modelId).any { it.requesters.hasRequestOf(requester.host) }
        if (isWaiting) {
            plannerOf(service).recordStillWaiting(modelId, clock.nowMillis())
        } else {
            plannerOf(service).recordMiss(modelId, clock.nowMillis())
        }
    }

    private fun loadsOf(service: ServiceName, modelId: ModelId): List<RunningLoad> =
        running.values.filter { it.service == service && it.plan.modelId == modelId }

    /** Queues [requester] and answers when its load can be expected, or that no load is possible. */
    private fun enqueue(service: ServiceName, copy: CopyName, requester: ModelRequester) {
        val waitMillis = expectedMillisOrNull(service, copy.modelId)
        if (waitMillis != null) queued.getOrPut(service to copy.modelId, ::QueuedLoad).add(requester, clock.nowMillis())
        transport.answer(requester, CopyAnswer(requester.number, waitMillis, targetId = null, reason = "no_plan"))
    }

    private fun expectedMillisOrNull(service: ServiceName, modelId: ModelId): Long? {
        val spec = view.catalog?.services?.get(service)?.engine ?: return null
        val current = expectations.current(service, modelId) { nowMillis ->
            plannerOf(service).expectations(enginesOf(service), spec, nowMillis)
        }
        return current.expectedMillisOrNull(modelId)
    }

    private fun holderOrNull(service: ServiceName, copy: CopyName): TargetId? =
        view.usableTargets(service).firstOrNull { view.holds(it, copy) }?.entry?.targetId

    /** Plans loads for [service], immediately or as soon as the throttle allows. */
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
            planningLog.measureRun { services.forEach(::startLoads) }
        } finally {
            isPlanning = false
            throttle.onPlanned(startMillis, clock.nowMillis())
        }
    }

    /** Starts the most beneficial loads, as many as may run. */
    private fun startLoads(service: ServiceName) {
        val spec = view.catalog?.services?.get(service)?.engine ?: return
        val planner = plannerOf(service)
        prefillBudgetOrNull(service)?.let(planner::setPrefillBudget)
        repeat(MAX_LOADS_PER_ROUND) {
            val plan = planner.nextPlanOrNull(enginesOf(service), spec, clock.nowMillis()) ?: return
            start(service, plan, spec.models.getValue(plan.modelId).loadMillisFrom(plan.source))
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
        val evictionMillis = if (plan.victims.isEmpty()) 0 else ModelPlannerSettings().evictionMillis
        val expectedInMillis = planner.started(plan, loadMillis, nowMillis, evictionMillis + REPORT_MARGIN_MILLIS)
        load.expectedAtMillis = nowMillis + expectedInMillis
        queued.remove(service to plan.modelId)?.let { load.requesters += it.requesters }
        running[load.number] = load
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
        if (load.number !in running) return
        load.requesters.toList().forEach { transport.answer(it, load.answerTo(it, nowMillis)) }
    }

    private fun enginesOf(service: ServiceName): List<PlannedEngine> =
        view.usableTargets(service).map { target ->
            val heldModels = view.heldModels(target)
            PlannedEngine(target.entry.targetId, heldModels, view.hostWeights(target))
        }

    private fun send(load: RunningLoad) {
        load.sentAtMillis = clock.nowMillis()
        load.sends++
        if (!transport.order(load.number, load.plan)) onDeclined(load, "no_owner")
    }

    /** Handles an owner's answer to one of this planner's orders. */
    fun onAnswer(answer: CopyAnswer) {
        val load = running[answer.number] ?: return
        val readyInMillis = answer.readyInMillis
        load.isAnswered = true
        when {
            readyInMillis == null -> onDeclined(load, answer.reason)
            readyInMillis > 0 -> load.expectedAtMillis = clock.nowMillis() + readyInMillis
            else -> onReady(load.plan.targetId, CopyName(load.plan.modelId))
        }
    }

    /** Records that the engine [targetId] holds [copy], and notifies the VMs that requested it. */
    fun onReady(targetId: TargetId, copy: CopyName) {
        val load =
            running.values.firstOrNull { it.plan.targetId == targetId && it.plan.modelId == copy.modelId } ?: return
        running -= load.number
        view.directory.targets[targetId]?.let { view.recordCopyPresence(it, copy, isPresent = true) }
        plannerOf(load.service).ended(load.plan, wasDeclined = false, clock.nowMillis())
        loadsOf(load.service, copy.modelId).forEach { load.requesters += it.drainRequesters() }
        load.requesters.toList().forEach { transport.answer(it, CopyAnswer(it.number, 0, targetId, reason = "")) }
        requestPlanning(load.service)
    }

    /** Records the [storeLoad] of the engine [targetId], as its owner reports; another planner may have ordered it. */
    fun recordStoreLoad(service: ServiceName, targetId: TargetId, storeLoad: StoreLoad) {
        val model = view.catalog?.services?.get(service)?.engine?.models?.get(storeLoad.modelId) ?: return
        if (!view.isUsable(targetId) || view.isRefusingConnections(targetId)) return
        val nowMillis = clock.nowMillis()
        val plan = LoadPlan(targetId, storeLoad.modelId, victims = emptyList())
        val expectedInMillis =
            plannerOf(service).recordProgress(plan, storeLoad.elapsedMillis, model.loadMillis, nowMillis) ?: return
        val load = RunningLoad(numbers.next(), service, plan, nowMillis - storeLoad.elapsedMillis)
        load.expectedAtMillis = nowMillis + expectedInMillis
        load.isAnswered = true
        load.isAdopted = true
        running[load.number] = load
        answerQueued(load, nowMillis)
    }

    /** Answers the requests that were queued for the model of [load] that the load has begun. */
    private fun answerQueued(load: RunningLoad, nowMillis: Long) {
        queued.remove(load.service to load.plan.modelId)?.let { load.requesters += it.requesters }
        load.requesters.toList().forEach { transport.answer(it, load.answerTo(it, nowMillis)) }
    }

    private fun hasEnded(load: RunningLoad): Boolean {
        val target = view.directory.targets[load.plan.targetId] ?: return false
        return load.isAdopted && view.holds(target, CopyName(load.plan.modelId))
    }

    private fun onDeclined(load: RunningLoad, reason: String) {
        planningLog.recordDeclined()
        log.write(
            Event.COPY_DECLINED,
            field("copy", load.plan.modelId),
            field("target", load.plan.targetId),
            field("reason", reason),
        )
        running -= load.number
        plannerOf(load.service).ended(load.plan, wasDeclined = true, clock.nowMillis())
        val other = loadsOf(load.service, load.plan.modelId).minByOrNull { it.expectedAtMillis }
        if (other != null) {
            other.requesters += load.requesters
            return
        }
        val requesters = load.requesters.toList()
        requesters.forEach { enqueue(load.service, CopyName(load.plan.modelId), it) }
        if (requesters.isNotEmpty()) requestPlanning(load.service)
    }

    /** Plans loads for the services that this VM plans for; called about once a second. */
    fun startDueLoads(isPlanner: (ServiceName) -> Boolean) {
        view.catalog?.services.orEmpty().values
            .filter { it.engine != null && isPlanner(it.name) }
            .forEach { requestPlanning(it.name) }
    }

    /** Logs what this planner did since the last call; called about once a second. */
    fun writeSummary() {
        if (!planningLog.hasNews) return
        planners.forEach { (service, planner) -> writeWaiting(service, planner) }
        planningLog.write(queued.size, running.size, fromStore = running.values.count { it.plan.isFromStore })
    }

    private fun writeWaiting(service: ServiceName, planner: ModelPlanner) {
        val spec = view.catalog?.services?.get(service)?.engine ?: return
        planningLog.writeWaiting(planner.waitingModels(enginesOf(service), spec, clock.nowMillis()))
    }

    /** Resends unanswered orders, abandons failed loads and starts queued ones; called every few milliseconds. */
    fun tick() {
        val nowMillis = clock.nowMillis()
        if (nowMillis - queueRetriedAtMillis >= QUEUE_RETRY_MILLIS) startQueued(nowMillis)
        planIfDue()
        val storeLoads = running.values.count { it.plan.isFromStore }
        running.values.toList().forEach { load ->
            when {
                hasEnded(load) -> onReady(load.plan.targetId, CopyName(load.plan.modelId))
                nowMillis > load.expectedAtMillis + load.graceMillis(storeLoads) -> onDeclined(load, "overdue")
                load.plan.targetId !in view.directory.targets -> onDeclined(load, "gone")
                view.isEvacuated(load.plan.targetId) -> onDeclined(load, "evacuated")
                view.isRefusingConnections(load.plan.targetId) -> onDeclined(load, "dead")
                load.isAnswered -> Unit
                nowMillis - load.sentAtMillis <= RESEND_MILLIS -> Unit
                load.sends >= MAX_SENDS -> onDeclined(load, "no_answer")
                else -> send(load)
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
