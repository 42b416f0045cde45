package org.banyanturn.measure

import org.HdrHistogram.Histogram
import org.banyanturn.core.membership.rendezvousOwnerOrNull
import org.banyanturn.core.state.Change
import org.banyanturn.core.state.CheckpointAssembler
import org.banyanturn.core.state.ConfirmCopy
import org.banyanturn.core.state.FleetState
import org.banyanturn.core.state.ReleaseCopy
import org.banyanturn.core.state.SetCopies
import org.banyanturn.core.state.SetRate
import org.banyanturn.core.state.encodeCheckpoint
import org.banyanturn.core.state.encodeToPayload
import org.banyanturn.core.state.foldRecord
import java.lang.management.ManagementFactory
import kotlin.random.Random

private const val FOLDED_CHANGES = 30_000
private const val STARTS = 5
private const val OWNER_ROUNDS = 2_000
private const val NANOS_PER_MICRO = 1_000.0
private const val NANOS_PER_MILLI = 1e6
private const val MAX_NANOS = 10_000_000_000L
private const val HIGH_PERCENTILE = 99.9

/** Times of the fold and of starts, at a quarter, half and all of the target size; [seed] chooses the changes. */
internal class CapacityTimings(private val seed: Long) {
    private val threads = ManagementFactory.getThreadMXBean()
    private val states: List<FleetState> = listOf(4, 2, 1).map { targetFleetSize.dividedBy(it).fold() }
    private val histograms: List<Histogram> = states.map(::foldChanges)
    private val checkpoints: List<List<String>> = states.map { it.encodeCheckpoint("c") }

    val targetItems: Int = states.last().items

    val targetCheckpointBytes: Double = checkpoints.last().sumOf { it.length }.toDouble()

    val meanFoldMicros: List<SizedValue> = sized(histograms.map { it.mean / NANOS_PER_MICRO })

    val highFoldMicros: List<SizedValue> =
        sized(histograms.map { it.getValueAtPercentile(HIGH_PERCENTILE) / NANOS_PER_MICRO })

    /** The slowest of a few starts at each size. */
    val startMillis: List<SizedValue> =
        sized(checkpoints.map { chunks -> List(STARTS) { nanosOf { start(chunks) } }.max() / NANOS_PER_MILLI })

    val ownerMicros: List<SizedValue> = listOf(31, 98, 490).map { candidates ->
        val ids = List(candidates, ::vmIdOf)
        repeat(OWNER_ROUNDS) { rendezvousOwnerOrNull("engine-$it", List(targetFleetSize.vms, ::vmIdOf)) }
        val nanos = nanosOf { repeat(OWNER_ROUNDS) { rendezvousOwnerOrNull("engine-$it", ids) } }
        SizedValue(candidates, nanos / NANOS_PER_MICRO / OWNER_ROUNDS)
    }

    private fun sized(values: List<Double>): List<SizedValue> =
        states.zip(values) { state, value -> SizedValue(state.items, value) }

    private fun start(chunks: List<String>): FleetState {
        val assembler = chunks.foldIndexed(CheckpointAssembler()) { offset, assembler, chunk ->
            assembler.add(offset.toLong(), chunk)
        }
        return checkNotNull(assembler.latestOrNull) { "the checkpoint is not whole" }
    }

    private fun foldChanges(start: FleetState): Histogram {
        val random = Random(seed)
        val histogram = Histogram(MAX_NANOS, 3)
        var state = start
        repeat(2 * FOLDED_CHANGES) { index ->
            val payload = entryOf(state.nextOffset, nextChange(state, random)).encodeToPayload()
            val startNanos = threads.currentThreadCpuTime
            state = state.foldRecord(state.nextOffset, payload)
            val nanos = threads.currentThreadCpuTime - startNanos
            if (index >= FOLDED_CHANGES) histogram.recordValue(nanos.coerceAtMost(MAX_NANOS))
        }
        return histogram
    }

    private fun nextChange(state: FleetState, random: Random): Change {
        val claim = claimChange(random.nextInt(state.copies.size + 1), state.size)
        return when (random.nextInt(5)) {
            0 -> SetRate(memberIdOf(random.nextInt(state.members.size)), random.nextDouble(50.0), 40.0)
            1 -> SetCopies(modelIdOf(random.nextInt(state.models.size)), Int.MAX_VALUE)
            2 -> ConfirmCopy(claim.targetId, claim.modelId, null, claim.version, claim.incarnation)
            3 -> ReleaseCopy(claim.targetId, claim.modelId, null, claim.version, claim.incarnation)
            else -> claim
        }
    }
}

private val FleetState.size: FleetSize
    get() = FleetSize(vms = vms.size, engines = targets.size, models = models.size)

private val FleetState.items: Int
    get() = vms.size + targets.size + models.size + adapters.size + members.size + keys.size + copies.size

private fun FleetSize.dividedBy(divisor: Int): FleetSize =
    FleetSize(
        vms / divisor,
        engines / divisor,
        models / divisor,
        adapters / divisor,
        members / divisor,
        keys / divisor,
        copies / divisor,
    )

private inline fun nanosOf(block: () -> Unit): Double {
    val startNanos = System.nanoTime()
    block()
    return (System.nanoTime() - startNanos).toDouble()
}
