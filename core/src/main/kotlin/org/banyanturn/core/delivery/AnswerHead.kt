package org.banyanturn.core.delivery

/** A header field of an answer, as it was received. */
public data class AnswerField(val name: String, val value: String)

/** The head of a target's answer, with its [fields] in the order in which they came. */
public data class AnswerHead(val statusCode: Int, val reasonPhrase: String, val fields: List<AnswerField>)

/** Why a head can't be the head of a single answer. */
public enum class AnswerHeadFault {
    /** A status line stands inside the head: its beginning belongs to another answer than its end. */
    JOINED,

    /** A field that an answer has once stands there more than once. */
    REPEATED_FIELD,

    /** The head states both a length and chunks, so that the end of the answer is ambiguous. */
    AMBIGUOUS_END,

    /** The target changes to another protocol, for which it was not asked. */
    PROTOCOL_CHANGED,

    /** The status is none that an answer may have, so that a caller could not tell what it means. */
    INVALID_STATUS,
}

/**
 * Returns why this head can't be the head of a single answer, or `null` if nothing speaks against it.
 *
 * A target may break an answer off inside its head and write another one behind it. The status line of the second one
 * then stands in the reason phrase or in a field of the first, and what follows it belongs to the second.
 *
 * @param singleFields names, in lower case, of the fields that an answer has at most once.
 */
public fun AnswerHead.faultOrNull(singleFields: Set<String>): AnswerHeadFault? =
    when {
        statusCode == STATUS_SWITCHING_PROTOCOLS -> AnswerHeadFault.PROTOCOL_CHANGED
        statusCode !in VALID_STATUSES -> AnswerHeadFault.INVALID_STATUS
        hasStatusLine(reasonPhrase) || fields.any { hasStatusLine(it.value) } -> AnswerHeadFault.JOINED
        hasRepeatedField(singleFields) -> AnswerHeadFault.REPEATED_FIELD
        hasField(CONTENT_LENGTH) && hasField(TRANSFER_ENCODING) -> AnswerHeadFault.AMBIGUOUS_END
        else -> null
    }

private fun AnswerHead.hasField(name: String): Boolean = fields.any { it.name.equals(name, ignoreCase = true) }

private fun AnswerHead.hasRepeatedField(singleFields: Set<String>): Boolean {
    val names = fields.map { it.name.lowercase() }.filter { it in singleFields || it in FRAMING_FIELDS }
    return names.size > names.toSet().size
}

private fun hasStatusLine(text: String): Boolean = PROTOCOL in text && STATUS_LINE.containsMatchIn(text)

private const val STATUS_SWITCHING_PROTOCOLS = 101

/** The statuses that HTTP defines classes for; targets in trouble have sent 000. */
private val VALID_STATUSES = 100..599
private const val CONTENT_LENGTH = "content-length"
private const val TRANSFER_ENCODING = "transfer-encoding"
private val FRAMING_FIELDS = setOf(CONTENT_LENGTH, TRANSFER_ENCODING)
private const val PROTOCOL = "HTTP/"
private val STATUS_LINE = Regex("""HTTP/\d\.\d[ \t]+\d{3}(?!\S)""")
