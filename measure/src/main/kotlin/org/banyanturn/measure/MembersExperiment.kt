package org.banyanturn.measure

import kotlin.random.Random

private const val STEADY_MILLIS = 600_000L
private const val FAULTS_MILLIS = 240_000L
private const val MOVE_MILLIS = 40_000L
private const val MOVE_AT_MILLIS = 20_000.0
private const val OVERLOAD_MILLIS = 300_000L
private const val STEADY_LOAD = 0.8
private const val OVERLOAD_FACTOR = 10.0
private const val SKEW = 1.5
private const val WHOLE_RATE_FRACTION = 0.95
private const val WINDOW_MILLIS = 1_000.0
private const val KILLED_VM = 0
private const val LEAST_BURST = 20.0
private const val BURST_SECONDS = 2.0
private const val SMALL_BURST = 5.0
private val memberRates = listOf(30.0, 20.0, 8.0, 4.0, 2.0)

/** Compares how members fare with shares that move, with an equal split, and with one home VM that decides. */
internal class MembersExperiment : Experiment {
    override val name: String = "members"

    override fun run(seed: Long): Report =
        listOf(distillery, association).flatMap { DeploymentRun(it, seed).comparisons() }.toReport()
}

private class DeploymentRun(private val deployment: Deployment, private val seed: Long) {
    private val random = Random(seed)
    private val steadyMembers = memberRates.take(deployment.members).mapIndexed { index, rate ->
        MemberTraffic(
            name = "member$index",
            ratePerSecond = rate,
            burst = maxOf(LEAST_BURST, rate * BURST_SECONDS),
            offeredPerSecond = rate * STEADY_LOAD,
            skew = SKEW,
            favouriteVm = random.nextInt(deployment.vms),
        )
    }

    fun comparisons(): List<Comparison> = steady() + smallBursts() + faults() + wholeRate() + overload()

    private fun steady(): List<Comparison> {
        val scenario = scenarioOf(steadyMembers, STEADY_MILLIS, emptyList())
        return compareRates(scenario, "steady")
    }

    /** Bursts so small that requests inside the rate find the bucket empty now and then. */
    private fun smallBursts(): List<Comparison> {
        val members = steadyMembers.map { it.copy(burst = maxOf(SMALL_BURST, it.ratePerSecond)) }
        return compareRates(scenarioOf(members, STEADY_MILLIS, emptyList()), "small-bursts")
    }

    private fun faults(): List<Comparison> {
        val events = listOf(
            FaultEvent(BUCKET_FILL_MILLIS + 60_000) { vms, _ -> vms.setDown(KILLED_VM, true) },
            FaultEvent(BUCKET_FILL_MILLIS + 75_000) { _, counting -> counting.onGone(KILLED_VM) },
            FaultEvent(BUCKET_FILL_MILLIS + 80_000) { vms, counting ->
                vms.setDown(KILLED_VM, false)
                counting.onRestart(KILLED_VM)
            },
            FaultEvent(BUCKET_FILL_MILLIS + 120_000) { vms, _ -> vms.cutOff(1) },
            FaultEvent(BUCKET_FILL_MILLIS + 150_000) { vms, _ -> vms.cutOff(null) },
        )
        return compareRates(scenarioOf(steadyMembers, FAULTS_MILLIS, events), "killed-vm-and-cut-off-zone")
    }

    private fun scenarioOf(members: List<MemberTraffic>, millis: Long, faults: List<FaultEvent>): RateScenario {
        val arrivals = arrivalsOf(members, deployment.vms, millis.toDouble(), random)
        return RateScenario(deployment, members, arrivals, millis, faults)
    }

    private fun compareRates(scenario: RateScenario, situation: String): List<Comparison> {
        val split = scenario.run(seed, ::EqualSplit)
        val home = scenario.run(seed, ::OneHome)
        val moving = scenario.run(seed, ::MovingShares)
        val refusals = "wrongful-refusals-$situation"
        val bytes = "control-per-vm-$situation"
        return listOf(
            row(refusals, split.wrongfulRefusalsPer100000, moving.wrongfulRefusalsPer100000, "in 100000"),
            row("$refusals-one-home", home.wrongfulRefusalsPer100000, moving.wrongfulRefusalsPer100000, "in 100000"),
            row("above-bound-$situation", split.aboveBound.toDouble(), moving.aboveBound.toDouble(), "requests"),
            row(bytes, split.controlBytesPerSecondPerVm, moving.controlBytesPerSecondPerVm, "bytes/s"),
            row("$bytes-one-home", home.controlBytesPerSecondPerVm, moving.controlBytesPerSecondPerVm, "bytes/s"),
        )
    }

    /** All requests of one member, at twice its rate, move from one VM to another. */
    private fun wholeRate(): List<Comparison> {
        val member = steadyMembers[1].copy(offeredPerSecond = 2 * steadyMembers[1].ratePerSecond)
        val arrivals = arrivalsOf(listOf(member), 1, MOVE_MILLIS.toDouble(), random)
            .map { if (it.atMillis < MOVE_AT_MILLIS) it else it.copy(vm = 1) }
        val scenario = RateScenario(deployment, listOf(member), arrivals, MOVE_MILLIS)
        val split = scenario.run(seed, ::EqualSplit)
        val moving = scenario.run(seed, ::MovingShares)
        return listOf(
            row(
                "whole-rate-after-move",
                wholeRateAfterMillis(split, member),
                wholeRateAfterMillis(moving, member),
                "ms",
            ),
            row("above-bound-move", split.aboveBound.toDouble(), moving.aboveBound.toDouble(), "requests"),
        )
    }

    /** Returns how long after the move the first window begins in which the member gets its rate. */
    private fun wholeRateAfterMillis(outcome: RateOutcome, member: MemberTraffic): Double {
        val starts = generateSequence(MOVE_AT_MILLIS) { it + 50 }.takeWhile { it + WINDOW_MILLIS <= MOVE_MILLIS }
        val wholeRate = starts.firstOrNull { start ->
            val admitted = outcome.admittedAtMillis.count { it >= start && it < start + WINDOW_MILLIS }
            admitted >= WHOLE_RATE_FRACTION * member.ratePerSecond
        }
        return (wholeRate ?: MOVE_MILLIS.toDouble()) - MOVE_AT_MILLIS
    }

    /** The first member sends many times its rate, and all targets together serve less than all rates. */
    private fun overload(): List<Comparison> {
        val members = steadyMembers.mapIndexed { index, member ->
            val factor = if (index == 0) OVERLOAD_FACTOR else STEADY_LOAD
            member.copy(offeredPerSecond = member.ratePerSecond * factor, skew = 0.0)
        }
        val arrivals = arrivalsOf(members, deployment.vms, OVERLOAD_MILLIS.toDouble(), random)
        val scenario = QueueScenario(deployment, members, arrivals, OVERLOAD_MILLIS)
        val naive = scenario.run(seed, excluded = 0, ::EqualSplit, ::ArrivalOrderQueue)
        val fair = scenario.run(seed, excluded = 0, ::MovingShares, ::TurnQueue)
        return listOf(
            row("worst-served-share-beside-overload", naive.worstServedShare, fair.worstServedShare, "fraction"),
            row("worst-p99-wait-beside-overload", naive.worstP99WaitMillis, fair.worstP99WaitMillis, "ms"),
        )
    }

    private fun row(measure: String, naive: Double, banyanturn: Double, unit: String): Comparison =
        Comparison(deployment.name, measure, naive, banyanturn, unit)
}
