package org.banyanturn.measure.delivery

import org.banyanturn.measure.Deployment
import kotlin.random.Random

/** What a request asks for. */
internal enum class RequestKind {
    /** A streamed answer of an engine; idempotent. */
    BRIEFING,

    /** A call of a service that may be repeated. */
    READ,

    /** A call of a service that must run at most once. */
    ORDER,
}

/**
 * A request of the workload.
 *
 * @property orderId what the judge counts the runs of; callers repeat an order with the same one.
 * @property secondVm the VM that gets the same order at once, or `null`.
 */
internal data class PlannedRequest(
    val number: Int,
    val kind: RequestKind,
    val atMillis: Long,
    val timeoutMillis: Long,
    val tokens: Int,
    val isPoison: Boolean,
    val secondVm: Int?,
) {
    val orderId: String get() = if (isPoison) "poison-${number % POISON_BODIES}" else "request-$number"

    companion object {
        /** How many different requests crash their engines. */
        const val POISON_BODIES: Int = 3
    }
}

/** What goes wrong with one attempt on its way. */
internal enum class LinkFault {
    NONE,
    LOST_BEFORE,
    LOST_DURING,
    LOST_AFTER,
    SILENT_BEFORE,
    SILENT_AFTER,
    DUPLICATE_CHUNKS,
    REORDERED_CHUNKS,
    CROSSED_CHUNKS,
    CLEAN_CUT,
}

/** Something that happens to a VM or target. */
internal data class PlannedFault(val kind: FaultKind, val atMillis: Long, val index: Int, val durationMillis: Long)

/** What happens to a VM or target. */
internal enum class FaultKind {
    ENGINE_KILLED,
    SERVICE_KILLED,
    ENGINE_FROZEN,
    SERVICE_FROZEN,
    VM_KILLED,
    VM_RESTARTED,
    LOG_DOWN,
}

/** The workload and the faults of one run, the same for every proxy. */
internal class Schedule(
    private val seed: Long,
    val deployment: Deployment,
    private val faultShare: Double = 0.08,
    requestCount: Int = 12_000,
) {
    private val lastFaultMillis = requestCount * ARRIVAL_GAP - 5_000
    private val random = Random(seed xor deployment.name.hashCode().toLong())

    /** The requests in the order of their arrival. */
    val requests: List<PlannedRequest> = List(requestCount, ::planRequest)

    /** The faults of VMs, targets and the log. */
    val faults: List<PlannedFault> = buildList {
        repeat(12) { add(plan(FaultKind.ENGINE_KILLED, deployment.assistantEngines, 3_000)) }
        repeat(6) { add(plan(FaultKind.SERVICE_KILLED, deployment.serviceEngines, 3_000)) }
        repeat(6) { add(plan(FaultKind.ENGINE_FROZEN, deployment.assistantEngines, 4_000)) }
        repeat(4) { add(plan(FaultKind.SERVICE_FROZEN, deployment.serviceEngines, 4_000)) }
        repeat(6) { add(plan(FaultKind.VM_KILLED, deployment.vms, 2_000)) }
        repeat(2) { add(plan(FaultKind.LOG_DOWN, 1, 8_000)) }
        repeat(deployment.vms) { add(PlannedFault(FaultKind.VM_RESTARTED, RESTARTS_AT + it * RESTART_GAP, it, 1_000)) }
    }

    /** When every request has its answer, or never gets one. */
    val endMillis: Long = requestCount * ARRIVAL_GAP + 150_000

    /** Returns what goes wrong with the attempt of the given [ordinal] to run [orderId]. */
    fun linkFault(orderId: String, ordinal: Int): LinkFault {
        val draw = Random(seed * 31 + "$orderId/$ordinal".hashCode())
        if (draw.nextDouble() >= faultShare) return LinkFault.NONE
        return LinkFault.entries[1 + draw.nextInt(LinkFault.entries.size - 1)]
    }

    private fun planRequest(number: Int): PlannedRequest {
        val kind = when (random.nextInt(10)) {
            in 0..4 -> RequestKind.BRIEFING
            in 5..6 -> RequestKind.READ
            else -> RequestKind.ORDER
        }
        return PlannedRequest(
            number = number,
            kind = kind,
            atMillis = number * ARRIVAL_GAP + random.nextLong(ARRIVAL_GAP),
            timeoutMillis = if (kind == RequestKind.BRIEFING) 10_000 else 5_000,
            tokens = 20 + random.nextInt(60),
            isPoison = kind == RequestKind.BRIEFING && random.nextInt(600) == 0,
            secondVm = if (random.nextInt(20) == 0) random.nextInt(deployment.vms) else null,
        )
    }

    private fun plan(kind: FaultKind, count: Int, durationMillis: Long): PlannedFault {
        val atMillis = random.nextLong(FIRST_FAULT_AT, lastFaultMillis)
        return PlannedFault(kind, atMillis, random.nextInt(count), durationMillis)
    }

    companion object {
        private const val ARRIVAL_GAP = 25L
        private const val FIRST_FAULT_AT = 5_000L
        private const val RESTARTS_AT = 10_000L
        private const val RESTART_GAP = 5_000L
    }
}
