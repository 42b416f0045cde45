package org.banyanturn.core.limits

import kotlin.math.max
import kotlin.math.min

private const val MILLIS_PER_SECOND = 1_000.0

/**
 * One VM's lease of a share of one member's limit: a token bucket whose size and rate are granted by the home VM.
 *
 * @property homeVersion version of the home that granted the lease.
 */
internal class ShareLease(val homeVersion: Long, nowMillis: Long) {
    private var rateFraction = 0.0
    private var burstFraction = 0.0
    private var endMillis = nowMillis
    private var refilledAtMillis = nowMillis

    /** Number of the last grant that was applied. */
    var appliedGrant = 0L
        private set

    /** Cost units that may be spent now, as of the last [refill]. */
    var tokens = 0.0
        private set

    /** Cost units that no longer fit into the bucket and are returned to the home VM. */
    var excessTokens = 0.0
        private set

    val isEmpty: Boolean
        get() = rateFraction == 0.0 && burstFraction == 0.0

    val hasNoRate: Boolean
        get() = rateFraction == 0.0

    fun isValid(nowMillis: Long): Boolean = nowMillis < endMillis && !isEmpty

    fun capacity(policy: RatePolicy): Double = burstFraction * policy.burst

    fun ratePerSecond(policy: RatePolicy): Double = rateFraction * policy.ratePerSecond

    /** Refills the bucket for the time up to [nowMillis], or empties it if the lease has expired. */
    fun refill(policy: RatePolicy, nowMillis: Long) {
        if (nowMillis >= endMillis) return clear()
        if (nowMillis <= refilledAtMillis) return
        val refilledTokens = ratePerSecond(policy) * (nowMillis - refilledAtMillis) / MILLIS_PER_SECOND
        tokens = min(capacity(policy), tokens + refilledTokens)
        refilledAtMillis = nowMillis
    }

    /** Limits the tokens to the bucket size under [policy]. */
    fun shrinkTo(policy: RatePolicy) {
        tokens = min(tokens, capacity(policy))
    }

    fun debit(cost: Double) {
        tokens -= cost
    }

    /** Applies [grant], whose lease ends at [grantEndMillis], and returns whether the share shrank. */
    fun apply(grant: ShareGrant, policy: RatePolicy, nowMillis: Long, grantEndMillis: Long): Boolean {
        refill(policy, nowMillis)
        val hasShrunk = grant.rateFraction < rateFraction || grant.burstFraction < burstFraction
        appliedGrant = grant.number
        rateFraction = grant.rateFraction
        burstFraction = grant.burstFraction
        endMillis = grantEndMillis
        refilledAtMillis = nowMillis
        val total = tokens + grant.tokens
        tokens = min(total, capacity(policy))
        excessTokens += max(0.0, total - tokens)
        return hasShrunk
    }

    /** Debits the [excessTokens] and returns them, for the home VM. */
    fun debitExcess(): Double {
        val returnedTokens = excessTokens
        excessTokens = 0.0
        return returnedTokens
    }

    /** Releases the share and returns all its tokens, for the home VM. */
    fun release(): Double {
        val returnedTokens = tokens + excessTokens
        clear()
        return returnedTokens
    }

    private fun clear() {
        rateFraction = 0.0
        burstFraction = 0.0
        tokens = 0.0
        excessTokens = 0.0
    }
}
