package org.banyanturn.core.delivery

import kotlinx.collections.immutable.PersistentMap
import kotlinx.collections.immutable.PersistentSet
import kotlinx.collections.immutable.persistentMapOf
import kotlinx.collections.immutable.persistentSetOf

/** The identifier of a connection to a target; unique in its pool. */
@JvmInline
public value class ConnectionId(public val value: Long)

/**
 * Timeouts for the detection of unresponsive connections.
 *
 * @property probeAfterMillis time without received data after which a connection with open attempts is probed.
 * @property probeTimeoutMillis how long a probe may remain without any received data.
 * @property progressDeadlineMillis longest time without received data on a connection with open attempts that can't be
 * probed, such as HTTP/1.1.
 * @property idleProbeMillis time without received data after which an idle connection is probed.
 */
public data class ProgressSettings(
    val probeAfterMillis: Long = 500,
    val probeTimeoutMillis: Long = 500,
    val progressDeadlineMillis: Long = 1_500,
    val idleProbeMillis: Long = 5_000,
)

/**
 * A connection of a pool.
 *
 * @property canProbe whether the protocol has a keep-alive probe that the peer answers while requests run.
 * @property lastProgressMillis when data was last received, or when the connection was first used after an idle time.
 * @property attempts attempts that wait for their answer on the connection.
 * @property probedMillis when the unanswered probe was sent, or `null`.
 */
public data class MonitoredConnection(
    val connectionId: ConnectionId,
    val canProbe: Boolean,
    val lastProgressMillis: Long,
    val attempts: PersistentSet<AttemptId> = persistentSetOf(),
    val probedMillis: Long? = null,
)

/** An action that the connection pool carries out. */
public sealed interface ConnectionDecision {
    /** Send a keep-alive probe. */
    public data class Probe(val connectionId: ConnectionId) : ConnectionDecision

    /** Open a further connection, so that new requests need not wait for the probes of suspect ones. */
    public data object OpenConnection : ConnectionDecision

    /** Close all these connections; the [attempts] on them got no answer ([AttemptEvidence.UNKNOWN]). */
    public data class Drop(val connectionIds: List<ConnectionId>, val attempts: List<AttemptId>) : ConnectionDecision
}

/** The monitor after a step, and the decisions that the pool carries out in order. */
public data class ProgressStep(val monitor: ProgressMonitor, val decisions: List<ConnectionDecision>)

/**
 * Detects unresponsive connections of one pool: connections that are open but no longer transfer data.
 *
 * When a connection is unresponsive, every other connection that is idle, or that has received nothing for at least as
 * long as the detection takes, is dropped with it: the component that lost the state of one connection to a target has
 * mostly lost the state of the others too.
 */
