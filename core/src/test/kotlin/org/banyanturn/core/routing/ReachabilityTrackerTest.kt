package org.banyanturn.core.routing

import org.banyanturn.core.TargetId
import org.banyanturn.core.ZoneId
import org.junit.jupiter.api.Assertions.assertFalse
import org.junit.jupiter.api.Assertions.assertTrue
import org.junit.jupiter.api.Test
import kotlin.random.Random

private const val CONNECT_TIMEOUT_MILLIS = 400L

class ReachabilityTrackerTest {
    private val near = ZoneId("zone-a")
    private val far = ZoneId("zone-b")
    private val tracker = ReachabilityTracker()

    private fun target(index: Int) = TargetId("i-$index")

    @Test
    fun `an unresponsive target is excluded and its zone only after a second one`() {
        tracker.onConnectTimeout(target(1), far, 0)
        assertFalse(tracker.isReachable(target(1), far, 100))
        assertTrue(tracker.isReachable(target(2), far, 100))
        tracker.onConnectTimeout(target(2), far, 100)
        assertFalse(tracker.isReachable(target(3), far, 200))
        assertTrue(tracker.isReachable(target(4), near, 200), "another zone")
    }

    @Test
    fun `an unreachable zone gets one attempt per second until a target answers`() {
        tracker.onConnectTimeout(target(1), far, 0)
        tracker.onConnectTimeout(target(2), far, 0)
        assertTrue(tracker.isReachable(target(3), far, 1_000))
        tracker.onAttempt(target(3), far, 1_000)
        assertFalse(tracker.isReachable(target(3), far, 1_010))
        assertTrue(tracker.onAnswered(target(3), far))
        assertTrue(tracker.isReachable(target(1), far, 1_020))
        assertFalse(tracker.onAnswered(target(3), far), "no change of state")
    }

    @Test
    fun `a target that refuses connections gets one attempt per second and its zone is not affected`() {
        assertTrue(tracker.onConnectionRefused(target(1), 0))
        assertFalse(tracker.onConnectionRefused(target(1), 10), "no change of state")
        tracker.onConnectionRefused(target(2), 10)
        assertFalse(tracker.isReachable(target(1), far, 500))
        assertTrue(tracker.isReachable(target(3), far, 500), "hosts that refuse connections are reachable")
        assertTrue(tracker.isReachable(target(1), far, 1_010))
        tracker.onAttempt(target(1), far, 1_010)
        assertFalse(tracker.isReachable(target(1), far, 1_020))
        assertTrue(tracker.onAnswered(target(1), far))
        assertTrue(tracker.isReachable(target(1), far, 1_030))
    }

    /** Load: 20 requests per second for the only target with a model, which has died and is listed for 3.6 s more. */
    @Test
    fun `few requests are sent to a dead target`() {
        var attempts = 0
        for (nowMillis in 0L until 3_600 step 50) {
            if (!tracker.isReachable(target(1), far, nowMillis)) continue
            tracker.onAttempt(target(1), far, nowMillis)
            attempts++
            tracker.onConnectionRefused(target(1), nowMillis)
        }
        assertTrue(attempts <= 4, "$attempts of 72")
    }

    @Test
    fun `the refusals of targets that are no longer listed are removed`() {
        tracker.onConnectionRefused(target(1), 0)
        tracker.retain(setOf(target(2)))
        assertTrue(tracker.isReachable(target(1), far, 10))
    }

    /** Load: 20 requests per second for 5 s to four targets in a partitioned zone, which stay listed. */
    @Test
    fun `few requests wait for connection timeouts in a partitioned zone`() {
        val random = Random(20_261_209)
        val pending = ArrayList<Pair<Long, TargetId>>()
        var affectedRequests = 0
        for (nowMillis in 0L until 5_000 step 50) {
            pending.filter { it.first <= nowMillis }.also { pending.removeAll(it) }
                .forEach { (atMillis, targetId) -> tracker.onConnectTimeout(targetId, far, atMillis) }
            val reachable = (1..4).map(::target).filter { tracker.isReachable(it, far, nowMillis) }
            val chosen = reachable.randomOrNull(random) ?: continue
            tracker.onAttempt(chosen, far, nowMillis)
            pending += nowMillis + CONNECT_TIMEOUT_MILLIS to chosen
            affectedRequests++
        }
        assertTrue(
            affectedRequests <= 8 + 2 + 4,
            "$affectedRequests of 100: expected those before the first timeout and one per second",
        )
        assertTrue(affectedRequests >= 8, "the partition cannot be detected before the first timeout")
    }
}
