package org.banyanturn.ctl.language

/** What is wrong with a line and at which column, from 1. */
public data class ParseError(val column: Int, val message: String)

/** Returns [line], a mark below the error's column, and the message. */
public fun ParseError.pointInto(line: String): String =
    "$line\n${" ".repeat(column - 1)}^\ncolumn $column: $message"

/** Carries a [ParseError] out of the parser. */
internal class ParseFailure(val error: ParseError) : Exception(error.message, null, false, false)
