package org.banyanturn.core.routing

import org.banyanturn.core.TargetId
import kotlin.math.ceil

/**
 * Times of the permits for requests to cold targets, in milliseconds.
 *
 * A permit is granted for a start, which is at most [horizonMillis] ahead, and is usable for [useMillis] from then on.
 *
 * @property deliveryMillis greatest time between the last check of a permit and the request's arrival at its target.
 * @property answerTimeoutMillis time without an answer after which a VM may ask again.
 * @property maxRetryMillis longest time after which a VM that was refused asks again.
 */
public data class ColdPermitSettings(
    val horizonMillis: Long = 300,
    val useMillis: Long = 250,
    val deliveryMillis: Long = 100,
    val answerTimeoutMillis: Long = 300,
    val maxRetryMillis: Long = 2_000,
) {
    /** Time after which a permit can't be used any more, counted from its grant. */
    val lifetimeMillis: Long
        get() = horizonMillis + useMillis
}

/**
 * The rate of permits for a cold target.
 *
 * @property requestsPerSecond requests per second that the target sustains; permits stay a little below.
 * @property maxInWindow most requests that may arrive in any window of one second, from all VMs together.
 */
public data class ColdPermitRate(val requestsPerSecond: Double, val maxInWindow: Int) {
    /**
     * Returns the time between the starts of two permits in milliseconds, or `null` if none may be granted.
     *
     * The requests that arrive within a window of one second have permits that start within that window or, because of
     * their use and delivery, shortly before. The interval is such that no more than [maxInWindow] starts fit.
     */
    public fun intervalMillisOrNull(settings: ColdPermitSettings): Long? {
        if (maxInWindow < 1 || requestsPerSecond <= 0) return null
        val windowMillis = WINDOW_MILLIS + settings.useMillis + settings.deliveryMillis
        val intervalMillis = maxOf(WINDOW_MILLIS / (requestsPerSecond * USED_FRACTION), windowMillis / maxInWindow + 1)
        return ceil(intervalMillis).toLong()
    }

    private companion object {
        const val WINDOW_MILLIS = 1_000.0

        /** Part of the sustained rate that is granted; the rest allows for clocks that run at different speeds. */
        const val USED_FRACTION = 0.98
    }
}

/** The answer of a target's owner to a VM that asked for a permit. */
public sealed interface ColdPermitAnswer {
    /** One request may be sent, from [startInMillis] milliseconds after the arrival of the answer on. */
    public data class Granted(val startInMillis: Long) : ColdPermitAnswer

    /** No request may be sent; the VM may ask again in [retryInMillis] milliseconds. */
    public data class Refused(val retryInMillis: Long) : ColdPermitAnswer
}

/**
 * Grants the permits for one cold target, on the VM that owns it. Not thread-safe.
 *
 * Permits are granted one after the other for starts that are evenly spaced, without bursts. A permit that is not used
 * is lost. A VM that finds no start within the horizon is told when to ask again; these times are spaced too, so that
 * hundreds of VMs don't all ask at once.
 */
public class ColdPermitGranter(private val settings: ColdPermitSettings = ColdPermitSettings()) {
    private var nextStartMillis = Long.MIN_VALUE
    private var nextRetryMillis = Long.MIN_VALUE

    /**
     * Returns the answer to a VM that asks for a permit.
     *
     * @param grantsFromMillis when the permits of a previous owner have expired.
     */
    public fun request(rate: ColdPermitRate, grantsFromMillis: Long, nowMillis: Long): ColdPermitAnswer {
        val intervalMillis =
            rate.intervalMillisOrNull(settings) ?: return ColdPermitAnswer.Refused(settings.maxRetryMillis)
        val startMillis = maxOf(nowMillis, nextStartMillis, grantsFromMillis + intervalMillis)
        if (startMillis - nowMillis > settings.horizonMillis) return refuse(startMillis, intervalMillis, nowMillis)
        nextStartMillis = startMillis + intervalMillis
        return ColdPermitAnswer.Granted(startMillis - nowMillis)
    }

    /** Returns whether the granter has no effect on later permits, so that it may be dropped. */
    public fun isIdle(nowMillis: Long): Boolean = nextStartMillis <= nowMillis && nextRetryMillis <= nowMillis

    private fun refuse(startMillis: Long, intervalMillis: Long, nowMillis: Long): ColdPermitAnswer.Refused {
        val earliestMillis = maxOf(startMillis - settings.horizonMillis, nowMillis + 1)
        val latestMillis = nowMillis + settings.maxRetryMillis
        val retryMillis = maxOf(earliestMillis, nextRetryMillis).coerceAtMost(latestMillis)
        nextRetryMillis = minOf(retryMillis + intervalMillis, latestMillis)
        return ColdPermitAnswer.Refused(retryMillis - nowMillis)
    }
}

