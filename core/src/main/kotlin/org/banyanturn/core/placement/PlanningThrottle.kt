package org.banyanturn.core.placement

/**
 * Decides when a planner may look again for what to load; not safe for use by several threads.
 *
 * Load pattern: the requests of a hundred VMs miss their models at once, and each word of it could start a look over
 * all engines and models, on a VM that serves callers too. One look answers for all that has come since the last, and
 * a VM on which looks take long looks less often, so that it still answers those who ask.
 *
 * @param minPauseMillis the shortest time between two looks.
 * @param pauseFactor pause after a look in units of the time that it took.
 */
public class PlanningThrottle(private val minPauseMillis: Long = 10, private val pauseFactor: Long = 4) {
    private var nextMillis = Long.MIN_VALUE

    /** Returns whether a look may begin at [nowMillis]. */
    public fun mayPlan(nowMillis: Long): Boolean = nowMillis >= nextMillis

    /** Notes that a look began at [startMillis] and has ended at [endMillis]. */
    public fun onPlanned(startMillis: Long, endMillis: Long) {
        nextMillis = endMillis + maxOf(minPauseMillis, (endMillis - startMillis) * pauseFactor)
    }
}
