package org.banyanturn.core.delivery

import kotlinx.collections.immutable.PersistentMap
import kotlinx.collections.immutable.PersistentSet
import kotlinx.collections.immutable.persistentMapOf
import kotlinx.collections.immutable.persistentSetOf

/** Returns the identifier of a connection to a target; unique in its pool. */
@JvmInline
public value class ConnectionId(public val value: Long)

/**
 * When a connection counts as silent.
 *
 * @property probeAfterMillis silence, while answers are awaited, after which the connection is probed.
 * @property probeTimeoutMillis how long a probe may stay without any sign of life.
 * @property progressDeadlineMillis the longest silence on a connection that can't be probed, such as HTTP/1.1.
 * @property idleProbeMillis silence after which an idle connection is probed.
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
 * @property canProbe whether the protocol has a keep-alive probe that an end answers while requests run.
 * @property lastProgressMillis when a byte last came, or when the connection was first used after an idle time.
 * @property attempts attempts that await their answer on it.
 * @property probedMillis when the unanswered probe was sent, or `null`.
 */
public data class MonitoredConnection(
    val connectionId: ConnectionId,
    val canProbe: Boolean,
    val lastProgressMillis: Long,
    val attempts: PersistentSet<AttemptId> = persistentSetOf(),
    val probedMillis: Long? = null,
)

/** What the pool does next. */
public sealed interface ConnectionDecision {
    /** Send a keep-alive probe. */
    public data class Probe(val connectionId: ConnectionId) : ConnectionDecision

    /** Open a connection beside the suspect ones, so that new requests need not wait for the verdict. */
    public data object OpenConnection : ConnectionDecision

    /** Close the connections, together; the [attempts] on them got no answer: [AttemptEvidence.UNKNOWN]. */
    public data class Drop(val connectionIds: List<ConnectionId>, val attempts: List<AttemptId>) : ConnectionDecision
}

/** The monitor after a step and what the pool does, in order. */
public data class ProgressStep(val monitor: ProgressMonitor, val decisions: List<ConnectionDecision>)

/**
 * Finds the connections of one pool that went silent: open, but nothing comes through any more.
 *
 * When one is found silent, every other that has been quiet for at least as long as it takes to suspect one is dropped
 * with it, since what lost track of one connection to a target has mostly lost track of its neighbours.
 */
public data class ProgressMonitor(
    val settings: ProgressSettings = ProgressSettings(),
    val connections: PersistentMap<ConnectionId, MonitoredConnection> = persistentMapOf(),
    private val isOpening: Boolean = false,
) {
    /** Returns the monitor that also watches a new connection. */
    public fun opened(connectionId: ConnectionId, canProbe: Boolean, nowMillis: Long): ProgressMonitor =
        copy(
            connections = connections.putting(connectionId, MonitoredConnection(connectionId, canProbe, nowMillis)),
            isOpening = false,
        )

    /** Returns the monitor after an attempt to open a connection failed. */
    public fun openFailed(): ProgressMonitor = copy(isOpening = false)

    /** Returns the monitor without a connection that was closed. */
    public fun closed(
        connectionId: ConnectionId,
    ): ProgressMonitor = copy(connections = connections.removing(connectionId))

    /** Returns the monitor after [attemptId] was sent on a connection. */
    public fun sent(connectionId: ConnectionId, attemptId: AttemptId, nowMillis: Long): ProgressMonitor =
        update(connectionId) {
            val progressMillis = if (it.attempts.isEmpty()) nowMillis else it.lastProgressMillis
            it.copy(attempts = it.attempts.adding(attemptId), lastProgressMillis = progressMillis)
        }

    /** Returns the monitor after any byte, or the answer to a probe, came on a connection. */
    public fun received(connectionId: ConnectionId, nowMillis: Long): ProgressMonitor =
        update(connectionId) { it.copy(lastProgressMillis = nowMillis, probedMillis = null) }

    /** Returns the monitor after [attemptId] ended. */
    public fun ended(connectionId: ConnectionId, attemptId: AttemptId): ProgressMonitor =
        update(connectionId) { it.copy(attempts = it.attempts.removing(attemptId)) }

    /** Returns whether new attempts may go out on a connection: it is watched and not suspect. */
    public fun isUsable(connectionId: ConnectionId): Boolean = connections[connectionId]?.probedMillis == null &&
        connectionId in connections

    /** Returns what is due at [nowMillis]; call it at least every quarter of the shortest setting. */
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
