package org.banyanturn.core.delivery

import kotlinx.collections.immutable.PersistentMap
import kotlinx.collections.immutable.persistentMapOf

/**
 * Time limits of a graceful shutdown.
 *
 * @property readinessDelayMillis how long new requests are still accepted after the VM reports not ready; the load
 * balancer needs that long to stop sending requests, which would fail if they were refused.
 * @property drainLimitMillis time after the start of the shutdown by which all requests must have ended.
 * @property handOverMillis how long before [drainLimitMillis] waiting requests are handed over to another VM.
 */
public data class DrainSettings(
    val readinessDelayMillis: Long = 3_000,
    val drainLimitMillis: Long = 30_000,
    val handOverMillis: Long = 10_000,
) {
    init {
        require(readinessDelayMillis + handOverMillis <= drainLimitMillis) {
            "readinessDelayMillis + handOverMillis must not exceed drainLimitMillis"
        }
    }
}

/** The phase of a shutdown. */
public enum class DrainPhase {
    /** The VM accepts requests and reports ready. */
    SERVING,

    /** The VM reports not ready, but still accepts the requests that the load balancer sends. */
    NOT_READY,

    /** No new requests are accepted; accepted requests are completed. */
    DRAINING,

    /** Waiting requests were handed over to another VM; running requests are completed. */
    HANDING_OVER,

    /** All requests have their final answers; the process may exit. */
    STOPPED,
}

/** What the daemon does next while it shuts down. */
public sealed interface DrainDecision {
    /** Report not ready, notify the peers, and append a record that this VM leaves. */
    public data object AnnounceLeaving : DrainDecision

    /** Close the listening sockets; close open connections after their running request. */
    public data object StopAccepting : DrainDecision

    /** Forward these requests, none of which was sent to a target, to another VM and relay its answers. */
    public data class HandOver(val requestIds: List<RequestId>) : DrainDecision

    /** Pass [RequestEvent.ShutdownLimitReached] to these requests, so that each gets its final answer. */
    public data class EndRequests(val requestIds: List<RequestId>) : DrainDecision

    /** Exit the process. */
    public data object Exit : DrainDecision
}

/** The state machine after a step, and the decisions that the daemon carries out in order. */
public data class DrainStep(val machine: DrainStateMachine, val decisions: List<DrainDecision>)

/**
 * The state machine of one VM's graceful shutdown.
 *
 * @property requests the requests without a final answer, and for each whether an attempt was sent.
 * @property startedMillis when the shutdown was requested, or `null`.
 */
public data class DrainStateMachine(
    val settings: DrainSettings = DrainSettings(),
    val phase: DrainPhase = DrainPhase.SERVING,
    val requests: PersistentMap<RequestId, Boolean> = persistentMapOf(),
    val startedMillis: Long? = null,
) {
    /** Whether the VM reports to the load balancer that it is ready. */
    val isReady: Boolean get() = phase == DrainPhase.SERVING

    /** Whether new requests are accepted. */
    val acceptsRequests: Boolean get() = phase == DrainPhase.SERVING || phase == DrainPhase.NOT_READY

    /** Returns the machine after a request was accepted. */
    public fun requestStarted(
        requestId: RequestId,
    ): DrainStateMachine = copy(requests = requests.putting(requestId, false))

    /** Returns the machine after an attempt of a request was sent. */
    public fun attemptSent(requestId: RequestId): DrainStateMachine =
        if (requestId in requests) copy(requests = requests.putting(requestId, true)) else this

    /** Returns the step after a request got its final answer. */
    public fun requestEnded(
        requestId: RequestId,
    ): DrainStep = copy(requests = requests.removing(requestId)).stopIfIdle()

    /** Returns the step that starts the shutdown; has no effect if the shutdown has started before. */
    public fun shutDown(nowMillis: Long): DrainStep =
        if (startedMillis == null) {
            DrainStep(
                copy(phase = DrainPhase.NOT_READY, startedMillis = nowMillis),
                listOf(DrainDecision.AnnounceLeaving),
            )
        } else {
            DrainStep(this, emptyList())
        }

    /** Returns the step that is due at [nowMillis]. */
    public fun tick(nowMillis: Long): DrainStep {
        val elapsedMillis = nowMillis - (startedMillis ?: return DrainStep(this, emptyList()))
        val handOverAtMillis = settings.drainLimitMillis - settings.handOverMillis
        return when {
            phase == DrainPhase.NOT_READY && elapsedMillis >= settings.readinessDelayMillis -> stopAccepting(nowMillis)
            phase == DrainPhase.DRAINING && elapsedMillis >= handOverAtMillis -> handOver()
            phase == DrainPhase.HANDING_OVER && elapsedMillis >= settings.drainLimitMillis -> endRequests()
            else -> DrainStep(this, emptyList())
        }
    }

    private fun stopAccepting(nowMillis: Long): DrainStep {
        val idle = copy(phase = DrainPhase.DRAINING).stopIfIdle()
        val rest = if (idle.machine.phase == DrainPhase.STOPPED) idle else idle.machine.tick(nowMillis)
        return DrainStep(rest.machine, listOf(DrainDecision.StopAccepting) + rest.decisions)
    }

    private fun handOver(): DrainStep {
        val waitingRequests = requests.filterValues { isSent -> !isSent }.keys.toList()
        val decisions = if (waitingRequests.isEmpty()) emptyList() else listOf(DrainDecision.HandOver(waitingRequests))
        return DrainStep(copy(phase = DrainPhase.HANDING_OVER), decisions)
    }

    private fun endRequests(): DrainStep =
        if (requests.isEmpty()) {
            stopIfIdle()
        } else {
            DrainStep(
                this,
                listOf(DrainDecision.EndRequests(requests.keys.toList())),
            )
        }

    private fun stopIfIdle(): DrainStep =
        if (requests.isEmpty() && (phase == DrainPhase.DRAINING || phase == DrainPhase.HANDING_OVER)) {
            DrainStep(copy(phase = DrainPhase.STOPPED), listOf(DrainDecision.Exit))
        } else {
            DrainStep(this, emptyList())
        }
}
