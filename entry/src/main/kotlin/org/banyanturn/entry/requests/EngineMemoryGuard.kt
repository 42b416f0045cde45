package org.banyanturn.entry.requests

import org.banyanturn.core.TargetId
import org.banyanturn.core.serving.KnownTarget
import org.banyanturn.core.serving.ServiceName
import org.banyanturn.daemon.ProcessClock
import org.banyanturn.daemon.logs.Event
import org.banyanturn.daemon.logs.field
import org.banyanturn.entry.observe.DecisionLog
import org.banyanturn.entry.observe.EntryMetrics

/**
 * Keeps the requests at an engine within its memory; used on the event loop only.
 *
 * @param isEnabled whether the deployment's engines fail when their memory is exceeded.
 * @param vmCount number of VMs that send requests, including this one.
 */
internal class EngineMemoryGuard(
    private val view: FleetView,
    private val clock: ProcessClock,
    private val isEnabled: Boolean,
    private val vmCount: () -> Int,
    private val log: DecisionLog,
    private val metrics: EntryMetrics,
) {
    private val loggedAtMillis = HashMap<TargetId, Long>()

    /** Returns whether no engine of [service] can hold a request that takes [tokens]. */
    fun isTooLarge(service: ServiceName, tokens: Long): Boolean =
        memoryTokensOrNull(service)?.let { tokens > it } ?: false

    /** Returns whether [target] can hold a request with [requirements] in addition to those that it holds. */
    fun fits(target: KnownTarget, requirements: TargetRequirements): Boolean {
        val memoryTokens = memoryTokensOrNull(requirements.service) ?: return true
        val nowMillis = clock.nowMillis()
        val sizes = view.requestSizes(requirements.service)
        val targets = view.directory.byService[requirements.service].orEmpty().size
        val inflow = sizes.inflowAt(nowMillis, vmCount() - 1, targets)
        val heldTokens = view.stateOf(target).ledger.heldTokensAt(nowMillis, sizes, inflow)
        val requestTokens = requirements.tokens ?: sizes.meanTokens.toLong()
        if (heldTokens + requestTokens <= memoryTokens) return true
        recordWithheld(target, heldTokens.toLong(), requestTokens, memoryTokens)
        return false
    }

    private fun memoryTokensOrNull(service: ServiceName): Long? =
        if (isEnabled) view.catalog?.services?.get(service)?.engine?.memoryTokens else null

    private fun recordWithheld(target: KnownTarget, heldTokens: Long, requestTokens: Long, memoryTokens: Long) {
        metrics.memoryWithheld.inc()
        val nowMillis = clock.nowMillis()
        val targetId = target.entry.targetId
        if (nowMillis - (loggedAtMillis[targetId] ?: (nowMillis - LOG_INTERVAL_MILLIS)) < LOG_INTERVAL_MILLIS) return
        loggedAtMillis.keys.retainAll(view.directory.targets.keys)
        loggedAtMillis[targetId] = nowMillis
        log.write(
            Event.ENGINE_MEMORY_FULL,
            field("target", targetId),
            field("heldTokens", heldTokens),
            field("requestTokens", requestTokens),
            field("memoryTokens", memoryTokens),
        )
    }

    private companion object {
        /** Shortest time between two log lines about the same engine. */
        const val LOG_INTERVAL_MILLIS = 10_000L
    }
}
