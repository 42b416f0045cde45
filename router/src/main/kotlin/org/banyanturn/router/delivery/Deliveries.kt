package org.banyanturn.router.delivery

import kotlinx.coroutines.CoroutineScope
import kotlinx.coroutines.coroutineScope
import kotlinx.coroutines.flow.StateFlow
import kotlinx.coroutines.flow.first
import kotlinx.coroutines.launch
import org.banyanturn.core.KeyId
import org.banyanturn.core.delivery.DeliveryRequest
import org.banyanturn.core.delivery.RequestEvent
import org.banyanturn.core.delivery.RequestStateMachine
import org.banyanturn.core.state.FleetState
import org.banyanturn.daemon.ProcessClock
import java.util.concurrent.ConcurrentHashMap

/** The requests that are on their way. */
internal interface Deliveries {
    /**
     * Returns what [answer] returns for the delivery of [request].
     *
     * The delivery learns when the key [keyId] is withdrawn and, from the end of [answer], that its caller is served
     * or gone; it goes on where an outcome is still to be recorded.
     */
    suspend fun <T> run(
        request: DeliveryRequest,
        work: RequestWork,
        keyId: KeyId?,
        answer: suspend (Delivery) -> T,
    ): T

    /** Tells every delivery that the time for the shutdown is over. */
    fun reportShutdownLimit()
}

/** Returns an empty set of deliveries, which run in [scope]. */
internal fun deliveries(
    machine: RequestStateMachine,
    states: StateFlow<FleetState>,
    clock: ProcessClock,
    scope: CoroutineScope,
): Deliveries = RunningDeliveries(machine, states, clock, scope)

private class RunningDeliveries(
    private val machine: RequestStateMachine,
    private val states: StateFlow<FleetState>,
    private val clock: ProcessClock,
    private val scope: CoroutineScope,
) : Deliveries {
    private val running = ConcurrentHashMap.newKeySet<Delivery>()

    override suspend fun <T> run(
        request: DeliveryRequest,
        work: RequestWork,
        keyId: KeyId?,
        answer: suspend (Delivery) -> T,
    ): T = coroutineScope {
        val delivery = scope.deliver(request, work, machine, clock)
        running += delivery
        val watcher = launch { if (keyId != null) reportWithdrawal(keyId, delivery) }
        try {
            answer(delivery)
        } finally {
            watcher.cancel()
            running -= delivery
            delivery.report(RequestEvent.CallerGone)
        }
    }

    override fun reportShutdownLimit() {
        running.forEach { it.report(RequestEvent.ShutdownLimitReached) }
    }

    private suspend fun reportWithdrawal(keyId: KeyId, delivery: Delivery) {
        states.first { it.keys[keyId]?.isWithdrawn == true }
        delivery.report(RequestEvent.KeyWithdrawn)
    }
}
