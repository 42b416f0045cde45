package org.banyanturn.core.state

import io.kotest.common.ExperimentalKotest
import io.kotest.property.Arb
import io.kotest.property.PropTestConfig
import io.kotest.property.arbitrary.long
import io.kotest.property.checkAll
import kotlinx.coroutines.test.runTest
import org.junit.jupiter.api.Assertions.assertEquals
import org.junit.jupiter.api.Assertions.assertFalse
import org.junit.jupiter.api.Assertions.assertNull
import org.junit.jupiter.api.Assertions.assertTrue
import org.junit.jupiter.api.Test
import kotlin.random.Random

private const val SEED = 43L
private const val RECORDS = 200
private const val MINUTE_MILLIS = 60_000L

@OptIn(ExperimentalKotest::class)
class CheckpointTest {
    @Test
    fun `a checkpoint and the records after it give the same state as all records`() = runTest {
        checkAll(PropTestConfig(seed = SEED, iterations = 60), Arb.long()) { seed ->
            val random = Random(seed)
            val payloads = randomPayloads(random, RECORDS)
            val expected = FleetState().foldAll(payloads)
            val splitIndex = random.nextInt(1, RECORDS)
            val chunks = FleetState().foldAll(payloads.take(splitIndex)).encodeCheckpoint("c", random.nextInt(50, 5000))
            val restored = assemble(chunks.shuffled(random)).latestOrNull!!
            assertEquals(expected, restored.foldAll(payloads.drop(splitIndex)))
        }
    }

    @Test
    fun `incomplete and corrupt checkpoints are ignored in favor of the latest complete one`() = runTest {
        checkAll(PropTestConfig(seed = SEED, iterations = 60), Arb.long()) { seed ->
            val random = Random(seed)
            val payloads = randomPayloads(random, RECORDS)
            val completeState = FleetState().foldAll(payloads.take(RECORDS / 2))
            val newerState = FleetState().foldAll(payloads)
            val incomplete = newerState.encodeCheckpoint("incomplete", 100).let { it - it.random(random) }
            val corrupt = corrupted(newerState.encodeCheckpoint("corrupt", 100), random)
            val olderChunks = FleetState().foldAll(payloads.take(9)).encodeCheckpoint("older", 100)
            val completeChunks = completeState.encodeCheckpoint("whole", 100)
            val stream =
                interleaved(
                    random,
                    listOf(incomplete, corrupt, olderChunks, completeChunks, completeChunks, listOf("junk")),
                )
            val assembler = assemble(stream)
            assertEquals(completeState, assembler.latestOrNull)
            assertEquals(1, assembler.corruptCheckpoints)
            assertEquals(newerState, newerState.orNewer(completeState))
        }
    }

    @Test
    fun `a checkpoint with a wrong checksum or an unknown format is ignored`() {
        val chunk = FleetState(nextOffset = 5).encodeCheckpoint("c").single()
        assertEquals(5, assemble(listOf(chunk)).latestOrNull?.nextOffset)
        val withWrongChecksum = chunk.replace(Regex("\"sha256\":\"[0-9a-f]+\""), "\"sha256\":\"${"0".repeat(64)}\"")
        assertNull(assemble(listOf(withWrongChecksum)).latestOrNull)
        assertNull(assemble(listOf(chunk.replace("\"format\":1", "\"format\":2"))).latestOrNull)
    }

    @Test
    fun `the same old verdicts are evicted with and without a checkpoint`() {
        val payloads = List(MAX_REMEMBERED_VERDICTS + 50) {
            """{"recordId":"r$it","author":"a","change":{"type":"withdraw-key","keyId":"k"}}"""
        }
        val splitIndex = MAX_REMEMBERED_VERDICTS + 20
        val stateBefore = FleetState().foldAll(payloads.take(splitIndex))
        val restored = assemble(stateBefore.encodeCheckpoint("c")).latestOrNull!!
        val expected = stateBefore.foldAll(payloads.drop(splitIndex))
        assertEquals(expected, restored.foldAll(payloads.drop(splitIndex)))
        assertEquals(MAX_REMEMBERED_VERDICTS, expected.verdicts.size)
        assertNull(expected.verdicts["r49"])
        assertEquals(Verdict.Rejected(50, RejectionReason.NOT_FOUND), expected.verdicts["r50"])
    }

    @Test
    fun `a checkpoint is due before records expire and the VMs attempt to write it one after another`() {
        val policy = CheckpointPolicy(retentionMillis = 60 * MINUTE_MILLIS, writerStaggerMillis = MINUTE_MILLIS)
        val state = FleetState(nextOffset = 100)
        val notDue = CheckpointSchedule(policy, 0).observe(state, 0, 19 * MINUTE_MILLIS)
        assertFalse(notDue.shouldWrite(0, 19 * MINUTE_MILLIS))
        val due = notDue.observe(state, 0, 20 * MINUTE_MILLIS)
        assertTrue(due.shouldWrite(0, 20 * MINUTE_MILLIS))
        assertFalse(due.shouldWrite(1, 20 * MINUTE_MILLIS))
        assertTrue(due.shouldWrite(1, 21 * MINUTE_MILLIS))
        assertTrue(notDue.observe(state, 50, 19 * MINUTE_MILLIS).shouldWrite(0, 19 * MINUTE_MILLIS))
        val written = state.copy(nextOffset = 101, checkpoint = AnnouncedCheckpoint(100, 0, 100))
        assertFalse(due.observe(written, 0, 21 * MINUTE_MILLIS).shouldWrite(0, 21 * MINUTE_MILLIS))
    }

    private fun assemble(stream: List<String>): CheckpointAssembler =
        stream.foldIndexed(CheckpointAssembler()) { offset, assembler, payload ->
            assembler.add(offset.toLong(), payload)
        }

    private fun corrupted(chunks: List<String>, random: Random): List<String> {
        val index = random.nextInt(chunks.size)
        val bodyStart = chunks[index].indexOf("\"body\":\"") + 8
        val replacement = if (chunks[index][bodyStart] == 'A') 'B' else 'A'
        return chunks.toMutableList().also {
            it[index] =
                it[index].replaceRange(bodyStart, bodyStart + 1, "$replacement")
        }
    }

    private fun interleaved(random: Random, writers: List<List<String>>): List<String> {
        val queues = writers.map(::ArrayDeque).toMutableList()
        return buildList {
            while (queues.isNotEmpty()) {
                val queue = queues.random(random)
                queue.removeFirstOrNull()?.let(::add) ?: queues.remove(queue)
            }
        }
    }
}
