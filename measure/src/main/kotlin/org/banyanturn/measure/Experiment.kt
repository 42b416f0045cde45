package org.banyanturn.measure

/** A measurement of one part of the core in virtual time. */
internal interface Experiment {
    /** The name on the command line. */
    val name: String

    /** Returns the figures of one run; the same for the same [seed]. */
    fun run(seed: Long): Report
}

/** A table of figures: the column names and one list of cells a row. */
internal data class Report(val columns: List<String>, val rows: List<List<String>>)

/**
 * One measured figure beside that of the naive baseline.
 *
 * @property deployment the deployment whose sizes were used.
 * @property measure what was measured.
 */
internal data class Comparison(
    val deployment: String,
    val measure: String,
    val naive: Double,
    val banyanturn: Double,
    val unit: String,
)

/** Returns the report that lists these comparisons, one a row. */
internal fun List<Comparison>.toReport(): Report =
    Report(
        columns = listOf("deployment", "measure", "naive", "banyanturn", "unit"),
        rows = map { listOf(it.deployment, it.measure, formatFigure(it.naive), formatFigure(it.banyanturn), it.unit) },
    )

/** Returns [value] with at most three decimals, the same in every locale. */
internal fun formatFigure(value: Double): String =
    if (value == Math.rint(value)) value.toLong().toString() else "%.3f".format(java.util.Locale.ROOT, value)
