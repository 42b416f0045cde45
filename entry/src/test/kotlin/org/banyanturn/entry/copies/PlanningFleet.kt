package org.banyanturn.entry.copies

import org.banyanturn.core.ModelId
import org.banyanturn.core.TargetId
import org.banyanturn.core.ZoneId
import org.banyanturn.core.placement.CopyName
import org.banyanturn.core.placement.LoadPlan
import org.banyanturn.core.routing.PrefillSpeedEstimator
import org.banyanturn.core.serving.CallerLimits
import org.banyanturn.core.serving.Catalog
import org.banyanturn.core.serving.EngineSpec
import org.banyanturn.core.serving.HeldModel
import org.banyanturn.core.serving.HostWeights
import org.banyanturn.core.serving.KnownTarget
import org.banyanturn.core.serving.ModelSpec
import org.banyanturn.core.serving.Service
import org.banyanturn.core.serving.ServiceName
import org.banyanturn.core.serving.TargetDirectory
import org.banyanturn.core.serving.TargetEntry
import org.banyanturn.core.serving.WeightsSource
import org.banyanturn.daemon.ProcessClock
import org.banyanturn.entry.observe.DecisionLog
import org.banyanturn.entry.observe.EntryMetrics
import org.banyanturn.entry.requests.ArrivedRequests
import org.banyanturn.entry.requests.CopyAvailability
import org.banyanturn.entry.requests.FleetView
import org.banyanturn.entry.requests.TargetRequirements
import java.util.PriorityQueue
import kotlin.math.ln
import kotlin.random.Random

/** Counts look-ups, the unit in which the work of the simulated planner is measured. */
internal class CountingMap<K, V>(private val map: Map<K, V>) : Map<K, V> by map {
    /** The number of look-ups and iterated values so far. */
    var lookups = 0L
        private set

    override val values: Collection<V>
        get() = map.values.also { lookups += it.size }

    override fun get(key: K): V? = map[key].also { lookups++ }
}

/** What callers saw of one model. */
internal class ModelOutcome {
    val arrivedAtMillis = ArrayList<Long>()
    var served = 0
}

/**
 * Simulates VMs whose callers request models, the one VM that plans for all, and the engines, in virtual time.
 *
 * The planner handles one message after the other, and each look-up of a model takes it [lookupMicros]. All VMs see at
 * once which engine holds what; orders always reach their engine, and one engine carries out one load at a time.
 */
internal class PlanningFleet(private val size: Size, seed: Int, private val lookupMicros: Double) {
    /**
     * The size of the fleet.
     *
     * @property cachedModels the number of models that any host caches; the others are in the weight store only.
     */
    class Size(
        val vms: Int,
        val engines: Int,
        val models: Int,
        val cachedModels: Int,
        val heldPerEngine: Int,
        val cachedPerHost: Int,
    )

    private class Event(val atMillis: Long, val number: Long, val run: () -> Unit)

    private val random = Random(seed)
    private val events = PriorityQueue<Event>(compareBy({ it.atMillis }, { it.number }))
    private var eventNumber = 0L
    private var nowMillis = 0L
    private val service = ServiceName("llm")
    private val models = List(size.models) { ModelId("m$it") }
    private val specs = CountingMap(models.associateWith { ModelSpec(it, 72_700.0, 8_970, 1_700, 0, 66.0, 810) })
    private val clock = ProcessClock { nowMillis }
    private val view = FleetView(clock, ZoneId("z"))
    private val engines = List(size.engines) { SimulatedEngine(TargetId("i-$it")) }
    private val numbers = generateSequence(1L) { it + 1 }.iterator()
    private val vms = List(size.vms) { SimulatedVm("vm-$it") }
    private val planner = PlannerVm()

    /** What callers saw, by model. */
    val outcomes = LinkedHashMap<ModelId, ModelOutcome>()

    init {
        view.adopt(catalog())
        val cached = List(size.engines * size.cachedPerHost) { models[it % size.cachedModels] }.shuffled(random)
        engines.forEachIndexed { index, engine ->
            engine.onDisk += cached.subList(index * size.cachedPerHost, (index + 1) * size.cachedPerHost)
            engine.held += engine.onDisk.take(size.heldPerEngine)
        }
        listEngines()
        schedule(TICK_MILLIS, ::tick)
    }

