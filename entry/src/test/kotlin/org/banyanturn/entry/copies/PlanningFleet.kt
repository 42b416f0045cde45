package org.banyanturn.entry.copies

import org.banyanturn.core.AdapterId
import org.banyanturn.core.ModelId
import org.banyanturn.core.TargetId
import org.banyanturn.core.ZoneId
import org.banyanturn.core.placement.CopyName
import org.banyanturn.core.placement.LoadPlan
import org.banyanturn.core.placement.StoreLoad
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

/** What callers saw of one model or adapter. */
internal class CopyOutcome {
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
     * @property fullSpeedStoreLoads the number of loads that the weight store serves at full speed.
     */
    class Size(
        val vms: Int,
        val engines: Int,
        val models: Int,
        val cachedModels: Int,
        val heldPerEngine: Int,
        val cachedPerHost: Int,
        val fullSpeedStoreLoads: Int,
    )

    /**
     * A request of a caller.
     *
     * @property adapter the adapter of the model that is requested, which is there as soon as the model is, or `null`.
     * @property patienceMillis the time for which the caller waits.
     * @property retries the number of times that the caller comes back after a refusal.
     */
    class CallerRequest(
        val model: Int,
        val adapter: Int? = null,
        val patienceMillis: Long = PATIENCE_MILLIS,
        val retries: Int = 0,
    ) {
        val copy: CopyName
            get() = CopyName(ModelId("m$model"), adapter?.let { AdapterId("a$it") })
    }

    private class WaitingCaller(val request: CallerRequest, val untilMillis: Long)

    private class Event(val atMillis: Long, val number: Long, val run: () -> Unit)

    private val random = Random(seed)
    private val events = PriorityQueue<Event>(compareBy({ it.atMillis }, { it.number }))
    private var eventNumber = 0L

    /** The virtual time. */
    var nowMillis = 0L
        private set

    private val service = ServiceName("llm")
    private val models = List(size.models) { ModelId("m$it") }
    private val specs = CountingMap(models.associateWith { ModelSpec(it, 72_700.0, 8_970, 1_700, 0, 66.0, 810) })
    private val clock = ProcessClock { nowMillis }
    private val view = FleetView(clock, ZoneId("z"))
    private val engines = List(size.engines) { SimulatedEngine(TargetId("i-$it")) }
    private val numbers = generateSequence(1L) { it + 1 }.iterator()
    private val vms = List(size.vms) { SimulatedVm("vm-$it") }
    private val store = SimulatedStore()
    private val planner = PlannerVm()

    /** The number of loads that engines have begun. */
    var loads = 0
        private set

    /** The number of these loads that came from the weight store. */
    var storeLoads = 0
        private set

