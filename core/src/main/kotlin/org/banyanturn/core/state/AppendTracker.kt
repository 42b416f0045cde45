package org.banyanturn.core.state

import kotlinx.collections.immutable.PersistentMap
import kotlinx.collections.immutable.persistentMapOf

/**
 * The number of records after which an unsettled append is given up.
 *
 * It is half of [MAX_REMEMBERED_VERDICTS], so that a verdict is not evicted before the append is settled.
 */
private const val MAX_RECORDS_UNTIL_SETTLED = MAX_REMEMBERED_VERDICTS / 2L

/** Represents an append to start; the record id and [payload] are the same on every attempt. */
public data class Append(val recordId: String, val payload: String)

/** The outcome of an append. */
public sealed interface AppendOutcome {
    /** The record was read from the log and folded with [verdict]. */
    public data class Settled(val verdict: Verdict) : AppendOutcome

    /** No attempt has taken effect: the log rejected every one. */
    public data object NotAppended : AppendOutcome

    /** The record was not read before the deadline; an attempt may still take effect. */
    public data object Unknown : AppendOutcome
}

/** Represents a finished append with its outcome. */
public data class FinishedAppend(val recordId: String, val outcome: AppendOutcome)

/** Represents the result of [AppendTracker.settle]: the updated tracker and the finished appends. */
public data class AppendSettlement(val tracker: AppendTracker, val finished: List<FinishedAppend>)

/** Represents the result of [AppendTracker.start]: the updated tracker and the appends to start now. */
public data class AppendStart(val tracker: AppendTracker, val appends: List<Append>)

private data class PendingAppend(
    val payload: String,
    val firstOffset: Long,
    val deadlineMillis: Long,
    val attempts: Int = 0,
    val isConfirmed: Boolean = false,
    val mayHaveTakenEffect: Boolean = false,
    val nextAttemptAtMillis: Long = Long.MIN_VALUE,
    val isInFlight: Boolean = false,
) {
    fun isDue(nowMillis: Long): Boolean =
        !isInFlight && !isConfirmed && nowMillis in nextAttemptAtMillis until deadlineMillis
}

/**
 * Tracks appends until their outcome is known. Immutable.
 *
 * Regardless of the response of the log service, an append is settled only when its record id is read from the log. An
 * attempt without a valid response is retried with the same record id, so that the entry takes effect at most once.
 */
public class AppendTracker private constructor(
    private val backoff: Backoff,
    private val seed: Long,
    private val pending: PersistentMap<String, PendingAppend>,
) {
    /** Creates a tracker without appends; [seed] randomizes the retry delays of each VM. */
    public constructor(backoff: Backoff, seed: Long) : this(backoff, seed, persistentMapOf())

    /** The record ids of the pending appends. */
    public val pendingRecordIds: Set<String> get() = pending.keys

    /**
     * Returns the tracker with [entry] added as a pending append, which is given up at [deadlineMillis].
     *
     * It is unchanged if an append with the same record id is already pending.
     */
    public fun submit(entry: LogEntry, state: FleetState, deadlineMillis: Long): AppendTracker {
        if (entry.recordId in pending) return this
        val append = PendingAppend(entry.encodeToPayload(), state.nextOffset, deadlineMillis)
        return AppendTracker(backoff, seed, pending.putting(entry.recordId, append))
    }

    /** Starts at most [maxAppends] of the appends whose next attempt is due at [nowMillis] and returns them. */
    public fun start(nowMillis: Long, maxAppends: Int = Int.MAX_VALUE): AppendStart {
        val due = pending.entries.filter { it.value.isDue(nowMillis) }.take(maxAppends)
        val started = due.fold(pending) { appends, (recordId, append) ->
            appends.putting(recordId, append.copy(isInFlight = true, attempts = append.attempts + 1))
        }
        return AppendStart(AppendTracker(backoff, seed, started), due.map { Append(it.key, it.value.payload) })
    }

    /** Returns the tracker after the log confirmed an attempt, whose verdict is not read yet. */
    public fun confirmed(recordId: String): AppendTracker {
        val append = pending[recordId] ?: return this
        val updated = append.copy(isInFlight = false, isConfirmed = true, mayHaveTakenEffect = true)
        return AppendTracker(backoff, seed, pending.putting(recordId, updated))
    }

    /** Returns the tracker after an attempt without a valid response, which may have taken effect. */
    public fun unconfirmed(recordId: String, nowMillis: Long): AppendTracker =
        ended(recordId, nowMillis, isOutcomeUnknown = true)

    /** Returns the tracker after the log rejected an attempt, which had no effect. */
    public fun refused(recordId: String, nowMillis: Long): AppendTracker =
        ended(recordId, nowMillis, isOutcomeUnknown = false)

    private fun ended(recordId: String, nowMillis: Long, isOutcomeUnknown: Boolean): AppendTracker {
        val append = pending[recordId] ?: return this
        val retryAtMillis =
            nowMillis + backoff.delayMillis(append.attempts.coerceAtLeast(1), seed + recordId.hashCode())
        val updated = append.copy(
            isInFlight = false,
            mayHaveTakenEffect = append.mayHaveTakenEffect || isOutcomeUnknown,
            nextAttemptAtMillis = retryAtMillis,
        )
        return AppendTracker(backoff, seed, pending.putting(recordId, updated))
    }

    /**
     * Returns the appends that have ended, given the folded [state].
     *
     * It must be called after each batch of records, and a batch must not exceed half of [MAX_REMEMBERED_VERDICTS], so
     * that no verdict is evicted before it is read.
     */
    public fun settle(state: FleetState, nowMillis: Long): AppendSettlement {
        val finished = pending.mapNotNull { (recordId, append) ->
            append.outcomeOrNull(state.verdicts[recordId], state.nextOffset, nowMillis)
                ?.let { FinishedAppend(recordId, it) }
        }
        val remaining = finished.fold(pending) { appends, append -> appends.removing(append.recordId) }
        return AppendSettlement(AppendTracker(backoff, seed, remaining), finished)
    }

    private fun PendingAppend.outcomeOrNull(verdict: Verdict?, nextOffset: Long, nowMillis: Long): AppendOutcome? {
        val isExpired = nowMillis >= deadlineMillis || nextOffset - firstOffset >= MAX_RECORDS_UNTIL_SETTLED
        return when {
            verdict != null -> AppendOutcome.Settled(verdict)
            !isExpired -> null
            isInFlight || mayHaveTakenEffect -> AppendOutcome.Unknown
            else -> AppendOutcome.NotAppended
        }
    }
}
