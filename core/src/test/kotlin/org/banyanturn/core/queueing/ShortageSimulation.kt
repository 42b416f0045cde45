package org.banyanturn.core.queueing

import org.banyanturn.core.MemberId
import org.banyanturn.core.admission.StartRates
import java.util.PriorityQueue
import kotlin.math.ln
import kotlin.math.pow
import kotlin.random.Random

private const val ENGINES = 4
private const val SLOTS_PER_ENGINE = 4
private const val MEMBERS = 16
private const val COPIES = 12
private const val RUN_MILLIS = 60_000.0

/** Requests that arrive in the last seconds are not counted, since they compete with no later ones. */
private const val COUNTED_MILLIS = 47_000.0
private const val PERMITTED_DIFFERENCE = 0.05
private const val MAX_PREDICTED_ON_ARRIVAL = 200
private const val PREFILL_TOKEN_MILLIS = 0.05
private const val OUTPUT_TOKEN_MILLIS = 10.0
private const val FIRST_EVENT_MILLIS = 20.0
private const val PREDICTION_INTERVAL_MILLIS = 100.0

/**
 * A class of requests.
 *
 * @property share its part of the requests.
 * @property firstEventMillis time within which the first event is on time.
 * @property patienceMillis time after which a caller without a first event gives up.
 * @property value what a response on time is worth to the caller.
 */
internal class RequestClass(
    val rank: Int,
    val share: Double,
    promptTokens: Int,
    outputTokens: Int,
    val firstEventMillis: Int,
    val patienceMillis: Int,
    val value: Double,
) {
    val prefillMillis = promptTokens * PREFILL_TOKEN_MILLIS + FIRST_EVENT_MILLIS
    val workMillis = promptTokens * PREFILL_TOKEN_MILLIS + outputTokens * OUTPUT_TOKEN_MILLIS
}

/** The classes of a deployment in which rank 1 has the strictest target latency and rank 2 the highest value. */
internal val CLASSES = listOf(
    RequestClass(rank = 0, share = 101.0, 383, 6, firstEventMillis = 1_001, patienceMillis = 4_003, value = 1.0),
    RequestClass(rank = 1, share = 81.0, 715, 35, firstEventMillis = 401, patienceMillis = 2_000, value = 3.0),
    RequestClass(rank = 2, share = 35.0, 715, 35, firstEventMillis = 3_001, patienceMillis = 12_004, value = 15.0),
)

/** A late response is worth this part of one on time. */
internal const val LATE_VALUE = 0.2

/** Which load is offered. */
internal enum class Scenario { STEADY, CHAT_BURSTS, HOT_MEMBER, WRONG_ESTIMATES }

/** A request of the simulation; [startedAtMillis] is `null` if it was not started. */
internal class SimulatedRequest(
    val requestClass: RequestClass,
    val member: Int,
    val copy: Int,
    val arrivedAtMillis: Double,
    val workMillis: Double,
    val terms: StartTerms,
) {
    var startedAtMillis: Double? = null

    /** Whether the request was started when no more urgent one could be started instead. */
    var isUncontested = false
    val isOnTime: Boolean
        get() = startedAtMillis?.let { it <= terms.onTimeByMillis } ?: false
    val value: Double
        get() = if (startedAtMillis == null) 0.0 else requestClass.value * if (isOnTime) 1.0 else LATE_VALUE
}

/** Decides which of the waiting requests starts next, and which are refused. */
internal interface StartPolicy {
    fun next(startable: List<SimulatedRequest>, nowMillis: Long): SimulatedRequest

    fun onStarted(request: SimulatedRequest, engine: Int, nowMillis: Long) = Unit

    fun onLost(request: SimulatedRequest, nowMillis: Long) = Unit

    /** Returns the requests to refuse now. */
    fun refused(waiting: List<SimulatedRequest>, nowMillis: Long): List<SimulatedRequest> = emptyList()
}

/** Starts the request with the least [key]. */
internal class LeastFirst(private val key: (SimulatedRequest) -> Double) : StartPolicy {
    override fun next(startable: List<SimulatedRequest>, nowMillis: Long) = startable.minBy(key)
}

