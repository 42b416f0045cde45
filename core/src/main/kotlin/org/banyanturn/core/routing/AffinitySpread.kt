package org.banyanturn.core.routing

import org.banyanturn.core.DecayingSum
import kotlin.math.ceil
import kotlin.math.exp

/**
 * Settings of [AffinitySpread].
 *
 * @property averagingMillis time constant of the moving average of a key's arrival rate, in milliseconds.
 * @property slotFraction fraction of a target's slots that the requests with one key may occupy on average.
 * @property maxKeys maximum number of keys whose rates are kept; the least recently used key is evicted.
 */
public data class AffinitySpreadSettings(
    val averagingMillis: Double = 4_000.0,
    val slotFraction: Double = 0.3,
    val maxKeys: Int = 2_000,
)

/**
 * Estimates over how many targets the requests with one affinity key are spread, so that they do not fill up a single
 * target. Not thread-safe.
 *
 * Load pattern: nearly all requests share one of a few prompt prefixes or use one of a few adapters, and they arrive at
 * a hundred VMs. Load reports from a target are too infrequent for a VM to know how full it is. If each VM sent these
 * requests to the target that is preferred for their prefix, that target would refuse most of them while others are
 * idle.
 */
public class AffinitySpread(private val settings: AffinitySpreadSettings = AffinitySpreadSettings()) {
    private val rates = object : LinkedHashMap<String, ArrivalRate>(INITIAL_KEYS, LOAD_FACTOR, true) {
        override fun removeEldestEntry(eldest: MutableMap.MutableEntry<String, ArrivalRate>): Boolean =
            size > settings.maxKeys
    }

    /** Records the arrival of a request with [key] at this VM. */
    public fun record(key: String, nowMillis: Long) {
        rates.getOrPut(key) { ArrivalRate(settings.averagingMillis, nowMillis) }.record(nowMillis)
    }

    /**
     * Returns the number of targets over which to spread the requests with [key], at least 1.
     *
     * @param vmCount number of VMs among which such requests are distributed about evenly.
     * @param holdMillis time for which a request occupies a slot, in milliseconds.
     * @param slots number of requests that a target runs concurrently.
     */
    public fun targetCountFor(key: String, vmCount: Int, holdMillis: Long, slots: Int, nowMillis: Long): Int {
        val ratePerMillis = rates[key]?.ratePerMillisAt(nowMillis) ?: return 1
        val concurrentRequests = ratePerMillis * vmCount * holdMillis
        return ceil(concurrentRequests / (settings.slotFraction * slots)).toInt().coerceAtLeast(1)
    }

    private companion object {
        const val INITIAL_KEYS = 64
        const val LOAD_FACTOR = 0.75f
    }
}

/** Moving average of arrivals per millisecond, corrected for the short history since the first arrival. */
private class ArrivalRate(private val averagingMillis: Double, private val startMillis: Long) {
    private val arrivals = DecayingSum(averagingMillis)

    fun record(nowMillis: Long): Unit = arrivals.add(1.0, nowMillis)

    fun ratePerMillisAt(nowMillis: Long): Double {
        val observedFraction = 1.0 - exp(-(nowMillis - startMillis) / averagingMillis)
        return arrivals.ratePerMillisAt(nowMillis) / maxOf(observedFraction, MIN_OBSERVED_FRACTION)
    }

    private companion object {
        /** Lower bound of the correction: the first few requests with a key say little about its rate. */
        const val MIN_OBSERVED_FRACTION = 0.5
    }
}
