package org.banyanturn.measure.delivery

import kotlin.random.Random

/** The platform's log with delays, outages and answers that are lost after the append took effect. */
internal class SimulatedLog(private val loop: EventLoop, seed: Long) {
    private val random = Random(seed)
    private val streams = HashMap<String, MutableList<String>>()
    private var downUntilMillis = 0L

    private val isDown: Boolean get() = loop.nowMillis < downUntilMillis

    /** Takes the log down for [durationMillis]. */
    fun goDown(durationMillis: Long) {
        downUntilMillis = loop.nowMillis + durationMillis
    }

    /** Appends [payload] and reports its offset, or `null` where no answer came. */
    fun append(stream: String, payload: String, onResult: (Long?) -> Unit) {
        loop.after(DELAY_MILLIS) {
            if (isDown) {
                loop.after(TIMEOUT_MILLIS) { onResult(null) }
            } else {
                val records = streams.getOrPut(stream, ::mutableListOf)
                records += payload
                val isLost = random.nextInt(LOST_ONE_IN) == 0
                val offset = records.size - 1L
                if (isLost) {
                    loop.after(TIMEOUT_MILLIS) {
                        onResult(null)
                    }
                } else {
                    loop.after(DELAY_MILLIS) { onResult(offset) }
                }
            }
        }
    }

    /** Reports the records of [stream] one after the other, and each time its end is reached, while [isAlive]. */
    fun follow(stream: String, isAlive: () -> Boolean, onRecord: (Long, String) -> Unit, onEnd: () -> Unit) {
        var next = 0
        loop.every(POLL_MILLIS) {
            val records = streams[stream].orEmpty()
            while (!isDown && isAlive() && next < records.size) {
                onRecord(next.toLong(), records[next])
                next++
            }
            if (!isDown && isAlive()) onEnd()
            isAlive()
        }
    }

    private companion object {
        private const val DELAY_MILLIS = 8L
        private const val TIMEOUT_MILLIS = 100L
        private const val POLL_MILLIS = 20L
        private const val LOST_ONE_IN = 50
    }
}
