package org.banyanturn.core.limits

import org.banyanturn.core.Incarnation
import org.banyanturn.core.MemberId
import org.banyanturn.core.state.FleetState
import org.banyanturn.core.state.Member
import org.banyanturn.core.state.RateHome
import org.banyanturn.core.state.rateHomeOrNull
import org.banyanturn.core.state.ratePartitionOf

/** The [RateLimiter] of one VM: the holders of its shares, and the pools of the members whose home it is. */
internal class SharedRateLimiter(
    private val self: Incarnation,
    private val settings: ShareSettings,
) : RateLimiter {
    private val lock = Any()
    private val holders = HashMap<MemberId, ShareHolder>()
    private val activeHolders = LinkedHashSet<ShareHolder>()
    private val pools = HashMap<MemberId, SharePool>()
    private val firstSeenMillisByHomeVersion = HashMap<Long, Long>()
    private val stoppedHomeVersionByPartition = HashMap<Int, Long>()
    private val outbox = ArrayList<ShareRequest>()
    private var state = FleetState()

    override fun tryAcquire(
        memberId: MemberId,
        cost: Double,
        nowMillis: Long,
        arrivedAtMillis: Long,
    ): RateDecision {
        require(cost >= 0 && cost.isFinite()) { "cost must be finite and not negative, was $cost" }
        return synchronized(lock) {
            val holder = holders[memberId] ?: return RateDecision.Impossible
            if (nowMillis == arrivedAtMillis) holder.recordArrival(cost, nowMillis)
            activeHolders += holder
            val decision = holder.tryAcquire(cost, nowMillis, arrivedAtMillis)
            if (decision !is RateDecision.Pending || memberId !in pools) return decision
            sendDue(holder, nowMillis)
            holder.tryAcquire(cost, nowMillis, arrivedAtMillis)
        }
    }

    override fun tick(nowMillis: Long): List<ShareRequest> =
        synchronized(lock) {
            activeHolders.forEach { sendDue(it, nowMillis) }
            activeHolders.removeIf { it.isInactive(nowMillis) }
            outbox.toList().also { outbox.clear() }
        }

    private fun sendDue(holder: ShareHolder, nowMillis: Long) {
        val request = holder.dueRequestOrNull(nowMillis) ?: return
        if (request.to == self) {
            answerOrNull(request, nowMillis)?.let { holder.onGrant(it, nowMillis) }
        } else {
            outbox += request
        }
    }

    override fun answerOrNull(request: ShareRequest, nowMillis: Long): ShareGrant? =
        synchronized(lock) {
            val pool = pools[request.memberId] ?: return null
            val isForThisHome = request.to == self && request.homeVersion == pool.homeVersion
            if (!isForThisHome || hasEnded(request.from)) return null
            pool.answerOrNull(request, nowMillis)
        }

    override fun onGrant(grant: ShareGrant, nowMillis: Long): Unit =
        synchronized(lock) {
            if (grant.to == self) holders[grant.memberId]?.onGrant(grant, nowMillis)
        }

    override fun onPolicy(state: FleetState, nowMillis: Long): Unit =
        synchronized(lock) {
            if (state.nextOffset <= this.state.nextOffset) return
            this.state = state
            state.members.values.forEach { updateMember(it, nowMillis) }
            pools.values.forEach { it.removeEnded(nowMillis, ::hasEnded) }
        }

    private fun updateMember(member: Member, nowMillis: Long) {
        val policy = RatePolicy(member.ratePerSecond, member.burst, member.version)
        val home = state.rateHomeOrNull(member.memberId)
        val holder = holders.getOrPut(member.memberId) { ShareHolder(member.memberId, self, policy, settings) }
        holder.setPolicy(policy, home, nowMillis)
        if (home != null && isGranting(member.memberId, home)) {
            updatePool(member.memberId, home, policy, nowMillis)
        } else {
            pools.remove(member.memberId)
        }
    }

    private fun isGranting(memberId: MemberId, home: RateHome): Boolean =
        home.incarnation == self && stoppedHomeVersionByPartition[ratePartitionOf(memberId)] != home.version

    private fun updatePool(memberId: MemberId, home: RateHome, policy: RatePolicy, nowMillis: Long) {
        val current = pools[memberId]
        if (current?.homeVersion == home.version) {
            current.setPolicy(policy, nowMillis)
        } else {
            pools[memberId] = SharePool(home.version, startMillis(home, nowMillis), policy, settings)
        }
    }

    private fun startMillis(home: RateHome, nowMillis: Long): Long {
        val firstSeenMillis = firstSeenMillisByHomeVersion.getOrPut(home.version) { nowMillis }
        val waitMillis = if (home.hasPredecessor) settings.leaseMillis + settings.leaseMarginMillis else 0
        return firstSeenMillis + waitMillis
    }

    /**
     * Returns whether [incarnation] has ended.
     *
     * An incarnation that has not joined yet counts as ended; its requests are answered once its join record is read.
     */
    private fun hasEnded(incarnation: Incarnation): Boolean {
        val router = state.routers[incarnation.vmId] ?: return true
        return router.incarnation != incarnation || router.hasLeft
    }

    override fun stopGranting(partitions: Collection<Int>): Unit =
        synchronized(lock) {
            partitions.forEach { partition ->
                state.rateHomes[partition]?.let { stoppedHomeVersionByPartition[partition] = it.version }
            }
            pools.keys.removeIf { ratePartitionOf(it) in partitions }
        }
}
