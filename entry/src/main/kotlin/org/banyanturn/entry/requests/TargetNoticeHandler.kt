package org.banyanturn.entry.requests

import org.banyanturn.core.TargetId
import org.banyanturn.core.routing.TargetNotice
import org.banyanturn.core.serving.KnownTarget
import org.banyanturn.daemon.logs.Event
import org.banyanturn.daemon.logs.field
import org.banyanturn.entry.observe.DecisionLog
import org.banyanturn.entry.observe.EntryMetrics
import org.banyanturn.platform.hosted.TargetNoticeListener

/** Handles the notices on further requests that targets send with their responses; used on the event loop only. */
internal class TargetNoticeHandler(
    private val view: FleetView,
    private val log: DecisionLog,
    private val metrics: EntryMetrics,
) : TargetNoticeListener {
    override fun onNotice(targetId: TargetId, notice: TargetNotice, unreadable: List<String>) {
        val target = view.directory.targets[targetId] ?: return
        onNotice(target, notice, unreadable)
    }

    /** Handles [notice] of [target]; [unreadable] lists the notice headers that could not be parsed. */
    fun onNotice(target: KnownTarget, notice: TargetNotice, unreadable: List<String>) {
        if (unreadable.isNotEmpty()) {
            metrics.unreadableNotices.inc()
            log.write(
                Event.NOTICE_UNREADABLE,
                field("target", target.entry.targetId),
                field("headers", unreadable.joinToString()),
            )
        }
        if (!view.recordNotice(target, notice)) return
        val event = if (notice.isLeaving) Event.TARGET_LEAVING else Event.TARGET_QUIET
        log.write(event, field("target", target.entry.targetId), field("quietMillis", notice.quietMillis))
    }
}