/** The order under test, with refusal of requests that can't start in time. */
internal class OrderedStarts(
    private val holders: List<Set<Int>>,
    private val refuses: Boolean = true,
) : StartPolicy {
    /** The requests that were predicted not to start in time. */
    val predictedLate = HashSet<SimulatedRequest>()
    private val order = StartOrder()
    private val rates = StartRates<Int>()

    override fun next(startable: List<SimulatedRequest>, nowMillis: Long) =
        checkNotNull(order.firstOrNull(startable, nowMillis) { it.terms })

    override fun onStarted(request: SimulatedRequest, engine: Int, nowMillis: Long) {
        order.recordStarted(request.terms, nowMillis)
        rates.recordStarted(engine, nowMillis)
    }

    override fun onLost(request: SimulatedRequest, nowMillis: Long) = order.recordLost(request.terms, nowMillis)

    override fun refused(waiting: List<SimulatedRequest>, nowMillis: Long): List<SimulatedRequest> {
        rates.observe(waiting.flatMapTo(HashSet()) { holders[it.copy] }, nowMillis)
        val counts = order.countsAhead(waiting, nowMillis, { it.terms }) { ahead, behind -> ahead.copy == behind.copy }
        val late = counts.filter { (request, aheadCount) ->
            val waitMillis = rates.waitMillisOrNull(holders[request.copy], aheadCount, nowMillis)
            waitMillis != null && nowMillis + waitMillis > request.terms.startByMillis
        }.keys.toList()
        predictedLate += late
        return if (refuses) late else emptyList()
    }
}

/** Simulates one service with several engines and copies over virtual time, at [load] times its capacity. */
internal class ShortageSimulation(private val scenario: Scenario, private val load: Double, seed: Int) {
    private val random = Random(seed)

    /** The engines that hold each copy. */
    val holders = List(COPIES) { copy -> setOf(copy % ENGINES, (copy + 1 + copy / ENGINES) % ENGINES) }

    /** The member that sends half of all requests in [Scenario.HOT_MEMBER]. */
    val hotMember = 3

    val requests = arrivals()

    private fun exponential(mean: Double): Double = -ln(1 - random.nextDouble()) * mean

    private fun arrivals(): List<SimulatedRequest> {
        val totalShare = CLASSES.sumOf { it.share }
        val meanWorkMillis = CLASSES.sumOf { it.share * it.workMillis } / totalShare
        val meanIntervalMillis = meanWorkMillis / (ENGINES * SLOTS_PER_ENGINE * load)
        val arrived = ArrayList<SimulatedRequest>()
        var atMillis = 0.0
        while (atMillis < RUN_MILLIS) {
            atMillis += exponential(meanIntervalMillis)
            arrived += arrival(drawClass(totalShare), atMillis)
            val isBurst = scenario == Scenario.CHAT_BURSTS && atMillis % 10_000 < 2_000
            if (isBurst) repeat(2) { arrived += arrival(CLASSES[1], atMillis) }
        }
        return arrived
    }

    private fun drawClass(totalShare: Double): RequestClass {
        var draw = random.nextDouble() * totalShare
        return CLASSES.first { requestClass ->
            draw -= requestClass.share
            draw < 0
        }
    }

    private fun arrival(requestClass: RequestClass, atMillis: Double): SimulatedRequest {
        val isHot = scenario == Scenario.HOT_MEMBER && random.nextBoolean()
        val member = if (isHot) hotMember else random.nextInt(MEMBERS)
        val copy = (random.nextDouble().pow(2) * COPIES).toInt()
        val workMillis = requestClass.workMillis * (0.5 + random.nextDouble())
        val error = if (scenario == Scenario.WRONG_ESTIMATES) 4.0.pow(random.nextDouble(-1.0, 1.0)) else 1.0
        val startByMillis = atMillis + requestClass.patienceMillis - requestClass.prefillMillis
        val onTimeByMillis = atMillis + requestClass.firstEventMillis - requestClass.prefillMillis
        val terms = StartTerms(
            MemberId("m$member"),
            requestClass.rank,
            atMillis.toLong(),
            onTimeByMillis.toLong(),
            startByMillis.toLong(),
            workMillis * error,
        )
        return SimulatedRequest(requestClass, member, copy, atMillis, workMillis, terms)
    }

