package org.banyanturn.entry.http

import org.banyanturn.platform.hosted.SocketAddressText

/** Where on a connection bytes arrived that belong to no response. */
internal enum class UnsolicitedPlace {
    /** Behind the end of a response, in the same read. */
    AFTER_ANSWER,

    /** While no attempt waited for a response. */
    IDLE,

    /** With the head of a response to another attempt, while one waited for its own. */
    BEFORE_ANSWER,
}

/** Learns of bytes that targets sent although no response was due. */
internal fun interface UnsolicitedBytesListener {
    /** Called when the target at [address] has sent [byteCount] bytes at [place]. */
    fun onUnsolicitedBytes(address: SocketAddressText, place: UnsolicitedPlace, byteCount: Int)
}
