package org.banyanturn.measure.delivery

import org.banyanturn.core.delivery.CrashRecord
import org.banyanturn.core.delivery.IdempotencyKey
import kotlin.math.roundToLong

/** The proxy on one entry VM. */
internal interface Proxy {
    /** Whether the balancer may send it requests, as it says itself. */
    val isReady: Boolean

    /** Takes [request]; [channel] gets its answer. */
    fun accept(request: PlannedRequest, channel: CallerChannel)

    /** Ends at once with all that runs. */
    fun kill()

    /** Ends gracefully and reports that with [onExit]. */
    fun shutDown(onExit: () -> Unit)
}

/** Everything around the proxies: callers, balancer, targets, log and faults. */
internal class World(val schedule: Schedule, seed: Long, private val newProxy: (World, Int) -> Proxy) {
    val loop: EventLoop = EventLoop()
    val judge: Judge = Judge()
    val log: SimulatedLog = SimulatedLog(loop, seed)
    val engines: List<SimulatedTarget> =
        List(schedule.deployment.assistantEngines) { SimulatedTarget("engine-$it", this) }
    val services: List<SimulatedTarget> =
        List(schedule.deployment.serviceEngines) { SimulatedTarget("service-$it", this) }
    private val vms = arrayOfNulls<Proxy>(schedule.deployment.vms)
    private val attemptCounts = HashMap<String, Int>()
    private var readyVms: List<Int> = vms.indices.toList()
    private val crashListeners = mutableListOf<(CrashRecord) -> Unit>()
    private var knownCrashes: () -> List<CrashRecord> = { emptyList() }
    private val keyHolders = mutableListOf<(IdempotencyKey) -> Boolean>()
    private var connections = 0L

    /** When a VM last died or exited, with what only it knew. */
    var lastVmEndMillis: Long = -1
        private set

    /** Runs the whole schedule and returns what the judge counted. */
    fun run(): Judge {
        vms.indices.forEach { vms[it] = newProxy(this, it) }
        loop.every(BALANCER_MILLIS, ::checkReadiness)
        schedule.requests.forEach { loop.at(it.atMillis) { Caller(this, it).start() } }
        schedule.faults.forEach { loop.at(it.atMillis) { strike(it) } }
        loop.runUntil(schedule.endMillis)
        return judge
    }

    /** Returns the VM that the balancer, which learns of readiness late, gives to a request. */
    fun balance(number: Int): Proxy {
        val offered = readyVms.mapNotNull { vms[it] }.ifEmpty { vms.filterNotNull() }
        return offered[Math.floorMod(number * BALANCER_STRIDE, offered.size)]
    }

    /** Returns another VM than [than] that is ready, or `null`. */
    fun peerOrNull(than: Proxy): Proxy? = vms.firstOrNull { it != null && it !== than && it.isReady }

    /** Lets peers ask a VM whether it holds a key. */
    fun onKeyQuestion(answer: (IdempotencyKey) -> Boolean) {
        keyHolders += answer
    }

    /** Returns whether every VM says that it does not hold [key]. */
    fun isHeldByNoVm(key: IdempotencyKey): Boolean = keyHolders.none { it(key) }

    /** Lets a VM hear of the crashes that its peers report. */
    fun onPeerCrash(listener: (CrashRecord) -> Unit) {
        crashListeners += listener
    }

    /** Returns what a VM that starts hears from a peer, and makes [crashes] what the next one hears. */
    fun askPeer(crashes: () -> List<CrashRecord>): List<CrashRecord> = knownCrashes().also { knownCrashes = crashes }

    /** Tells every VM of a crash. */
    fun tellPeers(record: CrashRecord) {
        val delayMillis = schedule.deployment.zoneDelayMillis.roundToLong()
        loop.after(delayMillis) { crashListeners.forEach { it(record) } }
    }

    /** Opens a connection. */
    fun connect(
        target: SimulatedTarget,
        onEvent: (SimulatedConnection, WireEvent) -> Unit,
    ): SimulatedConnection = SimulatedConnection(connections++, target, this, onEvent)

    /** Returns what goes wrong with the next attempt to run [orderId]. */
    fun nextFault(orderId: String): LinkFault {
        val ordinal = attemptCounts.merge(orderId, 1, Int::plus) ?: 1
        return schedule.linkFault(orderId, ordinal)
    }

    /** Returns whether there is time left to run [request] again. */
    fun hasTimeLeft(request: PlannedRequest): Boolean =
        request.atMillis + request.timeoutMillis - loop.nowMillis >= TIME_LEFT_MILLIS

    private fun checkReadiness(): Boolean {
        readyVms = vms.indices.filter { vms[it]?.isReady == true }
        return true
    }

    private fun strike(fault: PlannedFault) {
        when (fault.kind) {
            FaultKind.ENGINE_KILLED -> engines[fault.index].crash(fault.durationMillis)

            FaultKind.SERVICE_KILLED -> services[fault.index].crash(fault.durationMillis)

            FaultKind.ENGINE_FROZEN -> engines[fault.index].freeze(fault.durationMillis)

            FaultKind.SERVICE_FROZEN -> services[fault.index].freeze(fault.durationMillis)

            FaultKind.LOG_DOWN -> log.goDown(fault.durationMillis)

            FaultKind.VM_KILLED -> {
                val killed = vms[fault.index]
                vms[fault.index] = null
                killed?.kill()
                if (killed != null) replace(fault)
            }

            FaultKind.VM_RESTARTED -> vms[fault.index]?.let { vm -> vm.shutDown { exited(vm, fault) } }
        }
    }

    private fun exited(vm: Proxy, fault: PlannedFault) {
        if (vms[fault.index] !== vm) return
        vms[fault.index] = null
        replace(fault)
    }

    private fun replace(fault: PlannedFault) {
        lastVmEndMillis = loop.nowMillis
        loop.after(fault.durationMillis) {
            if (vms[fault.index] ==
                null
            ) {
                vms[fault.index] = newProxy(this, fault.index)
            }
        }
    }

    private companion object {
        private const val BALANCER_MILLIS = 1_000L
        private const val BALANCER_STRIDE = 7
        private const val TIME_LEFT_MILLIS = 3_000L
    }
}
