package org.banyanturn.core.routing

import org.junit.jupiter.api.Assertions.assertEquals
import org.junit.jupiter.api.Test

class CircuitBreakerTest {
    private val settings = CircuitBreakerSettings(failuresToOpen = 3, openMillis = 1_000, maxOpenMillis = 3_000)

    private fun opened() = (1..3).fold(circuitBreakerOf(settings)) { breaker, _ -> breaker.failed(0) }

    @Test
    fun `consecutive failures open the breaker and a success in between resets the count`() {
        assertEquals(CircuitState.OPEN, opened().stateAt(999))
        val mixed = circuitBreakerOf(settings).failed(0).failed(0).firstTokenReceived(50.0, 50.0, 0).failed(0)
        assertEquals(CircuitState.CLOSED, mixed.stateAt(0))
    }

    @Test
    fun `a target much slower than the others opens its breaker like a failing one`() {
        val slow = (1..3).fold(circuitBreakerOf(settings)) { breaker, _ -> breaker.firstTokenReceived(900.0, 100.0, 0) }
        assertEquals(CircuitState.OPEN, slow.stateAt(0))
    }

    @Test
    fun `one probe is allowed and its outcome closes or reopens the breaker`() {
        val probing = opened().requestSent(1_000)
        assertEquals(CircuitState.HALF_OPEN, opened().stateAt(1_000))
        assertEquals(CircuitState.OPEN, probing.stateAt(1_001))
        assertEquals(CircuitState.CLOSED, probing.firstTokenReceived(50.0, null, 1_100).stateAt(1_100))
        assertEquals(CircuitState.OPEN, probing.failed(1_100).stateAt(3_000))
        assertEquals(CircuitState.HALF_OPEN, probing.failed(1_100).stateAt(3_100))
    }

    @Test
    fun `a probe without an outcome times out and the open time stays bounded`() {
        assertEquals(CircuitState.HALF_OPEN, opened().requestSent(1_000).stateAt(11_000))
        var breaker = opened()
        repeat(5) { breaker = breaker.requestSent(100_000L * it + 90_000).failed(100_000L * it + 90_000) }
        assertEquals(CircuitState.HALF_OPEN, breaker.stateAt(493_000))
    }
}
