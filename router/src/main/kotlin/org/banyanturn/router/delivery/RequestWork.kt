package org.banyanturn.router.delivery

import org.banyanturn.core.TargetId
import org.banyanturn.core.delivery.AttemptEvidence
import org.banyanturn.core.delivery.OutcomeResult
import org.banyanturn.core.delivery.RequestDecision
import org.banyanturn.core.delivery.RequestEvent
import org.banyanturn.core.delivery.ReservationResult
import org.banyanturn.platform.TargetError

/** Carries out the decisions on one request that differ between engines and plain services. */
internal interface RequestWork {
    /** Returns the target for the next attempt, outside [avoided] if there is another, or that there is none. */
    suspend fun chooseTarget(avoided: Set<TargetId>): RequestEvent

    /** Runs an attempt to its end and hands what happens to [report]. */
    suspend fun attempt(decision: RequestDecision.SendAttempt, report: (RequestEvent) -> Unit)

    /** Records the request's idempotency key. */
    suspend fun reserve(): ReservationResult = ReservationResult.Acquired

    /** Returns what becomes of the earlier request with the same idempotency key. */
    suspend fun awaitOutcome(): RequestEvent = RequestEvent.ReservationHolderGone

    /** Records how the request with the idempotency key ended. */
    fun record(result: OutcomeResult): Unit = Unit
}

private val requestFaults = 400..499
private const val NOT_FOUND = 404
private const val CONFLICT = 409
private const val TOO_MANY_REQUESTS = 429

/** Returns what this error tells of the attempt's effect. */
internal val TargetError.evidence: AttemptEvidence
    get() = when (this) {
        is TargetError.NotSent -> AttemptEvidence.NOT_SENT
        is TargetError.Refused -> AttemptEvidence.REFUSED
        is TargetError.Unconfirmed -> AttemptEvidence.UNKNOWN
    }

/** Whether another target may take the request after this error. */
internal val TargetError.isRetryable: Boolean
    get() {
        if (this !is TargetError.Refused) return true
        val isTargetsOwn = statusCode == NOT_FOUND || statusCode == CONFLICT || statusCode == TOO_MANY_REQUESTS
        return isTargetsOwn || statusCode !in requestFaults
    }
