package org.banyanturn.entry.requests

import org.banyanturn.daemon.ProcessClock
import org.banyanturn.entry.observe.DecisionLog
import org.banyanturn.entry.observe.EntryMetrics
import org.banyanturn.entry.turns.ColdTargetCoordinator
import org.banyanturn.entry.turns.ColdTargetSettings

/** Returns a coordinator for tests whose targets are never cold. */
internal fun coldTargets(view: FleetView, clock: ProcessClock, metrics: EntryMetrics): ColdTargetCoordinator =
    ColdTargetCoordinator(
        view,
        ColdTargetSettings(excess = 1.0, slack = 0.0, ownerChangeMillis = 2_000),
        clock,
        DecisionLog(clock, metrics),
        metrics,
    )
