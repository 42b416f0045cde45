package org.banyanturn.measure.delivery

import org.banyanturn.core.Incarnation
import org.banyanturn.core.TargetId
import org.banyanturn.core.delivery.AttemptId
import org.banyanturn.core.delivery.CRASH_STREAM
import org.banyanturn.core.delivery.CrashLedger
import org.banyanturn.core.delivery.CrashRecord
import org.banyanturn.core.delivery.CrashSuspect
import org.banyanturn.core.delivery.DepartureSource
import org.banyanturn.core.delivery.DepartureView
import org.banyanturn.core.delivery.FingerprintStatus
import org.banyanturn.core.delivery.RequestFingerprint
import org.banyanturn.core.delivery.encodeToPayload
import kotlin.random.Random

/** A target for a suspect, and how long it waits before it goes there. */
internal data class SuspectChoice(val targetId: TargetId, val delayMillis: Long)

/** What one VM knows of the targets: its connections, who takes work and who crashed while running what. */
internal class TargetView(
    private val world: World,
    private val incarnation: Incarnation,
    private val isAlive: () -> Boolean,
    private val onEvent: (ConnectionPool, WireEvent) -> Unit,
    private val onLost: (AttemptId) -> Unit,
) {
    private class Run(val targetId: TargetId, val request: PlannedRequest, var hasAnswered: Boolean)

    private val engines = world.engines.associateBy { TargetId(it.name) }
    private val services = world.services.associateBy { TargetId(it.name) }
    private val pools = (engines + services).mapValues { (_, target) ->
        ConnectionPool(world, target, canProbe = target.name in engineNames, onEvent, onLost, ::fellSilent)
    }
    private val engineNames: Set<String> get() = world.engines.mapTo(mutableSetOf()) { it.name }
    private val runs = HashMap<AttemptId, Run>()
    private val unresolved = HashMap<RequestFingerprint, MutableList<Run>>()
    private var departures = DepartureView<TargetId>()
    private var ledger = CrashLedger()

    init {
        world.log.follow(
            CRASH_STREAM,
            isAlive,
            onRecord = { offset, payload -> ledger = ledger.foldRecord(offset, payload) },
            onEnd = {},
        )
        ledger = world.askPeer { ledger.records(incarnation) }.fold(ledger, CrashLedger::apply)
        world.onPeerCrash { if (isAlive()) ledger = ledger.apply(it) }
        world.loop.every(READINESS_MILLIS, ::checkReadiness)
    }

    fun pool(targetId: TargetId): ConnectionPool = pools.getValue(targetId)

    fun tick(): Unit = pools.values.forEach(ConnectionPool::tick)

    fun closeAll(): Unit = pools.values.forEach(ConnectionPool::closeAll)

    fun statusOf(request: PlannedRequest): FingerprintStatus =
        ledger.statusOf(fingerprintOf(request), world.loop.nowMillis)

    /** Returns a target for [request], other than the [avoided] ones if there is any. */
    fun choose(request: PlannedRequest, avoided: Set<TargetId>, random: Random): TargetId =
        candidates(request, avoided).random(random)

    /** Returns the target that the [rank] of a suspect gives it. */
    fun chooseForSuspect(request: PlannedRequest, avoided: Set<TargetId>, rank: Int): SuspectChoice {
        val candidates = candidates(request, avoided)
        val wave = rank / candidates.size
        return SuspectChoice(candidates[rank % candidates.size], wave * ledger.settings.suspectIntervalMillis)
    }

    /** How long a suspect waits for the reports of other VMs on its crash. */
    val reportWaitMillis: Long get() = ledger.settings.reportWaitMillis

    /** Notes that an attempt was sent. */
    fun started(attemptId: AttemptId, targetId: TargetId, request: PlannedRequest) {
        runs[attemptId] = Run(targetId, request, hasAnswered = false)
    }

    /** Notes that an attempt gave a part of its answer. */
    fun answered(attemptId: AttemptId) {
        runs[attemptId]?.hasAnswered = true
    }

    /** Clears a request that was answered whole. */
    fun cleared(request: PlannedRequest) {
        if (statusOf(request) !is FingerprintStatus.Suspect) return
        report(CrashRecord.SuspectCleared(fingerprintOf(request)))
    }

    /** Notes that a target takes no connections. */
    fun unreachable(pool: ConnectionPool): Unit = observe(idOf(pool), isLeaving = true)

    /** Notes that a connection was reset and, if the target takes no new one, that it crashed with what ran on it. */
    fun connectionReset(pool: ConnectionPool) {
        if (pool.isTargetUp) return
        unreachable(pool)
        val targetId = idOf(pool)
        val suspects = pool.attempts.mapNotNull { runs[it] }
            .filter { it.targetId == targetId && it.request.kind == RequestKind.BRIEFING }
            .map { CrashSuspect(fingerprintOf(it.request), it.hasAnswered) }
        if (suspects.isEmpty()) return
        report(CrashRecord.TargetCrashed(targetId, incarnation, world.loop.nowMillis, suspects))
    }

    /** Returns whether an attempt to run [request] may still run on a target that fell silent. */
    fun isUnresolved(request: PlannedRequest): Boolean = unresolved[fingerprintOf(request)].orEmpty().isNotEmpty()

    /** Charges a request that ended unanswered with each target on which it may still run. */
    fun endedUnanswered(request: PlannedRequest) {
        unresolved.remove(fingerprintOf(request)).orEmpty().forEach(::charge)
    }

    /** Cancels an attempt whose connection fell silent; until the target confirms that, it may still run there. */
    private fun fellSilent(attemptId: AttemptId) {
        val run = runs[attemptId]
        if (run != null && run.request.kind == RequestKind.BRIEFING) cancelSilent(attemptId, run)
        onLost(attemptId)
    }

    private fun cancelSilent(attemptId: AttemptId, run: Run) {
        val runsOfRequest = unresolved.getOrPut(fingerprintOf(run.request), ::mutableListOf)
        runsOfRequest += run
        pool(run.targetId).cancelConfirmed(attemptId) { isConfirmed ->
            val wasOpen = runsOfRequest.remove(run)
            if (wasOpen && !isConfirmed && isAlive()) charge(run)
        }
    }

    private fun charge(run: Run) {
        val suspect = CrashSuspect(fingerprintOf(run.request), run.hasAnswered)
        report(CrashRecord.TargetCrashed(run.targetId, incarnation, world.loop.nowMillis, listOf(suspect)))
    }

    private fun report(record: CrashRecord) {
        ledger = ledger.apply(record)
        world.tellPeers(record)
        append(record, APPEND_TRIES)
    }

    private fun append(record: CrashRecord, triesLeft: Int) {
        if (!isAlive() || triesLeft == 0) return
        world.log.append(CRASH_STREAM, record.encodeToPayload()) { if (it == null) append(record, triesLeft - 1) }
    }

    private fun candidates(request: PlannedRequest, avoided: Set<TargetId>): List<TargetId> {
        val all = (if (request.kind == RequestKind.BRIEFING) engines else services).keys.toList()
        val live = all.filter(departures::acceptsWork).ifEmpty { all }
        return live.filterNot { it in avoided }.ifEmpty { live }
    }

    private fun checkReadiness(): Boolean {
        (engines + services).forEach { (targetId, target) -> if (target.isUp) observe(targetId, isLeaving = false) }
        return isAlive()
    }

    private fun observe(targetId: TargetId, isLeaving: Boolean) {
        departures = departures.observe(targetId, DepartureSource.SELF, isLeaving)
    }

    private fun idOf(pool: ConnectionPool): TargetId = pools.entries.first { it.value === pool }.key

    private fun fingerprintOf(request: PlannedRequest): RequestFingerprint = RequestFingerprint(request.orderId)

    private companion object {
        private const val READINESS_MILLIS = 500L
        private const val APPEND_TRIES = 100
    }
}
