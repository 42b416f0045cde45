package org.banyanturn.entry.requests

import org.banyanturn.core.TargetId
import org.banyanturn.core.delivery.PromptPartId
import org.banyanturn.core.delivery.PromptPartLedger
import org.banyanturn.core.delivery.PromptPartRecord
import org.banyanturn.core.delivery.TargetLife
import org.banyanturn.core.delivery.decodePromptPartRecordOrNull
import org.banyanturn.core.delivery.encodeToPayload
import org.banyanturn.core.isIdentifier
import org.banyanturn.daemon.logs.Event
import org.banyanturn.daemon.logs.field
import org.banyanturn.entry.observe.DecisionLog

/** Number of crashes of a part from which a VM objects if it knows of a complete answer. */
private const val CRASHES_TO_OBJECT = 2

/** Most blocked parts that are repeated to other VMs in one datagram. */
private const val MAX_REPEATED_PARTS = 16

/**
 * Detects parts of prompts that crash the targets that answer on them, using evidence shared by all VMs.
 *
 * Each crash, verdict and objection is sent to all VMs at once. Verdicts are repeated to some VMs each second, which
 * reaches those that lost a datagram or have started since.
 */
internal class PromptPartTracker(private val log: DecisionLog, private val nowMillis: () -> Long) {
    private var ledger = PromptPartLedger()
    private val objections = LinkedHashSet<PromptPartId>()

    /** Called with each record to send to all other VMs. */
    var onRecord: (payload: String) -> Unit = {}

    /** Returns how long requests with [parts] remain blocked, in milliseconds, or `null` if they may run. */
    fun blockedForMillisOrNull(parts: List<PromptPartId>): Long? =
        if (ledger.suspicions.isEmpty()) null else ledger.blockedForMillisOrNull(parts, nowMillis())

    /** Records that [life] was lost while it ran a request with [parts] that it had hardly begun to answer. */
    fun onTargetLost(life: TargetLife, parts: List<PromptPartId>) {
        val unproven = parts.filterNot { it in ledger.completedParts }.ifEmpty { parts }
        if (unproven.isEmpty()) return
        apply(ledger.crashed(life, unproven, nowMillis()))
        send(PromptPartRecord.Suspected(life.targetId.value, life.bornEpochMillis, unproven.map { it.value }))
    }

    /** Records that the answer to a request with [parts] was complete. */
    fun onAnswerComplete(parts: List<PromptPartId>) {
        val suspects = parts.filter { it in ledger.suspicions }
        apply(ledger.completed(parts, nowMillis()))
        if (suspects.isNotEmpty()) send(PromptPartRecord.Completed(suspects.map { it.value }))
    }

    /** Applies a record of another VM; an invalid one is ignored. */
    fun onPeerRecord(payload: String) {
        val record = decodePromptPartRecordOrNull(payload) ?: return
        val parts = record.partIds.map(::PromptPartId)
        when (record) {
            is PromptPartRecord.Completed -> apply(ledger.completed(parts, nowMillis()))

            is PromptPartRecord.Blocked -> {
                objections += parts.filter { it in ledger.completedParts }
                apply(parts.fold(ledger) { known, part -> known.blocked(part, nowMillis()) })
            }

            is PromptPartRecord.Suspected -> {
                if (!isIdentifier(record.targetId)) return
                apply(ledger.crashed(TargetLife(TargetId(record.targetId), record.bornEpochMillis), parts, nowMillis()))
                objections += parts.filter {
                    it in ledger.completedParts && (ledger.suspicions[it]?.crashes ?: 0) >= CRASHES_TO_OBJECT
                }
            }
        }
    }

    /** Sends the objections that came up and returns the verdicts to repeat to some VMs; called once a second. */
    fun drainVerdicts(): List<String> {
        if (objections.isNotEmpty()) send(PromptPartRecord.Completed(objections.map { it.value }))
        objections.clear()
        val blocked = ledger.blockedParts.takeLast(MAX_REPEATED_PARTS).map { it.value }
        return if (blocked.isEmpty()) emptyList() else listOf(PromptPartRecord.Blocked(blocked).encodeToPayload())
    }

    private fun apply(updated: PromptPartLedger) {
        val previous = ledger
        ledger = updated
        if (updated.suspicions === previous.suspicions) return
        val before = previous.blockedParts.toSet()
        val now = updated.blockedParts.toSet()
        (before - now).forEach { log.write(Event.PROMPT_PART_RELEASED, field("part", it.value)) }
        onBlocked(now - before)
    }

    private fun onBlocked(parts: Set<PromptPartId>) {
        if (parts.isEmpty()) return
        parts.forEach {
            val crashes = ledger.suspicions[it]?.crashes
            log.write(Event.PROMPT_PART_BLOCKED, field("part", it.value), field("crashes", crashes))
        }
        send(PromptPartRecord.Blocked(parts.map { it.value }))
    }

    private fun send(record: PromptPartRecord): Unit = onRecord(record.encodeToPayload())
}
