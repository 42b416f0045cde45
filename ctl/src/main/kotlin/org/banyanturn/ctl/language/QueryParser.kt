package org.banyanturn.ctl.language

import org.banyanturn.ctl.query.Cell
import org.banyanturn.ctl.query.CellKind
import org.banyanturn.ctl.query.Collection
import org.banyanturn.ctl.query.Column

/** Reads what follows `show` and the name of [collection]. */
internal class QueryParser(private val reader: TokenReader, private val collection: Collection) {
    fun parse(): Statement.Show {
        val condition = if (reader.skip("where")) disjunction() else null
        return Statement.Show(collection, condition, orderOrNull())
    }

    private fun orderOrNull(): RowOrder? {
        if (!reader.skip("order")) return null
        reader.expect("by")
        val field = column().name
        val isDescending = reader.skip("desc")
        if (!isDescending) reader.skip("asc")
        return RowOrder(field, isDescending)
    }

    private fun disjunction(): Condition {
        var condition = conjunction()
        while (reader.skip("or")) condition = Condition.Or(condition, conjunction())
        return condition
    }

    private fun conjunction(): Condition {
        var condition = negation()
        while (reader.skip("and")) condition = Condition.And(condition, negation())
        return condition
    }

    private fun negation(): Condition =
        when {
            reader.skip("not") -> Condition.Not(negation())
            reader.skip("(") -> disjunction().also { reader.expect(")") }
            else -> comparison()
        }

    private fun comparison(): Condition {
        val column = column()
        val comparator = reader.choose(Comparator.entries.filter(column::allows).map { it.symbol to it })
        return Condition.Comparison(column.name, comparator, operand(column))
    }

    private fun column(): Column = reader.choose(collection.columns.map { it.name to it })

    /** A word for a number or truth value may name another field; for a text it is the text itself. */
    private fun operand(column: Column): Operand {
        val other = collection.columns.firstOrNull { column.kind != CellKind.TEXT && reader.isAt(it.name) }
        if (other?.kind != column.kind) return Operand.Value(value(column))
        reader.take()
        return Operand.Field(other.name)
    }

    private fun value(column: Column): Cell =
        when (column.kind) {
            CellKind.TEXT -> Cell.Text(reader.text("a text for ${column.name}"))
            CellKind.NUMBER -> Cell.Number(reader.number(column.name))
            CellKind.FLAG -> Cell.Flag(reader.choose("true" to true, "false" to false))
        }
}

private fun Column.allows(comparator: Comparator): Boolean =
    when (comparator) {
        Comparator.EQUAL, Comparator.NOT_EQUAL -> true
        Comparator.CONTAINS -> kind == CellKind.TEXT
        else -> kind != CellKind.FLAG
    }
