package org.banyanturn.entry.follow

import com.github.michaelbull.result.Result
import com.github.michaelbull.result.onErr
import com.github.michaelbull.result.onOk
import org.banyanturn.daemon.ProcessClock
import org.banyanturn.daemon.logs.Event
import org.banyanturn.daemon.logs.field
import org.banyanturn.entry.observe.DecisionLog
import org.banyanturn.platform.StoreError

/** Whether one kind of call to the platform's store succeeds, and since when. */
internal class StoreOutageTracker(
    private val call: String,
    private val clock: ProcessClock,
    private val log: DecisionLog,
) {
    private var lostAtMillis: Long? = null
    private var regainedAtMillis: Long? = null

    /** Whether the last call failed. */
    val isUnavailable: Boolean
        get() = lostAtMillis != null

    /** Returns the result of [call] after noting whether it succeeded. */
    suspend fun <T> track(call: suspend () -> Result<T, StoreError>): Result<T, StoreError> =
        call().onOk { onSuccess() }.onErr(::onError)

    /** Notes that a call has succeeded. */
    fun onSuccess() {
        val nowMillis = clock.nowMillis()
        lostAtMillis?.let {
            log.write(Event.STORE_REGAINED, field("call", call), field("outageMillis", nowMillis - it))
            regainedAtMillis = nowMillis
        }
        lostAtMillis = null
    }

    /** Notes that a call has failed. */
    fun onError(error: StoreError) {
        if (lostAtMillis == null) {
            log.write(Event.STORE_LOST, field("call", call), field("error", error))
            lostAtMillis = clock.nowMillis()
        }
    }

    /** Returns whether calls failed within the last [windowMillis]. */
    fun hadOutageWithin(windowMillis: Long): Boolean {
        val nowMillis = clock.nowMillis()
        return lostAtMillis != null || regainedAtMillis?.let { nowMillis - it < windowMillis } == true
    }
}
