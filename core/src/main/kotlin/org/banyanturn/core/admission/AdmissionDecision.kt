package org.banyanturn.core.admission

import kotlin.math.max

/** The reason for refusing a request on arrival. */
public enum class RefusalReason {
    /** No copy of the model is loaded or being loaded. */
    NO_COPY,

    /** The predicted wait and service time exceed the caller's deadline. */
    DEADLINE_TOO_CLOSE,

    /** The queue has reached its maximum length. */
    QUEUE_FULL,
}

/** The outcome of admission control for a request on arrival. */
public sealed interface AdmissionDecision {
    /** The request is queued and is predicted to start after [predictedWaitMillis]. */
    public data class Accepted(val predictedWaitMillis: Long) : AdmissionDecision

    /** The request is refused without having run; a retry after [retryAfterMillis] is predicted to be accepted. */
    public data class Refused(val reason: RefusalReason, val retryAfterMillis: Long) : AdmissionDecision
}

/**
 * The input of the admission decision for a request.
 *
 * @property remainingMillis time until the caller's deadline for the complete answer, in milliseconds.
 * @property serviceMillis duration of the work once it has started, in milliseconds.
 * @property costAhead cost units that would be served before the request.
 */
public data class AdmissionRequest(val remainingMillis: Long, val serviceMillis: Long, val costAhead: Double)

/**
 * Settings of admission control.
 *
 * @property maxQueuedRequests maximum number of queued requests on one VM.
 * @property noCopyRetryMillis retry delay if no copy is loaded or being loaded, in milliseconds.
 * @property reportAgeAllowance fraction of the age of the latest load report that is added to the predicted wait.
 */
public data class AdmissionSettings(
    val maxQueuedRequests: Int = 1_000,
    val noCopyRetryMillis: Long = 5_000,
    val reportAgeAllowance: Double = 0.1,
)

/**
 * Decides whether [request] is added to the queue of [queuedRequests] requests for [copies] or is refused.
 *
 * @param averageCost average cost of the requests that the copies run, in cost units.
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
