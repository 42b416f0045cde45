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
 * Number of crashes after which a request is refused.
 *
 * A lost connection counts as a crash, so more are required than where crashes are known for certain. A complete
 * response in between clears the request.
 */
private const val CRASHES_TO_BLOCK = 3

/** Detects requests that crash the targets that run them, using evidence shared by all VMs. */
internal class CrashTracker(private val self: Incarnation, private val epochMillis: () -> Long) {
    private var ledger = CrashLedger(CrashSettings(crashesToBlock = CRASHES_TO_BLOCK))

    /** Called with each record to send to the other VMs. */
    var onRecord: (payload: String) -> Unit = {}

    /** Returns how long the request of [exchange] remains blocked, in milliseconds, or `null` if it may run. */
    fun blockedForMillisOrNull(exchange: CallerExchange): Long? {
        if (ledger.suspicions.isEmpty()) return null
        val nowMillis = epochMillis()
        val verdict = ledger.statusOf(fingerprintOf(exchange), nowMillis)
        return (verdict as? FingerprintStatus.Blocked)?.let { it.untilEpochMillis - nowMillis }
    }

    /** Records that the connection to [targetId] was lost while the target ran the request of [exchange]. */
    fun onConnectionLost(exchange: CallerExchange, targetId: TargetId, hasAnswered: Boolean) {
        val suspects = listOf(CrashSuspect(fingerprintOf(exchange), hasAnswered))
        record(CrashRecord.TargetCrashed(targetId, self, epochMillis(), suspects))
    }

    /** Records that the request of [exchange] received a complete response. */
    fun onResponseCompleted(exchange: CallerExchange) {
        if (ledger.suspicions.isEmpty()) return
        val fingerprint = fingerprintOf(exchange)
        if (fingerprint in ledger.suspicions) record(CrashRecord.SuspectCleared(fingerprint))
    }

    private fun record(record: CrashRecord) {
        ledger = ledger.apply(record)
        onRecord(record.encodeToPayload())
    }

    /** Applies a record of another VM; an invalid one is ignored. */
    fun onPeerRecord(payload: String) {
        decodeCrashRecordOrNull(payload)?.let { ledger = ledger.apply(it) }
    }

    private fun fingerprintOf(exchange: CallerExchange): RequestFingerprint {
        val key = exchange.head.headers()["Authorization"].orEmpty()
        val method = exchange.head.method().name()
        return requestFingerprint(method, "${exchange.head.uri()} $key", ByteBufUtil.getBytes(exchange.body))
    }
}
