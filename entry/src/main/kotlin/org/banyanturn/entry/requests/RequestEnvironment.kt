package org.banyanturn.entry.requests

import io.netty.channel.EventLoop
import org.banyanturn.core.MemberId
import org.banyanturn.core.delivery.AnswerLimits
import org.banyanturn.core.delivery.RequestStateMachine
import org.banyanturn.core.delivery.RetryPolicy
import org.banyanturn.core.routing.PrefillSpeedEstimator
import org.banyanturn.core.serving.KnownTarget
import org.banyanturn.core.serving.ServiceName
import org.banyanturn.daemon.ProcessClock
import org.banyanturn.entry.http.TargetConnectionPool
import org.banyanturn.entry.observe.CopyOutcomeLog
import org.banyanturn.entry.observe.DecisionLog
import org.banyanturn.entry.observe.EntryMetrics
import org.banyanturn.entry.turns.ColdTargetCoordinator
import org.banyanturn.entry.turns.PromptTurnCoordinator
import kotlin.random.Random

/** Holds the state and services shared by all requests of this VM; used on the event loop only. */
internal class RequestEnvironment(
    val clock: ProcessClock,
    val loop: EventLoop,
    val view: FleetView,
    val connectionPool: TargetConnectionPool,
    val targetSelector: TargetSelector,
    val waitQueue: WaitQueue,
    val copyRequester: CopyRequester,
    val limits: MemberLimits,
    val retries: ServiceRetryBudgets,
    val crashes: CrashEvidence,
    val log: DecisionLog,
    val metrics: EntryMetrics,
    val random: Random,
    val answerLimits: AnswerLimits = AnswerLimits(),
) {
    /** Bounds the memory of the answers that are being received. */
    val answerMemory = AnswerMemory(answerLimits.maxBufferedBytes)

    /** Decides which requests may be sent to cold targets. */
    val coldTargets: ColdTargetCoordinator
        get() = targetSelector.coldTargets

    /** Counts what becomes of the requests for each copy. */
    val copyOutcomes = CopyOutcomeLog(log)

    /** Handles the notices on further requests in targets' responses. */
    val notices = TargetNoticeHandler(view, log, metrics)

    /** Tracks the speed of targets from their load reports and responses. */
    val speeds = TargetSpeedTracker(view, clock, log, metrics)

    /** Estimates how fast engines process prompts from the responses to this VM's requests. */
    val prefillSpeed = PrefillSpeedEstimator()

    /** Coordinates when prompts are sent, so that the prompts of all VMs together don't stall an engine's streams. */
    val turns = PromptTurnCoordinator(view, clock, prefillSpeed)

    /** Called when a target's host has refused a connection, so that nothing listens there. */
    var onTargetDead: (KnownTarget) -> Unit = {}

    /** Returns whether requests may still be sent to targets; `false` late in a shutdown. */
    var acceptsRequests: () -> Boolean = { true }

    private val requestMachines = HashMap<Pair<ServiceName, Int>, RequestStateMachine>()
    private val latenciesByRoute = HashMap<String, RouteLatencies>()

    /** Returns the state machine for requests to [service] that may be sent to up to [maxAttempts] targets. */
    fun requestMachineFor(service: ServiceName, maxAttempts: Int): RequestStateMachine =
        requestMachines.getOrPut(service to maxAttempts) {
            val policy = RetryPolicy(maxAttempts, MAX_UNSENT_ATTEMPTS, BASE_BACKOFF_MILLIS, MAX_BACKOFF_MILLIS)
            RequestStateMachine(policy, { _, nowMillis -> retries.tryTake(service, nowMillis) }, random)
        }

    /** Returns the latency averages of the route [name]. */
    fun latenciesOf(name: String): RouteLatencies = latenciesByRoute.getOrPut(name) { RouteLatencies() }

    internal companion object {
        const val MAX_UNSENT_ATTEMPTS = 4
        const val BASE_BACKOFF_MILLIS = 2L
        const val MAX_BACKOFF_MILLIS = 40L

        /** The member to which requests without a key on public routes are attributed. */
        val PUBLIC_MEMBER = MemberId("public")
    }
}
