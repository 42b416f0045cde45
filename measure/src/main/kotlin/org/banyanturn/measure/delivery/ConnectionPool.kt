package org.banyanturn.measure.delivery

import org.banyanturn.core.delivery.AttemptId
import org.banyanturn.core.delivery.ConnectionDecision
import org.banyanturn.core.delivery.ConnectionId
import org.banyanturn.core.delivery.ProgressMonitor

/** One VM's connections to one target, watched for silence. */
internal class ConnectionPool(
    private val world: World,
    private val target: SimulatedTarget,
    private val canProbe: Boolean,
    private val onEvent: (ConnectionPool, WireEvent) -> Unit,
    private val onReset: (AttemptId) -> Unit,
    private val onSilent: (AttemptId) -> Unit,
) {
    private var monitor = ProgressMonitor()
    private val open = LinkedHashMap<ConnectionId, SimulatedConnection>()

    /** Attempts that await their answer here. */
    val attempts: List<AttemptId> get() = monitor.connections.values.flatMap { it.attempts }

    /** Whether the target takes connections: what a new one shows at once. */
    val isTargetUp: Boolean get() = target.isUp

    /** Sends an attempt on a connection that is not suspect, or on a new one. */
    fun send(attemptId: AttemptId, request: PlannedRequest, resumeAtToken: Int) {
        val connectionId = open.keys.firstOrNull(::isFree) ?: connect()
        val connection = open.getValue(connectionId)
        monitor = monitor.sent(connectionId, attemptId, world.loop.nowMillis)
        val fault = world.nextFault(request.orderId)
        connection.send(SimulatedAttempt(attemptId.value, request, resumeAtToken, fault, connection))
    }

    /** Cancels an attempt at the target. */
    fun cancel(attemptId: AttemptId) {
        ended(attemptId)
        target.cancel(attemptId.value)
    }

    /** Cancels an attempt over a new connection and reports whether the target confirms that or dies before. */
    fun cancelConfirmed(attemptId: AttemptId, onResult: (Boolean) -> Unit) {
        var isOpen = true
        val life = target.life
        target.whenAwake {
            target.cancel(attemptId.value)
            isOpen = false
            onResult(true)
        }
        world.loop.every(DEATH_CHECK_MILLIS) {
            val hasDied = target.life != life
            if (isOpen && hasDied) onResult(false)
            isOpen && !hasDied
        }
    }

    /** Forgets an attempt that has ended. */
    fun ended(attemptId: AttemptId) {
        val connection = monitor.connections.values.firstOrNull { attemptId in it.attempts } ?: return
        monitor = monitor.ended(connection.connectionId, attemptId)
    }

    /** Does what the monitor says is due. */
    fun tick() {
        val step = monitor.tick(world.loop.nowMillis)
        monitor = step.monitor
        step.decisions.forEach(::execute)
    }

    /** Closes every connection. */
    fun closeAll(): Unit = open.values.forEach(SimulatedConnection::close)

    private fun execute(decision: ConnectionDecision) {
        when (decision) {
            is ConnectionDecision.Probe -> open[decision.connectionId]?.probe()

            ConnectionDecision.OpenConnection -> connect()

            is ConnectionDecision.Drop -> {
                decision.connectionIds.forEach { open.remove(it)?.close() }
                decision.attempts.forEach(onSilent)
            }
        }
    }

    private fun isFree(connectionId: ConnectionId): Boolean {
        val isIdle = monitor.connections[connectionId]?.attempts.isNullOrEmpty()
        return monitor.isUsable(connectionId) && (canProbe || isIdle)
    }

    private fun connect(): ConnectionId {
        val connection = world.connect(target, ::receive)
        val connectionId = ConnectionId(connection.number)
        open[connectionId] = connection
        monitor = monitor.opened(connectionId, canProbe, world.loop.nowMillis)
        return connectionId
    }

    private fun receive(connection: SimulatedConnection, event: WireEvent) {
        val connectionId = ConnectionId(connection.number)
        if (event == WireEvent.ConnectionReset) {
            onEvent(this, event)
            val lost = monitor.connections[connectionId]?.attempts.orEmpty()
            monitor = monitor.closed(connectionId)
            open.remove(connectionId)?.close()
            lost.forEach(onReset)
        } else {
            monitor = monitor.received(connectionId, world.loop.nowMillis)
            onEvent(this, event)
        }
    }

    private companion object {
        private const val DEATH_CHECK_MILLIS = 50L
    }
}
