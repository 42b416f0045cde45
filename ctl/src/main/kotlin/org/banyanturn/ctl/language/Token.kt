package org.banyanturn.ctl.language

/** A word, number, quoted text or symbol of a line, and the column where it starts, from 1. */
internal data class Token(val kind: TokenKind, val text: String, val column: Int)

/** What a token is. */
internal enum class TokenKind {
    /** A keyword, name, number or address. */
    WORD,

    /** Text between double quotes; it is never a keyword. */
    QUOTED,

    /** Punctuation or an operator. */
    SYMBOL,

    /** The end of the line. */
    END,
}

private val tokenPattern = Regex("""\s+|"([^"]*)"|(!=|<=|>=|[=<>(),])|([\p{L}\p{N}._:/@+-]+)""")

/**
 * Returns the tokens of [line], the last of which marks its end.
 *
 * @throws ParseFailure if a character belongs to no token.
 */
internal fun tokenize(line: String): List<Token> {
    val tokens = mutableListOf<Token>()
    var position = 0
    while (position < line.length) {
        val match = tokenPattern.matchAt(line, position) ?: throw unexpectedCharacter(line, position)
        tokenOrNull(match)?.let(tokens::add)
        position = match.range.last + 1
    }
    return tokens + Token(TokenKind.END, "", line.length + 1)
}

private fun tokenOrNull(match: MatchResult): Token? {
    val column = match.range.first + 1
    val (quoted, symbol, word) = match.destructured
    return when {
        match.value.isBlank() -> null
        match.value.startsWith('"') -> Token(TokenKind.QUOTED, quoted, column)
        symbol.isNotEmpty() -> Token(TokenKind.SYMBOL, symbol, column)
        else -> Token(TokenKind.WORD, word, column)
    }
}

private fun unexpectedCharacter(line: String, position: Int): ParseFailure {
    val message = if (line[position] == '"') "a quoted text has no end" else "unexpected character ${line[position]}"
    return ParseFailure(ParseError(position + 1, message))
}
