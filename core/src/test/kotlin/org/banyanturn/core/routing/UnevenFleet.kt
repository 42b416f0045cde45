package org.banyanturn.core.routing

import org.banyanturn.core.TargetId
import kotlin.math.ceil
import kotlin.math.roundToInt
import kotlin.random.Random

/** How load reports reach the choosers of an [UnevenFleet]. */
internal enum class ReportFault { NONE, LOST, TOO_LOW, TOO_HIGH, RANDOM, ONLY_WITH_RESPONSES, WITHOUT_SPEED }

/** A policy that a chooser of an [UnevenFleet] follows. */
internal enum class Policy { RANDOM, LEAST_REQUESTS, POWER_OF_TWO, EXPECTED_TIME, OMNISCIENT }

/** Settings of an [UnevenFleet]; the defaults are those of `sura`, with engines used to 60 %. */
internal data class UnevenFleetSettings(
    val policy: Policy,
    val fault: ReportFault = ReportFault.NONE,
    val seed: Int = 1,
    val choosers: Int = 74,
    val engines: Int = 63,
    val slots: Int = 16,
    val copies: Int = 6,
    val utilization: Double = 0.6,
    val runMillis: Long = 14_000,
    val memoryTokens: Long? = null,
    val sizeFactor: Long = 1,
)

/**
 * Simulates choosers that send requests to engines of uneven speed: 15 in 100 work 2.5 times slower for 0.6 s at a
 * time, and one works 10 times slower permanently.
 */
internal class UnevenFleet(private val settings: UnevenFleetSettings) {
    private val random = Random(settings.seed)
    private val engines = List(settings.engines) { SimulatedEngine(it, settings, random) }
    private val choosers = List(settings.choosers) { SimulatedChooser(settings.engines) }
    private val copyChooser = copyChooserOf(CopyChooserSettings(batchedRequestMillis = 1.0))
    private val holders = List(MODELS) { engines.shuffled(random).take(settings.copies) }
    private val waiting = ArrayList<SimulatedRequest>()
    private val reports = ArrayList<SimulatedReport>()
    private var nextId = 0L
    private var nowMillis = 0L

    /** Times from arrival to completion, in milliseconds, after the warm-up. */
    val completionMillis = ArrayList<Long>()

    /** The greatest number of tokens that an engine held. */
    var maxHeldTokens = 0L
        private set

    /** Runs the fleet and returns it. */
    fun run(): UnevenFleet {
        val meanWorkMillis = List(1_000) { newRequest(0).workMillis }.average()
        val arrivalsPerStep =
            settings.utilization * settings.engines * settings.slots * TIME_STEP_MILLIS / meanWorkMillis
        while (nowMillis < settings.runMillis || waiting.isNotEmpty() || engines.any { it.requests > 0 }) {
            deliverReports()
            val arrivals = if (nowMillis < settings.runMillis) arrivalsPerStep + random.nextDouble() else 0.0
            repeat(arrivals.toInt()) { waiting += newRequest(nowMillis) }
            waiting.removeAll { trySend(it) }
            engines.forEach { engine -> engine.step(nowMillis).forEach(::onCompleted) }
            maxHeldTokens = maxOf(maxHeldTokens, engines.maxOf { it.heldTokens })
            nowMillis += TIME_STEP_MILLIS
        }
        return this
    }

    private fun newRequest(arrivedAtMillis: Long): SimulatedRequest {
        val isShort = random.nextInt(10) < 4
        val sizeFactor = if (settings.sizeFactor > 1) 1 + random.nextLong(settings.sizeFactor) else 1
        val tokens = (if (isShort) 388L else 743L) * sizeFactor
        return SimulatedRequest(
            "r${nextId++}",
            random.nextInt(settings.choosers),
            random.nextInt(MODELS),
            tokens,
            if (isShort) 300.0 else 1_200.0,
            arrivedAtMillis,
        )
    }

    private fun deliverReports() {
        val due = reports.filter { it.atMillis <= nowMillis }
        reports.removeAll(due.toSet())
        due.forEach { choosers[it.chooser].onReport(it, nowMillis) }
        if (settings.fault == ReportFault.ONLY_WITH_RESPONSES) return
        val phase = nowMillis % REPORT_INTERVAL_MILLIS
        choosers.indices.forEach { chooser ->
            engines.filter { (it.number * 37L + chooser * 11L) * TIME_STEP_MILLIS % REPORT_INTERVAL_MILLIS == phase }
                .forEach { report(chooser, it) }
        }
    }

