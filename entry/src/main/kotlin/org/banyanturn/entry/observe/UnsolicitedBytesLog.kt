package org.banyanturn.entry.observe

import org.banyanturn.daemon.logs.Event
import org.banyanturn.daemon.logs.field
import org.banyanturn.entry.http.UnsolicitedBytesListener
import org.banyanturn.entry.http.UnsolicitedPlace
import org.banyanturn.platform.hosted.SocketAddressText

/** Logs and counts the bytes that targets sent where no response was due. */
internal class UnsolicitedBytesLog(private val log: DecisionLog, private val metrics: EntryMetrics) :
    UnsolicitedBytesListener {
    override fun onUnsolicitedBytes(address: SocketAddressText, place: UnsolicitedPlace, byteCount: Int) {
        val placeName = place.name.lowercase().replace('_', '-')
        metrics.unsolicited(placeName, byteCount)
        log.write(
            Event.UNSOLICITED_BYTES,
            field("address", address),
            field("place", placeName),
            field("bytes", byteCount),
        )
    }
}
