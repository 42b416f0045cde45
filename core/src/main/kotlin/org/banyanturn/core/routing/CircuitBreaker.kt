package org.banyanturn.core.routing

/**
 * When a target is left alone, and when it is tried again.
 *
 * @property failuresToOpen failures in a row after which the target gets no more requests.
 * @property slowFactor a first token that takes this many times what the other targets need counts as a failure.
 * @property openMillis how long the target is left alone at first; doubled after each failed probe.
 * @property maxOpenMillis the longest time for which it is left alone.
 * @property probeTimeoutMillis a probe without outcome for this long counts as failed.
 */
public data class CircuitBreakerSettings(
    val failuresToOpen: Int = 3,
    val slowFactor: Double = 4.0,
    val openMillis: Long = 1_000,
    val maxOpenMillis: Long = 60_000,
    val probeTimeoutMillis: Long = 10_000,
) {
    init {
        require(failuresToOpen > 0) { "failuresToOpen is $failuresToOpen, not more than 0" }
        require(openMillis in 1..maxOpenMillis) { "openMillis is $openMillis, not between 1 and $maxOpenMillis" }
    }
}

/** Whether a target takes requests. */
public enum class CircuitState {
    /** It takes requests. */
    CLOSED,

    /** It is left alone. */
    OPEN,

    /** It may take one request, to see whether it has recovered. */
    HALF_OPEN,
}

/**
 * What this router has seen of one target's failures; immutable.
 *
 * Each router judges by its own requests, so a link that fails between two ends leaves other routers alone.
 */
public class CircuitBreaker internal constructor(
    private val settings: CircuitBreakerSettings,
    private val failures: Int,
    private val openedAtMillis: Long,
    private val openForMillis: Long,
    private val probeSentMillis: Long?,
) {
    /** Returns whether the target takes requests at [nowMillis]. */
    public fun stateAt(nowMillis: Long): CircuitState =
        when {
            openForMillis == 0L -> CircuitState.CLOSED
            nowMillis < openedAtMillis + openForMillis -> CircuitState.OPEN
            probeSentMillis == null -> CircuitState.HALF_OPEN
            nowMillis >= probeSentMillis + settings.probeTimeoutMillis -> CircuitState.HALF_OPEN
            else -> CircuitState.OPEN
        }

    /** Returns the breaker after a request was sent to the target. */
    public fun requestSent(nowMillis: Long): CircuitBreaker =
        if (stateAt(nowMillis) == CircuitState.HALF_OPEN) with(probeSentMillis = nowMillis) else this

    /**
     * Returns the breaker after a first token came after [firstTokenMillis].
     *
     * @param typicalMillis what the other targets need for the like, or `null` if that is not known.
     */
    public fun firstTokenReceived(firstTokenMillis: Double, typicalMillis: Double?, nowMillis: Long): CircuitBreaker {
        val isSlow = typicalMillis != null && firstTokenMillis > typicalMillis * settings.slowFactor
        return if (isSlow) failed(nowMillis) else circuitBreakerOf(settings)
    }

    /** Returns the breaker after a request failed, by the target's fault. */
    public fun failed(nowMillis: Long): CircuitBreaker {
        val wasProbe = probeSentMillis != null
        return when {
            wasProbe -> open(nowMillis, (openForMillis * 2).coerceAtMost(settings.maxOpenMillis))
            openForMillis > 0 -> this
            failures + 1 >= settings.failuresToOpen -> open(nowMillis, settings.openMillis)
            else -> with(failures = failures + 1)
        }
    }

    private fun open(nowMillis: Long, forMillis: Long): CircuitBreaker =
        with(failures = 0, openedAtMillis = nowMillis, openForMillis = forMillis, probeSentMillis = null)

    private fun with(
        failures: Int = this.failures,
        openedAtMillis: Long = this.openedAtMillis,
        openForMillis: Long = this.openForMillis,
        probeSentMillis: Long? = this.probeSentMillis,
    ): CircuitBreaker = CircuitBreaker(settings, failures, openedAtMillis, openForMillis, probeSentMillis)
}

/** Returns the breaker of a target that nothing bad is known of. */
public fun circuitBreakerOf(settings: CircuitBreakerSettings = CircuitBreakerSettings()): CircuitBreaker =
    CircuitBreaker(settings, failures = 0, openedAtMillis = 0, openForMillis = 0, probeSentMillis = null)
