package org.banyanturn.core.routing

import org.banyanturn.core.DecayingSum
import kotlin.math.exp
import kotlin.math.sqrt

/** Default age, in milliseconds, after which a report no longer tells how many requests of other VMs a target holds. */
public const val DEFAULT_COUNT_VALID_MILLIS: Long = 1_500L

/**
 * The tokens that a target holds: those of this VM's requests, and an estimate for the requests of other VMs.
 * Immutable.
 *
 * @property own this VM's requests in progress, by attempt id.
 * @property others requests of other VMs in the latest report, or `null` before the first one.
 */
public class TokenLedger private constructor(
    private val own: Map<String, HeldRequest>,
    private val others: Int?,
    private val reportedAtMillis: Long,
    private val countValidMillis: Long,
) {
    /** Tokens of this VM's requests in progress. */
    public val ownTokens: Long
        get() = own.values.sumOf { it.tokens }

    /** Returns the ledger after this VM sent the request [attemptId], which takes up to [tokens]. */
    public fun sent(attemptId: String, tokens: Long, nowMillis: Long): TokenLedger =
        TokenLedger(own + (attemptId to HeldRequest(tokens, nowMillis)), others, reportedAtMillis, countValidMillis)

    /** Returns the ledger after the request [attemptId] of this VM ended. */
    public fun ended(attemptId: String): TokenLedger =
        TokenLedger(own - attemptId, others, reportedAtMillis, countValidMillis)

    /**
     * Returns the ledger after a report, received at [atMillis], that the target holds [requests].
     *
     * The report may be older than its receipt, so the latest requests of this VM are assumed not to be counted in it:
     * an overestimate withholds a request for a moment, an underestimate may crash the target.
     */
    public fun reported(requests: Int, atMillis: Long): TokenLedger {
        if (others != null && atMillis < reportedAtMillis) return this
        return TokenLedger(own, othersIn(requests, atMillis), atMillis, countValidMillis)
    }

    /** Returns how many of the [requests] that a report at [atMillis] counts are those of other VMs. */
    public fun othersIn(requests: Int, atMillis: Long): Int =
        (requests - own.values.count { it.sentAtMillis <= atMillis - REPORT_DELAY_MILLIS }).coerceAtLeast(0)

    /**
     * Returns the estimate of the tokens that the target holds at [nowMillis].
     *
     * @param sizes the requests of the target's service.
     * @param inflow requests per millisecond that all other VMs together send to the target.
     */
    public fun heldTokensAt(nowMillis: Long, sizes: RequestSizes, inflow: Double = 0.0): Double {
        val ageMillis = (nowMillis - reportedAtMillis).coerceAtLeast(0)
        if (others == null || ageMillis > countValidMillis) {
            return ownTokens + sizes.tokensOf(sizes.usualOthersAt(nowMillis), inflow * REPORT_DELAY_MILLIS)
        }
        return ownTokens + sizes.tokensOf(others.toDouble(), inflow * (ageMillis + REPORT_DELAY_MILLIS))
    }

    internal companion object {
        /** The greatest expected age of a report at its receipt. */
        const val REPORT_DELAY_MILLIS = 400L

        fun empty(countValidMillis: Long) = TokenLedger(emptyMap(), null, 0, countValidMillis)
    }
}

/** Returns the ledger of a target to which nothing was sent; a report's count is used for [countValidMillis]. */
public fun tokenLedgerOf(countValidMillis: Long = DEFAULT_COUNT_VALID_MILLIS): TokenLedger =
    TokenLedger.empty(countValidMillis)

/** A request at a target, which takes up to [tokens]. */
internal class HeldRequest(val tokens: Long, val sentAtMillis: Long)

/**
 * Tracks the sizes of the requests for one service, and how many requests of other VMs its targets usually hold. Not
 * thread-safe.
 */
public class RequestSizes {
    private var count = 0L
    private var mean = 0.0
    private var meanSquare = 0.0
    private var usualOthers = 0.0
    private var reportedAtMillis = 0L
    private val sent = DecayingSum(RATE_AVERAGING_MILLIS)

    /** The average tokens of a request, or 0 if none is known. */
    public val meanTokens: Double
        get() = mean

    /** Records that this VM sent a request of [tokens] tokens, of its prompt and output together. */
    public fun record(tokens: Long, nowMillis: Long) {
        sent.add(1.0, nowMillis)
        if (tokens <= 0) return
        val weight = maxOf(1.0 / ++count, MIN_SIZE_WEIGHT)
        mean += weight * (tokens - mean)
        meanSquare += weight * (tokens.toDouble() * tokens - meanSquare)
    }

    /** Records that a target holds [others] requests of other VMs. */
    public fun recordOthers(others: Int, nowMillis: Long) {
        val current = usualOthersAt(nowMillis)
        usualOthers = current + OTHERS_WEIGHT * (others - current)
        reportedAtMillis = nowMillis
    }

    /** Returns the usual number of other VMs' requests at a target; without reports it approaches 0. */
    public fun usualOthersAt(nowMillis: Long): Double =
        usualOthers * exp(-(nowMillis - reportedAtMillis).coerceAtLeast(0) / OTHERS_DECAY_MILLIS)

    /**
     * Returns the requests per millisecond that [otherVms] send to each of [targets], if they send as many as this VM.
     */
    public fun inflowAt(nowMillis: Long, otherVms: Int, targets: Int): Double =
        sent.ratePerMillisAt(nowMillis) * otherVms / targets.coerceAtLeast(1)

    /**
     * Returns how many tokens [counted] requests and about [expected] more take; exceeded with a probability of a few
     * percent.
     */
    public fun tokensOf(counted: Double, expected: Double = 0.0): Double {
        val variance = counted * (meanSquare - mean * mean).coerceAtLeast(0.0) + expected * meanSquare
        return (counted + expected) * mean + DEVIATIONS * sqrt(variance)
    }

    private companion object {
        const val MIN_SIZE_WEIGHT = 0.02
        const val OTHERS_WEIGHT = 0.1

        /** Without a decay, a full fleet that gets no requests would be taken for full for ever. */
        const val OTHERS_DECAY_MILLIS = 5_000.0
        const val DEVIATIONS = 2.0
        const val RATE_AVERAGING_MILLIS = 2_000.0
    }
}
