package org.banyanturn.core.routing

import org.banyanturn.core.TargetId
import org.banyanturn.core.ZoneId

/**
 * Settings of [ReachabilityTracker].
 *
 * @property retryIntervalMillis time between two attempts at an unreachable target or availability zone, in
 * milliseconds.
 * @property zoneThreshold number of unresponsive targets in an availability zone from which the whole zone counts as
 * unreachable.
 */
public data class ReachabilitySettings(val retryIntervalMillis: Long = 1_000, val zoneThreshold: Int = 2)

/**
 * Tracks which targets are reachable from this VM, based on its own connection attempts. Not thread-safe.
 *
 * Load pattern: an availability zone is partitioned off while the platform lists its targets for several more seconds.
 * Each connection attempt there takes the whole timeout, and a request that tries several such targets in turn fails.
 * After a connect timeout a target gets no requests, and after a second unresponsive target neither does the rest of
 * the zone, except for one attempt per second. The first answer from the zone ends this.
 *
 * Load pattern: a target that holds the only copy of a busy model has died while the platform lists it for several more
 * seconds. Its host refuses connections at once, so each request would use up its attempts within milliseconds. Such a
 * target also gets only one attempt per second, but the refusal is no evidence against its zone.
 */
public class ReachabilityTracker(private val settings: ReachabilitySettings = ReachabilitySettings()) {
    private val zones = HashMap<ZoneId, ZoneState>()
    private val refusedAtMillis = HashMap<TargetId, Long>()

    /** Returns whether a request may be sent to [targetId] in [zoneId] now. */
    public fun isReachable(targetId: TargetId, zoneId: ZoneId, nowMillis: Long): Boolean {
        if (isRefusingConnections(targetId, nowMillis)) return false
        val zone = zones[zoneId] ?: return true
        val isSuspect = targetId in zone.unresponsiveTargets || zone.unresponsiveTargets.size >= settings.zoneThreshold
        return !isSuspect || nowMillis - zone.lastAttemptMillis >= settings.retryIntervalMillis
    }

    /** Returns whether the host of [targetId] has recently refused a connection. */
    public fun isRefusingConnections(targetId: TargetId, nowMillis: Long): Boolean =
        refusedAtMillis[targetId]?.let { nowMillis - it < settings.retryIntervalMillis } ?: false

    /** Records that a request is sent to [targetId]; if it is unreachable, other requests wait for the outcome. */
    public fun onAttempt(targetId: TargetId, zoneId: ZoneId, nowMillis: Long) {
        refusedAtMillis.computeIfPresent(targetId) { _, _ -> nowMillis }
        val zone = zones[zoneId] ?: return
        if (targetId in zone.unresponsiveTargets || zone.unresponsiveTargets.size >= settings.zoneThreshold) {
            zone.lastAttemptMillis = nowMillis
        }
    }

    /** Records that a connection attempt to [targetId] timed out; returns whether it counted as responsive before. */
    public fun onConnectTimeout(targetId: TargetId, zoneId: ZoneId, nowMillis: Long): Boolean {
        val zone = zones.getOrPut(zoneId) { ZoneState() }
        zone.lastAttemptMillis = nowMillis
        return zone.unresponsiveTargets.add(targetId)
    }

    /** Records that the host of [targetId] refused a connection; returns whether no refusal was recorded before. */
    public fun onConnectionRefused(targetId: TargetId, nowMillis: Long): Boolean =
        refusedAtMillis.put(targetId, nowMillis) == null

    /** Removes the recorded refusals of targets that are not [listed]. */
    public fun retain(listed: Set<TargetId>) {
        refusedAtMillis.keys.retainAll(listed)
    }

    /** Records that [targetId] has answered; returns whether the target or its zone counted as unreachable before. */
    public fun onAnswered(targetId: TargetId, zoneId: ZoneId): Boolean {
        val wasRefused = refusedAtMillis.remove(targetId) != null
        return onZoneAnswered(targetId, zoneId) || wasRefused
    }

    private fun onZoneAnswered(targetId: TargetId, zoneId: ZoneId): Boolean {
        val zone = zones[zoneId] ?: return false
        if (targetId in zone.unresponsiveTargets || zone.unresponsiveTargets.size >= settings.zoneThreshold) {
            zones -= zoneId
            return true
        }
        return false
    }
}

/** The unresponsive targets of an availability zone and the time of the latest attempt at one of them. */
private class ZoneState {
    val unresponsiveTargets = HashSet<TargetId>()
    var lastAttemptMillis = Long.MIN_VALUE / 2
}
