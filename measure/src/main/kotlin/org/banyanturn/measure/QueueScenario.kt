package org.banyanturn.measure

import org.HdrHistogram.Histogram
import org.banyanturn.core.MemberId
import org.banyanturn.core.admission.AdmissionDecision
import org.banyanturn.core.admission.AdmissionRequest
import org.banyanturn.core.admission.CopyLoad
import org.banyanturn.core.admission.decideAdmission
import org.banyanturn.core.queueing.FairQueue
import org.banyanturn.core.queueing.QueuedRequest
import kotlin.random.Random

private const val SLOTS_PER_VM = 4
private const val MEAN_SERVICE_MILLIS = 600.0
private const val MAX_WAIT_MILLIS = 3_000L
private const val P99 = 99.0
private const val MILLIS_PER_SECOND = 1_000.0

/** The requests that wait on one VM for a slot on a target. */
internal interface WaitingRequests {
    /** Adds [request], unless it is refused at once. */
    fun offer(request: QueuedRequest, runningRequests: Int, nowMillis: Long)

    /** Returns the request to start now, or `null` if none waits. */
    fun nextOrNull(nowMillis: Long): QueuedRequest?
}

/** First come, first served, until the caller has gone. */
internal class ArrivalOrderQueue : WaitingRequests {
    private val waiting = ArrayDeque<QueuedRequest>()

    override fun offer(request: QueuedRequest, runningRequests: Int, nowMillis: Long) {
        waiting += request
    }

    override fun nextOrNull(nowMillis: Long): QueuedRequest? {
        while (waiting.isNotEmpty() && waiting.first().deadlineMillis <= nowMillis) waiting.removeFirst()
        return waiting.removeFirstOrNull()
    }
}

/** Turns by member, and refusal at once of what would start too late. */
internal class TurnQueue : WaitingRequests {
    private val queue = FairQueue()

    override fun offer(request: QueuedRequest, runningRequests: Int, nowMillis: Long) {
        val rate = SLOTS_PER_VM * MILLIS_PER_SECOND / MEAN_SERVICE_MILLIS
        val copy = CopyLoad(SLOTS_PER_VM, runningRequests, sentSinceReport = 0, costPerSecond = rate)
        val decision = decideAdmission(
            AdmissionRequest(request.deadlineMillis - nowMillis, serviceMillis = 0, queue.costAhead(request)),
            copies = listOf(copy),
            queuedRequests = queue.size,
            averageCost = 1.0,
        )
        if (decision is AdmissionDecision.Accepted) queue.offer(request)
    }

    override fun nextOrNull(nowMillis: Long): QueuedRequest? {
        queue.expire(nowMillis)
        return queue.pollOrNull(nowMillis)
    }
}

/**
 * How the members inside their rates fared.
 *
 * @property worstServedShare smallest part, over the members, of requests inside the rate that started in time.
 * @property worstP99WaitMillis longest 99th percentile, over the members, of the wait; one that never starts counts as
 * having waited until its caller has gone.
 */
internal class QueueOutcome(val worstServedShare: Double, val worstP99WaitMillis: Double)

/** Arrivals at the VMs of a deployment, which wait there for the slots of targets that are too few for all. */
internal class QueueScenario(
    private val deployment: Deployment,
    private val members: List<MemberTraffic>,
    private val arrivals: List<Arrival>,
    private val durationMillis: Long,
) {
    /** Returns how the members but [excluded] fared; the same for the same [seed]. */
    fun run(seed: Long, excluded: Int, factory: RateCountingFactory, newQueue: () -> WaitingRequests): QueueOutcome {
        val time = VirtualTime()
        val vms = EntryVms(deployment, time, Random(seed), lossFraction = 0.0)
        val counting = factory(vms, members)
        val stations = List(vms.count) { Station(time, newQueue(), Random(seed + it)) }
        val ideal = members.map { TokenBucket(it.ratePerSecond, it.burst, it.burst) }
        val fates = List(arrivals.size) { Fate() }
        arrivals.forEachIndexed { index, arrival ->
            time.after(BUCKET_FILL_MILLIS + arrival.atMillis) {
                fates[index].isInsideRate = ideal[arrival.member].tryTake(time.nowMicros / MILLIS_PER_SECOND)
                counting.decide(arrival.vm, arrival.member) { isAdmitted ->
                    if (isAdmitted) stations[arrival.vm].arrive(index, arrival, members, fates[index])
                }
            }
        }
        time.runUntil((BUCKET_FILL_MILLIS + durationMillis + MAX_WAIT_MILLIS).toLong())
        return outcome(fates, excluded)
    }

    private fun outcome(fates: List<Fate>, excluded: Int): QueueOutcome {
        val fatesByMember = arrivals.indices.groupBy({ arrivals[it].member }, { fates[it] }) - excluded
        val inside = fatesByMember.values.map { ofMember -> ofMember.filter(Fate::isInsideRate) }
        return QueueOutcome(
            worstServedShare = inside.minOf { list -> list.count { it.waitMillis != null }.toDouble() / list.size },
            worstP99WaitMillis = inside.maxOf { list -> p99(list.map { it.waitMillis ?: MAX_WAIT_MILLIS }) },
        )
    }

    private fun p99(waitsMillis: List<Long>): Double {
        val histogram = Histogram(3)
        waitsMillis.forEach(histogram::recordValue)
        return histogram.getValueAtPercentile(P99).toDouble()
    }

    /** What became of a request. */
    private class Fate {
        var isInsideRate = false
        var waitMillis: Long? = null
    }

    /** One VM's queue and the slots on targets that it may use. */
    private class Station(
        private val time: VirtualTime,
        private val queue: WaitingRequests,
        private val random: Random,
    ) {
        private var running = 0
        private val fates = HashMap<String, Pair<Long, Fate>>()

        fun arrive(index: Int, arrival: Arrival, members: List<MemberTraffic>, fate: Fate) {
            val now = time.nowMillis
            val memberId = MemberId(members[arrival.member].name)
            val request = QueuedRequest("r$index", memberId, 1.0, now + MAX_WAIT_MILLIS)
            fates[request.requestId] = now to fate
            queue.offer(request, running, now)
            startNext()
        }

        private fun startNext() {
            if (running >= SLOTS_PER_VM) return
            val request = queue.nextOrNull(time.nowMillis) ?: return
            running++
            val (arrivedAtMillis, fate) = checkNotNull(fates.remove(request.requestId))
            fate.waitMillis = time.nowMillis - arrivedAtMillis
            time.after(exponential(MEAN_SERVICE_MILLIS, random)) {
                running--
                startNext()
            }
        }
    }
}
