package org.banyanturn.ctl.query

import org.banyanturn.core.state.FleetState
import org.banyanturn.ctl.language.Comparator
import org.banyanturn.ctl.language.Condition
import org.banyanturn.ctl.language.Operand
import org.banyanturn.ctl.language.Statement

/** Returns the rows that [query] asks for; without an order they stand by their cells from left to right. */
public fun FleetState.select(query: Statement.Show): Table {
    val columns = query.collection.columns
    val rows = rowsOf(query.collection)
        .filter { row -> query.condition?.holdsFor(row, columns) ?: true }
        .sortedWith(::compareRows)
    val order = query.order ?: return Table(columns, rows)
    val index = columns.indexOfFirst { it.name == order.field }
    val byField = kotlin.Comparator<Row> { a, b -> compareCells(a.cells[index], b.cells[index]) }
    return Table(columns, rows.sortedWith(if (order.isDescending) byField.reversed() else byField))
}

private fun Condition.holdsFor(row: Row, columns: List<Column>): Boolean =
    when (this) {
        is Condition.And -> left.holdsFor(row, columns) && right.holdsFor(row, columns)
        is Condition.Or -> left.holdsFor(row, columns) || right.holdsFor(row, columns)
        is Condition.Not -> !inner.holdsFor(row, columns)
        is Condition.Comparison -> comparator.holdsFor(row.cellOf(field, columns), operand.cellIn(row, columns))
    }

private fun Operand.cellIn(row: Row, columns: List<Column>): Cell =
    when (this) {
        is Operand.Value -> cell
        is Operand.Field -> row.cellOf(name, columns)
    }

private fun Row.cellOf(field: String, columns: List<Column>): Cell = cells[columns.indexOfFirst { it.name == field }]

private fun Comparator.holdsFor(cell: Cell, other: Cell): Boolean {
    val order = compareCells(cell, other)
    return when (this) {
        Comparator.EQUAL -> order == 0
        Comparator.NOT_EQUAL -> order != 0
        Comparator.LESS -> order < 0
        Comparator.AT_MOST -> order <= 0
        Comparator.GREATER -> order > 0
        Comparator.AT_LEAST -> order >= 0
        Comparator.CONTAINS -> other.toDisplayText() in cell.toDisplayText()
    }
}

private fun compareRows(a: Row, b: Row): Int =
    a.cells.zip(b.cells, ::compareCells).firstOrNull { it != 0 } ?: 0

private fun compareCells(a: Cell, b: Cell): Int =
    when {
        a is Cell.Number && b is Cell.Number -> a.value.compareTo(b.value)
        a is Cell.Flag && b is Cell.Flag -> a.value.compareTo(b.value)
        else -> a.toDisplayText().compareTo(b.toDisplayText())
    }
