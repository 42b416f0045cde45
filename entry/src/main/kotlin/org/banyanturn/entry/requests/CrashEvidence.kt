package org.banyanturn.entry.requests

import org.banyanturn.core.delivery.PromptPartId
import org.banyanturn.core.delivery.TargetLife
import org.banyanturn.entry.http.CallerExchange

/** Holds what this VM knows of requests that crash their targets, by whole requests and by parts of their prompts. */
internal class CrashEvidence(val requests: CrashTracker, val promptParts: PromptPartTracker) {
    /** Returns when to send the request of [exchange] with shared [parts] again, or `null` if it may be sent now. */
    fun refusedForMillisOrNull(exchange: CallerExchange, parts: List<PromptPartId>): Long? =
        requests.blockedForMillisOrNull(exchange) ?: promptParts.refusedForMillisOrNull(parts)

    /** As [refusedForMillisOrNull], for a request that is sent unless it is refused. */
    fun refusedOnSendForMillisOrNull(exchange: CallerExchange, parts: List<PromptPartId>): Long? =
        requests.blockedForMillisOrNull(exchange) ?: promptParts.refusedOnSendForMillisOrNull(parts)
}

/** Reports what happens to the attempts of the request of [exchange] with shared [parts] to [evidence]. */
internal class RequestEvidence(
    private val evidence: CrashEvidence,
    private val exchange: CallerExchange,
    private val parts: List<PromptPartId>,
) {
    /** Returns when to send the request again, in milliseconds, or `null` if it is to be sent now. */
    fun refusedOnSendForMillisOrNull(): Long? = evidence.refusedOnSendForMillisOrNull(exchange, parts)

    /** Called with each event of a stream. */
    fun onEvent(attempt: OpenAttempt) {
        if (attempt.eventCount == MAX_EVENTS_BEFORE_CRASH + 1) evidence.promptParts.onAnswered(parts)
    }

    /** Called when the answer has ended; the parts of a stream that went on are cleared already. */
    fun onAnswered(attempt: OpenAttempt) {
        evidence.requests.onResponseCompleted(exchange)
        if (!attempt.isProvenComplete || attempt.eventCount > MAX_EVENTS_BEFORE_CRASH) return
        evidence.promptParts.onAnswered(parts, attempt.beganMillis)
    }

    /** Called when the attempt has failed; [hasAnswered] tells whether the caller has received a part of an answer. */
    fun onFailed(attempt: OpenAttempt, hasAnswered: Boolean) {
        if (!attempt.isLost) return
        val entry = attempt.target.entry
        evidence.requests.onConnectionLost(exchange, entry.targetId, hasAnswered)
        if (attempt.eventCount > MAX_EVENTS_BEFORE_CRASH) return
        evidence.promptParts.onTargetLost(TargetLife(entry.targetId, entry.bornEpochMillis), parts)
    }

    private companion object {
        /** A target that a request crashes ends as it begins to answer; the events of its first step may get out. */
        const val MAX_EVENTS_BEFORE_CRASH = 1
    }
}
