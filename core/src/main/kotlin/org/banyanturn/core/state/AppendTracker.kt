package org.banyanturn.core.state

import kotlinx.collections.immutable.PersistentMap
import kotlinx.collections.immutable.persistentMapOf

/** The most records that may pass before an unsettled append is given up, well within the remembered verdicts. */
private const val MAX_RECORDS_UNTIL_SETTLED = MAX_REMEMBERED_VERDICTS / 2L

/** An append to start: [payload] is the same, with the same record id, on every attempt. */
public data class Append(val recordId: String, val payload: String)

/** How an append ended. */
public sealed interface AppendOutcome {
    /** The record was read from the log, and the fold decided on it. */
    public data class Settled(val verdict: Verdict) : AppendOutcome

    /** No attempt had an effect: the log refused them all. */
    public data object NotAppended : AppendOutcome

    /** The record was not read in time; an attempt may still take effect. */
    public data object Unknown : AppendOutcome
}

/** An append and its outcome. */
public data class FinishedAppend(val recordId: String, val outcome: AppendOutcome)

/** The tracker after a step, with the appends that ended in it. */
public data class AppendSettlement(val tracker: AppendTracker, val finished: List<FinishedAppend>)

/** The tracker after a step, with the appends to start now. */
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
 * Tracks appends until the log shows what became of them.
 *
 * Whatever the log service answers, an append counts as done only once its record id was read from the log.
 * An attempt without a usable answer is repeated with the same record id, which folds once.
 */
public class AppendTracker private constructor(
    private val backoff: Backoff,
    private val seed: Long,
    private val pending: PersistentMap<String, PendingAppend>,
) {
    /** Returns a tracker without appends; [seed] spreads the retries of different VMs. */
    public constructor(backoff: Backoff, seed: Long) : this(backoff, seed, persistentMapOf())

    /** Returns the ids of the appends that are not settled. */
    public val pendingRecordIds: Set<String> get() = pending.keys

    /** Returns the tracker with [entry] to be appended; an id that is pending already changes nothing. */
    public fun submit(entry: LogEntry, state: FleetState, deadlineMillis: Long): AppendTracker {
        if (entry.recordId in pending) return this
        val append = PendingAppend(entry.encodeToPayload(), state.nextOffset, deadlineMillis)
        return AppendTracker(backoff, seed, pending.putting(entry.recordId, append))
    }

    /** Returns the appends whose next attempt is due at [nowMillis], at most [maxAppends] of them. */
    public fun start(nowMillis: Long, maxAppends: Int = Int.MAX_VALUE): AppendStart {
        val due = pending.entries.filter { it.value.isDue(nowMillis) }.take(maxAppends)
        val started = due.fold(pending) { appends, (recordId, append) ->
            appends.putting(recordId, append.copy(isInFlight = true, attempts = append.attempts + 1))
        }
        return AppendStart(AppendTracker(backoff, seed, started), due.map { Append(it.key, it.value.payload) })
    }

    /** Returns the tracker after the log confirmed an attempt; the verdict is still to be read. */
    public fun confirmed(recordId: String): AppendTracker {
        val append = pending[recordId] ?: return this
        val updated = append.copy(isInFlight = false, isConfirmed = true, mayHaveTakenEffect = true)
        return AppendTracker(backoff, seed, pending.putting(recordId, updated))
    }

    /** Returns the tracker after an attempt without a usable answer, which may have taken effect. */
    public fun unconfirmed(
        recordId: String,
        nowMillis: Long,
    ): AppendTracker = ended(recordId, nowMillis, isOutcomeUnknown = true)

    /** Returns the tracker after the log refused an attempt, which had no effect. */
    public fun refused(recordId: String, nowMillis: Long): AppendTracker = ended(recordId, nowMillis, isOutcomeUnknown = false)

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
     * Returns which appends ended now that [state] is folded.
     *
     * It is to be called after each batch of records, of at most half of [MAX_REMEMBERED_VERDICTS].
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
