package org.banyanturn.measure

import kotlin.random.Random

/** A way to count rates, by the function that sets it up on the VMs. */
internal typealias RateCountingFactory = (EntryVms, List<MemberTraffic>) -> RateCounting

/** An event that happens to the VMs at [atMillis]. */
internal class FaultEvent(val atMillis: Double, val happen: (EntryVms, RateCounting) -> Unit)

/**
 * What one way to count rates did with the arrivals.
 *
 * @property wrongfulRefusals requests refused that one bucket over all VMs admits.
 * @property aboveBound requests admitted above what one bucket holds.
 * @property admittedAtMillis when each request was admitted.
 */
internal class RateOutcome(
    val requests: Int,
    val wrongfulRefusals: Int,
    val aboveBound: Int,
    val controlBytesPerSecondPerVm: Double,
    val admittedAtMillis: List<Double>,
) {
    val wrongfulRefusalsPer100000: Double
        get() = 100_000.0 * wrongfulRefusals / requests
}

/** Arrivals at the VMs of a deployment, with what fails meanwhile. */
internal class RateScenario(
    private val deployment: Deployment,
    private val members: List<MemberTraffic>,
    private val arrivals: List<Arrival>,
    private val durationMillis: Long,
    private val faults: List<FaultEvent> = emptyList(),
) {
    /** Returns what the way of [factory] did with the arrivals; the same for the same [seed]. */
    fun run(seed: Long, factory: RateCountingFactory): RateOutcome {
        val time = VirtualTime()
        val vms = EntryVms(deployment, time, Random(seed), MESSAGE_LOSS_FRACTION)
        val counting = factory(vms, members)
        val tally = Tally()
        faults.forEach { fault -> time.after(fault.atMillis) { fault.happen(vms, counting) } }
        arrivals.forEach { arrival ->
            time.after(BUCKET_FILL_MILLIS + arrival.atMillis) { tally.arrive(arrival, vms, counting) }
        }
        time.runUntil((BUCKET_FILL_MILLIS + durationMillis + DRAIN_MILLIS).toLong())
        return RateOutcome(
            requests = arrivals.size,
            wrongfulRefusals = tally.wrongfulRefusals,
            aboveBound = tally.aboveBound,
            controlBytesPerSecondPerVm = vms.controlBytes / (durationMillis / 1_000.0) / vms.count,
            admittedAtMillis = tally.admittedAtMillis,
        )
    }

    /** Compares each decision with one bucket on the same arrivals, and the admitted ones with the bound. */
    private inner class Tally {
        private val ideal = members.map { TokenBucket(it.ratePerSecond, it.burst, it.burst) }
        private val bounds = members.map { TokenBucket(it.ratePerSecond, it.burst, it.burst) }
        var wrongfulRefusals = 0
        var aboveBound = 0
        val admittedAtMillis = ArrayList<Double>()

        fun arrive(arrival: Arrival, vms: EntryVms, counting: RateCounting) {
            val isInsideRate = ideal[arrival.member].tryTake(vms.time.nowMicros / 1_000.0)
            counting.decide(vms.balance(arrival.vm), arrival.member) { isAdmitted ->
                val nowMillis = vms.time.nowMicros / 1_000.0
                if (isAdmitted) {
                    admittedAtMillis += nowMillis - BUCKET_FILL_MILLIS
                    if (bounds[arrival.member].takeAbove(nowMillis)) aboveBound++
                } else if (isInsideRate) {
                    wrongfulRefusals++
                }
            }
        }
    }
}

/** Time before the first arrival, in which buckets that start empty fill. */
internal const val BUCKET_FILL_MILLIS: Double = 10_000.0
private const val DRAIN_MILLIS = 1_000.0
private const val MESSAGE_LOSS_FRACTION = 0.001
