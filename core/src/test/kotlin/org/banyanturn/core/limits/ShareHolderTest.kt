package org.banyanturn.core.limits

import org.banyanturn.core.Incarnation
import org.banyanturn.core.MemberId
import org.banyanturn.core.VmId
import org.banyanturn.core.state.RateHome
import org.junit.jupiter.api.Assertions.assertEquals
import org.junit.jupiter.api.Assertions.assertInstanceOf
import org.junit.jupiter.api.Test

private const val ARRIVED_MILLIS = 1_000L
private const val SENT_MILLIS = ARRIVED_MILLIS + 1
private const val LATE_MILLIS = SENT_MILLIS + 70

class ShareHolderTest {
    private val member = MemberId("growers")
    private val self = Incarnation(VmId("self"), 1)
    private val home = Incarnation(VmId("home"), 1)
    private val policy = RatePolicy(ratePerSecond = 50.0, burst = 50.0, version = 0)
    private val settings = ShareSettings(answerTimeoutMillis = 1_000)
    private val holder = ShareHolder(member, self, policy, settings).apply {
        setPolicy(policy, RateHome(home, version = 1, hasPredecessor = false), nowMillis = 0)
    }

    private fun grantFor(request: ShareRequest): ShareGrant =
        ShareGrant(
            memberId = member,
            from = home,
            to = self,
            homeVersion = 1,
            number = 1,
            requestNumber = request.number,
            policy = policy,
            rateFraction = 0.0,
            burstFraction = 0.02,
            tokens = 1.0,
            leaseMillis = settings.briefLeaseMillis,
            roomAfterMillis = 0,
        )

    @Test
    fun `a grant that arrives after the end of its lease causes a new request instead of a refusal`() {
        holder.recordArrival(1.0, ARRIVED_MILLIS)
        holder.tryAcquire(1.0, ARRIVED_MILLIS, ARRIVED_MILLIS)
        val request = checkNotNull(holder.dueRequestOrNull(SENT_MILLIS))
        holder.onGrant(grantFor(request), LATE_MILLIS)
        val decision = holder.tryAcquire(1.0, LATE_MILLIS, ARRIVED_MILLIS)
        assertInstanceOf(RateDecision.Pending::class.java, decision)
        assertEquals(1.0, holder.dueRequestOrNull(LATE_MILLIS)?.neededTokens)
    }

    @Test
    fun `a request whose tokens went to a later request stays pending while the pool has more`() {
        holder.recordArrival(1.0, ARRIVED_MILLIS)
        holder.tryAcquire(1.0, ARRIVED_MILLIS, ARRIVED_MILLIS)
        val request = checkNotNull(holder.dueRequestOrNull(SENT_MILLIS))
        val grantedMillis = SENT_MILLIS + 5
        holder.onGrant(grantFor(request), grantedMillis)
        assertEquals(RateDecision.Admitted, holder.tryAcquire(1.0, grantedMillis, grantedMillis))
        val decision = holder.tryAcquire(1.0, grantedMillis + 1, ARRIVED_MILLIS)
        assertInstanceOf(RateDecision.Pending::class.java, decision)
    }

    @Test
    fun `a request is refused at once when the pool is empty`() {
        holder.recordArrival(1.0, ARRIVED_MILLIS)
        holder.tryAcquire(1.0, ARRIVED_MILLIS, ARRIVED_MILLIS)
        val request = checkNotNull(holder.dueRequestOrNull(SENT_MILLIS))
        val emptyPoolGrant = grantFor(request).copy(tokens = 0.0, burstFraction = 0.0, roomAfterMillis = 20)
        holder.onGrant(emptyPoolGrant, SENT_MILLIS + 5)
        val decision = holder.tryAcquire(1.0, SENT_MILLIS + 6, ARRIVED_MILLIS)
        assertInstanceOf(RateDecision.Refused::class.java, decision)
    }
}