    private fun report(chooser: Int, engine: SimulatedEngine) {
        if (settings.fault == ReportFault.LOST && random.nextInt(2) == 0) return
        val percent = (engine.workFactorAt(nowMillis) * 100 * falseFactor(engine)).roundToInt()
            .takeUnless { settings.fault == ReportFault.WITHOUT_SPEED }
        reports += SimulatedReport(chooser, engine.number, engine.requests, percent, nowMillis + REPORT_DELAY_MILLIS)
    }

    private fun falseFactor(engine: SimulatedEngine): Double = when (settings.fault) {
        ReportFault.TOO_LOW -> if (engine.number % 5 == 0) 1 / engine.workFactorAt(nowMillis) else 1.0
        ReportFault.TOO_HIGH -> if (engine.number % 5 == 1) 4.0 else 1.0
        ReportFault.RANDOM -> listOf(0.25, 1.0, 1.0, 1.0, 4.0).random(random)
        else -> 1.0
    }

    private fun trySend(request: SimulatedRequest): Boolean {
        val engine = choose(request) ?: return false
        choosers[request.chooser].onSent(request, engine.number, nowMillis)
        engine.add(request)
        if (settings.fault == ReportFault.ONLY_WITH_RESPONSES) report(request.chooser, engine)
        return true
    }

    private fun choose(request: SimulatedRequest): SimulatedEngine? {
        val chooser = choosers[request.chooser]
        val candidates = holders[request.model].filter { fits(it, request, chooser) }
        if (settings.policy == Policy.OMNISCIENT) return bestOrNull(request)
        if (candidates.isEmpty()) return null
        val requestsAt = { engine: SimulatedEngine -> chooser.loads[engine.number].requestsAt(nowMillis) }
        return when (settings.policy) {
            Policy.RANDOM -> candidates.random(random)
            Policy.LEAST_REQUESTS -> candidates.shuffled(random).minBy(requestsAt)
            Policy.POWER_OF_TWO -> List(2) { candidates.random(random) }.minBy(requestsAt)
            else -> expectedBestOrNull(candidates, request, chooser)
        }
    }

    private fun fits(engine: SimulatedEngine, request: SimulatedRequest, chooser: SimulatedChooser): Boolean {
        if (chooser.loads[engine.number].freeBatchSlotsAt(nowMillis) <= 0) return false
        val memoryTokens = settings.memoryTokens ?: return true
        val inflow = chooser.sizes.inflowAt(nowMillis, settings.choosers - 1, settings.engines)
        val heldTokens = chooser.ledgers[engine.number].heldTokensAt(nowMillis, chooser.sizes, inflow)
        return heldTokens + request.tokens <= memoryTokens
    }

    private fun bestOrNull(request: SimulatedRequest): SimulatedEngine? =
        holders[request.model].filter { it.requests < settings.slots }
            .minByOrNull { it.completionMillis(nowMillis, request.workMillis) }

    private fun expectedBestOrNull(
        candidates: List<SimulatedEngine>,
        request: SimulatedRequest,
        chooser: SimulatedChooser,
    ): SimulatedEngine? {
        val targets = candidates.map {
            val speed = chooser.speeds[it.number]
            ReadyTarget(
                TargetId("i-${it.number}"),
                zoneDelayMillis = 0.0,
                freeBatchSlots = chooser.loads[it.number].freeBatchSlotsAt(nowMillis),
                workFactor = if (speed.hasReported) speed.workFactorAt(nowMillis) else null,
                usualWorkFactor = speed.usualWorkFactorAt(nowMillis),
                runningRequests = chooser.loads[it.number].requestsAt(nowMillis),
                promptMillis = request.tokens * 0.05,
                holdMillis = request.workMillis,
            )
        }
        val chosen = copyChooser.chooseOrNull(targets, random.nextDouble()) ?: return null
        return candidates[targets.indexOf(chosen)]
    }

    private fun onCompleted(completion: SimulatedCompletion) {
        val request = completion.request
        choosers[request.chooser].onCompleted(completion, nowMillis)
        if (request.arrivedAtMillis >= WARM_UP_MILLIS) {
            completionMillis += nowMillis - request.arrivedAtMillis
        }
    }

    private companion object {
        const val MODELS = 60
        const val REPORT_INTERVAL_MILLIS = 300L
        const val REPORT_DELAY_MILLIS = 100L
        const val WARM_UP_MILLIS = 6_000L
    }
}

internal const val TIME_STEP_MILLIS = 5L

