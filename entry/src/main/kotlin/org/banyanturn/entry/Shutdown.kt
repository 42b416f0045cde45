package org.banyanturn.entry

import org.banyanturn.core.delivery.DrainDecision
import org.banyanturn.core.delivery.DrainPhase
import org.banyanturn.core.delivery.DrainSettings
import org.banyanturn.core.delivery.DrainStateMachine
import org.banyanturn.core.delivery.DrainStep
import org.banyanturn.core.delivery.RequestId
import org.banyanturn.daemon.ProcessClock
import org.banyanturn.entry.http.CallerExchange

/** Provides the actions of a shutdown on the rest of the process. */
internal interface ShutdownActions {
    /** Announces to the other VMs that this one leaves. */
    fun announceLeaving()

    /** Refuses the requests that wait for a target, so that their callers retry at another VM. */
    fun refuseWaiting()

    /** Closes the listening socket and idle connections. */
    fun stopAccepting()

    /** Ends the process. */
    fun exit()
}

/**
 * Performs the graceful shutdown of this process.
 *
 * It accepts requests until the balancer sends no more, finishes the accepted ones, and then ends the process.
 */
internal class Shutdown(
    settings: DrainSettings,
    private val clock: ProcessClock,
    private val actions: ShutdownActions,
) {
    private var machine = DrainStateMachine(settings)
    private val openExchanges = HashMap<RequestId, CallerExchange>()
    private var lastNumber = 0L

    /** Whether this VM may report itself ready to the balancer. */
    val isServing: Boolean
        get() = machine.isReady

    /** Whether a request may still be sent to a target; later ones could be cut off by the end of the process. */
    val acceptsRequests: Boolean
        get() = machine.acceptsRequests

    /** Tracks [exchange] until it has ended. */
    fun track(exchange: CallerExchange) {
        val requestId = RequestId("exchange-${++lastNumber}")
        machine = machine.requestStarted(requestId)
        openExchanges[requestId] = exchange
        exchange.onExchangeEnd = {
            openExchanges -= requestId
            applyStep(machine.requestEnded(requestId))
        }
    }

    /** Starts the shutdown. */
    fun begin(): Unit = applyStep(machine.shutDown(clock.nowMillis()))

    /** Refuses waiting requests and performs the due steps during a shutdown; called several times a second. */
    fun tick() {
        if (machine.phase == DrainPhase.SERVING) return
        actions.refuseWaiting()
        applyStep(machine.tick(clock.nowMillis()))
    }

    private fun end(requestId: RequestId) {
        val exchange = openExchanges[requestId]?.takeUnless { it.hasEnded } ?: return
        exchange.listener?.onShutdownDeadline()
        exchange.abort()
    }

    private fun applyStep(step: DrainStep) {
        machine = step.machine
        step.decisions.forEach(::execute)
    }

    private fun execute(decision: DrainDecision) {
        when (decision) {
            DrainDecision.AnnounceLeaving -> actions.announceLeaving()

            DrainDecision.StopAccepting -> actions.stopAccepting()

            is DrainDecision.HandOver -> Unit

            is DrainDecision.EndRequests -> {
                decision.requestIds.forEach(::end)
                actions.exit()
            }

            DrainDecision.Exit -> actions.exit()
        }
    }
}