    /** Lets all requests arrive and start as [policy] decides, and returns this simulation. */
    fun run(policy: StartPolicy): ShortageSimulation {
        val freeSlots = IntArray(ENGINES) { SLOTS_PER_ENGINE }
        val ends = PriorityQueue<Pair<Double, Int>>(compareBy { it.first })
        val waiting = ArrayList<SimulatedRequest>()
        var arrivedCount = 0
        var predictedAtMillis = 0.0
        while (arrivedCount < requests.size || waiting.isNotEmpty()) {
            val arrivalMillis = requests.getOrNull(arrivedCount)?.arrivedAtMillis ?: Double.MAX_VALUE
            val endMillis = ends.peek()?.first ?: Double.MAX_VALUE
            val nowMillis = minOf(arrivalMillis, endMillis)
            if (nowMillis == arrivalMillis) waiting += requests[arrivedCount++] else freeSlots[ends.poll().second]++
            val expired = waiting.filter { it.terms.startByMillis <= nowMillis }
            lose(expired, waiting, policy, nowMillis)
            start(waiting, freeSlots, ends, policy, nowMillis)
            val isPredicted = nowMillis == arrivalMillis && waiting.size <= MAX_PREDICTED_ON_ARRIVAL
            if (isPredicted || nowMillis - predictedAtMillis >= PREDICTION_INTERVAL_MILLIS) {
                predictedAtMillis = nowMillis
                val refused = policy.refused(waiting, nowMillis.toLong())
                lose(refused, waiting, policy, nowMillis)
            }
        }
        return this
    }

    private fun lose(
        lost: List<SimulatedRequest>,
        waiting: MutableList<SimulatedRequest>,
        policy: StartPolicy,
        nowMillis: Double,
    ) {
        lost.forEach { policy.onLost(it, nowMillis.toLong()) }
        waiting.removeAll(lost.toSet())
    }

    private fun start(
        waiting: MutableList<SimulatedRequest>,
        freeSlots: IntArray,
        ends: PriorityQueue<Pair<Double, Int>>,
        policy: StartPolicy,
        nowMillis: Double,
    ) {
        while (true) {
            val startable = waiting.filter { request -> holders[request.copy].any { freeSlots[it] > 0 } }
            if (startable.isEmpty()) return
            val next = policy.next(startable, nowMillis.toLong())
            val engine = holders[next.copy].maxBy { freeSlots[it] }
            waiting -= next
            freeSlots[engine]--
            next.startedAtMillis = nowMillis
            next.isUncontested = startable.none { it.terms.rank < next.terms.rank }
            policy.onStarted(next, engine, nowMillis.toLong())
            ends += nowMillis + next.workMillis to engine
        }
    }

    /** The requests that are counted. */
    val counted: List<SimulatedRequest>
        get() = requests.filter { it.arrivedAtMillis < COUNTED_MILLIS }

    /** Returns which fraction of the [chosen] requests was started. */
    fun startedFraction(chosen: (SimulatedRequest) -> Boolean): Double {
        val matching = counted.filter(chosen)
        return matching.count { it.startedAtMillis != null }.toDouble() / matching.size
    }

    /**
     * Returns the part of the value that is lost at least if the started fractions of all classes are equal, apart from
     * the permitted difference for the last class.
     */
    fun inevitablyLostFraction(): Double {
        val capacityMillis = COUNTED_MILLIS * ENGINES * SLOTS_PER_ENGINE
        val last = counted.filter { it.requestClass === CLASSES.last() }
        val extraMillis = PERMITTED_DIFFERENCE * last.sumOf { it.workMillis }
        val fraction = ((capacityMillis - extraMillis) / counted.sumOf { it.workMillis }).coerceAtMost(1.0)
        val extraValue = PERMITTED_DIFFERENCE * last.sumOf { it.requestClass.value }
        val totalValue = counted.sumOf { it.requestClass.value }
        return (1 - fraction - extraValue / totalValue).coerceAtLeast(0.0)
    }

    /** Returns the value that callers lost because responses were late or absent, as a fraction of all value. */
    fun lostFraction(): Double = 1 - counted.sumOf { it.value } / counted.sumOf { it.requestClass.value }
}
