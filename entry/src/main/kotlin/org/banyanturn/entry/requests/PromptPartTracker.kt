package org.banyanturn.entry.requests

import org.banyanturn.core.TargetId
import org.banyanturn.core.delivery.PartVerdict
import org.banyanturn.core.delivery.PromptPartAdmission
import org.banyanturn.core.delivery.PromptPartId
import org.banyanturn.core.delivery.PromptPartLedger
import org.banyanturn.core.delivery.PromptPartRecord
import org.banyanturn.core.delivery.TargetLife
import org.banyanturn.core.delivery.decodePromptPartRecordOrNull
import org.banyanturn.core.delivery.encodeToPayload
import org.banyanturn.core.delivery.toBlockedRecord
import org.banyanturn.core.delivery.toVerdicts
import org.banyanturn.core.isIdentifier
import org.banyanturn.daemon.logs.Event
import org.banyanturn.daemon.logs.field
import org.banyanturn.entry.observe.DecisionLog

/** Most verdicts that one datagram carries. */
private const val VERDICTS_PER_DATAGRAM = 2

/** Most verdicts that are repeated to other VMs at once. */
private const val MAX_REPEATED_VERDICTS = 16

/**
 * Detects parts of prompts that crash the targets that answer on them, using evidence shared by all VMs.
 *
 * Each crash, the verdict of the VM that saw it, each probe, and each answer that clears a suspicion are sent to all
 * VMs at once. Verdicts are repeated to some VMs each second, for those that lost a datagram or have started since.
 */
internal class PromptPartTracker(private val log: DecisionLog, private val nowMillis: () -> Long) {
    private var ledger = PromptPartLedger()

    /** Called with each record to send to all other VMs. */
    var onRecord: (payload: String) -> Unit = {}

    /** Returns when to send a request with [parts] again, in milliseconds, or `null` if it may be sent now. */
    fun refusedForMillisOrNull(parts: List<PromptPartId>): Long? =
        (admission(parts) as? PromptPartAdmission.Refused)?.retryAfterMillis

    /** As [refusedForMillisOrNull], for a request that is sent unless it is refused; it may be a probe. */
    fun refusedOnSendForMillisOrNull(parts: List<PromptPartId>): Long? =
        when (val admission = admission(parts)) {
            PromptPartAdmission.Allowed -> null

            is PromptPartAdmission.Refused -> admission.retryAfterMillis

            is PromptPartAdmission.Probe -> {
                recordProbe(admission.blocked)
                null
            }
        }

    private fun admission(parts: List<PromptPartId>): PromptPartAdmission =
        if (ledger.suspicions.isEmpty()) PromptPartAdmission.Allowed else ledger.admission(parts, nowMillis())

    private fun recordProbe(parts: List<PromptPartId>) {
        apply(ledger.probed(parts, nowMillis()))
        log.write(Event.PROMPT_PART_PROBED, field("parts", parts.joinToString(",") { it.value }))
        send(PromptPartRecord.Probed(parts.map { it.value }))
    }

    /** Records that [life] was lost while it ran a request with [parts] that it had hardly begun to answer. */
    fun onTargetLost(life: TargetLife, parts: List<PromptPartId>) {
        val updated = ledger.crashed(life, parts, nowMillis())
        if (updated === ledger) return
        val newlyBlocked = apply(updated)
        send(PromptPartRecord.Suspected(life.targetId.value, life.bornEpochMillis, parts.map { it.value }))
        verdicts().filter { it.part in newlyBlocked }.forEachDatagram(::send)
    }

    /** Records that the answer to a request with [parts], which began at [beganMillis], has gone on or was complete. */
    fun onAnswered(parts: List<PromptPartId>, beganMillis: Long = nowMillis()) {
        val suspects = parts.filter { it in ledger.suspicions }
        apply(ledger.answered(parts, beganMillis))
        val cleared = suspects.filterNot { it in ledger.suspicions }
        if (cleared.isNotEmpty()) send(PromptPartRecord.Completed(cleared.map { it.value }))
    }

    /** Applies a record of another VM; an invalid one is ignored. */
    fun onPeerRecord(payload: String) {
        val record = decodePromptPartRecordOrNull(payload) ?: return
        val parts = record.partIds.map(::PromptPartId)
        when (record) {
            is PromptPartRecord.Completed -> apply(ledger.answered(parts, nowMillis()))

            is PromptPartRecord.Probed -> apply(ledger.probed(parts, nowMillis()))

            is PromptPartRecord.Blocked -> onPeerVerdicts(record.toVerdicts())

            is PromptPartRecord.Suspected -> {
                if (!isIdentifier(record.targetId)) return
                val life = TargetLife(TargetId(record.targetId), record.bornEpochMillis)
                apply(ledger.crashed(life, parts, nowMillis()))
            }
        }
    }

    /** Applies verdicts of another VM, and tells all VMs of those that answers known here have cleared. */
    private fun onPeerVerdicts(verdicts: List<PartVerdict>) {
        apply(verdicts.fold(ledger) { known, verdict -> known.blocked(verdict, nowMillis()) })
        val cleared = verdicts.filter(ledger::outweighs)
        if (cleared.isNotEmpty()) send(PromptPartRecord.Completed(cleared.map { it.part.value }))
    }

    /** Returns the records that repeat the verdicts to some VMs; called once a second. */
    fun repeatedVerdicts(): List<String> {
        val records = ArrayList<String>()
        verdicts().takeLast(MAX_REPEATED_VERDICTS).forEachDatagram { records += it.encodeToPayload() }
        return records
    }

    private fun verdicts(): List<PartVerdict> =
        if (ledger.suspicions.isEmpty()) emptyList() else ledger.verdicts(nowMillis())

    private fun List<PartVerdict>.forEachDatagram(send: (PromptPartRecord) -> Unit): Unit =
        chunked(VERDICTS_PER_DATAGRAM).forEach { send(it.toBlockedRecord()) }

    /** Replaces the ledger by [updated] and returns the parts that are blocked from now on. */
    private fun apply(updated: PromptPartLedger): Set<PromptPartId> {
        val previous = ledger
        ledger = updated
        if (updated.suspicions === previous.suspicions) return emptySet()
        val before = previous.blockedParts.toSet()
        val now = updated.blockedParts.toSet()
        (before - now).forEach { log.write(Event.PROMPT_PART_RELEASED, field("part", it.value)) }
        (now - before).forEach { logBlocked(it) }
        return now - before
    }

    private fun logBlocked(part: PromptPartId): Unit =
        log.write(
            Event.PROMPT_PART_BLOCKED,
            field("part", part.value),
            field("crashes", ledger.suspicions[part]?.crashes),
        )

    private fun send(record: PromptPartRecord): Unit = onRecord(record.encodeToPayload())
}
