package org.banyanturn.core.delivery

import kotlinx.collections.immutable.PersistentMap
import kotlinx.collections.immutable.PersistentSet
import kotlinx.collections.immutable.persistentMapOf
import kotlinx.collections.immutable.persistentSetOf
import org.banyanturn.core.Incarnation
import org.banyanturn.core.TargetId
import kotlin.math.abs

/**
 * How crashes are weighed.
 *
 * @property crashesToBlock crashes, on whatever targets, after which a fingerprint is blocked.
 * @property blockMillis how long it stays blocked.
 * @property suspicionMillis how long a suspicion stands.
 * @property mergeWindowMillis reports on one target this close together are of the same crash.
 * @property reportWaitMillis how long a suspect waits for the reports of other VMs on its crash.
 * @property suspectIntervalMillis time between suspects of one crash that are tried again on the same target.
 * @property maxFingerprints most fingerprints that are remembered; the oldest go first.
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
 * What is held against a fingerprint.
 *
 * @property crashes the crashes that it is charged with.
 * @property latestMillis time of the latest charge.
 * @property crashedBeforeAnswering whether it had given no part of its answer at one of them.
 */
public data class Suspicion(
    val crashes: PersistentSet<CrashId>,
    val latestMillis: Long,
    val crashedBeforeAnswering: Boolean,
)

/** Whether a request may run. */
public sealed interface FingerprintStatus {
    /** Nothing is held against it. */
    public data object Clear : FingerprintStatus

    /**
     * It may run again, away from the targets that it may have crashed.
     *
     * @property rank its place among the suspects of its crash, which spreads them over the targets: the suspect of
     * rank `n` goes to the `n mod m`th of `m` targets, after `n div m` waves.
     */
    public data class Suspect(val avoidedTargets: Set<TargetId>, val rank: Int) : FingerprintStatus

    /** It crashed its targets and is refused until [untilEpochMillis]. */
    public data class Blocked(val untilEpochMillis: Long) : FingerprintStatus
}

/**
 * The evidence on requests that crash their targets, folded from its stream; the same on every VM.
 *
 * A crash is charged to the requests in it that had given no part of their answer, or to all where each had given one.
 * A request that was charged with two crashes is blocked; one that is answered whole is cleared. Times are wall clock
 * times.
 * A VM applies its own records, and those that its peers send it, at once and folds them again from the stream, which
 * charges nothing twice; so evidence counts while the stream is down.
 */
public data class CrashLedger(
    val settings: CrashSettings = CrashSettings(),
    val nextOffset: Long = 0,
    val suspicions: PersistentMap<RequestFingerprint, Suspicion> = persistentMapOf(),
    private val crashes: PersistentMap<TargetId, CrashId> = persistentMapOf(),
) {
    /** Returns the ledger after the record at [offset]; one below [nextOffset], or a broken one, charges nobody. */
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

    /** Returns records, as of [reporter], that give an empty ledger the same suspicions; for a VM that starts. */
    public fun records(reporter: Incarnation): List<CrashRecord> =
        suspicions
            .flatMap { (fingerprint, suspicion) ->
                val suspects = listOf(CrashSuspect(fingerprint, hasAnswered = !suspicion.crashedBeforeAnswering))
                suspicion.crashes.map { CrashRecord.TargetCrashed(it.targetId, reporter, it.atEpochMillis, suspects) }
            }
            .sortedBy(CrashRecord.TargetCrashed::atEpochMillis)

    /** Returns whether a request with [fingerprint] may run at [epochMillis]. */
    public fun statusOf(fingerprint: RequestFingerprint, epochMillis: Long): FingerprintStatus {
        val suspicion = suspicions[fingerprint] ?: return FingerprintStatus.Clear
        val ageMillis = epochMillis - suspicion.latestMillis
        val isBlocked = isBlocked(suspicion)
        return when {
            isBlocked && ageMillis < settings.blockMillis ->
                FingerprintStatus.Blocked(suspicion.latestMillis + settings.blockMillis)

            isBlocked || ageMillis >= settings.suspicionMillis -> FingerprintStatus.Clear

            else -> FingerprintStatus.Suspect(
                suspicion.crashes.mapTo(mutableSetOf()) {
                    it.targetId
                },
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