/** A permit for one request, usable from [startMillis] (inclusive) to [endMillis] (exclusive). */
public class ColdPermit internal constructor(internal val startMillis: Long, internal val endMillis: Long) {
    /** Whether the permit was withdrawn, since more time may have passed than the clock counted. */
    internal var isWithdrawn = false

    /** Returns whether a request may be sent with this permit at [nowMillis]. */
    public fun isUsable(nowMillis: Long): Boolean = !isWithdrawn && nowMillis in startMillis until endMillis
}

/**
 * Holds one VM's permits for cold targets, at most one for each target. Not thread-safe.
 *
 * The end of a permit is counted from the moment at which this VM asked for it, so that it is never later than the
 * owner assumes, however late the answer arrives. Without an answer there is no permit.
 */
public class ColdPermitHolder(private val settings: ColdPermitSettings = ColdPermitSettings()) {
    private val states = HashMap<TargetId, PermitState>()
    private var nextNumber = 1L
    private val takenPermits = ArrayList<ColdPermit>()

    /** The number of requests for permits that got no answer in time. */
    public var unansweredCount: Long = 0
        private set

    /** Whether an answer is expected or a permit is held. */
    public fun isBusy(nowMillis: Long): Boolean =
        states.values.any { it.isAwaitingAnswer(nowMillis) || it.holdsPermit(nowMillis) }

    /** Returns the number of a request for a permit to be sent now, or `null` if none is due. */
    public fun askOrNull(targetId: TargetId, nowMillis: Long): Long? {
        val state = states.getOrPut(targetId, ::PermitState)
        val isWaiting = state.isAwaitingAnswer(nowMillis) || nowMillis < state.nextAskMillis
        if (isWaiting || state.holdsPermit(nowMillis)) return null
        if (state.number != 0L) unansweredCount++
        state.number = nextNumber++
        state.askedAtMillis = nowMillis
        return state.number
    }

    private fun PermitState.isAwaitingAnswer(nowMillis: Long): Boolean =
        number != 0L && nowMillis - askedAtMillis < settings.answerTimeoutMillis

    /** Handles the [answer] to the request [number]; answers to earlier requests are ignored. */
    public fun onAnswer(targetId: TargetId, number: Long, answer: ColdPermitAnswer, nowMillis: Long) {
        val state = states[targetId]?.takeIf { it.number == number } ?: return
        state.number = 0
        when (answer) {
            is ColdPermitAnswer.Granted -> {
                val startInMillis = answer.startInMillis.takeIf { it in 0..settings.horizonMillis } ?: return
                val endMillis = state.askedAtMillis + startInMillis + settings.useMillis
                state.permit = ColdPermit(nowMillis + startInMillis, endMillis)
            }

            is ColdPermitAnswer.Refused ->
                state.nextAskMillis = nowMillis + answer.retryInMillis.coerceIn(1, settings.maxRetryMillis)
        }
    }

    /** Returns whether a request may be sent to [targetId] now. */
    public fun holdsUsable(targetId: TargetId, nowMillis: Long): Boolean =
        states[targetId]?.permit?.isUsable(nowMillis) == true

    /** Takes the permit for a request to [targetId], or returns `null` if there is none that is usable now. */
    public fun takeOrNull(targetId: TargetId, nowMillis: Long): ColdPermit? {
        val state = states[targetId] ?: return null
        val permit = state.permit?.takeIf { it.isUsable(nowMillis) } ?: return null
        state.permit = null
        takenPermits.removeIf { it.endMillis <= nowMillis }
        takenPermits += permit
        return permit
    }

    /** Withdraws all permits, also those that were taken, and ignores outstanding answers. */
    public fun withdrawAll() {
        takenPermits.forEach { it.isWithdrawn = true }
        takenPermits.clear()
        states.clear()
    }

    /** Drops what is held for targets other than [targetIds]. */
    public fun retain(targetIds: Set<TargetId>) {
        states.keys.retainAll(targetIds)
    }
}

private class PermitState {
    /** The number of the request that awaits an answer, or 0. */
    var number = 0L
    var askedAtMillis = 0L
    var nextAskMillis = Long.MIN_VALUE
    var permit: ColdPermit? = null

    fun holdsPermit(nowMillis: Long): Boolean = permit?.let { nowMillis < it.endMillis } == true
}
