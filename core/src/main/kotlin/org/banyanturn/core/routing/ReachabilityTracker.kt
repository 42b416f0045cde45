package org.banyanturn.core.routing

import org.banyanturn.core.TargetId
import org.banyanturn.core.ZoneId

/**
 * When targets count as out of reach.
 *
 * @property retryIntervalMillis time between two tries of a target or an availability zone that is out of reach.
 * @property zoneThreshold silent targets of one availability zone from which on the whole zone counts as cut off.
 */
public data class ReachabilitySettings(val retryIntervalMillis: Long = 1_000, val zoneThreshold: Int = 2)

/**
 * Which targets this VM reaches, by its own attempts to connect; not safe for use by several threads.
 *
 * Load pattern: an availability zone is cut off while the platform still lists its targets, for seconds. Each try to
 * connect there costs its whole time limit, and a request that tries several such targets in turn is lost. A target
 * that doesn't answer a try to connect is left alone, and with a second one the rest of its zone, but for one try a
 * second; the first answer from the zone ends that.
 *
 * Load pattern: a target has died while the platform lists it for seconds more, and it holds the only copy of a busy
 * model. Its host turns connections away at once, so each request would use up its tries within milliseconds. Such a
 * target is left alone too, but for one try a second, and tells nothing of its zone.
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

    /** Returns whether the host of [targetId] has turned a connection away lately. */
    public fun isRefusingConnections(targetId: TargetId, nowMillis: Long): Boolean =
        refusedAtMillis[targetId]?.let { nowMillis - it < settings.retryIntervalMillis } ?: false

    /** Notes that a request is sent to [targetId], so that the others wait for what becomes of it. */
    public fun onAttempt(targetId: TargetId, zoneId: ZoneId, nowMillis: Long) {
        refusedAtMillis.computeIfPresent(targetId) { _, _ -> nowMillis }
        val zone = zones[zoneId] ?: return
        if (targetId in zone.unresponsiveTargets || zone.unresponsiveTargets.size >= settings.zoneThreshold) {
            zone.lastAttemptMillis = nowMillis
        }
    }

    /** Notes that [targetId] has not answered a try to connect; returns whether that is news. */
    public fun onConnectTimeout(targetId: TargetId, zoneId: ZoneId, nowMillis: Long): Boolean {
        val zone = zones.getOrPut(zoneId) { ZoneState() }
        zone.lastAttemptMillis = nowMillis
        return zone.unresponsiveTargets.add(targetId)
    }

    /** Notes that the host of [targetId] has turned a connection away; returns whether that is news. */
    public fun onConnectionRefused(targetId: TargetId, nowMillis: Long): Boolean =
        refusedAtMillis.put(targetId, nowMillis) == null

    /** Forgets what is known of targets that are not [listed]. */
    public fun retain(listed: Set<TargetId>) {
        refusedAtMillis.keys.retainAll(listed)
    }

    /** Notes that [targetId] has answered, so that its zone is not cut off; returns whether that is news. */
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

/** The targets of an availability zone that don't answer. */
private class ZoneState {
    val unresponsiveTargets = HashSet<TargetId>()
    var lastAttemptMillis = Long.MIN_VALUE / 2
}
