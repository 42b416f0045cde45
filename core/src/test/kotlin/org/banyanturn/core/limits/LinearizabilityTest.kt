package org.banyanturn.core.limits

import org.banyanturn.core.Incarnation
import org.banyanturn.core.MemberId
import org.banyanturn.core.VmId
import org.banyanturn.core.ZoneId
import org.banyanturn.core.admission.RetryBudget
import org.banyanturn.core.queueing.FairQueue
import org.banyanturn.core.queueing.QueuedRequest
import org.banyanturn.core.state.CreateMember
import org.banyanturn.core.state.FleetState
import org.banyanturn.core.state.JoinRouter
import org.banyanturn.core.state.LogEntry
import org.banyanturn.core.state.encodeToPayload
import org.banyanturn.core.state.foldRecord
import org.jetbrains.lincheck.datastructures.ModelCheckingOptions
import org.jetbrains.lincheck.datastructures.Operation
import org.junit.jupiter.api.Test

private const val NOW_MILLIS = 10_000L
private val member = MemberId("growers")

private fun options(): ModelCheckingOptions =
    ModelCheckingOptions()
        .iterations(8)
        .invocationsPerIteration(100)
        .threads(2)
        .actorsPerThread(2)

private fun stateWith(vararg incarnations: Incarnation): FleetState {
    val joins = incarnations.map { JoinRouter(it, ZoneId("zone"), "127.0.0.1:1") }
    val changes = joins + CreateMember(member, ratePerSecond = 1_000.0, burst = 3.0)
    return changes.foldIndexed(FleetState()) { offset, state, change ->
        state.foldRecord(offset.toLong(), LogEntry("r$offset", "test", change).encodeToPayload())
    }
}

class RateLimiterOperations {
    private val self = Incarnation(VmId("vm0"), 1)
    private val peer = Incarnation(VmId("vm1"), 1)
    private val state = stateWith(self, peer)
    private val limiter = RateLimiter(self).apply { onPolicy(state, 0) }
    private val homeVersion = state.rateHomes.values.first { it.incarnation == self }.version

    @Operation
    fun acquire(): Boolean = limiter.tryAcquire(member, 1.0, NOW_MILLIS) == RateDecision.Admitted

    @Operation
    fun tick(): Int = limiter.tick(NOW_MILLIS).size

    @Operation
    fun answer(): Double? =
        limiter.answerOrNull(
            ShareRequest(member, peer, self, homeVersion, 1, 0, 1.0, 2.0, 0.0, 0.0, 0.0, 0.0),
            NOW_MILLIS,
        )?.tokens
}

class FairQueueOperations {
    private val queue = FairQueue()

    private fun request(id: Int): QueuedRequest =
        QueuedRequest("r$id", MemberId("member${id % 2}"), cost = 1.0, deadlineMillis = 100L + id)

    @Operation
    fun offer(id: Int): Boolean = queue.offer(request(id.mod(4)))

    @Operation
    fun poll(): String? = queue.pollOrNull(nowMillis = 0)?.requestId

    @Operation
    fun remove(id: Int): Boolean = queue.removeOrNull("r${id.mod(4)}") != null
}

class RetryBudgetOperations {
    private val budget = RetryBudget(retriesPerAttempt = 0.5, maxSavedRetries = 2.0)

    @Operation
    fun attempt(): Unit = budget.recordFirstAttempt(member)

    @Operation
    fun retry(): Boolean = budget.tryRetry(member)
}

class LinearizabilityTest {
    @Test
    fun `the limiter is linearizable`(): Unit = options().check(RateLimiterOperations::class)

    @Test
    fun `the queue is linearizable`(): Unit = options().check(FairQueueOperations::class)

    @Test
    fun `the retry budget is linearizable`(): Unit = options().check(RetryBudgetOperations::class)
}
