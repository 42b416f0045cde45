package org.banyanturn.entry.requests

import io.netty.buffer.ByteBufUtil
import org.banyanturn.core.Incarnation
import org.banyanturn.core.TargetId
import org.banyanturn.core.delivery.CrashLedger
import org.banyanturn.core.delivery.CrashRecord
import org.banyanturn.core.delivery.CrashSettings
import org.banyanturn.core.delivery.CrashSuspect
import org.banyanturn.core.delivery.FingerprintStatus
import org.banyanturn.core.delivery.RequestFingerprint
import org.banyanturn.core.delivery.decodeCrashRecordOrNull
import org.banyanturn.core.delivery.encodeToPayload
import org.banyanturn.core.delivery.requestFingerprint
import org.banyanturn.entry.http.CallerExchange

/**
 * Crashes after which a request is refused.
 *
 * A broken connection is taken for a crash, so it takes more of them than where crashes are known for certain; an
 * answer in between clears the request.
 */
private const val CRASHES_TO_BLOCK = 3

/** Finds requests that crash the targets that run them; the evidence is shared by all VMs. */
internal class CrashTracker(private val self: Incarnation, private val epochMillis: () -> Long) {
    private var ledger = CrashLedger(CrashSettings(crashesToBlock = CRASHES_TO_BLOCK))

    /** Called with each record that the other VMs are to know. */
    var onRecord: (payload: String) -> Unit = {}

    /** Returns how long the request of [exchange] is refused, in milliseconds, or `null` if it may run. */
    fun blockedForMillisOrNull(exchange: CallerExchange): Long? {
        if (ledger.suspicions.isEmpty()) return null
        val nowMillis = epochMillis()
        val verdict = ledger.statusOf(fingerprintOf(exchange), nowMillis)
        return (verdict as? FingerprintStatus.Blocked)?.let { it.untilEpochMillis - nowMillis }
    }

    /** Notes that the connection to [targetId] broke while it ran the request of [exchange]. */
    fun onConnectionLost(exchange: CallerExchange, targetId: TargetId, hasAnswered: Boolean) {
        val suspects = listOf(CrashSuspect(fingerprintOf(exchange), hasAnswered))
        record(CrashRecord.TargetCrashed(targetId, self, epochMillis(), suspects))
    }

    /** Notes that the request of [exchange] was answered whole. */
    fun onAnswerCompleted(exchange: CallerExchange) {
        if (ledger.suspicions.isEmpty()) return
        val fingerprint = fingerprintOf(exchange)
        if (fingerprint in ledger.suspicions) record(CrashRecord.SuspectCleared(fingerprint))
    }

    private fun record(record: CrashRecord) {
        ledger = ledger.apply(record)
        onRecord(record.encodeToPayload())
    }

    /** Takes in a record of another VM. */
    fun onPeerRecord(payload: String) {
        decodeCrashRecordOrNull(payload)?.let { ledger = ledger.apply(it) }
    }

    private fun fingerprintOf(exchange: CallerExchange): RequestFingerprint {
        val key = exchange.head.headers()["Authorization"].orEmpty()
        val method = exchange.head.method().name()
        return requestFingerprint(method, "${exchange.head.uri()} $key", ByteBufUtil.getBytes(exchange.body))
    }
}
