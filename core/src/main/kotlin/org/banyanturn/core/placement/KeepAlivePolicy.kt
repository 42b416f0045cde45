package org.banyanturn.core.placement

/**
 * Settings of a [KeepAlivePolicy], which weigh cold starts against idle accelerators.
 *
 * @property idleMillisPerColdMillis the accelerator idle time in milliseconds that costs as much as one millisecond of
 * a request's cold start.
 * @property idleMillisPerLoadMillis the accelerator idle time in milliseconds that costs as much as one millisecond of
 * prewarming, which takes capacity from the weight store and from other loads.
 * @property evictionHorizonMillis the time after an eviction within which the next request causes a cold start that is
 * attributed to the eviction.
 * @property minResidentLoads the minimum time for which a copy stays loaded, in multiples of its load time. This
 * prevents copies from evicting each other repeatedly.
 */
public data class KeepAliveSettings(
    val idleMillisPerColdMillis: Double,
    val idleMillisPerLoadMillis: Double = DEFAULT_IDLE_MILLIS_PER_LOAD_MILLIS,
    val evictionHorizonMillis: Long = DEFAULT_EVICTION_HORIZON_MILLIS,
    val minResidentLoads: Int = DEFAULT_MIN_RESIDENT_LOADS,
) {
    init {
        require(idleMillisPerColdMillis > 0) { "idleMillisPerColdMillis is $idleMillisPerColdMillis, not more than 0" }
    }
}

/** The default of [KeepAliveSettings.idleMillisPerLoadMillis]. */
public const val DEFAULT_IDLE_MILLIS_PER_LOAD_MILLIS: Double = 50.0

/** The default of [KeepAliveSettings.evictionHorizonMillis]. */
public const val DEFAULT_EVICTION_HORIZON_MILLIS: Long = 300_000

/** The default of [KeepAliveSettings.minResidentLoads]. */
public const val DEFAULT_MIN_RESIDENT_LOADS: Int = 3

/**
 * The plan for a copy that has just become idle; all times are relative to that moment.
 *
 * @property unloadAfterMillis the idle time after which to unload the copy.
 * @property prewarm the window in which to have the copy loaded again ahead of an expected request, or `null` to load
 * it only on the next request.
 */
public data class KeepAlivePlan(val unloadAfterMillis: Long, val prewarm: PrewarmWindow?)

/** A time window in which a copy is kept loaded ahead of an expected request. */
public data class PrewarmWindow(val readyAtMillis: Long, val unloadAtMillis: Long)

/** Decides how long idle copies stay loaded, based on the recorded gaps between requests for each model. */
public interface KeepAlivePolicy {
    /**
     * Returns the plan with the lowest expected cost of idle memory, prewarming and cold starts.
     *
     * @param coldMillis the time that a request waits if the copy is not loaded.
     * @param memoryShare the fraction of an engine's memory that the copy occupies, from 0 to 1.
     */
    public fun plan(gaps: GapHistogram, coldMillis: Long, memoryShare: Double): KeepAlivePlan

    /**
     * Returns the expected cold-start time in milliseconds that evicting a copy costs.
     *
     * @param idleMillis the time for which the copy has been idle.
     * @param reloadMillis the time that loading the copy again would take.
     */
    public fun evictionCostMillis(gaps: GapHistogram, idleMillis: Long, reloadMillis: Long): Double

    /** Returns whether a copy that was loaded [residentMillis] ago, and took [loadMillis] to load, may be evicted. */
    public fun mayEvict(residentMillis: Long, loadMillis: Long): Boolean
}

/** Returns a policy that minimizes the expected cost according to [settings]. */
public fun keepAlivePolicyOf(settings: KeepAliveSettings): KeepAlivePolicy = LearnedKeepAlive(settings)