    /** What callers saw, by model and adapter. */
    val outcomes = LinkedHashMap<CopyName, CopyOutcome>()

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
        val usable = engines.filter { it.isListed }
        view.adopt(usable.fold(TargetDirectory.empty()) { listed, engine -> listed.listed(engine.entry(), nowMillis) })
    }

    private fun holds(copy: CopyName): Boolean = engines.any { it.isListed && copy.modelId in it.held }

    /** Takes [count] engines and their hosts away [atMillis]. */
    fun loseEngines(count: Int, atMillis: Long) {
        schedule(atMillis - nowMillis) {
            val lost = engines.filter { it.isListed }.shuffled(random).take(count)
            lost.forEach { it.stop() }
            listEngines()
        }
    }

    /** Crashes [count] engines [atMillis]; they return empty [forMillis] later, with the weights on their disks. */
    fun crashEngines(count: Int, atMillis: Long, forMillis: Long) {
        schedule(atMillis - nowMillis) {
            val crashed = engines.filter { it.isListed }.shuffled(random).take(count)
            crashed.forEach { it.stop() }
            listEngines()
            schedule(forMillis) {
                crashed.forEach { it.isListed = true }
                listEngines()
            }
        }
    }

    /** Lets another VM plan from [atMillis] on, which knows nothing of what the one before has observed and ordered. */
    fun replacePlanner(atMillis: Long) {
        schedule(atMillis - nowMillis) { planner.replace() }
    }

    private fun tick() {
        vms.forEach { it.tick() }
        planner.submit { planner.coordinator.tick() }
        if (nowMillis % REPORT_MILLIS < TICK_MILLIS) engines.forEach { it.reportProgress() }
        if (nowMillis % DUE_LOADS_MILLIS < TICK_MILLIS) planner.submit { planner.coordinator.startDueLoads { true } }
        schedule(TICK_MILLIS, ::tick)
    }

    /** Plays requests, [perSecond] in total and drawn by [draw], [fromMillis] [untilMillis]. */
    fun play(untilMillis: Long, perSecond: Double, fromMillis: Long = 0, draw: (Random) -> CallerRequest) {
        schedule(fromMillis) { scheduleArrival(perSecond, draw) }
        while (nowMillis < untilMillis) {
            val event = checkNotNull(events.poll()) { "ticks never end" }
            nowMillis = event.atMillis
            event.run()
        }
    }

    private fun scheduleArrival(perSecond: Double, draw: (Random) -> CallerRequest) {
        val gapMillis = -ln(1 - random.nextDouble()) / perSecond * MILLIS_PER_SECOND
        schedule(gapMillis.toLong()) {
            vms[random.nextInt(vms.size)].onRequest(draw(random))
            scheduleArrival(perSecond, draw)
        }
    }

    /**
     * The weight store; a load takes as long as the number of loads that run when it starts says.
     *
     * An engine that stops gives up its load.
     */
    private inner class SimulatedStore {
        private val loading = HashSet<SimulatedEngine>()

        /** Returns how long a load started now takes, which takes [loadMillis] at full speed. */
        fun expectedMillis(loadMillis: Long): Long =
            loadMillis * maxOf(loading.size + 1, size.fullSpeedStoreLoads) / size.fullSpeedStoreLoads

        fun load(engine: SimulatedEngine, loadMillis: Long, onLoaded: () -> Unit) {
            val takesMillis = expectedMillis(loadMillis)
            loading += engine
            schedule(takesMillis, onLoaded)
        }

        fun release(engine: SimulatedEngine) {
            loading -= engine
        }
    }

    private inner class SimulatedEngine(val targetId: TargetId) {
        val held = LinkedHashSet<ModelId>()
        val onDisk = LinkedHashSet<ModelId>()
        var isListed = true
        private var starts = 0
        private var busyUntilMillis = 0L
        private var storeLoad: Pair<ModelId, Long>? = null

        fun entry(): TargetEntry =
            TargetEntry(
                targetId, service, "10.0.0.1:80", ZoneId("z"), SLOTS, false, null, null,
                held.associateWith { HeldModel(it, 1, emptySet()) }, HostWeights(onDisk = onDisk.toSet()),
            )

        fun stop() {
            isListed = false
            held.clear()
            starts++
            busyUntilMillis = 0
            storeLoad = null
            store.release(this)
        }

        /** Reports the load from the store to the planner, as the owner of the engine does. */
        fun reportProgress() {
            val (modelId, sinceMillis) = storeLoad ?: return
            val load = StoreLoad(modelId, nowMillis - sinceMillis)
            planner.submit { planner.coordinator.recordStoreLoad(service, targetId, load) }
        }

        fun load(plan: LoadPlan): Long? {
            if (busyUntilMillis > nowMillis) return null
            held -= plan.victims.toSet()
            loads++
            if (plan.modelId !in onDisk) storeLoads++
            val evictionMillis = if (plan.victims.isEmpty()) 0 else EVICTION_MILLIS
            val model = checkNotNull(specs[plan.modelId])
            val loaded = starts.let { start -> { if (start == starts) onLoaded(plan.modelId) } }
            listEngines()
            if (plan.modelId in onDisk) {
                val loadMillis = evictionMillis + model.loadMillisFrom(WeightsSource.HOST_DISK)
                busyUntilMillis = nowMillis + loadMillis
                schedule(loadMillis, loaded)
                return loadMillis
            }
            busyUntilMillis = Long.MAX_VALUE
            val start = starts
            schedule(evictionMillis) {
                if (start != starts) return@schedule
                storeLoad = plan.modelId to nowMillis
                store.load(this, model.loadMillis, loaded)
            }
            return evictionMillis + store.expectedMillis(model.loadMillis)
        }

        private fun onLoaded(modelId: ModelId) {
            busyUntilMillis = nowMillis
            storeLoad = null
            store.release(this)
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
        var coordinator = newCoordinator()
            private set

        private fun newCoordinator() = ModelLoadCoordinator(
            view,
            { nowMillis + if (isBusy) elapsedMillis() else 0 },
            DecisionLog(clock, EntryMetrics()),
            numbers,
            PrefillSpeedEstimator(),
        ).also { it.transport = this }

        fun replace() {
            coordinator = newCoordinator()
        }

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
                val engine = engines.first { it.targetId == plan.targetId }
                if (!engine.isListed) return@schedule
                val readyInMillis = engine.load(plan)
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
        private val waiting = LinkedHashMap<CopyName, MutableList<WaitingCaller>>()
        val copies = CopyRequestTracker(view, clock, DecisionLog(clock, EntryMetrics()), numbers).also {
            it.transport = this
            it.waiting = this@SimulatedVm
        }

        fun onRequest(request: CallerRequest) {
            val copy = request.copy.model
            val outcome = outcomes.getOrPut(request.copy, ::CopyOutcome)
            outcome.arrivedAtMillis += nowMillis
            planner.submit { planner.coordinator.recordDemand(service, request.copy, ArrivedRequests(1, 0)) }
            if (holds(copy)) {
                outcome.served++
                return
            }
            val availability = copies.request(requirementsOf(copy), emptyList())
            val isInTime =
                availability is CopyAvailability.Expected && availability.readyInMillis <= request.patienceMillis
            if (!isInTime) return onRefused(request)
            waiting.getOrPut(copy) { ArrayList() } += WaitingCaller(request, nowMillis + request.patienceMillis)
        }

        private fun onRefused(request: CallerRequest) {
            if (request.retries == 0) return
            val repeat =
                CallerRequest(request.model, request.adapter, request.patienceMillis, request.retries - 1)
            schedule(RETRY_AFTER_MILLIS) { vms[random.nextInt(vms.size)].onRequest(repeat) }
        }

        private fun refuse(copy: CopyName, isRefused: (WaitingCaller) -> Boolean) {
            val refused = waiting[copy]?.filter(isRefused).orEmpty()
            waiting[copy]?.removeAll(refused)
            refused.forEach { onRefused(it.request) }
        }

        private fun requirementsOf(copy: CopyName) = TargetRequirements(service, copy, "$copy", emptySet(), 1_000)

        fun onReady(targetId: TargetId, copy: CopyName) {
            copies.onReady(targetId, copy)
            serve(copy)
        }

        private fun serve(copy: CopyName) {
            waiting.remove(copy).orEmpty().filter { it.untilMillis >= nowMillis }
                .forEach { outcomes.getValue(it.request.copy).served++ }
        }

        fun tick() {
            copies.tick()
            waiting.keys.toList().forEach { copy -> refuse(copy) { it.untilMillis < nowMillis } }
            waiting.values.removeIf { it.isEmpty() }
            waiting.keys.filter(::holds).forEach(::serve)
        }

        override fun requestFromOwner(number: Long, targetId: TargetId, copy: CopyName): Boolean = false

        override fun requestFromPlanner(number: Long, service: ServiceName, copy: CopyName): Boolean {
            schedule(NETWORK_MILLIS) {
                planner.submit { planner.coordinator.request(service, copy, ModelRequester(name, number)) }
            }
            return true
        }

        override fun requirementsOrNull(copy: CopyName): TargetRequirements? =
            if (waiting[copy].isNullOrEmpty()) null else requirementsOf(copy)

        override fun modelHolders(requirements: TargetRequirements): List<KnownTarget> = emptyList()

        override fun refuse(requirements: TargetRequirements): Unit =
            refuse(checkNotNull(requirements.copy) { "all requests are for models" }) { true }

        override fun refuseExpiringBefore(copy: CopyName, atMillis: Long): Unit =
            refuse(copy) { it.untilMillis < atMillis }
    }

    private companion object {
        const val TICK_MILLIS = 20L
        const val DUE_LOADS_MILLIS = 1_000L
        const val REPORT_MILLIS = 240L
        const val NETWORK_MILLIS = 3L
        const val EVICTION_MILLIS = 500L
        const val PATIENCE_MILLIS = 8_000L
        const val RETRY_AFTER_MILLIS = 1_000L
        const val SLOTS = 24
        const val ADAPTER_SLOTS = 8
        const val LOADS_PER_SECOND = 26.0
        const val WEIGHTS_MEGABYTES = 220_000.0
        const val MILLIS_PER_SECOND = 1_000.0
        const val MICROS_PER_MILLI = 1_000.0
    }
}
