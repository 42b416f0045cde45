package org.banyanturn.core.limits

import org.banyanturn.core.Incarnation
import org.banyanturn.core.MemberId
import org.banyanturn.core.VmId
import org.banyanturn.core.ZoneId
import org.banyanturn.core.state.Change
import org.banyanturn.core.state.CreateMember
import org.banyanturn.core.state.FleetState
import org.banyanturn.core.state.JoinRouter
import org.banyanturn.core.state.LeaveRouter
import org.banyanturn.core.state.LogEntry
import org.banyanturn.core.state.encodeToPayload
import org.banyanturn.core.state.foldRecord
import java.util.PriorityQueue
import kotlin.random.Random

/** Probabilities, from 0 to 1, of losing and of duplicating a message between two VMs, and its maximum delay. */
internal class NetworkFaults(
    val loss: Double = 0.0,
    val duplication: Double = 0.0,
    val maxDelayMillis: Int = 5,
)

/** Several limiters in virtual time, connected by a network and a log with injected faults. */
internal class ShareFleet(
    vmCount: Int,
    private val random: Random,
    private val faults: NetworkFaults,
    private val settings: ShareSettings = ShareSettings(),
) {
    class LimiterVm(val incarnation: Incarnation, var limiter: RateLimiter, var pausedUntilMillis: Long = 0) {
        var isCutOff = false
        var isAlive = true
    }

    private class Delivery(val atMillis: Long, val order: Long, val message: ShareMessage)

    private val deliveries = PriorityQueue<Delivery>(compareBy({ it.atMillis }, { it.order }))
    private var messageCount = 0L
    private var recordCount = 0L
    private val states = ArrayList<Pair<Long, FleetState>>()
    var state = FleetState()
        private set
    var nowMillis = 1_000L
        private set
    val vms = ArrayList<LimiterVm>()
    val memberId = MemberId("growers")

    init {
        repeat(vmCount) { start(VmId("vm$it"), number = 1) }
    }

    fun create(ratePerSecond: Double, burst: Double): Unit = append(CreateMember(memberId, ratePerSecond, burst))

    fun append(change: Change) {
        state = state.foldRecord(state.nextOffset, LogEntry("r${recordCount++}", "test", change).encodeToPayload())
        states += nowMillis to state
    }

    private fun start(vmId: VmId, number: Long) {
        val incarnation = Incarnation(vmId, number)
        vms += LimiterVm(incarnation, RateLimiter(incarnation, settings))
        append(JoinRouter(incarnation, ZoneId("zone"), "127.0.0.1:1"))
    }

    fun stop(vm: LimiterVm) {
        vm.isAlive = false
        vms -= vm
    }

    fun restart(vm: LimiterVm) {
        stop(vm)
        start(vm.incarnation.vmId, vm.incarnation.number + 1)
    }

    fun leave(vm: LimiterVm) {
        stop(vm)
        append(LeaveRouter(vm.incarnation))
    }

    /** Advances time by one millisecond: delivers messages, and each running VM reads the log and ticks. */
    fun step(logLagMillis: Long = 0) {
        nowMillis++
        while (deliveries.isNotEmpty() && deliveries.peek().atMillis <= nowMillis) deliver(deliveries.poll().message)
        val running = vms.filter { nowMillis >= it.pausedUntilMillis }
        running.forEach { vm ->
            if (!vm.isCutOff) readLog(vm, logLagMillis)
            vm.limiter.tick(nowMillis).forEach { send(it) }
        }
    }

    private fun readLog(vm: LimiterVm, lagMillis: Long) {
        val visible = states.lastOrNull { it.first + lagMillis <= nowMillis } ?: return
        vm.limiter.onPolicy(visible.second, nowMillis)
    }

    private fun send(message: ShareMessage) {
        if (random.nextDouble() < faults.loss) return
        val copies = if (random.nextDouble() < faults.duplication) 2 else 1
        repeat(copies) {
            val atMillis = nowMillis + 1 + random.nextInt(faults.maxDelayMillis)
            deliveries += Delivery(atMillis, messageCount++, message)
        }
    }

    private fun deliver(message: ShareMessage) {
        val sender = vms.firstOrNull { it.incarnation == message.from }
        val receiver = vms.firstOrNull { it.incarnation == message.to } ?: return
        if (sender?.isCutOff == true || receiver.isCutOff) return
        if (nowMillis < receiver.pausedUntilMillis) {
            deliveries += Delivery(receiver.pausedUntilMillis, messageCount++, message)
            return
        }
        when (message) {
            is ShareRequest -> receiver.limiter.answerOrNull(message, nowMillis)?.let { send(it) }
            is ShareGrant -> receiver.limiter.onGrant(message, nowMillis)
        }
    }
}

/** A single token bucket that sees every admitted request; the reference for the limiters under test. */
internal class SingleBucket(
    var ratePerSecond: Double,
    var burst: Double,
    private var atMillis: Long,
    private var tokens: Double = burst,
) {

    /** Debits [cost] and returns by how much it exceeds the tokens in the bucket. */
    fun excessAfter(cost: Double, nowMillis: Long): Double {
        advance(nowMillis)
        tokens -= cost
        return -tokens
    }

    fun tryAcquire(cost: Double, nowMillis: Long): Boolean {
        advance(nowMillis)
        if (tokens < cost) return false
        tokens -= cost
        return true
    }

    fun advance(nowMillis: Long) {
        tokens = minOf(burst, tokens + ratePerSecond * (nowMillis - atMillis) / 1_000.0)
        atMillis = nowMillis
    }
}
