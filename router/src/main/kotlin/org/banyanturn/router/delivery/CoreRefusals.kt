package org.banyanturn.router.delivery

import org.banyanturn.core.delivery.RefusalReason
import org.banyanturn.router.http.Refusal
import org.banyanturn.router.http.RefusalCode
import org.banyanturn.core.delivery.Refusal as CoreRefusal

/** Returns this refusal in the form that callers get; [detail] says more, if anything is known. */
internal fun CoreRefusal.toHttp(detail: String? = null): Refusal =
    Refusal(
        code = reason.toCode(),
        message = detail ?: reason.toMessage(),
        outcome = outcome,
        field = if (reason == RefusalReason.KEY_REUSED) "Idempotency-Key" else null,
        retryAfterMillis = retryAfterMillis.takeIf { reason.isWorthRepeating() },
    )

private fun RefusalReason.isWorthRepeating(): Boolean =
    this != RefusalReason.KEY_WITHDRAWN && this != RefusalReason.KEY_REUSED && this != RefusalReason.TARGET_REFUSED

private fun RefusalReason.toCode(): RefusalCode =
    when (this) {
        RefusalReason.DEADLINE -> RefusalCode.NOT_IN_TIME
        RefusalReason.NO_TARGET -> RefusalCode.NO_CAPACITY
        RefusalReason.ATTEMPTS_FAILED -> RefusalCode.TARGET_FAILED
        RefusalReason.RETRY_BUDGET -> RefusalCode.TARGET_FAILED
        RefusalReason.TARGET_REFUSED -> RefusalCode.TARGET_REFUSED
        RefusalReason.KEY_WITHDRAWN -> RefusalCode.INVALID_KEY
        RefusalReason.SHUTDOWN -> RefusalCode.SHUTTING_DOWN
        RefusalReason.RECORD_UNAVAILABLE -> RefusalCode.RECORD_UNAVAILABLE
        RefusalReason.KEY_REUSED -> RefusalCode.IDEMPOTENCY_MISMATCH
        RefusalReason.UNRESOLVED -> RefusalCode.OUTCOME_UNKNOWN
        RefusalReason.ANSWER_NOT_KEPT -> RefusalCode.ANSWER_NOT_KEPT
        RefusalReason.CRASHES_TARGETS -> RefusalCode.CRASHES_TARGETS
        RefusalReason.ANSWER_MISMATCH -> RefusalCode.TARGET_FAILED
    }

private fun RefusalReason.toMessage(): String =
    when (this) {
        RefusalReason.DEADLINE -> "the answer was not ready within the request's time"
        RefusalReason.NO_TARGET -> "no target can take the request"
        RefusalReason.ATTEMPTS_FAILED -> "every attempt that is allowed has failed"
        RefusalReason.RETRY_BUDGET -> "an attempt failed and the member's retries are used up"
        RefusalReason.TARGET_REFUSED -> "the target does not accept the request"
        RefusalReason.KEY_WITHDRAWN -> "the key was withdrawn while the request ran"
        RefusalReason.SHUTDOWN -> "this VM shuts down; another one serves"
        RefusalReason.RECORD_UNAVAILABLE -> "the idempotency key can't be recorded at the moment"
        RefusalReason.KEY_REUSED -> "the idempotency key came first with another request"
        RefusalReason.UNRESOLVED -> "an earlier request with this idempotency key has no recorded outcome"
        RefusalReason.ANSWER_NOT_KEPT -> "the earlier request was run; its answer was not kept"
        RefusalReason.CRASHES_TARGETS -> "targets have crashed while they ran this request"
        RefusalReason.ANSWER_MISMATCH -> "the engines' answers do not fit together"
    }
