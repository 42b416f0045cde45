package org.banyanturn.entry.requests

import org.banyanturn.core.TargetId
import org.banyanturn.core.routing.TypicalDuration
import org.banyanturn.core.serving.KnownTarget
import org.banyanturn.core.serving.ServiceName
import org.banyanturn.daemon.ProcessClock
import org.banyanturn.daemon.logs.Event
import org.banyanturn.daemon.logs.field
import org.banyanturn.entry.observe.DecisionLog
import org.banyanturn.entry.observe.EntryMetrics
import org.banyanturn.platform.hosted.TargetLoadReport
import kotlin.math.roundToInt

/** Tracks the speed of targets from their load reports and responses; used on the event loop only. */
internal class TargetSpeedTracker(
    private val view: FleetView,
    private val clock: ProcessClock,
    private val log: DecisionLog,
    private val metrics: EntryMetrics,
) {
    private val typicalGaps = HashMap<ServiceName, TypicalDuration>()
    private val slowTargets = HashSet<TargetId>()

    /** Records the load [report] of [target]. */
    fun onReport(target: KnownTarget, report: TargetLoadReport) {
        val nowMillis = clock.nowMillis()
        val state = view.stateOf(target)
        val requests = report.running + report.waiting
        state.load = state.load.reported(report.running, report.waiting, report.slots, nowMillis)
        state.ledger = state.ledger.reported(requests, nowMillis)
        view.requestSizes(target.entry.service).recordOthers(state.ledger.othersIn(requests, nowMillis), nowMillis)
        val workPercent = report.workPercent ?: return
        state.speed = state.speed.reported(workPercent, nowMillis)
        recordSlowness(target, state.speed.usualWorkFactorAt(nowMillis))
    }

    /** Records a stream of [eventCount] events of [target] that took [millis] from its first event to its end. */
    fun onStreamEnd(target: KnownTarget, eventCount: Int, millis: Long) {
        if (eventCount < MIN_EVENTS) return
        val typicalGap = typicalGaps.getOrPut(target.entry.service, ::TypicalDuration)
        val workFactor = typicalGap.record(millis.toDouble() / (eventCount - 1)) ?: return
        val state = view.stateOf(target)
        state.speed = state.speed.responded(workFactor, clock.nowMillis())
    }

    private fun recordSlowness(target: KnownTarget, workFactor: Double) {
        val targetId = target.entry.targetId
        val isSlow = workFactor >= if (targetId in slowTargets) NORMAL_BELOW_FACTOR else SLOW_FROM_FACTOR
        if (isSlow == targetId in slowTargets) return
        slowTargets.retainAll(view.directory.targets.keys)
        if (isSlow) slowTargets += targetId else slowTargets -= targetId
        metrics.slowTargets.set(slowTargets.size.toDouble())
        log.write(
            if (isSlow) Event.TARGET_SLOW else Event.TARGET_SPEED_NORMAL,
            field("target", targetId),
            field("workPercent", (workFactor * PERCENT).roundToInt()),
        )
    }

    private companion object {
        const val MIN_EVENTS = 4
        const val SLOW_FROM_FACTOR = 2.0
        const val NORMAL_BELOW_FACTOR = 1.4
        const val PERCENT = 100
    }
}
