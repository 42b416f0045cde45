package org.banyanturn.ctl.language

import org.banyanturn.core.isIdentifier

/** Reads the tokens of one line from left to right; each failure names the column and what was expected. */
internal class TokenReader(private val tokens: List<Token>) {
    private var position = 0

    /** The token that is read next. */
    val next: Token get() = tokens[position]

    /** Returns the next token and moves beyond it. */
    fun take(): Token = tokens[position].also { if (it.kind != TokenKind.END) position++ }

    /** Returns whether the next token is the keyword or symbol [text], and moves beyond it if so. */
    fun skip(text: String): Boolean = isAt(text).also { if (it) take() }

    /** Returns whether the next token is the keyword or symbol [text]. */
    fun isAt(text: String): Boolean = next.kind != TokenKind.QUOTED && next.text.equals(text, ignoreCase = true)

    /** Moves beyond the keyword or symbol [text]. */
    fun expect(text: String) {
        if (!skip(text)) throw expected("\"$text\"")
    }

    /** Returns the one of [choices] that the next keyword stands for, and moves beyond it. */
    fun <T> choose(vararg choices: Pair<String, T>): T = choose(choices.asList())

    /** Returns the one of [choices] that the next keyword stands for, and moves beyond it. */
    fun <T> choose(choices: List<Pair<String, T>>): T {
        val choice = choices.firstOrNull { isAt(it.first) }
            ?: throw expected(choices.joinToString(prefix = "one of ") { it.first })
        take()
        return choice.second
    }

    /** Returns the next word or quoted text, which is [what]. */
    fun text(what: String): String {
        if (next.kind != TokenKind.WORD && next.kind != TokenKind.QUOTED) throw expected(what)
        return take().text
    }

    /** Returns the next word, which is the name of [what]. */
    fun identifier(what: String): String {
        if (!isIdentifier(next.text)) throw expected("the name of $what")
        return take().text
    }

    /** Returns the next number, which is [what]. */
    fun number(what: String): Double {
        val value = next.text.toDoubleOrNull()?.takeIf { it.isFinite() } ?: throw expected("a number for $what")
        take()
        return value
    }

    /** Returns the next whole number, which is [what]. */
    fun wholeNumber(what: String): Long {
        val value = next.text.toLongOrNull() ?: throw expected("a whole number for $what")
        take()
        return value
    }

    /** Returns items that [item] reads, with commas between them. */
    fun <T> list(item: () -> T): List<T> {
        val items = mutableListOf(item())
        while (skip(",")) items += item()
        return items
    }

    /** Checks that the line ends here. */
    fun expectEnd() {
        if (next.kind != TokenKind.END) throw expected("the end of the line")
    }

    /** Returns the failure that [what] was expected here. */
    fun expected(what: String): ParseFailure {
        val found = if (next.kind == TokenKind.END) "the end of the line" else "\"${next.text}\""
        return ParseFailure(ParseError(next.column, "expected $what, found $found"))
    }
}
