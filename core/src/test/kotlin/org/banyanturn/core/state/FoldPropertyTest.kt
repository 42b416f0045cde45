package org.banyanturn.core.state

import io.kotest.common.ExperimentalKotest
import io.kotest.property.Arb
import io.kotest.property.PropTestConfig
import io.kotest.property.arbitrary.long
import io.kotest.property.checkAll
import kotlinx.coroutines.test.runTest
import org.junit.jupiter.api.Assertions.assertEquals
import org.junit.jupiter.api.Assertions.assertTrue
import org.junit.jupiter.api.Test
import kotlin.random.Random

private const val SEED = 42L
private const val RECORDS = 250

internal fun FleetState.foldAll(payloads: List<String>, firstOffset: Long = nextOffset): FleetState =
    payloads.foldIndexed(this) { index, state, payload -> state.foldRecord(firstOffset + index, payload) }

@OptIn(ExperimentalKotest::class)
class FoldPropertyTest {
    @Test
    fun `the state equals that of a naive fold after every record`() = runTest {
        val accepted = mutableSetOf<String>()
        val rejections = mutableSetOf<RejectionReason>()
        checkAll(PropTestConfig(seed = SEED, iterations = 300), Arb.long()) { seed ->
            val naive = NaiveFleet()
            var state = FleetState()
            randomPayloads(Random(seed), RECORDS).forEachIndexed { index, payload ->
                naive.fold(index.toLong(), payload)
                state = state.foldRecord(index.toLong(), payload)
                assertSameState(naive, state, "seed $seed offset $index")
                val recordId = decodeLogEntryOrNull(payload)?.recordId
                when (val verdict = recordId?.let(state.verdicts::get)) {
                    is Verdict.Accepted -> accepted += decodeLogEntryOrNull(payload)!!.change::class.simpleName!!
                    is Verdict.Rejected -> rejections += verdict.reason
                    null -> Unit
                }
            }
        }
        assertEquals(RejectionReason.entries.toSet(), rejections)
        assertEquals(Change::class.sealedSubclasses.mapNotNull { it.simpleName }.toSet(), accepted)
    }

    @Test
    fun `reserved memory stays within the engine and new claims stay within the copy limit`() = runTest {
        checkAll(PropTestConfig(seed = SEED, iterations = 100), Arb.long()) { seed ->
            var state = FleetState()
            randomPayloads(Random(seed), RECORDS).forEachIndexed { index, payload ->
                val before = state
                state = state.foldRecord(index.toLong(), payload)
                for (target in state.targets.values) {
                    assertTrue(state.reservedMebibytesOn(target.targetId) <= target.memoryMebibytes)
                }
                for (model in state.models.values) {
                    val claimed = state.claimedCopiesOf(model.modelId).size
                    val claimedBefore = before.claimedCopiesOf(model.modelId).size
                    assertTrue(claimed <= claimedBefore || claimed <= model.copies)
                }
            }
        }
    }

    @Test
    fun `late, repeated and overlapping reads give the same state and never lower the offset`() = runTest {
        checkAll(PropTestConfig(seed = SEED, iterations = 100), Arb.long()) { seed ->
            val random = Random(seed)
            val payloads = randomPayloads(random, RECORDS)
            val expected = FleetState().foldAll(payloads)
            var state = FleetState()
            while (state.nextOffset < payloads.size) {
                val from = random.nextLong(state.nextOffset + 1)
                val until = random.nextLong(from, payloads.size.toLong() + 1)
                val before = state.nextOffset
                for (offset in from until until) state = state.foldRecord(offset, payloads[offset.toInt()])
                assertTrue(state.nextOffset >= before)
            }
            assertEquals(expected, state)
        }
    }

    private fun assertSameState(naive: NaiveFleet, state: FleetState, context: String) {
        assertEquals(naive.verdicts, state.verdicts, context)
        assertEquals(naive.members, state.members, context)
        assertEquals(naive.keys, state.keys, context)
        assertEquals(naive.models, state.models, context)
        assertEquals(naive.adapters, state.adapters, context)
        assertEquals(naive.targets, state.targets, context)
        assertEquals(naive.routes, state.routes, context)
        assertEquals(naive.vms, state.vms, context)
        assertEquals(naive.routers, state.routers, context)
        assertEquals(naive.owners, state.owners, context)
        assertEquals(naive.copies, state.copies, context)
        assertEquals(naive.rateHomes, state.rateHomes, context)
        assertEquals(naive.checkpoint, state.checkpoint, context)
        assertEquals(naive.skippedRecords, state.skippedRecords, context)
        for (targetId in naive.targets.keys) {
            val reserved = naive.copies.values.filter { it.key.targetId == targetId }.sumOf { it.memoryMebibytes }
            assertEquals(reserved, state.reservedMebibytesOn(targetId), context)
            val keys = naive.copies.keys.filter { it.targetId == targetId }.toSet()
            assertEquals(keys, state.claimedCopiesOn(targetId).map { it.key }.toSet(), context)
        }
        for (modelId in naive.models.keys) {
            val keys = naive.copies.keys.filter { it.modelId == modelId && it.adapterId == null }.toSet()
            assertEquals(keys, state.claimedCopiesOf(modelId).map { it.key }.toSet(), context)
        }
    }
}
