package org.banyanturn.measure

import org.banyanturn.core.placement.KeepAliveSettings

private const val MILLIS_PER_HOUR = 3_600_000.0

/** What a millisecond of a request's cold start is worth in milliseconds of an idle accelerator, by deployment. */
private const val DISTILLERY_IDLE_MILLIS_PER_COLD_MILLIS = 1_500.0
private const val ASSOCIATION_IDLE_MILLIS_PER_COLD_MILLIS = 300.0

/** Compares the placement of models with a naive one: cold starts, idle accelerators and what must never happen. */
internal class ModelsExperiment(private val runMillis: Long = RUN_MILLIS) : Experiment {
    override val name: String = "models"

    override fun run(seed: Long): Report =
        listOf(
            distillery to DISTILLERY_IDLE_MILLIS_PER_COLD_MILLIS,
            association to ASSOCIATION_IDLE_MILLIS_PER_COLD_MILLIS,
        ).flatMap { (deployment, weight) -> compare(deployment, KeepAliveSettings(weight), seed) }.toReport()

    private fun compare(deployment: Deployment, settings: KeepAliveSettings, seed: Long): List<Comparison> {
        val workload = modelsWorkloadOf(deployment, seed, runMillis)
        val naive = ModelsWorld(deployment, workload, seed).let { it.run(NaivePlacement(it), runMillis) }
        val learned = ModelsWorld(deployment, workload, seed).let { it.run(LearnedPlacement(it, settings), runMillis) }
        return figures.map { (measure, unit, valueOf) ->
            Comparison(deployment.name, measure, valueOf(naive), valueOf(learned), unit)
        }
    }
}

private data class Figure(val measure: String, val unit: String, val valueOf: (ModelsFigures) -> Double)

private val figures = listOf(
    Figure("cold-start p50", "ms") { it.coldStartMillis.getValueAtPercentile(50.0).toDouble() },
    Figure("cold-start p99", "ms") { it.coldStartMillis.getValueAtPercentile(99.0).toDouble() },
    Figure("cold-start p99.9", "ms") { it.coldStartMillis.getValueAtPercentile(99.9).toDouble() },
    Figure("wait of all requests p99", "ms") { it.waitMillis.getValueAtPercentile(99.0).toDouble() },
    Figure("wait of all requests p99.9", "ms") { it.waitMillis.getValueAtPercentile(99.9).toDouble() },
    Figure("idle accelerator hours", "h") { it.idleAcceleratorMillis / MILLIS_PER_HOUR },
    Figure("refused in time", "requests") { it.refusedInTime.toDouble() },
    Figure("answered late", "requests") { it.late.toDouble() },
    Figure("copies above the decided", "times") { it.copiesAboveDecided.toDouble() },
    Figure("VMs overcommitted", "times") { it.overcommitted.toDouble() },
    Figure("requests", "requests") { it.requests.toDouble() },
    Figure("requests that met a cold model", "requests") { it.coldStartMillis.totalCount.toDouble() },
    Figure("model loads", "loads") { it.modelLoads.toDouble() },
)