public data class ProgressMonitor(
    val settings: ProgressSettings = ProgressSettings(),
    val connections: PersistentMap<ConnectionId, MonitoredConnection> = persistentMapOf(),
    private val isOpening: Boolean = false,
) {
    /** Returns the monitor after a connection was opened. */
    public fun opened(connectionId: ConnectionId, canProbe: Boolean, nowMillis: Long): ProgressMonitor =
        copy(
            connections = connections.putting(connectionId, MonitoredConnection(connectionId, canProbe, nowMillis)),
            isOpening = false,
        )

    /** Returns the monitor after an attempt to open a connection failed. */
    public fun openFailed(): ProgressMonitor = copy(isOpening = false)

    /** Returns the monitor after a connection was closed. */
    public fun closed(
        connectionId: ConnectionId,
    ): ProgressMonitor = copy(connections = connections.removing(connectionId))

    /** Returns the monitor after [attemptId] was sent on a connection. */
    public fun sent(connectionId: ConnectionId, attemptId: AttemptId, nowMillis: Long): ProgressMonitor =
        update(connectionId) {
            val progressMillis = if (it.attempts.isEmpty()) nowMillis else it.lastProgressMillis
            it.copy(attempts = it.attempts.adding(attemptId), lastProgressMillis = progressMillis)
        }

    /** Returns the monitor after any data, or the answer to a probe, was received on a connection. */
    public fun received(connectionId: ConnectionId, nowMillis: Long): ProgressMonitor =
        update(connectionId) { it.copy(lastProgressMillis = nowMillis, probedMillis = null) }

    /** Returns the monitor after [attemptId] ended. */
    public fun ended(connectionId: ConnectionId, attemptId: AttemptId): ProgressMonitor =
        update(connectionId) { it.copy(attempts = it.attempts.removing(attemptId)) }

    /** Returns whether new attempts may be sent on a connection: it is monitored and has no unanswered probe. */
    public fun isUsable(connectionId: ConnectionId): Boolean = connections[connectionId]?.probedMillis == null &&
        connectionId in connections

    /** Returns the step that is due at [nowMillis]; to be called at least every quarter of the shortest timeout. */
    public fun tick(nowMillis: Long): ProgressStep {
        val unresponsive = connections.values.filter { isUnresponsive(it, nowMillis) }
        if (unresponsive.isNotEmpty()) return dropUnresponsive(unresponsive, nowMillis)
        val toProbe = connections.values.filter { isProbeDue(it, nowMillis) }
        val probed = toProbe.fold(this) { monitor, connection ->
            monitor.update(connection.connectionId) { it.copy(probedMillis = nowMillis) }
        }
        val probes = toProbe.map { ConnectionDecision.Probe(it.connectionId) }
        return probed.openIfNeeded(probes, isNeeded = toProbe.any { it.attempts.isNotEmpty() })
    }

    private fun isUnresponsive(connection: MonitoredConnection, nowMillis: Long): Boolean {
        val probedMillis = connection.probedMillis
        return when {
            probedMillis != null -> nowMillis - probedMillis >= settings.probeTimeoutMillis
            connection.canProbe || connection.attempts.isEmpty() -> false
            else -> nowMillis - connection.lastProgressMillis >= settings.progressDeadlineMillis
        }
    }

    private fun isProbeDue(connection: MonitoredConnection, nowMillis: Long): Boolean {
        if (!connection.canProbe || connection.probedMillis != null) return false
        val limitMillis = if (connection.attempts.isEmpty()) settings.idleProbeMillis else settings.probeAfterMillis
        return nowMillis - connection.lastProgressMillis >= limitMillis
    }

    private fun dropUnresponsive(unresponsive: List<MonitoredConnection>, nowMillis: Long): ProgressStep {
        val inactive = connections.values.filter { it !in unresponsive && isInactive(it, nowMillis) }
        val dropped = unresponsive + inactive
        val kept = dropped.fold(connections) { left, connection -> left.removing(connection.connectionId) }
        val decision = ConnectionDecision.Drop(
            connectionIds = dropped.map(MonitoredConnection::connectionId),
            attempts = dropped.flatMap(MonitoredConnection::attempts),
        )
        return copy(connections = kept).openIfNeeded(listOf(decision), isNeeded = kept.isEmpty())
    }

    private fun isInactive(connection: MonitoredConnection, nowMillis: Long): Boolean {
        val inactiveMillis = nowMillis - connection.lastProgressMillis
        val isSuspect = connection.canProbe && inactiveMillis >= settings.probeAfterMillis + settings.probeTimeoutMillis
        return connection.attempts.isEmpty() || isSuspect
    }

    private fun openIfNeeded(decisions: List<ConnectionDecision>, isNeeded: Boolean): ProgressStep =
        if (isNeeded && !isOpening) {
            ProgressStep(copy(isOpening = true), decisions + ConnectionDecision.OpenConnection)
        } else {
            ProgressStep(this, decisions)
        }

    private inline fun update(
        connectionId: ConnectionId,
        transform: (MonitoredConnection) -> MonitoredConnection,
    ): ProgressMonitor {
        val connection = connections[connectionId] ?: return this
        return copy(connections = connections.putting(connectionId, transform(connection)))
    }
}
