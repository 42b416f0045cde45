package org.banyanturn.core.delivery

import kotlinx.collections.immutable.PersistentMap
import kotlinx.collections.immutable.persistentMapOf

/**
 * The times of a graceful shutdown.
 *
 * @property readinessDelayMillis how long new requests are still taken after readiness is off, since the balancer needs
 * that long to notice; refusing them would cut them.
 * @property drainLimitMillis when everything must have ended, counted from the request to shut down.
 * @property handOverMillis how long before the limit the requests that still wait are handed to another VM.
 */
public data class DrainSettings(
    val readinessDelayMillis: Long = 3_000,
    val drainLimitMillis: Long = 30_000,
    val handOverMillis: Long = 10_000,
) {
    init {
        require(readinessDelayMillis + handOverMillis <= drainLimitMillis) { "the drain limit is too short" }
    }
}

/** Where a shutdown stands. */
public enum class DrainPhase {
    /** The VM takes requests. */
    SERVING,

    /** Readiness is off; requests that the balancer still sends are taken. */
    NOT_READY,

    /** No new request is taken; what was taken finishes. */
    DRAINING,

    /** Requests that wait were handed to another VM; what runs finishes. */
    HANDING_OVER,

    /** Everything has its final answer: the process may end. */
    STOPPED,
}

/** What the daemon does next while it shuts down. */
public sealed interface DrainDecision {
    /** Report not ready, tell the peers and append the VM's own word that it leaves. */
    public data object AnnounceLeaving : DrainDecision

    /** Close the listening sockets; open connections close after their running request. */
    public data object StopAccepting : DrainDecision

    /** Send these requests, none of which has an attempt, on to another VM and relay its answers. */
    public data class HandOver(val requestIds: List<RequestId>) : DrainDecision

    /** Report [RequestEvent.ShutdownLimitReached] to these requests, so that each gets its final answer. */
    public data class EndRequests(val requestIds: List<RequestId>) : DrainDecision

    /** End the process. */
    public data object Exit : DrainDecision
}

/** The shutdown after a step and what the daemon does, in order. */
public data class DrainStep(val machine: DrainStateMachine, val decisions: List<DrainDecision>)

/**
 * The graceful shutdown of one VM's router.
 *
 * @property requests the requests that have no final answer, and whether an attempt of each was sent.
 * @property startedMillis when the shutdown was asked for, or `null`.
 */
public data class DrainStateMachine(
    val settings: DrainSettings = DrainSettings(),
    val phase: DrainPhase = DrainPhase.SERVING,
    val requests: PersistentMap<RequestId, Boolean> = persistentMapOf(),
    val startedMillis: Long? = null,
) {
    /** Whether the balancer may be told that this VM is ready. */
    val isReady: Boolean get() = phase == DrainPhase.SERVING

    /** Whether a request that arrives is taken. */
    val acceptsRequests: Boolean get() = phase == DrainPhase.SERVING || phase == DrainPhase.NOT_READY

    /** Returns the machine after a request was taken. */
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

    /** Returns the step that starts the shutdown; a second call changes nothing. */
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
