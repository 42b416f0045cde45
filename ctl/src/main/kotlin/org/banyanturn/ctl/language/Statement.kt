package org.banyanturn.ctl.language

import org.banyanturn.core.MemberId
import org.banyanturn.core.state.Change
import org.banyanturn.ctl.query.Cell
import org.banyanturn.ctl.query.Collection

/** A line of the operators' language. */
public sealed interface Statement {
    /** Asks for the rows of [collection] that meet [condition]. */
    public data class Show(
        val collection: Collection,
        val condition: Condition? = null,
        val order: RowOrder? = null,
    ) : Statement

    /**
     * Orders [change].
     *
     * @property ifOffset the offset at which the item must have changed last, or `null` for what is read now.
     */
    public data class Apply(val change: Change, val ifOffset: Long? = null) : Statement

    /** Orders a new key for [memberId]. */
    public data class GrantNewKey(val memberId: MemberId) : Statement

    /** Asks for a summary of the language. */
    public data object Help : Statement

    /** Ends an interactive session. */
    public data object Exit : Statement
}

/** Orders rows by [field]. */
public data class RowOrder(val field: String, val isDescending: Boolean)

/** What a row has to meet. */
public sealed interface Condition {
    /** Both sides hold. */
    public data class And(val left: Condition, val right: Condition) : Condition

    /** At least one side holds. */
    public data class Or(val left: Condition, val right: Condition) : Condition

    /** [inner] does not hold. */
    public data class Not(val inner: Condition) : Condition

    /** [field] compares with [operand] as [comparator] says. */
    public data class Comparison(val field: String, val comparator: Comparator, val operand: Operand) : Condition
}

/** What a field is compared with. */
public sealed interface Operand {
    /** The same [cell] for all rows. */
    public data class Value(val cell: Cell) : Operand

    /** The row's own [name]. */
    public data class Field(val name: String) : Operand
}

/** How a field is compared with a value. */
public enum class Comparator(internal val symbol: String) {
    /** The two are the same. */
    EQUAL("="),

    /** The two differ. */
    NOT_EQUAL("!="),

    /** The field is smaller. */
    LESS("<"),

    /** The field is smaller or the same. */
    AT_MOST("<="),

    /** The field is greater. */
    GREATER(">"),

    /** The field is greater or the same. */
    AT_LEAST(">="),

    /** The field's text contains the value's. */
    CONTAINS("contains"),
}
