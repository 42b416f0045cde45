package org.banyanturn.core.admission

import kotlin.math.max

/** Why a request is refused before it has run. */
public enum class RefusalReason {
    /** There is no copy of the model and none is being loaded. */
    NO_COPY,

    /** The wait for a turn and the work itself would take longer than the caller waits. */
    DEADLINE_TOO_CLOSE,

    /** More requests wait than the queue takes. */
    QUEUE_FULL,
}

/** What becomes of a request on arrival. */
public sealed interface AdmissionDecision {
    /** The request joins the queue and is predicted to start after [predictedWaitMillis]. */
    public data class Accepted(val predictedWaitMillis: Long) : AdmissionDecision

    /** The request is refused and has not run; one sent after [retryAfterMillis] is predicted to be in time. */
    public data class Refused(val reason: RefusalReason, val retryAfterMillis: Long) : AdmissionDecision
}

/**
 * What is known of a request on arrival.
 *
 * @property remainingMillis how long the caller still waits for the whole answer.
 * @property serviceMillis how long the work itself takes once it has started.
 * @property costAhead cost units that would be served before it.
 */
public data class AdmissionRequest(val remainingMillis: Long, val serviceMillis: Long, val costAhead: Double)

/**
 * Limits and allowances of admission.
 *
 * @property maxQueuedRequests the most requests that may wait on one VM.
 * @property noCopyRetryMillis when to come back if there is no copy and none is being loaded.
 * @property reportAgeAllowance part of a report's age that is added to the predicted wait.
 */
public data class AdmissionSettings(
    val maxQueuedRequests: Int = 1_000,
    val noCopyRetryMillis: Long = 5_000,
    val reportAgeAllowance: Double = 0.1,
)

/**
 * Returns whether [request] joins the queue of [queuedRequests] requests before [copies], or is refused at once.
 *
 * @param averageCost average cost of the requests that the copies run.
 */
public fun decideAdmission(
    request: AdmissionRequest,
    copies: List<CopyLoad>,
    queuedRequests: Int,
    averageCost: Double,
    settings: AdmissionSettings = AdmissionSettings(),
): AdmissionDecision {
    val predictedMillis = predictWaitMillisOrNull(copies, request.costAhead, averageCost)
        ?: return AdmissionDecision.Refused(RefusalReason.NO_COPY, settings.noCopyRetryMillis)
    val waitMillis = if (predictedMillis == 0L) 0 else predictedMillis + reportAgeAllowanceMillis(copies, settings)
    val lateMillis = waitMillis + request.serviceMillis - request.remainingMillis
    return when {
        lateMillis > 0 -> AdmissionDecision.Refused(RefusalReason.DEADLINE_TOO_CLOSE, lateMillis)

        queuedRequests >= settings.maxQueuedRequests ->
            AdmissionDecision.Refused(RefusalReason.QUEUE_FULL, max(1, waitMillis))

        else -> AdmissionDecision.Accepted(waitMillis)
    }
}

private fun reportAgeAllowanceMillis(copies: List<CopyLoad>, settings: AdmissionSettings): Long =
    (copies.minOf { it.reportAgeMillis } * settings.reportAgeAllowance).toLong()