    private fun catalog(): Catalog {
        val spec = EngineSpec(SLOTS, specs, WEIGHTS_MEGABYTES, ADAPTER_SLOTS, LOADS_PER_SECOND)
        return Catalog(
            version = 1,
            routes = emptyList(),
            services = mapOf(service to Service(service, "/health", maxConnections = 100, spec)),
            members = emptyMap(),
            hasMembers = false,
            callerLimits = CallerLimits(16_384, 65_536, 5_000, 15_000),
        )
    }

    private fun schedule(delayMillis: Long, run: () -> Unit) {
        events += Event(nowMillis + delayMillis, ++eventNumber, run)
    }

    private fun listEngines() {
        view.adopt(engines.fold(TargetDirectory.empty()) { listed, engine -> listed.listed(engine.entry(), nowMillis) })
    }

    private fun holds(copy: CopyName): Boolean = engines.any { copy.modelId in it.held }

    private fun tick() {
        vms.forEach { it.tick() }
        planner.submit { planner.coordinator.tick() }
        schedule(TICK_MILLIS, ::tick)
    }

    /** Plays requests for models, [perSecond] in total and drawn by [drawModel], until [untilMillis]. */
    fun play(untilMillis: Long, perSecond: Double, drawModel: (Random) -> Int) {
        scheduleArrival(perSecond, drawModel)
        while (nowMillis < untilMillis) {
            val event = checkNotNull(events.poll()) { "ticks never end" }
            nowMillis = event.atMillis
            event.run()
        }
    }

    private fun scheduleArrival(perSecond: Double, drawModel: (Random) -> Int) {
        val gapMillis = -ln(1 - random.nextDouble()) / perSecond * MILLIS_PER_SECOND
        schedule(gapMillis.toLong()) {
            vms[random.nextInt(vms.size)].onRequest(models[drawModel(random)])
            scheduleArrival(perSecond, drawModel)
        }
    }

    private inner class SimulatedEngine(val targetId: TargetId) {
        val held = LinkedHashSet<ModelId>()
        val onDisk = LinkedHashSet<ModelId>()
        var busyUntilMillis = 0L

        fun entry(): TargetEntry =
            TargetEntry(
                targetId, service, "10.0.0.1:80", ZoneId("z"), SLOTS, false, null, null,
                held.associateWith { HeldModel(it, 1, emptySet()) }, HostWeights(onDisk = onDisk.toSet()),
            )

        fun load(plan: LoadPlan): Long? {
            if (busyUntilMillis > nowMillis) return null
            held -= plan.victims.toSet()
            val evictionMillis = if (plan.victims.isEmpty()) 0 else EVICTION_MILLIS
            val loadMillis = checkNotNull(specs[plan.modelId]).loadMillisFrom(sourceOf(plan.modelId)) + evictionMillis
            busyUntilMillis = nowMillis + loadMillis
            listEngines()
            schedule(loadMillis) { onLoaded(plan.modelId) }
            return loadMillis
        }

        private fun sourceOf(modelId: ModelId) =
            if (modelId in onDisk) WeightsSource.HOST_DISK else WeightsSource.STORE

        private fun onLoaded(modelId: ModelId) {
            held += modelId
            onDisk += modelId
            listEngines()
            vms.forEach { it.onReady(targetId, CopyName(modelId)) }
            planner.submit { planner.coordinator.onReady(targetId, CopyName(modelId)) }
        }
    }

