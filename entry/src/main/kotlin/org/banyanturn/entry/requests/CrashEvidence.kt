package org.banyanturn.entry.requests

import org.banyanturn.core.delivery.PromptPartId
import org.banyanturn.entry.http.CallerExchange

/** Holds what this VM knows of requests that crash their targets, by whole requests and by parts of their prompts. */
internal class CrashEvidence(val requests: CrashTracker, val promptParts: PromptPartTracker) {
    /** Returns how long the request of [exchange] with shared [parts] remains blocked, in milliseconds, or `null`. */
    fun blockedForMillisOrNull(exchange: CallerExchange, parts: List<PromptPartId>): Long? =
        requests.blockedForMillisOrNull(exchange) ?: promptParts.blockedForMillisOrNull(parts)
}
