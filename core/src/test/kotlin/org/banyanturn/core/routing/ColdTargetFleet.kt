package org.banyanturn.core.routing

import org.banyanturn.core.TargetId
import java.util.PriorityQueue
import kotlin.random.Random

private const val STEP_MILLIS = 2L
private const val TTL_MILLIS = 2_000L
private const val JOIN_MILLIS = 500L
private const val TAKEOVER_MARGIN_MILLIS = 300L

/**
 * Simulates VMs of which each always wants to send a request to one cold target, on virtual time.
 *
 * The store assigns the target to an owner. An owner that can't reach the store acts as one until its lease expires,
 * and other VMs keep to the owner that they heard of last.
 */
internal class ColdTargetFleet(
    vmCount: Int,
    private val rate: ColdPermitRate,
    private val settings: ColdPermitSettings,
    seed: Int,
    private val hasFaults: Boolean,
) {
    private val random = Random(seed)
    private val target = TargetId("i-1")
    private val vms = Array(vmCount) { Vm(it) }
    private val messages = PriorityQueue<Message>(compareBy { it.atMillis })
    private val arrivalsAtMillis = ArrayList<Long>()
    private var nowMillis = 0L
    private var assigned = 0
    private var assignedSeenMillis = 0L
    private var asks = 0

    /** How often the store has assigned the target to another VM. */
    var ownerChanges = 0
        private set

    /** The mean number of requests for permits that were sent per second. */
    val asksPerSecond: Double
        get() = asks * 1_000.0 / nowMillis

    private class Message(val atMillis: Long, val to: Vm, val lifeNumber: Int, val onArrival: (Vm) -> Unit)

    private inner class Vm(val number: Int) {
        var lifeNumber = 0
        var holder = ColdPermitHolder(settings)
        var granter = ColdPermitGranter(settings)
        var frozenUntilMillis = 0L
        var isCutOffFromStore = false
        var side = 0
        var ownerSeen: Int? = null
        var ownedSinceMillis: Long? = null
        var leaseEndMillis = 0L
        var nextJoinMillis = random.nextLong(JOIN_MILLIS)
        var permitInUse: ColdPermit? = null

        val isFrozen: Boolean
            get() = nowMillis < frozenUntilMillis

        fun restart() {
            lifeNumber++
            holder = ColdPermitHolder(settings)
            granter = ColdPermitGranter(settings)
            ownerSeen = null
            ownedSinceMillis = null
            leaseEndMillis = 0
            permitInUse = null
        }

        fun join() {
            nextJoinMillis = nowMillis + JOIN_MILLIS
            if (isCutOffFromStore) return
            ownerSeen = assigned
            if (assigned != number) {
                ownedSinceMillis = null
                return
            }
            assignedSeenMillis = nowMillis
            if (nowMillis >= leaseEndMillis || ownedSinceMillis == null) ownedSinceMillis = nowMillis
            leaseEndMillis = nowMillis + TTL_MILLIS
        }

        /** Sends with a permit that was taken in an earlier step, so that a pause may fall in between. */
        fun step() {
            if (nowMillis >= nextJoinMillis) join()
            permitInUse?.let { if (it.isUsable(nowMillis)) arrivalsAtMillis += nowMillis + random.nextLong(1, 20) }
            permitInUse = holder.takeOrNull(target, nowMillis)
            val owner = ownerSeen?.let { vms[it] } ?: return
            val askNumber = holder.askOrNull(target, nowMillis) ?: return
            asks++
            send(this, owner) { it.onAsk(this, askNumber) }
        }

        private fun onAsk(asker: Vm, askNumber: Long) {
            val sinceMillis = ownedSinceMillis?.takeIf { nowMillis < leaseEndMillis } ?: return
            val grantsFromMillis = sinceMillis + TTL_MILLIS + settings.lifetimeMillis + TAKEOVER_MARGIN_MILLIS
            val answer = granter.request(rate, grantsFromMillis, nowMillis)
            send(this, asker) { it.holder.onAnswer(target, askNumber, answer, nowMillis) }
        }
    }

    private fun send(from: Vm, to: Vm, onArrival: (Vm) -> Unit) {
        if (hasFaults && (from.side != to.side || random.nextInt(20) == 0)) return
        val isSlow = hasFaults && random.nextInt(30) == 0
        val delayMillis = if (from === to) 0 else random.nextLong(1, if (isSlow) 900 else 12)
        messages += Message(nowMillis + delayMillis, to, to.lifeNumber, onArrival)
    }

    fun runUntil(untilMillis: Long) {
        while (nowMillis < untilMillis) {
            nowMillis += STEP_MILLIS
            reassignIfSilent()
            if (hasFaults) causeFaults()
            deliver()
            vms.forEach { if (!it.isFrozen) it.step() }
        }
    }

    private fun reassignIfSilent() {
        if (nowMillis - assignedSeenMillis > TTL_MILLIS) assign(random.nextInt(vms.size))
    }

    private fun assign(number: Int) {
        if (number != assigned) ownerChanges++
        assigned = number
        assignedSeenMillis = nowMillis
    }

    private fun causeFaults() {
        val victim = if (random.nextInt(3) == 0) vms[assigned] else vms[random.nextInt(vms.size)]
        when (random.nextInt(FAULT_RARITY)) {
            0 -> victim.frozenUntilMillis = nowMillis + random.nextLong(4_000)

            1 -> victim.restart()

            2 -> victim.isCutOffFromStore = !victim.isCutOffFromStore

            3 -> assign(random.nextInt(vms.size))

            4 -> vms.forEach { it.side = random.nextInt(2) }

            5, 6, 7 -> vms.forEach { vm ->
                vm.side = 0
                vm.isCutOffFromStore = false
            }
        }
    }

    private fun deliver() {
        val delayed = ArrayList<Message>()
        while (messages.isNotEmpty() && messages.peek().atMillis <= nowMillis) {
            val message = messages.poll()
            when {
                message.to.lifeNumber != message.lifeNumber -> Unit
                message.to.isFrozen -> delayed += message
                else -> message.onArrival(message.to)
            }
        }
        messages += delayed
    }

    /** Returns the number of requests that arrived from [fromMillis] until [untilMillis]. */
    fun arrivalsBetween(fromMillis: Long, untilMillis: Long): Int =
        arrivalsAtMillis.count { it in fromMillis until untilMillis }

    /** Returns the largest number of requests that arrived within any one second. */
    fun maxInWindow(): Int {
        val sorted = arrivalsAtMillis.sorted()
        var first = 0
        return sorted.withIndex().maxOfOrNull { (index, atMillis) ->
            while (sorted[first] <= atMillis - 1_000) first++
            index - first + 1
        } ?: 0
    }

    private companion object {
        /** Eight of so many steps cause a fault, on average one each second. */
        const val FAULT_RARITY = 4_000
    }
}
