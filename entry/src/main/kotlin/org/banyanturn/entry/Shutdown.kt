package org.banyanturn.entry

import org.banyanturn.core.delivery.DrainDecision
import org.banyanturn.core.delivery.DrainPhase
import org.banyanturn.core.delivery.DrainSettings
import org.banyanturn.core.delivery.DrainStateMachine
import org.banyanturn.core.delivery.DrainStep
import org.banyanturn.core.delivery.RequestId
import org.banyanturn.daemon.ProcessClock
import org.banyanturn.entry.http.CallerExchange

/** What a shutdown has done to the rest of the process. */
internal interface ShutdownActions {
    /** Says that this VM leaves. */
    fun announceLeaving()

    /** Refuses the requests that wait for a target, so that they come back to another VM. */
    fun refuseWaiting()

    /** Closes the listening socket and idle connections. */
    fun stopAccepting()

    /** Ends the process. */
    fun exit()
}

/** The graceful shutdown of this process: takes what still comes, finishes what runs, then ends. */
internal class Shutdown(
    settings: DrainSettings,
    private val clock: ProcessClock,
    private val actions: ShutdownActions,
) {
    private var machine = DrainStateMachine(settings)
    private val open = HashMap<RequestId, CallerExchange>()
    private var lastNumber = 0L

    /** Whether the balancer may be told that this VM is ready. */
    val isServing: Boolean
        get() = machine.isReady

    /** Watches [exchange] until it has ended. */
    fun watch(exchange: CallerExchange) {
        val requestId = RequestId("exchange-${++lastNumber}")
        machine = machine.requestStarted(requestId)
        open[requestId] = exchange
        exchange.onExchangeEnd = {
            open -= requestId
            take(machine.requestEnded(requestId))
        }
    }

    /** Begins the shutdown. */
    fun begin(): Unit = take(machine.shutDown(clock.nowMillis()))

    /** Does what is due; called several times a second. */
    fun tick() {
        if (machine.phase == DrainPhase.SERVING) return
        actions.refuseWaiting()
        take(machine.tick(clock.nowMillis()))
    }

    private fun end(requestId: RequestId) {
        val exchange = open[requestId] ?: return
        exchange.listener?.onShutdownDeadline()
        exchange.abort()
    }

    private fun take(step: DrainStep) {
        machine = step.machine
        step.decisions.forEach(::carryOut)
    }

    private fun carryOut(decision: DrainDecision) {
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
