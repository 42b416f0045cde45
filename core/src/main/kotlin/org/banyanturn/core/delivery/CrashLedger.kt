package org.banyanturn.core.delivery

import kotlinx.collections.immutable.PersistentMap
import kotlinx.collections.immutable.PersistentSet
import kotlinx.collections.immutable.persistentMapOf
import kotlinx.collections.immutable.persistentSetOf
import org.banyanturn.core.Incarnation
import org.banyanturn.core.TargetId
import kotlin.math.abs

/**
 * Settings for attributing target crashes to requests.
 *
 * @property crashesToBlock number of crashes, on any targets, after which a fingerprint is blocked.
 * @property blockMillis how long a fingerprint stays blocked.
 * @property suspicionMillis how long a suspicion is valid.
 * @property mergeWindowMillis reports on one target that are less than this apart belong to the same crash.
 * @property reportWaitMillis how long a retry of a suspect waits for the reports of other VMs on its crash.
 * @property suspectIntervalMillis time between retries of two suspects of one crash on the same target.
 * @property maxFingerprints maximum number of fingerprints kept; the oldest are evicted first.
 */
public data class CrashSettings(
    val crashesToBlock: Int = 2,
    val blockMillis: Long = 900_000,
    val suspicionMillis: Long = 600_000,
    val mergeWindowMillis: Long = 3_000,
    val reportWaitMillis: Long = 50,
    val suspectIntervalMillis: Long = 300,
    val maxFingerprints: Int = 10_000,
)

/** One crash of a target, at the time of its first report. */
public data class CrashId(val targetId: TargetId, val atEpochMillis: Long)

/**
 * The crashes attributed to a fingerprint.
 *
 * @property crashes the attributed crashes.
 * @property latestMillis time of the crash that was attributed last.
 * @property crashedBeforeAnswering whether, in at least one of the crashes, no part of the answer had been produced.
 */
public data class Suspicion(
    val crashes: PersistentSet<CrashId>,
    val latestMillis: Long,
    val crashedBeforeAnswering: Boolean,
)

/** The status of a request's fingerprint: whether the request may run. */
public sealed interface FingerprintStatus {
    /** There is no current suspicion against the fingerprint. */
    public data object Clear : FingerprintStatus

    /**
     * The request may run again, but not on the [avoidedTargets], which it may have crashed.
     *
     * @property rank position among the suspects of its latest crash, which spreads them over the targets: the suspect
     * of rank `n` runs on the `n mod m`th of `m` targets, after `n div m` intervals of
     * [CrashSettings.suspectIntervalMillis].
     */
    public data class Suspect(val avoidedTargets: Set<TargetId>, val rank: Int) : FingerprintStatus

    /** The request crashed its targets and is refused until [untilEpochMillis]. */
    public data class Blocked(val untilEpochMillis: Long) : FingerprintStatus
}

/**
 * The crashes of targets and the requests that may have caused them, folded from a stream; the same on every VM.
 *
 * A crash is attributed to the requests that ran on the target and had produced no part of their answer, or to all of
 * them if each had produced a part. A request with [CrashSettings.crashesToBlock] attributed crashes is blocked, two
 * by default. A suspect whose answer completes is cleared. All times are wall clock times.
 *
 * A VM applies its own records and those of its peers at once, and folds them again from the stream. Applying a record
 * twice has no further effect, so crashes are also attributed while the stream is unavailable.
 */
