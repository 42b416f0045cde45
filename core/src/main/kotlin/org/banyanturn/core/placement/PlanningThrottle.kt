package org.banyanturn.core.placement

/**
 * Limits how often the planner runs. Not thread-safe.
 *
 * If the requests of a hundred VMs miss their models at once, every message about a miss could start a planning run
 * over all engines and models, on a VM that also serves callers. A planning run covers all misses since the previous
 * one. The longer a run takes, the longer the pause after it, so that the VM has time to respond to the requests for
 * copies.
 *
 * @param minPauseMillis the minimum pause after a planning run.
 * @param pauseFactor the pause after a planning run as a multiple of its duration.
 */
public class PlanningThrottle(private val minPauseMillis: Long = 10, private val pauseFactor: Long = 4) {
    private var nextMillis = Long.MIN_VALUE

    /** Returns whether a planning run may start at [nowMillis]. */
    public fun mayPlan(nowMillis: Long): Boolean = nowMillis >= nextMillis

    /** Records a planning run from [startMillis] to [endMillis]. */
    public fun onPlanned(startMillis: Long, endMillis: Long) {
        nextMillis = endMillis + maxOf(minPauseMillis, (endMillis - startMillis) * pauseFactor)
    }
}
