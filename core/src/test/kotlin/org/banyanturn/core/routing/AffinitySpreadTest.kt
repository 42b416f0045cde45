package org.banyanturn.core.routing

import org.banyanturn.core.mixedHash
import org.banyanturn.core.stableHash
import org.junit.jupiter.api.Assertions.assertEquals
import org.junit.jupiter.api.Assertions.assertTrue
import org.junit.jupiter.api.Test
import java.util.PriorityQueue
import kotlin.math.ln
import kotlin.random.Random

private const val SEED = 20_261_204
private const val VMS = 95
private const val TARGETS = 20
private const val SLOTS = 12
private const val HOLD_MILLIS = 1_500L
private const val REQUESTS_PER_SECOND = 45.0
private const val KEYS = 4
private const val RUN_MILLIS = 30_000L

/** The load uses half of the slots on average; the most frequent key alone needs the slots of three targets. */
class AffinitySpreadTest {
    private fun refusedFractionWith(spreadOf: (vm: AffinitySpread, key: String, nowMillis: Long) -> Int): Double {
        val random = Random(SEED)
        val vms = List(VMS) { AffinitySpread() }
        val running = IntArray(TARGETS)
        val ends = PriorityQueue<Pair<Long, Int>>(compareBy { it.first })
        var nowMillis = 0.0
        var requests = 0
        var refused = 0
        while (nowMillis < RUN_MILLIS) {
            nowMillis -= ln(1 - random.nextDouble()) * 1_000 / REQUESTS_PER_SECOND
            val atMillis = nowMillis.toLong()
            while (ends.isNotEmpty() && ends.peek().first <= atMillis) running[ends.poll().second]--
            val key = "prompt-${(KEYS * random.nextDouble() * random.nextDouble()).toInt()}"
            val vm = vms[random.nextInt(VMS)]
            vm.record(key, atMillis)
            val order = (0 until TARGETS).sortedByDescending { mixedHash(stableHash(key), stableHash("i-$it")) }
            val target = order[random.nextInt(spreadOf(vm, key, atMillis).coerceAtMost(TARGETS))]
            requests++
            if (running[target] == SLOTS) {
                refused++
            } else {
                running[target]++
                ends += atMillis + HOLD_MILLIS to target
            }
        }
        return refused.toDouble() / requests
    }

    @Test
    fun `few requests with a frequent prefix are refused although no VM knows the load of the targets`() {
        val spread = refusedFractionWith { vm, key, now -> vm.targetCountFor(key, VMS, HOLD_MILLIS, SLOTS, now) }
        val unspread = refusedFractionWith { _, _, _ -> 1 }
        assertTrue(spread < 0.05, "refused: $spread")
        assertTrue(unspread > 0.3, "refused without spreading: $unspread")
    }

    @Test
    fun `requests with a rare prefix are not spread`() {
        val spread = AffinitySpread()
        repeat(10) { spread.record("rare", it * 20_000L) }
        assertEquals(1, spread.targetCountFor("rare", VMS, HOLD_MILLIS, SLOTS, nowMillis = 200_000))
        assertEquals(1, spread.targetCountFor("unknown", VMS, HOLD_MILLIS, SLOTS, nowMillis = 200_000))
    }
}
