package org.banyanturn.measure

import org.kohsuke.args4j.Argument
import org.kohsuke.args4j.CmdLineException
import org.kohsuke.args4j.CmdLineParser
import org.kohsuke.args4j.Option
import kotlin.system.exitProcess

private const val EXIT_USAGE = 2

private val experiments: List<Experiment> = listOf(
    CapacityExperiment,
    DeliveryExperiment,
    MembersExperiment(),
    ModelsExperiment(),
)

private class MeasureArguments {
    @Argument(index = 0, metaVar = "EXPERIMENT", usage = "what to measure", required = true)
    var experiment: String = ""

    @Option(name = "--seed", metaVar = "N", usage = "seed of the random numbers (default 1)")
    var seed: Long = 1

    @Option(name = "--format", metaVar = "FORMAT", usage = "csv or text (default text)")
    var format: String = "text"
}

/** Runs the experiment that the command line [arguments] name and prints its figures. */
public fun main(arguments: Array<String>) {
    val parsed = MeasureArguments()
    val parser = CmdLineParser(parsed)
    try {
        parser.parseArgument(arguments.toList())
    } catch (error: CmdLineException) {
        exitWithUsage(error.message.orEmpty())
    }
    val experiment = experiments.firstOrNull { it.name == parsed.experiment }
        ?: exitWithUsage("unknown experiment '${parsed.experiment}'; known: ${experiments.map { it.name }}")
    val report = experiment.run(parsed.seed)
    when (parsed.format) {
        "csv" -> println(report.toCsv())
        "text" -> println(report.toText())
        else -> exitWithUsage("--format: expected csv or text, got '${parsed.format}'")
    }
}

private fun exitWithUsage(message: String): Nothing {
    System.err.println("banyanturn-measure: $message")
    System.err.println("usage: measure EXPERIMENT [--seed N] [--format csv|text]")
    exitProcess(EXIT_USAGE)
}

private fun Report.toCsv(): String = (listOf(columns) + rows).joinToString("\n") { it.joinToString(",") }

private fun Report.toText(): String {
    val lines = listOf(columns) + rows
    val widths = columns.indices.map { column -> lines.maxOf { it[column].length } }
    return lines.joinToString("\n") { line ->
        line.mapIndexed { column, cell -> cell.padEnd(widths[column]) }.joinToString("  ").trimEnd()
    }
}
