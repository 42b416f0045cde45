package org.banyanturn.measure

import org.banyanturn.core.MemberId
import org.banyanturn.core.limits.RateDecision
import org.banyanturn.core.limits.RateLimiter
import org.banyanturn.core.limits.ShareGrant
import org.banyanturn.core.limits.ShareRequest

private const val MESSAGE_OVERHEAD_BYTES = 90
private const val SHARE_REQUEST_BYTES = 110
private const val SHARE_GRANT_BYTES = 110
private const val ADMISSION_BYTES = 30
private const val ANSWER_TIMEOUT_MILLIS = 100.0
private const val TICK_MILLIS = 5.0
private const val LOG_READ_MILLIS = 100.0

/** A way to count a member's rate over all VMs. */
internal interface RateCounting {
    /** Decides on a request of [member] at [vm] and then calls [decided] with whether it is admitted. */
    fun decide(vm: Int, member: Int, decided: (Boolean) -> Unit)

    /** The platform's list says that [vm] is gone. */
    fun onGone(vm: Int) = Unit

    /** [vm] has started again, empty. */
    fun onRestart(vm: Int) = Unit
}

/** Gives every VM the same part of every member's rate and burst. */
internal class EqualSplit(private val vms: EntryVms, private val members: List<MemberTraffic>) : RateCounting {
    private val buckets = List(vms.count) { freshBuckets(isFull = true) }.toMutableList()

    private fun freshBuckets(isFull: Boolean): List<TokenBucket> =
        members.map {
            val burst = it.burst / vms.count
            TokenBucket(it.ratePerSecond / vms.count, burst, if (isFull) burst else 0.0)
        }

    override fun decide(vm: Int, member: Int, decided: (Boolean) -> Unit): Unit =
        decided(buckets[vm][member].tryTake(vms.time.nowMicros / 1_000.0))

    override fun onRestart(vm: Int) {
        buckets[vm] = freshBuckets(isFull = false)
    }
}

/** Asks the member's one home VM about every request. */
internal class OneHome(private val vms: EntryVms, private val members: List<MemberTraffic>) : RateCounting {
    private val records = FleetRecords(vms, members)
    private val buckets = members.map { TokenBucket(it.ratePerSecond, it.burst, it.burst) }.toMutableList()
    private val homeVersions = LongArray(members.size)

    init {
        repeat(vms.count) { records.release(it, records.partitionsToRelease(it)) }
        members.indices.forEach { homeVersions[it] = records.homeOf(it).version }
    }

    override fun decide(vm: Int, member: Int, decided: (Boolean) -> Unit) {
        val home = records.homeOf(member).incarnation.vm
        if (home == vm) return decided(takeFrom(member))
        var isDecided = false
        val decideOnce = { isAdmitted: Boolean ->
            if (!isDecided) {
                isDecided = true
                decided(isAdmitted)
            }
        }
        vms.send(vm, home, MESSAGE_OVERHEAD_BYTES + ADMISSION_BYTES) {
            val isAdmitted = takeFrom(member)
            vms.send(home, vm, MESSAGE_OVERHEAD_BYTES + ADMISSION_BYTES) { decideOnce(isAdmitted) }
        }
        vms.time.after(ANSWER_TIMEOUT_MILLIS) { decideOnce(false) }
    }

    /** Takes one unit from the home's bucket, which starts empty at a new home. */
    private fun takeFrom(member: Int): Boolean {
        val version = records.homeOf(member).version
        if (version != homeVersions[member]) {
            homeVersions[member] = version
            buckets[member] = TokenBucket(members[member].ratePerSecond, members[member].burst, tokens = 0.0)
        }
        return buckets[member].tryTake(vms.time.nowMicros / 1_000.0)
    }

    override fun onGone(vm: Int): Unit = records.leave(vm)

    override fun onRestart(vm: Int): Unit = records.restart(vm)
}

/** Leases parts of each member's rate and burst from its home to the VMs where its requests arrive. */
internal class MovingShares(private val vms: EntryVms, members: List<MemberTraffic>) : RateCounting {
    private class Waiting(val member: Int, val arrivedAtMillis: Long, val decided: (Boolean) -> Unit)

    private val memberIds = members.map { MemberId(it.name) }
    private val records = FleetRecords(vms, members)
    private val limiters = MutableList(vms.count) { RateLimiter(records.incarnationOf(it)) }
    private val waiting = List(vms.count) { ArrayList<Waiting>() }

    init {
        vms.time.every(TICK_MILLIS) { upVms().forEach(::sendDue) }
        vms.time.every(LOG_READ_MILLIS) { upVms().filterNot(vms::isCutOff).forEach(::readLog) }
    }

    private fun upVms(): List<Int> = (0 until vms.count).filter(vms::isUp)

    private fun readLog(vm: Int) {
        limiters[vm].onPolicy(records.state, vms.time.nowMillis)
        val partitions = records.partitionsToRelease(vm)
        if (partitions.isEmpty()) return
        limiters[vm].stopGranting(partitions)
        records.release(vm, partitions)
    }

    override fun decide(vm: Int, member: Int, decided: (Boolean) -> Unit) {
        val request = Waiting(member, vms.time.nowMillis, decided)
        if (tryDecide(vm, request)) return
        waiting[vm] += request
        sendDue(vm)
        vms.time.after(ANSWER_TIMEOUT_MILLIS) { if (waiting[vm].remove(request)) check(tryDecide(vm, request)) }
    }

    private fun tryDecide(vm: Int, request: Waiting): Boolean {
        val now = vms.time.nowMillis
        val decision = limiters[vm].tryAcquire(memberIds[request.member], 1.0, now, request.arrivedAtMillis)
        if (decision is RateDecision.Pending) return false
        request.decided(decision == RateDecision.Admitted)
        return true
    }

    private fun sendDue(vm: Int): Unit =
        limiters[vm].tick(vms.time.nowMillis).forEach { request ->
            val home = request.to.vm
            vms.send(vm, home, MESSAGE_OVERHEAD_BYTES + SHARE_REQUEST_BYTES) { answer(vm, home, request) }
        }

    private fun answer(vm: Int, home: Int, request: ShareRequest) {
        val grant = limiters[home].answerOrNull(request, vms.time.nowMillis) ?: return
        vms.send(home, vm, MESSAGE_OVERHEAD_BYTES + SHARE_GRANT_BYTES) { receive(vm, grant) }
    }

    private fun receive(vm: Int, grant: ShareGrant) {
        limiters[vm].onGrant(grant, vms.time.nowMillis)
        waiting[vm].removeIf { tryDecide(vm, it) }
    }

    override fun onGone(vm: Int): Unit = records.leave(vm)

    override fun onRestart(vm: Int) {
        records.restart(vm)
        limiters[vm] = RateLimiter(records.incarnationOf(vm))
        waiting[vm].clear()
    }
}
