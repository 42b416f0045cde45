package org.banyanturn.measure

import kotlin.math.ln
import kotlin.math.pow
import kotlin.random.Random

/**
 * The traffic of one member.
 *
 * @property ratePerSecond the member's rate; every request costs one unit.
 * @property offeredPerSecond requests a second that arrive, at random.
 * @property skew exponent of the uneven spread over VMs; 0 spreads them evenly.
 * @property favouriteVm the VM that gets the most requests.
 */
internal data class MemberTraffic(
    val name: String,
    val ratePerSecond: Double,
    val burst: Double,
    val offeredPerSecond: Double,
    val skew: Double,
    val favouriteVm: Int,
)

/** A request of a member on its arrival at a VM. */
internal data class Arrival(val atMillis: Double, val member: Int, val vm: Int)

/** Returns the arrivals of [members] at [vms] VMs within [durationMillis], ordered by time. */
internal fun arrivalsOf(members: List<MemberTraffic>, vms: Int, durationMillis: Double, random: Random): List<Arrival> =
    members.flatMapIndexed { index, member -> arrivalsOf(index, member, vms, durationMillis, random) }
        .sortedBy { it.atMillis }

private fun arrivalsOf(
    index: Int,
    member: MemberTraffic,
    vms: Int,
    durationMillis: Double,
    random: Random,
): List<Arrival> {
    val weights = List(vms) { vm -> 1 / (1.0 + Math.floorMod(vm - member.favouriteVm, vms)).pow(member.skew) }
    val meanGapMillis = 1_000 / member.offeredPerSecond
    return generateSequence(exponential(meanGapMillis, random)) { it + exponential(meanGapMillis, random) }
        .takeWhile { it < durationMillis }
        .map { Arrival(it, index, weightedIndex(weights, random)) }
        .toList()
}

/** Returns a random time with an exponential distribution. */
internal fun exponential(meanMillis: Double, random: Random): Double = -meanMillis * ln(1 - random.nextDouble())

private fun weightedIndex(weights: List<Double>, random: Random): Int {
    var rest = random.nextDouble() * weights.sum()
    weights.forEachIndexed { index, weight ->
        rest -= weight
        if (rest < 0) return index
    }
    return weights.lastIndex
}

/** A token bucket that starts with [tokens]. */
internal class TokenBucket(private val ratePerSecond: Double, private val burst: Double, private var tokens: Double) {
    private var atMillis = 0.0

    /** Takes one unit if there is one and returns whether it did. */
    fun tryTake(nowMillis: Double): Boolean {
        refill(nowMillis)
        if (tokens < 1) return false
        tokens -= 1
        return true
    }

    /** Takes one unit even if there is none and returns whether that went above the bound. */
    fun takeAbove(nowMillis: Double): Boolean {
        refill(nowMillis)
        tokens -= 1
        return tokens < -TOLERANCE
    }

    private fun refill(nowMillis: Double) {
        tokens = minOf(burst, tokens + ratePerSecond * (nowMillis - atMillis) / 1_000)
        atMillis = nowMillis
    }
}

private const val TOLERANCE = 1e-6