    /** The VM that plans: messages wait until the ones before are handled. */
    private inner class PlannerVm : ModelLoadTransport {
        private val inbox = ArrayDeque<() -> Unit>()
        private var isBusy = false
        private var startLookups = 0L
        val coordinator = ModelLoadCoordinator(
            view,
            { nowMillis + if (isBusy) elapsedMillis() else 0 },
            DecisionLog(clock, EntryMetrics()),
            numbers,
            PrefillSpeedEstimator(),
        ).also { it.transport = this }

        private fun elapsedMillis(): Long =
            ((specs.lookups - startLookups) * lookupMicros / MICROS_PER_MILLI).toLong()

        fun submit(message: () -> Unit) {
            inbox += message
            if (!isBusy) runNext()
        }

        private fun runNext() {
            val message = inbox.removeFirstOrNull() ?: return
            isBusy = true
            startLookups = specs.lookups
            message()
            schedule(elapsedMillis()) {
                isBusy = false
                runNext()
            }
        }

        override fun order(number: Long, plan: LoadPlan): Boolean {
            schedule(elapsedMillis() + NETWORK_MILLIS) {
                val readyInMillis = engines.first { it.targetId == plan.targetId }.load(plan)
                schedule(NETWORK_MILLIS) {
                    submit { coordinator.onAnswer(CopyAnswer(number, readyInMillis, plan.targetId, "busy")) }
                }
            }
            return true
        }

        override fun answer(requester: ModelRequester, answer: CopyAnswer) {
            val vm = vms.first { it.name == requester.host }
            schedule(elapsedMillis() + NETWORK_MILLIS) { vm.copies.onAnswer(answer) }
        }
    }

    private inner class SimulatedVm(val name: String) : CopyRequestTransport, PendingRequests {
        private val waitingUntilMillis = LinkedHashMap<CopyName, MutableList<Long>>()
        val copies = CopyRequestTracker(view, clock, DecisionLog(clock, EntryMetrics()), numbers).also {
            it.transport = this
            it.waiting = this
        }

        fun onRequest(modelId: ModelId) {
            val copy = CopyName(modelId)
            val outcome = outcomes.getOrPut(modelId, ::ModelOutcome)
            outcome.arrivedAtMillis += nowMillis
            planner.submit { planner.coordinator.recordDemand(service, copy, ArrivedRequests(1, 0)) }
            if (holds(copy)) {
                outcome.served++
                return
            }
            val availability = copies.request(requirementsOf(copy), emptyList())
            val isInTime = availability is CopyAvailability.Expected && availability.readyInMillis <= PATIENCE_MILLIS
            if (isInTime) waitingUntilMillis.getOrPut(copy) { ArrayList() } += nowMillis + PATIENCE_MILLIS
        }

        private fun requirementsOf(copy: CopyName) = TargetRequirements(service, copy, "$copy", emptySet(), 1_000)

        fun onReady(targetId: TargetId, copy: CopyName) {
            copies.onReady(targetId, copy)
            serve(copy)
        }

        private fun serve(copy: CopyName) {
            val served = waitingUntilMillis.remove(copy)?.count { it >= nowMillis } ?: return
            outcomes.getValue(copy.modelId).served += served
        }

        fun tick() {
            copies.tick()
            waitingUntilMillis.values.forEach { waiting -> waiting.removeIf { it < nowMillis } }
            waitingUntilMillis.values.removeIf { it.isEmpty() }
            waitingUntilMillis.keys.filter(::holds).forEach(::serve)
        }

        override fun requestFromOwner(number: Long, targetId: TargetId, copy: CopyName): Boolean = false

        override fun requestFromPlanner(number: Long, service: ServiceName, copy: CopyName): Boolean {
            schedule(NETWORK_MILLIS) {
                planner.submit { planner.coordinator.request(service, copy, ModelRequester(name, number)) }
            }
            return true
        }

        override fun requirementsOrNull(copy: CopyName): TargetRequirements? =
            if (copy in waitingUntilMillis) requirementsOf(copy) else null

        override fun modelHolders(requirements: TargetRequirements): List<KnownTarget> = emptyList()

        override fun refuse(requirements: TargetRequirements) {
            waitingUntilMillis -= checkNotNull(requirements.copy) { "all requests are for models" }
        }

        override fun refuseExpiringBefore(copy: CopyName, atMillis: Long) {
            waitingUntilMillis[copy]?.removeIf { it < atMillis }
        }
    }

    private companion object {
        const val TICK_MILLIS = 20L
        const val NETWORK_MILLIS = 3L
        const val EVICTION_MILLIS = 500L
        const val PATIENCE_MILLIS = 8_000L
        const val SLOTS = 24
        const val ADAPTER_SLOTS = 8
        const val LOADS_PER_SECOND = 26.0
        const val WEIGHTS_MEGABYTES = 220_000.0
        const val MILLIS_PER_SECOND = 1_000.0
        const val MICROS_PER_MILLI = 1_000.0
    }
}
