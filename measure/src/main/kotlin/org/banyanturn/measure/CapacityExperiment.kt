package org.banyanturn.measure

import org.banyanturn.core.membership.Membership
import org.banyanturn.core.membership.MembershipEvent
import org.banyanturn.core.membership.MembershipPolicy
import org.banyanturn.core.state.FleetState
import org.banyanturn.core.state.MAX_REMEMBERED_VERDICTS
import org.banyanturn.core.state.encodeCheckpoint

private const val CONTROL_MEGABYTES = 32.0
private const val CONTROL_BYTES_PER_SECOND = 3_000.0
private const val CONTROL_CORE_PERCENT = 2.6
private const val FOLD_MILLIS = 1.0
private const val START_MILLIS = 2_000.0
private const val BYTES_PER_MEGABYTE = 1e6
private const val MICROS_PER_SECOND = 1e6

/** How a figure was come by. */
private enum class Method(val label: String) {
    /** Counted or computed from sizes: the same in every run. */
    COUNTED("counted"),

    /** Bytes seen on the loopback interface: varies by a few with how the system cuts them into segments. */
    LOOPBACK("loopback"),

    /** Heap in use after garbage collection: varies a little. */
    HEAP("heap"),

    /** Measured time: varies with the machine and its load. */
    TIMED("timed"),
}

private data class Slope(
    val name: String,
    val method: Method,
    val unit: String,
    val values: List<SizedValue>,
    val targetSize: Int,
    val budget: Double? = null,
) {
    val fit: LinearFit = values.fitLine()

    /** The value measured at the target size, if it was, else that of the line. */
    val atTarget: Double get() = values.firstOrNull { it.size == targetSize }?.value ?: fit.valueAt(targetSize)
}

private data class Total(
    val name: String,
    val method: Method,
    val unit: String,
    val value: Double,
    val budget: Double?,
)

/** Measures how state, messages and time of the control plane grow, and what they come to at the target size. */
internal object CapacityExperiment : Experiment {
    override val name: String = "capacity"

    override fun run(seed: Long): Report {
        val timings = CapacityTimings(seed)
        retainedBytes { FleetSize(vms = heapSizes.max()).fold() }
        val heap = heapSlopes()
        val records = recordBytes()
        val slopes = heap + checkpointSlopes() + timeSlopes(timings)
        return Report(
            columns = listOf(
                "figure", "method", "unit", "values by size", "slope", "intercept", "fit error %",
                "target size", "at target", "budget", "within budget",
            ),
            rows = slopes.map { it.toRow() } + totals(heap, records, timings).map { it.toRow() },
        )
    }

    private fun heapSlopes(): List<Slope> {
        val target = targetFleetSize
        return listOf(
            heapSlope("heap of a VM", target.vms) { FleetSize(vms = it) },
            heapSlope("heap of an engine with owner", target.engines) { FleetSize(vms = 1, engines = it) },
            heapSlope("heap of a model", target.models) { FleetSize(models = it) },
            heapSlope("heap of an adapter", target.adapters) { FleetSize(models = 1, adapters = it) },
            heapSlope("heap of a member", target.members) { FleetSize(members = it) },
            heapSlope("heap of a key", target.keys) { FleetSize(members = 1, keys = it) },
            heapSlope("heap of a copy", target.copies) { FleetSize(vms = 1, engines = 100, models = 600, copies = it) },
            Slope(
                "heap of a remembered verdict",
                Method.HEAP,
                "bytes",
                heapSizes.map { size ->
                    SizedValue(size / 2, retainedBytes { verdictsOnly(FleetSize(members = size / 2).fold()) })
                },
                MAX_REMEMBERED_VERDICTS,
            ),
            Slope(
                "heap of a peer's evidence",
                Method.HEAP,
                "bytes",
                heapSizes.map { size ->
                    SizedValue(size, retainedBytes { membershipOf(size) })
                },
                target.vms,
            ),
        )
    }

    private val heapSizes = listOf(2_000, 4_000, 8_000, 16_000)

    private fun heapSlope(name: String, targetSize: Int, sizeOf: (Int) -> FleetSize): Slope =
        Slope(
            name,
            Method.HEAP,
            "bytes",
            heapSizes.map { size ->
                SizedValue(size, retainedBytes { sizeOf(size).fold().withoutVerdicts() })
            },
            targetSize,
        )

    private fun verdictsOnly(state: FleetState): FleetState =
        FleetState(verdicts = state.verdicts, recentRecordIds = state.recentRecordIds)

    private fun membershipOf(vms: Int): Membership =
        (0 until vms).fold(Membership(vmIdOf(0), MembershipPolicy(), 0)) { membership, index ->
            val event = MembershipEvent.HeartbeatReceived(incarnationOf(index), zoneIdOf(index), 1, 1, false)
            membership.onEvent(event, 1)
        }

