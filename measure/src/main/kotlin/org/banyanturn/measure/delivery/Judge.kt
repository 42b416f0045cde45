package org.banyanturn.measure.delivery

import org.HdrHistogram.Histogram
import org.banyanturn.core.delivery.RequestOutcome

/** How a request ended for its caller. */
internal enum class CallerResult { WHOLE_ANSWER, WRONG_ANSWER, REFUSED, BLOCKED, CUT, CUT_BY_VM_DEATH, CUT_BY_RESTART }

/** Counts what the callers got against what the targets ran. */
internal class Judge {
    private val runs = HashMap<String, Int>()
    private val notRunClaims = HashSet<String>()
    private val crashes = HashMap<String, Int>()
    private val results = HashMap<Int, CallerResult>()
    private val answeredInTime = HashSet<Int>()
    private val targetFailures = HashMap<Int, Int>()
    private val hadTimeLeft = HashSet<Int>()
    private val falseNotRun = HashSet<String>()
    private val silentMillis = Histogram(600_000L, 3)

    /** Counts a run of an order. */
    fun ran(orderId: String) {
        runs.merge(orderId, 1, Int::plus)
    }

    /** Counts a crash that a request caused. */
    fun crashed(orderId: String) {
        crashes.merge(orderId, 1, Int::plus)
    }

    /** Notes that an idempotent request ran on a target when that died or froze. */
    fun targetFailed(number: Int, hasTimeLeft: Boolean) {
        targetFailures.merge(number, 1, Int::plus)
        if (hasTimeLeft) hadTimeLeft += number
    }

    /** Notes how long a silent connection was kept after its first request. */
    fun leftSilent(millis: Long): Unit = silentMillis.recordValue(millis)

    /** Notes a refusal; a claim that an order has not run is checked against the runs so far. */
    fun refused(orderId: String, outcome: RequestOutcome) {
        if (outcome != RequestOutcome.NOT_RUN) return
        notRunClaims += orderId
        if ((runs[orderId] ?: 0) > 0) falseNotRun += orderId
    }

    /** Notes the result of the request with this [number]; of several the last counts. */
    fun ended(number: Int, result: CallerResult, isInTime: Boolean) {
        results[number] = result
        if (isInTime) answeredInTime += number
    }

    /** Orders that ran more than once. */
    val ranTwice: Int get() = runs.values.count { it > 1 }

    /** Orders of which a caller was told that they have not run after they had. */
    val falseNotRuns: Int get() = falseNotRun.size

    /** Requests whose caller took a wrong or partial answer for a whole one. */
    val wrongAnswers: Int get() = count(CallerResult.WRONG_ANSWER)

    /** Requests that a restarting VM cut. */
    val cutByRestart: Int get() = count(CallerResult.CUT_BY_RESTART)

    /** Requests that were refused as if they crashed their targets. */
    val blocked: Int get() = count(CallerResult.BLOCKED)

    /** Requests with a whole answer. */
    val answered: Int get() = count(CallerResult.WHOLE_ANSWER)

    /** The most targets that one request crashed. */
    val mostCrashes: Int get() = crashes.values.maxOrNull() ?: 0

    /** The 99th percentile of the time until a silent connection is left. */
    val silentP99Millis: Double get() = silentMillis.getValueAtPercentile(99.0).toDouble()

    /** How many connections went silent and were left. */
    val silentConnections: Long get() = silentMillis.totalCount

    /**
     * The share of the idempotent requests with time left that were answered whole although their target died or froze,
     * in percent; those that met a second such failure, or whose VM died as well, are left out.
     */
    val savedPercent: Double
        get() {
            val hit = hadTimeLeft.filter { targetFailures[it] == 1 }.map { results[it] }.filter {
                it !=
                    CallerResult.CUT_BY_VM_DEATH
            }
            val saved = hit.count { it == CallerResult.WHOLE_ANSWER }
            return if (hit.isEmpty()) 100.0 else 100.0 * saved / hit.size
        }

    /** How many of the [planned] requests had no final answer by their deadline. */
    fun neverAnswered(planned: List<PlannedRequest>): Int = planned.count { it.number !in answeredInTime }

    private fun count(result: CallerResult): Int = results.values.count { it == result }
}
