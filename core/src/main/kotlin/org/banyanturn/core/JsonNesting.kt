package org.banyanturn.core

/** Greatest depth of nested arrays and objects that a JSON text from elsewhere may have. */
public const val MAX_JSON_DEPTH: Int = 64

/**
 * Returns whether arrays and objects in the JSON text [text] are nested more than [maxDepth] deep.
 *
 * A parser that recurses exhausts its stack on such a text, so it must be rejected before it is parsed.
 */
public fun isNestedTooDeeply(text: String, maxDepth: Int = MAX_JSON_DEPTH): Boolean {
    var depth = 0
    var isInString = false
    var isEscaped = false
    for (character in text) {
        when {
            isEscaped -> isEscaped = false
            isInString && character == '\\' -> isEscaped = true
            character == '"' -> isInString = !isInString
            isInString -> Unit
            character == '[' || character == '{' -> depth++
            character == ']' || character == '}' -> depth--
        }
        if (depth > maxDepth) return true
    }
    return false
}
