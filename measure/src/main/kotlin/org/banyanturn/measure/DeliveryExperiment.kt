package org.banyanturn.measure

import org.banyanturn.measure.delivery.BanyanturnProxy
import org.banyanturn.measure.delivery.Judge
import org.banyanturn.measure.delivery.NaiveProxy
import org.banyanturn.measure.delivery.Schedule
import org.banyanturn.measure.delivery.World

/** Measures what becomes of requests under faults, with a naive retrying proxy and with the core's decisions. */
internal object DeliveryExperiment : Experiment {
    override val name: String = "delivery"

    override fun run(seed: Long): Report = listOf(distillery, association).flatMap { compare(it, seed) }.toReport()

    private fun compare(deployment: Deployment, seed: Long): List<Comparison> {
        val schedule = Schedule(seed, deployment)
        val naive = World(schedule, seed) { world, vm -> NaiveProxy(world, vm) }.run()
        val banyanturn = World(schedule, seed) { world, vm -> BanyanturnProxy(world, vm, seed) }.run()
        fun row(measure: String, unit: String, figure: (Judge) -> Number): Comparison =
            Comparison(deployment.name, measure, figure(naive).toDouble(), figure(banyanturn).toDouble(), unit)
        return listOf(
            row("orders run twice", "orders", Judge::ranTwice),
            row("false not-run", "orders", Judge::falseNotRuns),
            row("wrong or partial answers passed as whole", "requests", Judge::wrongAnswers),
            row("requests never answered", "requests") { it.neverAnswered(schedule.requests) },
            row("requests cut by a rolling restart", "requests", Judge::cutByRestart),
            row("time until a silent connection is left p99", "ms", Judge::silentP99Millis),
            row("targets crashed by one poison request", "targets", Judge::mostCrashes),
            row("idempotent requests saved after a single target's death", "percent", Judge::savedPercent),
            row("innocent requests blocked", "requests", Judge::blocked),
            row("requests answered whole", "requests", Judge::answered),
            row("silent connections left", "connections", Judge::silentConnections),
        )
    }
}