    private fun checkpointSlopes(): List<Slope> {
        val target = targetFleetSize
        return listOf(
            checkpointSlope("checkpoint of a VM", target.vms) { FleetSize(vms = it) },
            checkpointSlope("checkpoint of an engine", target.engines) { FleetSize(vms = 1, engines = it) },
            checkpointSlope("checkpoint of a model", target.models) { FleetSize(models = it) },
            checkpointSlope("checkpoint of an adapter", target.adapters) { FleetSize(models = 1, adapters = it) },
            checkpointSlope("checkpoint of a member", target.members) { FleetSize(members = it) },
            checkpointSlope("checkpoint of a key", target.keys) { FleetSize(members = 1, keys = it) },
        )
    }

    private fun checkpointSlope(name: String, targetSize: Int, sizeOf: (Int) -> FleetSize): Slope =
        Slope(
            name,
            Method.COUNTED,
            "bytes",
            heapSizes.map { size ->
                val chunks = sizeOf(size).fold().withoutVerdicts().encodeCheckpoint("c")
                SizedValue(size, chunks.sumOf { it.length }.toDouble())
            },
            targetSize,
        )

    private fun timeSlopes(timings: CapacityTimings): List<Slope> = listOf(
        Slope(
            "start from a checkpoint",
            Method.TIMED,
            "ms by items",
            timings.startMillis,
            timings.targetItems,
            START_MILLIS,
        ),
        Slope(
            "mean fold of a change",
            Method.TIMED,
            "us of processor time by items",
            timings.meanFoldMicros,
            timings.targetItems,
        ),
        Slope(
            "fold of a change that 999 in 1000 stay below",
            Method.TIMED,
            "us of processor time by items",
            timings.highFoldMicros,
            timings.targetItems,
            FOLD_MILLIS * 1_000,
        ),
        Slope(
            "next owner of an engine",
            Method.TIMED,
            "us by candidates",
            timings.ownerMicros,
            targetFleetSize.vms / 16,
        ),
    )

    private fun totals(heap: List<Slope>, records: Double, timings: CapacityTimings): List<Total> {
        val traffic = CapacityTraffic(records, targetFleetSize)
        val heapAtTarget = heap.sumOf { it.atTarget }
        val wholeState = retainedBytes { targetFleetSize.fold() }
        val foldsPerSecond = traffic.recordsPerSecond
        val corePercent = foldsPerSecond * timings.meanFoldMicros.last().value / MICROS_PER_SECOND * 100
        return listOf(
            Total("state by slopes", Method.HEAP, "MB", heapAtTarget / BYTES_PER_MEGABYTE, CONTROL_MEGABYTES),
            Total("whole state in one heap", Method.HEAP, "MB", wholeState / BYTES_PER_MEGABYTE, CONTROL_MEGABYTES),
            Total("checkpoint at the target size", Method.COUNTED, "bytes", timings.targetCheckpointBytes, null),
            Total("mean record", Method.COUNTED, "bytes", records, null),
            Total("records of the log", Method.COUNTED, "records/s", traffic.recordsPerSecond, null),
            Total("reading the log", Method.COUNTED, "bytes/s", traffic.logBytesPerSecond, null),
            Total("encoded heartbeat and reply", Method.COUNTED, "bytes", traffic.heartbeatBytes, null),
            Total("heartbeat and reply on the wire", Method.LOOPBACK, "bytes", traffic.heartbeatBytesOnWire, null),
            Total("heartbeats sent and received", Method.LOOPBACK, "bytes/s", traffic.heartbeatBytesPerSecond, null),
            Total("control bytes", Method.LOOPBACK, "bytes/s", traffic.bytesPerSecond, CONTROL_BYTES_PER_SECOND),
            Total("folding the log", Method.TIMED, "% of a core", corePercent, CONTROL_CORE_PERCENT),
        )
    }

    private fun recordBytes(): Double {
        val payloads = CapacityTraffic.samplePayloads()
        return payloads.sumOf { it.length }.toDouble() / payloads.size
    }
}

private fun Slope.toRow(): List<String> = listOf(
    name, method.label, unit, values.joinToString(" ") { "${it.size}:${formatFigure(it.value)}" },
    formatFigure(fit.slope), formatFigure(fit.intercept), formatFigure(fit.errorPercent),
    targetSize.toString(), formatFigure(atTarget),
) + budgetCells(atTarget, budget)

private fun Total.toRow(): List<String> =
    listOf(name, method.label, unit, "", "", "", "", "", formatFigure(value)) + budgetCells(value, budget)

private fun budgetCells(value: Double, budget: Double?): List<String> =
    listOf(budget?.let(::formatFigure).orEmpty(), budget?.let { if (value <= it) "yes" else "no" }.orEmpty())
