package org.banyanturn.ctl.query

import java.math.BigDecimal

/** A value of a row. */
public sealed interface Cell {
    /** A text; an absent value is an empty text. */
    public data class Text(val value: String) : Cell

    /** A number. */
    public data class Number(val value: Double) : Cell

    /** A truth value. */
    public data class Flag(val value: Boolean) : Cell
}

/** What a column's cells are. */
public enum class CellKind {
    /** Cells are texts. */
    TEXT,

    /** Cells are numbers. */
    NUMBER,

    /** Cells are truth values. */
    FLAG,
}

/** A column's name and kind. */
public data class Column(val name: String, val kind: CellKind)

/** The cells of one item, in the order of the columns. */
public data class Row(val cells: List<Cell>)

/** Rows under columns. */
public data class Table(val columns: List<Column>, val rows: List<Row>)

/** Returns the text that people read. */
public fun Cell.toDisplayText(): String =
    when (this) {
        is Cell.Text -> value
        is Cell.Number -> BigDecimal.valueOf(value).stripTrailingZeros().toPlainString()
        is Cell.Flag -> if (value) "yes" else "no"
    }

internal fun text(value: Any?): Cell = Cell.Text(value?.toString().orEmpty())

internal fun number(value: Number): Cell = Cell.Number(value.toDouble())

internal fun flag(value: Boolean): Cell = Cell.Flag(value)

internal fun rowOf(vararg cells: Cell): Row = Row(cells.toList())
