package org.banyanturn.core.routing

/**
 * Settings of [CircuitBreaker].
 *
 * @property failuresToOpen number of consecutive failures after which the breaker opens.
 * @property slowFactor a first token that takes longer than this multiple of the typical time counts as a failure.
 * @property openMillis time for which the breaker is open at first, in milliseconds; doubled after each failed probe.
 * @property maxOpenMillis upper bound of the open time, in milliseconds.
 * @property probeTimeoutMillis time without an outcome after which another probe is allowed, in milliseconds.
 */
public data class CircuitBreakerSettings(
    val failuresToOpen: Int = 3,
    val slowFactor: Double = 4.0,
    val openMillis: Long = 1_000,
    val maxOpenMillis: Long = 60_000,
    val probeTimeoutMillis: Long = 10_000,
) {
    init {
        require(failuresToOpen > 0) { "failuresToOpen must be positive, was $failuresToOpen" }
        require(openMillis in 1..maxOpenMillis) { "openMillis must be from 1 to $maxOpenMillis, was $openMillis" }
    }
}

/** The state of a [CircuitBreaker]. */
public enum class CircuitState {
    /** Requests are sent to the target. */
    CLOSED,

    /** No requests are sent to the target. */
    OPEN,

    /** One request may be sent as a probe, to check whether the target has recovered. */
    HALF_OPEN,
}

/**
 * A circuit breaker for one target, fed with the outcomes of this router's own requests. Immutable.
 *
 * Routers do not share breaker state, so a failed link between one router and the target does not affect the others.
 */
public class CircuitBreaker internal constructor(
    private val settings: CircuitBreakerSettings,
    private val failures: Int,
    private val openedAtMillis: Long,
    private val openForMillis: Long,
    private val probeSentMillis: Long?,
) {
    /** Returns the state of the breaker at [nowMillis]. */
    public fun stateAt(nowMillis: Long): CircuitState =
        when {
            openForMillis == 0L -> CircuitState.CLOSED
            nowMillis < openedAtMillis + openForMillis -> CircuitState.OPEN
            probeSentMillis == null -> CircuitState.HALF_OPEN
            nowMillis >= probeSentMillis + settings.probeTimeoutMillis -> CircuitState.HALF_OPEN
            else -> CircuitState.OPEN
        }

    /** Returns the breaker after a request was sent to the target; in the half-open state that request is the probe. */
    public fun requestSent(nowMillis: Long): CircuitBreaker =
        if (stateAt(nowMillis) == CircuitState.HALF_OPEN) with(probeSentMillis = nowMillis) else this

    /**
     * Returns the breaker after the first token of an answer arrived, [firstTokenMillis] after its request was sent.
     *
     * @param typicalMillis typical time to first token at the other targets, in milliseconds, or `null` if unknown.
     */
    public fun firstTokenReceived(firstTokenMillis: Double, typicalMillis: Double?, nowMillis: Long): CircuitBreaker {
        val isSlow = typicalMillis != null && firstTokenMillis > typicalMillis * settings.slowFactor
        return if (isSlow) failed(nowMillis) else circuitBreakerOf(settings)
    }

    /** Returns the breaker after a request failed through a fault of the target. */
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

/** Returns a closed breaker without recorded failures. */
public fun circuitBreakerOf(settings: CircuitBreakerSettings = CircuitBreakerSettings()): CircuitBreaker =
    CircuitBreaker(settings, failures = 0, openedAtMillis = 0, openForMillis = 0, probeSentMillis = null)
