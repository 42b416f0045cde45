package org.banyanturn.core.limits

import org.banyanturn.core.Incarnation
import org.banyanturn.core.MemberId
import org.banyanturn.core.VmId
import org.junit.jupiter.api.Assertions.assertEquals
import org.junit.jupiter.api.Assertions.assertNotNull
import org.junit.jupiter.api.Assertions.assertNull
import org.junit.jupiter.api.Test

private const val FULL_MILLIS = 10_000L

class SharePoolTest {
    private val home = Incarnation(VmId("home"), 1)
    private val first = Incarnation(VmId("first"), 1)
    private val second = Incarnation(VmId("second"), 1)
    private val pool = SharePool(
        homeVersion = 1,
        startMillis = 0,
        policy = RatePolicy(ratePerSecond = 1.0, burst = 10.0, version = 0),
        settings = ShareSettings(),
    )

    private fun requestFor(from: Incarnation, tokens: Double): ShareRequest =
        ShareRequest(MemberId("growers"), from, home, 1, 1, 0, 0.0, 0.0, 1.0, tokens, 0.0, 0.0)

    private fun releaseBy(from: Incarnation, appliedGrant: Long, returnedTokens: Double): ShareRequest =
        requestFor(from, 0.0).copy(
            number = 2,
            appliedGrant = appliedGrant,
            returnedTokens = returnedTokens,
            givesUpShare = true,
        )

    @Test
    fun `returned tokens can be granted again at once`() {
        val grant = checkNotNull(pool.answerOrNull(requestFor(first, 10.0), FULL_MILLIS))
        assertEquals(10.0, grant.tokens)
        pool.answerOrNull(releaseBy(first, grant.number, returnedTokens = 6.0), FULL_MILLIS)
        assertEquals(6.0, pool.answerOrNull(requestFor(second, 10.0), FULL_MILLIS)?.tokens)
    }

    @Test
    fun `a duplicate request returns its tokens only once`() {
        val grant = checkNotNull(pool.answerOrNull(requestFor(first, 10.0), FULL_MILLIS))
        val request = releaseBy(first, grant.number, returnedTokens = 4.0)
        assertNotNull(pool.answerOrNull(request, FULL_MILLIS))
        assertNull(pool.answerOrNull(request, FULL_MILLIS))
        assertEquals(4.0, pool.answerOrNull(requestFor(second, 10.0), FULL_MILLIS)?.tokens)
    }

    @Test
    fun `a share in transit stays reserved when an older one is released`() {
        pool.answerOrNull(requestFor(first, 10.0), FULL_MILLIS)
        pool.answerOrNull(releaseBy(first, appliedGrant = 0, returnedTokens = 0.0), FULL_MILLIS)
        assertEquals(0.0, pool.answerOrNull(requestFor(second, 10.0), FULL_MILLIS)?.burstFraction)
    }
}
