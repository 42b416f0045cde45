package org.banyanturn.core.routing

import org.banyanturn.core.DecayingSum
import kotlin.math.ceil
import kotlin.math.exp

/**
 * Settings of [AffinitySpread].
 *
 * @property averagingMillis time over which the rate of a key is averaged.
 * @property slotFraction part of a target's slots that the requests with one key may take on average.
 * @property maxKeys keys whose rates are kept; the ones that were seen least recently are forgotten.
 */
public data class AffinitySpreadSettings(
    val averagingMillis: Double = 4_000.0,
    val slotFraction: Double = 0.3,
    val maxKeys: Int = 2_000,
)

/**
 * Estimates over how many targets the requests with one key are to be spread, so that none is full of them; not safe
 * for use by several threads.
 *
 * Load pattern: nearly all requests begin with one of few prompts, or use one of few adapters, and arrive at a hundred
 * VMs that hear too seldom from a target to know how full it is. If each VM sent them where requests with the same
 * beginning go first, that target would refuse most of them while others are idle.
 */
public class AffinitySpread(private val settings: AffinitySpreadSettings = AffinitySpreadSettings()) {
    private val rates = object : LinkedHashMap<String, ArrivalRate>(INITIAL_KEYS, LOAD_FACTOR, true) {
        override fun removeEldestEntry(eldest: MutableMap.MutableEntry<String, ArrivalRate>): Boolean =
            size > settings.maxKeys
    }

    /** Notes that a request with [key] has arrived at this VM. */
    public fun record(key: String, nowMillis: Long) {
        rates.getOrPut(key) { ArrivalRate(settings.averagingMillis, nowMillis) }.record(nowMillis)
    }

    /**
     * Returns over how many targets to spread the requests with [key], at least 1.
     *
     * @param vmCount how many VMs get such requests, each about as many.
     * @param holdMillis how long a request takes a slot.
     * @param slots how many requests a target runs at once.
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

/** Arrivals a millisecond, corrected for the time since the first one. */
private class ArrivalRate(private val averagingMillis: Double, private val startMillis: Long) {
    private val arrivals = DecayingSum(averagingMillis)

    fun record(nowMillis: Long): Unit = arrivals.add(1.0, nowMillis)

    fun ratePerMillisAt(nowMillis: Long): Double {
        val observedFraction = 1.0 - exp(-(nowMillis - startMillis) / averagingMillis)
        return arrivals.ratePerMillisAt(nowMillis) / maxOf(observedFraction, MIN_OBSERVED_FRACTION)
    }

    private companion object {
        /** The first requests of a VM tell little of the rate. */
        const val MIN_OBSERVED_FRACTION = 0.5
    }
}