public data class CrashLedger(
    val settings: CrashSettings = CrashSettings(),
    val nextOffset: Long = 0,
    val suspicions: PersistentMap<RequestFingerprint, Suspicion> = persistentMapOf(),
    private val crashes: PersistentMap<TargetId, CrashId> = persistentMapOf(),
) {
    /** Returns the ledger after the record at [offset]; a malformed record or one below [nextOffset] has no effect. */
    public fun foldRecord(offset: Long, payload: String): CrashLedger {
        if (offset < nextOffset) return this
        val advanced = copy(nextOffset = offset + 1)
        return decodeCrashRecordOrNull(payload)?.let(advanced::apply) ?: advanced
    }

    /** Returns the ledger after [record]. */
    public fun apply(record: CrashRecord): CrashLedger =
        when (record) {
            is CrashRecord.TargetCrashed -> attribute(record)
            is CrashRecord.SuspectCleared -> clear(record.fingerprint)
            is CrashRecord.FingerprintReleased -> copy(suspicions = suspicions.removing(record.fingerprint))
        }

    /** Returns records, reported by [reporter], that reproduce these suspicions in the empty ledger of a new VM. */
    public fun records(reporter: Incarnation): List<CrashRecord> =
        suspicions
            .flatMap { (fingerprint, suspicion) ->
                val suspects = listOf(CrashSuspect(fingerprint, hasAnswered = !suspicion.crashedBeforeAnswering))
                suspicion.crashes.map { CrashRecord.TargetCrashed(it.targetId, reporter, it.atEpochMillis, suspects) }
            }
            .sortedBy(CrashRecord.TargetCrashed::atEpochMillis)

    /** Returns the status of [fingerprint] at [epochMillis]. */
    public fun statusOf(fingerprint: RequestFingerprint, epochMillis: Long): FingerprintStatus {
        val suspicion = suspicions[fingerprint] ?: return FingerprintStatus.Clear
        val ageMillis = epochMillis - suspicion.latestMillis
        val isBlocked = isBlocked(suspicion)
        return when {
            isBlocked && ageMillis < settings.blockMillis ->
                FingerprintStatus.Blocked(suspicion.latestMillis + settings.blockMillis)

            isBlocked || ageMillis >= settings.suspicionMillis -> FingerprintStatus.Clear

            else -> FingerprintStatus.Suspect(
                suspicion.crashes.mapTo(mutableSetOf()) { it.targetId },
                rankOf(fingerprint),
            )
        }
    }

    private fun isBlocked(suspicion: Suspicion): Boolean =
        suspicion.crashes.size >= settings.crashesToBlock

    private fun rankOf(fingerprint: RequestFingerprint): Int {
        val latest = suspicions[fingerprint]?.crashes?.lastOrNull() ?: return 0
        val crashSuspects = suspicions.filterValues { it.crashedBeforeAnswering && latest in it.crashes }.keys
        return crashSuspects.count { it.value < fingerprint.value }
    }

    private fun clear(fingerprint: RequestFingerprint): CrashLedger {
        val suspicion = suspicions[fingerprint] ?: return this
        return if (isBlocked(suspicion)) this else copy(suspicions = suspicions.removing(fingerprint))
    }

    private fun attribute(record: CrashRecord.TargetCrashed): CrashLedger {
        val last = crashes[record.targetId]
        val isSameCrash = last != null && abs(record.atEpochMillis - last.atEpochMillis) < settings.mergeWindowMillis
        val crash = if (isSameCrash) last else CrashId(record.targetId, record.atEpochMillis)
        val current = removeExpired(record.atEpochMillis)
        val attributed = attributableSuspects(record.suspects).fold(current) { ledger, suspect ->
            ledger.attribute(suspect, crash)
        }
        val latest = if (last != null && last.atEpochMillis > crash.atEpochMillis) last else crash
        return attributed.copy(crashes = crashes.putting(record.targetId, latest)).evictOldest()
    }

    private fun attributableSuspects(suspects: List<CrashSuspect>): List<CrashSuspect> =
        suspects.filterNot(CrashSuspect::hasAnswered).ifEmpty { suspects }

    private fun attribute(suspect: CrashSuspect, crash: CrashId): CrashLedger {
        val known = suspicions[suspect.fingerprint]
        val suspicion = Suspicion(
            crashes = (known?.crashes ?: persistentSetOf()).adding(crash),
            latestMillis = crash.atEpochMillis,
            crashedBeforeAnswering = known?.crashedBeforeAnswering == true || !suspect.hasAnswered,
        )
        return copy(suspicions = suspicions.removing(suspect.fingerprint).putting(suspect.fingerprint, suspicion))
    }

    private fun removeExpired(epochMillis: Long): CrashLedger {
        val expired = suspicions.filterValues {
            val keepMillis = if (isBlocked(it)) settings.blockMillis else settings.suspicionMillis
            epochMillis - it.latestMillis >= keepMillis
        }.keys
        return copy(suspicions = expired.fold(suspicions) { kept, fingerprint -> kept.removing(fingerprint) })
    }

    private fun evictOldest(): CrashLedger {
        val overflow = suspicions.keys.take((suspicions.size - settings.maxFingerprints).coerceAtLeast(0))
        return copy(suspicions = overflow.fold(suspicions) { kept, fingerprint -> kept.removing(fingerprint) })
    }
}
