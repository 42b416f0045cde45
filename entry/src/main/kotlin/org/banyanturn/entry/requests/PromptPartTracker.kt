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

/** Most blocked parts that are repeated to other VMs in one datagram. */
private const val MAX_REPEATED_PARTS = 16

/**
 * Detects parts of prompts that crash the targets that answer on them, using evidence shared by all VMs.
 *
 * Each crash, the verdict of the VM that saw it, and each complete answer that clears a suspicion are sent to all VMs
 * at once. Verdicts are repeated to some VMs each second, for those that lost a datagram or have started since.
 */
internal class PromptPartTracker(private val log: DecisionLog, private val nowMillis: () -> Long) {
    private var ledger = PromptPartLedger()

    /** Called with each record to send to all other VMs. */
    var onRecord: (payload: String) -> Unit = {}

    /** Returns how long requests with [parts] remain blocked, in milliseconds, or `null` if they may run. */
    fun blockedForMillisOrNull(parts: List<PromptPartId>): Long? =
        if (ledger.suspicions.isEmpty()) null else ledger.blockedForMillisOrNull(parts, nowMillis())

    /** Records that [life] was lost while it ran a request with [parts] that it had hardly begun to answer. */
    fun onTargetLost(life: TargetLife, parts: List<PromptPartId>) {
        val blamed = parts.filterNot { it in ledger.completedParts }.ifEmpty { parts }
        val updated = ledger.crashed(life, blamed, nowMillis())
        if (updated === ledger) return
        val newlyBlocked = apply(updated)
        send(PromptPartRecord.Suspected(life.targetId.value, life.bornEpochMillis, blamed.map { it.value }))
        if (newlyBlocked.isNotEmpty()) send(PromptPartRecord.Blocked(newlyBlocked.map { it.value }))
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
        val updated = when (record) {
            is PromptPartRecord.Completed -> ledger.completed(parts, nowMillis())

            is PromptPartRecord.Blocked -> parts.fold(ledger) { known, part -> known.blocked(part, nowMillis()) }

            is PromptPartRecord.Suspected -> {
                if (!isIdentifier(record.targetId)) return
                ledger.crashed(TargetLife(TargetId(record.targetId), record.bornEpochMillis), parts, nowMillis())
            }
        }
        apply(updated)
    }

    /** Returns the verdicts to repeat to some VMs; called once a second. */
    fun verdicts(): List<String> {
        val blocked = ledger.blockedParts.takeLast(MAX_REPEATED_PARTS).map { it.value }
        return if (blocked.isEmpty()) emptyList() else listOf(PromptPartRecord.Blocked(blocked).encodeToPayload())
    }

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
