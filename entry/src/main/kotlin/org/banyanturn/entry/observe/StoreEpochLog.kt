package org.banyanturn.entry.observe

import org.banyanturn.core.relay.EpochReading
import org.banyanturn.daemon.logs.Event
import org.banyanturn.daemon.logs.field
import org.banyanturn.platform.hosted.StoreEpochListener

/** The longest part of an unreadable epoch that is logged. */
private const val MAX_LOGGED_CHARS = 40

/** Logs and counts rollbacks of the platform's store, and epochs in its responses that were ignored. */
internal class StoreEpochLog(private val log: DecisionLog, private val metrics: EntryMetrics) : StoreEpochListener {
    private var loggedText: String? = null

    override fun onReading(reading: EpochReading) {
        when (reading) {
            EpochReading.Current, is EpochReading.Stale -> Unit
            is EpochReading.Risen -> onRisen(reading)
            is EpochReading.Unconfirmed -> onIgnored(reading.epoch.toString())
            is EpochReading.Unreadable -> onIgnored(reading.text)
        }
    }

    private fun onRisen(reading: EpochReading.Risen) {
        metrics.storeEpoch.set(reading.epoch.toDouble())
        if (!reading.isRollback) return
        metrics.storeRollbacks.inc()
        log.write(Event.STORE_ROLLED_BACK, field("epoch", reading.epoch), field("before", reading.previous))
    }

    /** Logs a value once, since a store that sends it does so in every response. */
    private fun onIgnored(text: String) {
        metrics.unreadableStoreEpochs.inc()
        if (text == loggedText) return
        loggedText = text
        log.write(Event.STORE_EPOCH_UNREADABLE, field("value", text.take(MAX_LOGGED_CHARS)))
    }
}
