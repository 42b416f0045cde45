package org.banyanturn.core.delivery

import kotlinx.serialization.SerialName
import kotlinx.serialization.Serializable

/**
 * Whether a refused request had an effect, as far as is known.
 *
 * @property wireName the name in responses to callers.
 */
@Serializable
public enum class RequestOutcome(public val wireName: String) {
    /** No target has run any part of the request, and no target will. */
    @SerialName("not-run")
    NOT_RUN("not-run"),

    /** A target may have run the request. */
    @SerialName("unknown")
    UNKNOWN("unknown"),

    /** A target has run the request, but its answer can't be delivered. */
    @SerialName("ran")
    RAN("ran"),
}

/** The reason for which a request is refused. */
public enum class RefusalReason {
    /** The deadline passed before an answer was available. */
    DEADLINE,

    /** No target can accept the request. */
    NO_TARGET,

    /** All attempts that the retry policy allows have failed. */
    ATTEMPTS_FAILED,

    /** The member's retry budget is exhausted. */
    RETRY_BUDGET,

    /** The target responded that it does not accept the request. */
    TARGET_REFUSED,

    /** The API key of the request was withdrawn. */
    KEY_WITHDRAWN,

    /** The VM is shutting down and can't complete the request in time. */
    SHUTDOWN,

    /** The idempotency key can't be recorded now. */
    RECORD_UNAVAILABLE,

    /** The idempotency key was used before with a different request. */
    KEY_REUSED,

    /** An earlier request with the same idempotency key has no recorded outcome yet. */
    UNRESOLVED,

    /** The earlier request with the idempotency key was run, but its answer is not stored, for example for its size. */
    ANSWER_NOT_KEPT,

    /** The request is blocked because [CrashSettings.crashesToBlock] crashes are attributed to it. */
    CRASHES_TARGETS,

    /** The engines returned different texts for the same part of the answer. */
    ANSWER_MISMATCH,
}

/**
 * The final response to a request that is not completed.
 *
 * @property retryAfterMillis time in milliseconds after which a retry by the caller is useful.
 */
public data class Refusal(val reason: RefusalReason, val outcome: RequestOutcome, val retryAfterMillis: Long) {
    init {
        require(retryAfterMillis >= 0) { "retryAfterMillis must not be negative, was $retryAfterMillis" }
    }
}

private const val STATUS_UNAUTHORIZED = 401
private const val STATUS_CONFLICT = 409
private const val STATUS_UNPROCESSABLE = 422
private const val STATUS_BAD_GATEWAY = 502
private const val STATUS_UNAVAILABLE = 503
private const val STATUS_GATEWAY_TIMEOUT = 504

/** Returns the HTTP status code for this refusal. */
public fun Refusal.statusCode(): Int =
    when (reason) {
        RefusalReason.KEY_WITHDRAWN -> STATUS_UNAUTHORIZED
        RefusalReason.UNRESOLVED, RefusalReason.ANSWER_NOT_KEPT -> STATUS_CONFLICT
        RefusalReason.KEY_REUSED, RefusalReason.CRASHES_TARGETS -> STATUS_UNPROCESSABLE
        RefusalReason.ATTEMPTS_FAILED, RefusalReason.ANSWER_MISMATCH, RefusalReason.TARGET_REFUSED -> STATUS_BAD_GATEWAY
        RefusalReason.DEADLINE -> STATUS_GATEWAY_TIMEOUT
        else -> STATUS_UNAVAILABLE
    }
