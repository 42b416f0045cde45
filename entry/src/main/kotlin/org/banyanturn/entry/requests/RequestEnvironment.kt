package org.banyanturn.entry.requests

import io.netty.channel.EventLoop
import org.banyanturn.core.MemberId
import org.banyanturn.core.delivery.RequestStateMachine
import org.banyanturn.core.delivery.RetryPolicy
import org.banyanturn.core.routing.PrefillSpeedEstimator
import org.banyanturn.core.serving.KnownTarget
import org.banyanturn.core.serving.ServiceName
import org.banyanturn.daemon.ProcessClock
import org.banyanturn.entry.http.TargetConnectionPool
import org.banyanturn.entry.observe.DecisionLog
import org.banyanturn.entry.observe.EntryMetrics
import org.banyanturn.entry.turns.PromptTurnCoordinator
import kotlin.random.Random

/** What all requests of this VM share; used on the event loop only. */
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
    val crashes: CrashTracker,
    val log: DecisionLog,
    val metrics: EntryMetrics,
    val random: Random,
) {
    /** What targets say about further requests. */
    val notices = TargetNoticeHandler(view, log, metrics)

    /** How fast engines read prompts, by the answers to this VM's requests. */
    val prefillSpeed = PrefillSpeedEstimator()

    /** When prompts are sent, so that those of all VMs break no pauses together. */
    val turns = PromptTurnCoordinator(view, clock, prefillSpeed)

    /** Called when a target's host has turned a connection away, so that nothing listens there. */
    var onTargetDead: (KnownTarget) -> Unit = {}

    private val requestMachines = HashMap<Pair<ServiceName, Int>, RequestStateMachine>()
    private val latenciesByRoute = HashMap<String, RouteLatencies>()

    /** Returns the rules for requests to [service] that may go to [maxAttempts] targets. */
    fun requestMachineFor(service: ServiceName, maxAttempts: Int): RequestStateMachine =
        requestMachines.getOrPut(service to maxAttempts) {
            val policy = RetryPolicy(maxAttempts, MAX_UNSENT_ATTEMPTS, BASE_BACKOFF_MILLIS, MAX_BACKOFF_MILLIS)
            RequestStateMachine(policy, { _, nowMillis -> retries.tryTake(service, nowMillis) }, random)
        }

    /** Returns how long requests of the route [name] take. */
    fun latenciesOf(name: String): RouteLatencies = latenciesByRoute.getOrPut(name) { RouteLatencies() }

    internal companion object {
        const val MAX_UNSENT_ATTEMPTS = 4
        const val BASE_BACKOFF_MILLIS = 2L
        const val MAX_BACKOFF_MILLIS = 40L

        /** Stands for all callers of routes that need no key. */
        val PUBLIC_MEMBER = MemberId("public")
    }
}
