package org.banyanturn.entry.follow

import com.github.michaelbull.result.Result
import com.github.michaelbull.result.onErr
import com.github.michaelbull.result.onOk
import org.banyanturn.daemon.ProcessClock
import org.banyanturn.daemon.logs.Event
import org.banyanturn.daemon.logs.field
import org.banyanturn.entry.observe.DecisionLog
import org.banyanturn.platform.StoreError

/** Tracks whether calls of one kind to the platform's store succeed, and logs the start and end of each outage. */
internal class StoreOutageTracker(
    private val callName: String,
    private val clock: ProcessClock,
    private val log: DecisionLog,
) {
    private var outageStartedAtMillis: Long? = null
    private var recoveredAtMillis: Long? = null

    /** Whether the last call failed. */
    val isUnavailable: Boolean
        get() = outageStartedAtMillis != null

    /** Returns the result of [call] and records whether it succeeded. */
    suspend fun <T> track(call: suspend () -> Result<T, StoreError>): Result<T, StoreError> =
        call().onOk { onSuccess() }.onErr(::onError)

    /** Records that a call has succeeded. */
    fun onSuccess() {
        val nowMillis = clock.nowMillis()
        outageStartedAtMillis?.let {
            log.write(Event.STORE_REGAINED, field("call", callName), field("outageMillis", nowMillis - it))
            recoveredAtMillis = nowMillis
        }
        outageStartedAtMillis = null
    }

    /** Records that a call has failed with [error]. */
    fun onError(error: StoreError) {
        if (outageStartedAtMillis == null) {
            log.write(Event.STORE_LOST, field("call", callName), field("error", error))
            outageStartedAtMillis = clock.nowMillis()
        }
    }

    /** Returns whether an outage is going on or has ended within the last [windowMillis] milliseconds. */
    fun hadOutageWithin(windowMillis: Long): Boolean {
        val nowMillis = clock.nowMillis()
        return outageStartedAtMillis != null || recoveredAtMillis?.let { nowMillis - it < windowMillis } == true
    }
}