internal class SimulatedRequest(
    val id: String,
    val chooser: Int,
    val model: Int,
    val tokens: Long,
    val workMillis: Double,
    val arrivedAtMillis: Long,
)

internal class SimulatedCompletion(val request: SimulatedRequest, val engine: Int, val runMillis: Long)

internal class SimulatedReport(
    val chooser: Int,
    val engine: Int,
    val requests: Int,
    val workPercent: Int?,
    val atMillis: Long,
)

/** What one VM knows of the engines. */
internal class SimulatedChooser(engines: Int) {
    val loads = Array(engines) { targetLoadOf(batchSlots = 16, maxReportAgeMillis = 1_500) }
    val speeds = Array(engines) { targetSpeedOf() }
    val ledgers = Array(engines) { tokenLedgerOf() }
    val sizes = RequestSizes()
    private val typical = TypicalDuration()

    fun onReport(report: SimulatedReport, nowMillis: Long) {
        val engine = report.engine
        loads[engine] = loads[engine].reported(report.requests, 0, 16, nowMillis)
        report.workPercent?.let { speeds[engine] = speeds[engine].reported(it, nowMillis) }
        ledgers[engine] = ledgers[engine].reported(report.requests, nowMillis)
        sizes.recordOthers(ledgers[engine].othersIn(report.requests, nowMillis), nowMillis)
    }

    fun onSent(request: SimulatedRequest, engine: Int, nowMillis: Long) {
        loads[engine] = loads[engine].sent(request.id, nowMillis)
        ledgers[engine] = ledgers[engine].sent(request.id, request.tokens, nowMillis)
        sizes.record(request.tokens, nowMillis)
    }

    fun onCompleted(completion: SimulatedCompletion, nowMillis: Long) {
        val engine = completion.engine
        loads[engine] = loads[engine].ended(completion.request.id, nowMillis)
        ledgers[engine] = ledgers[engine].ended(completion.request.id)
        val factor = typical.record(completion.runMillis / completion.request.workMillis) ?: return
        speeds[engine] = speeds[engine].responded(factor, nowMillis)
    }
}

/** An engine that runs up to its number of slots at a time, at a speed that changes. */
internal class SimulatedEngine(val number: Int, settings: UnevenFleetSettings, private val random: Random) {
    private val slots = settings.slots
    private val spells = slowSpells(settings.runMillis)
    private val held = ArrayList<RunningRequest>()

    val requests: Int get() = held.size
    val heldTokens: Long get() = held.sumOf { it.request.tokens }

    /** Returns whether the engine is slow in each period of 600 ms; 15 in 100 are. */
    private fun slowSpells(runMillis: Long): List<Boolean> =
        List(ceil(2.0 * runMillis / SPELL_MILLIS).toInt()) { random.nextInt(100) < 15 }

    fun workFactorAt(nowMillis: Long): Double = when {
        number == 0 -> 10.0
        spells[((nowMillis + number * 97) / SPELL_MILLIS).toInt().coerceAtMost(spells.lastIndex)] -> 2.5
        else -> 1.0
    }

    fun add(request: SimulatedRequest) {
        held += RunningRequest(request, request.workMillis)
    }

    fun step(nowMillis: Long): List<SimulatedCompletion> {
        val progress = TIME_STEP_MILLIS / workFactorAt(nowMillis)
        held.take(slots).forEach { it.run(progress, nowMillis) }
        val ended = held.filter { it.remainingMillis <= 0 }
        held.removeAll(ended.toSet())
        return ended.map { SimulatedCompletion(it.request, number, nowMillis + TIME_STEP_MILLIS - it.startedAtMillis) }
    }

    /** Returns when a request of [workMillis] that starts now would complete. */
    fun completionMillis(nowMillis: Long, workMillis: Double): Long {
        var remainingMillis = workMillis
        var atMillis = nowMillis
        while (remainingMillis > 0) {
            remainingMillis -= TIME_STEP_MILLIS / workFactorAt(atMillis)
            atMillis += TIME_STEP_MILLIS
        }
        return atMillis - nowMillis
    }

    private companion object {
        const val SPELL_MILLIS = 600L
    }
}

private class RunningRequest(val request: SimulatedRequest, var remainingMillis: Double) {
    var startedAtMillis = -1L
        private set

    fun run(progressMillis: Double, nowMillis: Long) {
        if (startedAtMillis < 0) startedAtMillis = nowMillis
        remainingMillis -= progressMillis
    }
}
