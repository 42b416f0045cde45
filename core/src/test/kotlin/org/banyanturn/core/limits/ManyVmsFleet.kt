package org.banyanturn.core.limits

import org.banyanturn.core.Incarnation
import org.banyanturn.core.VmId
import java.util.PriorityQueue
import kotlin.math.ln
import kotlin.math.pow
import kotlin.random.Random

private const val BUSY_TICK_MILLIS = 20L
private const val IDLE_TICK_MILLIS = 100L
private const val SILENCE_TIMEOUT_MILLIS = 2_600L
private const val WINDOW_MILLIS = 8_000L
private const val NEW_VM_MILLIS = 10_000L

/** Sizes of a report and a grant for one member with all headers, in bytes. */
private const val REPORT_BYTES = 130
private const val GRANT_BYTES = 115

/** A member's rate limit, in cost units. */
internal class TestLimit(val rate: Double, val burst: Double) {
    /** The accepted cost in 8 s: a tenth more than the limit, and a fixed number of tokens. */
    val maxInWindow: Double
        get() = (rate * WINDOW_MILLIS / 1_000 + burst) * 1.1 + 7_400
}

/** A request of the member; [cost] in cost units. */
internal class TestRequest(val vm: Int, val atMillis: Long, val cost: Double)

/** Returns [perSecond] requests as a Poisson process; VM `i` of the chosen ones has a weight of `1 / (i + 1) ^ 0.8`. */
internal fun unevenRequests(
    random: Random,
    vms: List<Int>,
    perSecond: Double,
    periodMillis: LongRange,
    costs: ClosedFloatingPointRange<Double> = 300.0..1_500.0,
): List<TestRequest> {
    val weights = vms.indices.map { 1 / (it + 1.0).pow(0.8) }
    val total = weights.sum()
    val bounds = weights.runningReduce { sum, weight -> sum + weight }
    var atMillis = periodMillis.first.toDouble()
    return buildList {
        while (true) {
            atMillis -= ln(1 - random.nextDouble()) / perSecond * 1_000
            if (atMillis >= periodMillis.last) return@buildList
            val draw = random.nextDouble() * total
            val vm = vms[bounds.indexOfFirst { draw <= it }.coerceAtLeast(0)]
            add(TestRequest(vm, atMillis.toLong(), random.nextDouble(costs.start, costs.endInclusive)))
        }
    }
}

/** Returns how many of [requests] one bucket refuses that sees all of them and is full at the start. */
internal fun refusalsOfOneBucket(limit: TestLimit, requests: List<TestRequest>): Int {
    var tokens = limit.burst
    var lastMillis = 0L
    return requests.sortedBy { it.atMillis }.count { request ->
        tokens = minOf(limit.burst, tokens + limit.rate * (request.atMillis - lastMillis) / 1_000)
        lastMillis = request.atMillis
        val fits = tokens >= request.cost
        if (fits) tokens -= request.cost
        !fits
    }
}

