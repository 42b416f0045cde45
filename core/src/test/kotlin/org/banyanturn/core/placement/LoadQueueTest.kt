package org.banyanturn.core.placement

import org.banyanturn.core.AdapterId
import org.banyanturn.core.MemberId
import org.banyanturn.core.ModelId
import org.junit.jupiter.api.Assertions.assertEquals
import org.junit.jupiter.api.Test

class LoadQueueTest {
    private val small = MemberId("small")
    private val large = MemberId("large")

    private fun request(
        id: String,
        model: String,
        deadlineMillis: Long,
        memberId: MemberId = small,
        lane: LoadLane = LoadLane.STORE,
    ) = LoadRequest(id, key(model, lane), memberId, deadlineMillis, lane, predictedLoadMillis = 1_000)

    private fun key(model: String, lane: LoadLane = LoadLane.STORE) =
        LoadKey(ModelId(model), if (lane == LoadLane.ADAPTER) AdapterId(model) else null, "1")

    private fun queueOf(requests: List<LoadRequest>, settings: LoadQueueSettings = LoadQueueSettings()): LoadQueue =
        requests.fold(loadQueueOf(settings)) { queue, request -> queue.enqueue(request, 0).queue }

    private fun started(step: LoadQueueStep): List<String> =
        step.decisions.filterIsInstance<LoadDecision.Start>().map { it.load.key.modelId.value }

    @Test
    fun `a burst of requests for one model causes one load that serves all of them`() {
        val step = queueOf(List(20) { request("r$it", "a", 5_000) }).startNext(0)
        assertEquals(listOf("a"), started(step))
        val served = step.queue.finish(key("a"), LoadOutcome.READY, 900).decisions
        assertEquals(20, served.filterIsInstance<LoadDecision.Serve>().size)
    }

    @Test
    fun `loads start by slack with at most four from the store and thirty adapters at once`() {
        val models = List(6) { request("m$it", "m$it", 90_000L - it) }
        val adapters = List(40) { request("a$it", "a$it", 90_000, lane = LoadLane.ADAPTER) }
        val step = queueOf(models + adapters, LoadQueueSettings(maxLeadMillis = 1_000_000)).startNext(0)
        assertEquals(listOf("m5", "m4", "m3", "m2"), started(step).take(4))
        assertEquals(30, started(step).count { it.startsWith("a") })
    }

    @Test
    fun `a request that misses its deadline is refused at once with the predicted wait`() {
        val busy = queueOf(List(4) { request("r$it", "m$it", 9_000) }).startNext(0).queue
        val step = busy.enqueue(request("late", "b", 1_500), 100)
        assertEquals(listOf(LoadDecision.Refuse("late", key("b"), 1_900)), step.decisions)
        val later = step.queue.finish(key("m0"), LoadOutcome.READY, 1_000).queue.startNext(1_000)
        assertEquals(listOf("b"), started(later))
    }

    @Test
    fun `a waiting request is refused as soon as running loads are late`() {
        val busy = queueOf(List(5) { request("r$it", "m$it", 2_000L + it) }).startNext(0).queue
        val refused = busy.startNext(1_200).decisions.filterIsInstance<LoadDecision.Refuse>()
        assertEquals(listOf("r4"), refused.map { it.requestId })
    }

    @Test
    fun `a member with many urgent loads does not starve another member`() {
        val flood = List(12) { request("f$it", "f$it", 60_000L + it, large) }
        var queue = queueOf(flood + request("one", "one", 90_000, small), LoadQueueSettings(maxLeadMillis = 2_000))
        val order = mutableListOf<String>()
        var nowMillis = 0L
        while (queue.waiting.isNotEmpty()) {
            val step = queue.startNext(nowMillis)
            order += started(step)
            nowMillis += 1_000
            queue =
                step.queue.running.fold(step.queue) { q, load ->
                    q.finish(load.key, LoadOutcome.READY, nowMillis).queue
                }
        }
        assertEquals(3, order.indexOf("one"))
    }

    @Test
    fun `a failed load is queued again and abandoned after three attempts`() {
        var step = queueOf(listOf(request("r", "a", 60_000))).startNext(0)
        repeat(2) {
            step = step.queue.finish(key("a"), LoadOutcome.FAILED, 100).queue.startNext(100)
            assertEquals(listOf("a"), started(step))
        }
        val last = step.queue.finish(key("a"), LoadOutcome.FAILED, 200)
        assertEquals(listOf(LoadDecision.Refuse("r", key("a"), 3_000)), last.decisions)
    }
}
