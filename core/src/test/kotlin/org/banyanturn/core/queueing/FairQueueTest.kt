package org.banyanturn.core.queueing

import io.kotest.common.ExperimentalKotest
import io.kotest.property.Arb
import io.kotest.property.PropTestConfig
import io.kotest.property.arbitrary.long
import io.kotest.property.checkAll
import kotlinx.coroutines.test.runTest
import org.banyanturn.core.MemberId
import org.junit.jupiter.api.Assertions.assertEquals
import org.junit.jupiter.api.Assertions.assertFalse
import org.junit.jupiter.api.Assertions.assertNull
import org.junit.jupiter.api.Assertions.assertTrue
import org.junit.jupiter.api.Test
import kotlin.math.abs
import kotlin.random.Random

private const val MAX_COST = 4.0
private const val NEVER = Long.MAX_VALUE

@OptIn(ExperimentalKotest::class)
class FairQueueTest {
    private val seed = 20_260_405L
    private val members = List(4) { MemberId("member$it") }
    private var nextId = 0

    private fun request(
        member: MemberId,
        cost: Double = 1.0,
        deadlineMillis: Long = NEVER,
        priority: PriorityClass = PriorityClass.INTERACTIVE,
    ): QueuedRequest = QueuedRequest("r${nextId++}", member, cost, deadlineMillis, priority)

    /** A reference implementation that scans all queued requests for each decision. */
    private class ReferenceFairQueue {
        private val waiting = ArrayList<QueuedRequest>()
        private val startTags = HashMap<MemberId, Double>()
        private var virtualTime = 0.0

        fun offer(request: QueuedRequest) {
            if (waiting.none { it.memberId == request.memberId }) {
                startTags[request.memberId] = maxOf(startTags[request.memberId] ?: 0.0, virtualTime)
            }
            waiting += request
        }

        fun removeOrNull(requestId: String): QueuedRequest? =
            waiting.firstOrNull { it.requestId == requestId }?.also { waiting -= it }

        fun expire(nowMillis: Long): List<QueuedRequest> =
            waiting.filter { it.deadlineMillis <= nowMillis }.also { waiting -= it.toSet() }

        fun pollOrNull(): QueuedRequest? {
            val flows = waiting.map { it.memberId }.distinct()
            val member = flows.minWithOrNull(compareBy({ startTags.getValue(it) }, { it.value })) ?: return null
            val request = waiting.filter { it.memberId == member }.minBy { it.deadlineMillis }
            waiting -= request
            virtualTime = startTags.getValue(member)
            startTags[member] = virtualTime + request.cost
            return request
        }
    }

    @Test
    fun `the queue serves, expires and removes the same requests as the reference queue in the same order`() =
        runTest {
            println("seed $seed")
            checkAll(PropTestConfig(seed = seed, iterations = 200), Arb.long(0, NEVER)) { scheduleSeed ->
                val random = Random(scheduleSeed)
                val queue = FairQueue()
                val reference = ReferenceFairQueue()
                repeat(300) { step ->
                    val now = step.toLong()
                    assertEquals(reference.expire(now).toSet(), queue.expire(now).toSet()) { "schedule $scheduleSeed" }
                    when (random.nextInt(5)) {
                        0 -> assertEquals(reference.pollOrNull(), queue.pollOrNull(now)) { "schedule $scheduleSeed" }

                        1 -> {
                            val id = "r${nextId - 1 - random.nextInt(20)}"
                            assertEquals(reference.removeOrNull(id), queue.removeOrNull(id))
                        }

                        else -> {
                            val member = members.random(random)
                            val offered = request(member, random.nextDouble(0.1, MAX_COST), now + random.nextLong(400))
                            if (offered.deadlineMillis > now) {
                                reference.offer(offered)
                                queue.offer(offered)
                            }
                        }
                    }
                }
            }
        }

    @Test
    fun `the work of members with queued requests differs by at most that of two requests`() =
        runTest {
            checkAll(PropTestConfig(seed = seed, iterations = 100), Arb.long(0, NEVER)) { scheduleSeed ->
                val random = Random(scheduleSeed)
                val queue = FairQueue()
                val served = HashMap<MemberId, Double>()
                members.forEachIndexed { index, member ->
                    repeat(100 * (1 + 9 * index)) { queue.offer(request(member, random.nextDouble(0.1, MAX_COST))) }
                }
                repeat(150) {
                    val next = checkNotNull(queue.pollOrNull(0))
                    served.merge(next.memberId, next.cost, Double::plus)
                    val costs = members.map { served[it] ?: 0.0 }
                    assertTrue(costs.max() - costs.min() <= 2 * MAX_COST) { "schedule $scheduleSeed: $costs" }
                }
            }
        }

    @Test
    fun `a member gets no credit for idle time`() {
        val queue = FairQueue()
        repeat(50) { queue.offer(request(members[0])) }
        repeat(20) { queue.pollOrNull(0) }
        repeat(50) { queue.offer(request(members[1])) }
        val next = List(20) { queue.pollOrNull(0)?.memberId }
        assertEquals(10, next.count { it == members[1] })
    }

    @Test
    fun `batch requests get their fraction of the work beside interactive ones and all work once those are served`() {
        val queue = FairQueue(batchFraction = 0.1)
        repeat(1_000) { queue.offer(request(members[0])) }
        repeat(200) { queue.offer(request(members[1], priority = PriorityClass.BATCH)) }
        val first = List(500) { checkNotNull(queue.pollOrNull(0)) }
        val batchServed = first.count { it.priority == PriorityClass.BATCH }
        assertTrue(abs(batchServed - 50) <= 2) { "$batchServed of 500" }
        repeat(700) { assertFalse(queue.pollOrNull(0) == null) }
        assertNull(queue.pollOrNull(0))
    }

    @Test
    fun `a request whose deadline is reached is never served and is returned once as expired`() {
        val queue = FairQueue()
        queue.offer(request(members[0], deadlineMillis = 10))
        assertNull(queue.pollOrNull(nowMillis = 10))
        assertEquals(1, queue.expire(nowMillis = 10).size)
        assertEquals(0, queue.expire(nowMillis = 11).size)
    }

    @Test
    fun `the predicted cost ahead is the cost served before the request`() {
        val queue = FairQueue()
        repeat(100) { queue.offer(request(members[0])) }
        repeat(3) { queue.offer(request(members[1], deadlineMillis = 5)) }
        val newcomer = request(members[1], deadlineMillis = 9)
        val predicted = queue.costAhead(newcomer)
        queue.offer(newcomer)
        val served = generateSequence { queue.pollOrNull(0) }.takeWhile { it != newcomer }.sumOf { it.cost }
        assertTrue(abs(served - predicted) <= 1.0) { "served $served, predicted $predicted" }
    }
}