/** VMs that share one member's limit, in virtual time; datagrams take 1 to 10 ms and some are lost. */
internal class ManyVmsFleet(
    private val vmCount: Int,
    private var limit: TestLimit,
    private val random: Random,
    private val lossFraction: Double = 0.03,
    private val isFirstStart: Boolean = true,
) {
    private class Vm(val incarnation: Incarnation, val startMillis: Long, val tickOffset: Long) {
        var allotment: MemberAllotment? = null
        val waiting = ArrayDeque<TestRequest>()
    }

    private val vms = MutableList(vmCount) { vm(it, 0) }
    private val messages = PriorityQueue<Pair<Long, () -> Unit>>(compareBy { it.first })
    private var collector: AllotmentCollector? = null
    private val silentSinceMillis = HashMap<Int, Long>()
    private val admitted = ArrayList<Pair<Long, Double>>()
    private var nowMillis = 0L

    /** The requests that were refused. */
    val refused = ArrayList<TestRequest>()

    /** Bytes of all datagrams that were sent. */
    var bytes = 0L
        private set

    /** Number of requests that were not decided on arrival. */
    var delayedCount = 0
        private set

    /** VM that collects, or `null` while the member has no owner. */
    var collectorVm: Int? = null
        set(value) {
            field = value
            collector = value?.let { AllotmentCollector(limit.rate, limit.burst, nowMillis) }
        }

    /** Added to the delay of each datagram to and from the collector. */
    var extraDelayMillis = 0L

    /** VMs whose datagrams to and from the collector are lost. */
    var cutVms: Set<Int> = emptySet()
        set(value) {
            field = value
            silentSinceMillis.keys.retainAll(value)
            value.forEach { silentSinceMillis.putIfAbsent(it, nowMillis) }
        }

    /** VMs that the collector's grants don't reach, although their reports and heartbeats arrive. */
    var mutedVms: Set<Int> = emptySet()

    private fun vm(index: Int, startMillis: Long) =
        Vm(Incarnation(VmId("vm-$index"), startMillis + 1), startMillis, random.nextLong(IDLE_TICK_MILLIS))

    /** Replaces the VM [index] by a new one; what waited there is dropped. */
    fun restart(index: Int) {
        vms[index] = vm(index, nowMillis)
    }

    /** Replaces all VMs, which don't know the earlier use; the member has no owner then. */
    fun restartAll() {
        vms.indices.forEach(::restart)
        messages.clear()
        collectorVm = null
    }

    /** Applies a changed limit on all VMs. */
    fun changeLimit(newLimit: TestLimit) {
        limit = newLimit
        vms.forEach { it.allotment?.setLimit(newLimit.rate, newLimit.burst, vmCount, nowMillis) }
        collector?.setLimit(newLimit.rate, newLimit.burst, nowMillis)
    }

    fun run(requests: List<TestRequest>, untilMillis: Long, onMillis: (Long) -> Unit = {}) {
        val queue = ArrayDeque(requests.sortedBy { it.atMillis })
        for (now in 0..untilMillis) {
            nowMillis = now
            onMillis(now)
            while (queue.isNotEmpty() && queue.first().atMillis <= now) arrive(queue.removeFirst())
            while (messages.isNotEmpty() && messages.peek().first <= now) messages.poll().second()
            vms.forEachIndexed { index, vm ->
                val interval = if (vm.waiting.isEmpty()) IDLE_TICK_MILLIS else BUSY_TICK_MILLIS
                if ((now + vm.tickOffset) % interval == 0L) tick(index)
            }
        }
    }

    private fun arrive(request: TestRequest) {
        val vm = vms[request.vm]
        val allotment = vm.allotment ?: allotmentOf(vm).also { vm.allotment = it }
        allotment.recordDemand(request.cost, nowMillis)
        vm.waiting.addLast(request)
        decide(vm)
        if (vm.waiting.lastOrNull() === request) delayedCount++
        if (vm.waiting.isNotEmpty()) tick(request.vm)
    }

    private fun allotmentOf(vm: Vm): MemberAllotment {
        val isNew = nowMillis - vm.startMillis < NEW_VM_MILLIS
        val initialFraction = if (isFirstStart && isNew && vm.startMillis == 0L) 1.0 else RESTART_UNUSED_BURST_FRACTION
        return MemberAllotment(limit.rate, limit.burst, AllotmentSettings(), nowMillis, initialFraction, isNew)
    }

    private fun decide(vm: Vm) {
        val allotment = checkNotNull(vm.allotment)
        while (vm.waiting.isNotEmpty()) {
            val first = vm.waiting.first()
            val decision = allotment.tryAcquire(first.cost, vmCount, nowMillis, first.atMillis)
            if (decision is RateDecision.Pending) break
            if (decision == RateDecision.Admitted) {
                admitted += nowMillis to first.cost
            } else {
                refused += first
            }
            vm.waiting.removeFirst()
        }
        allotment.setWaitingCost(vm.waiting.sumOf { it.cost })
    }

    private fun tick(index: Int) {
        val vm = vms[index]
        val allotment = vm.allotment ?: return
        if (vm.waiting.isNotEmpty()) decide(vm)
        val report = allotment.dueReportOrNull(nowMillis) ?: return
        val target = collectorVm ?: return
        if (target == index) return allotment.onGrant(collect(vm, report) ?: return, nowMillis).also { decide(vm) }
        bytes += REPORT_BYTES
        send(index) {
            if (collectorVm == target) collect(vm, report)?.let { grant -> returnGrant(index, vm, grant) }
        }
    }

    private fun returnGrant(index: Int, vm: Vm, grant: AllotmentGrant) {
        bytes += GRANT_BYTES
        if (index in mutedVms) return
        send(index) {
            vm.allotment?.onGrant(grant, nowMillis)
            decide(vm)
        }
    }

    private fun send(peer: Int, action: () -> Unit) {
        if (peer in cutVms || random.nextDouble() < lossFraction) return
        messages += (nowMillis + random.nextLong(1, 11) + extraDelayMillis) to action
    }

    private fun collect(from: Vm, report: AllotmentReport): AllotmentGrant? {
        val others = vms.filterIndexed { index, _ -> index != collectorVm }.mapIndexed { index, vm ->
            val silentMillis = silentSinceMillis[index]?.let { nowMillis - it } ?: 0
            SharingPeer(vm.incarnation, silentMillis <= SILENCE_TIMEOUT_MILLIS, isInGroup = true)
        }
        return collector?.onReport(from.incarnation, report, SharingVms(others), nowMillis)
    }

    /** Returns the largest cost that was admitted in 8 s which start at [fromMillis] or later. */
    fun maxCostInWindow(fromMillis: Long = 0): Double {
        var first = 0
        var sum = 0.0
        val inPeriod = admitted.filter { it.first >= fromMillis }
        return inPeriod.maxOfOrNull { (atMillis, cost) ->
            sum += cost
            while (inPeriod[first].first <= atMillis - WINDOW_MILLIS) sum -= inPeriod[first++].second
            sum
        } ?: 0.0
    }
}
