package org.banyanturn.core.state

import org.banyanturn.core.AdapterId
import org.banyanturn.core.Incarnation
import org.banyanturn.core.ModelId
import org.banyanturn.core.TargetId
import org.banyanturn.core.VmId
import org.banyanturn.core.ZoneId
import org.junit.jupiter.api.Assertions.assertEquals
import org.junit.jupiter.api.Assertions.assertTrue
import org.junit.jupiter.api.Test
import java.lang.management.ManagementFactory
import kotlin.system.measureNanoTime

private const val MODELS = 600
private const val ADAPTERS = 10_000
private const val VMS = 490
private const val ENGINES = 1_500
private const val CHANGES = 20_000
private const val MAX_FOLD_NANOS = 1_000_000L
private const val MAX_LOAD_NANOS = 2_000_000_000L

class FleetScaleTest {
    private val zone = ZoneId("zone1")
    private val vms = List(VMS) { Incarnation(VmId("vm$it"), 1) }

    private fun claim(index: Int): ClaimCopy {
        val engine = index % ENGINES
        val adapter = index % ADAPTERS
        val model = ModelId("model${adapter % MODELS}")
        return ClaimCopy(TargetId("engine$engine"), model, AdapterId("adapter$adapter"), "v1", vms[engine % VMS])
    }

    private fun fleet(): FleetState {
        val engines = List(ENGINES) { TargetId("engine$it") }
        val changes = vms.map { JoinVm(it, zone, "a", "b") } +
            engines.map { DeclareTarget(it, TargetKind.ENGINE, "a", zone, memoryMebibytes = 1_000_000) } +
            engines.mapIndexed { index, engine -> OwnEngine(engine, vms[index % VMS]) } +
            List(MODELS) { DeclareModel(ModelId("model$it"), "v1", 100, copies = 8) } +
            List(ADAPTERS) { DeclareAdapter(AdapterId("adapter$it"), ModelId("model${it % MODELS}"), "v1", 10) }
        return changes.foldIndexed(FleetState()) { index, state, change ->
            state.foldRecord(index.toLong(), payload(index, change))
        }
    }

    private val threadBean = ManagementFactory.getThreadMXBean()

    private fun LongArray.percentile999(): Long = sorted()[size * 999 / 1000]

    private fun payload(index: Int, change: Change): String =
        LogEntry("r$index", "vm", change, NO_VERSION.takeIf { change is OwnEngine }).encodeToPayload()

    @Test
    fun `at the planned fleet size a change folds in under 1 ms and a checkpoint loads in under 2 s`() {
        var state = fleet()
        val chunks = state.encodeCheckpoint("c")
        val loadNanos = measureNanoTime {
            val assembler = chunks.foldIndexed(CheckpointAssembler()) { offset, assembler, chunk ->
                assembler.add(offset.toLong(), chunk)
            }
            assertEquals(state, assembler.latestOrNull)
        }
        val elapsedNanos = LongArray(CHANGES)
        val cpuNanos = LongArray(CHANGES) { index ->
            val payload = payload(state.nextOffset.toInt(), claim(index))
            val cpuBeforeNanos = threadBean.currentThreadCpuTime
            elapsedNanos[index] = measureNanoTime { state = state.foldRecord(state.nextOffset, payload) }
            threadBean.currentThreadCpuTime - cpuBeforeNanos
        }
        assertEquals(CHANGES, state.copies.size)
        println(
            "load took ${loadNanos / 1_000} us; 999 in 1000 folds take below ${cpuNanos.percentile999() / 1_000} us " +
                "of processor time, ${elapsedNanos.percentile999() / 1_000} us of elapsed time",
        )
        assertTrue(cpuNanos.percentile999() < MAX_FOLD_NANOS, "a fold took ${cpuNanos.percentile999()} ns")
        assertTrue(loadNanos < MAX_LOAD_NANOS, "loading the checkpoint took $loadNanos ns")
    }
}
