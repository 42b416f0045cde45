package org.banyanturn.core.state

import kotlinx.serialization.Serializable
import kotlinx.serialization.json.Json

/**
 * Represents a change together with the fields that detect duplicate records and concurrent changes.
 *
 * @property recordId id chosen by the writer; an entry that is appended again with the same id takes effect once.
 * @property author the operator or VM that requested the change.
 * @property expectedVersion the version of the changed item that the writer read, or `null` to accept any version.
 */
@Serializable
public data class LogEntry(
    val recordId: String,
    val author: String,
    val change: Change,
    val expectedVersion: Long? = null,
)

private val logEntryJson = Json {
    ignoreUnknownKeys = true
    encodeDefaults = false
}

/** Returns the log payload of this entry: one line of JSON. */
public fun LogEntry.encodeToPayload(): String = logEntryJson.encodeToString(LogEntry.serializer(), this)

private const val MAX_NESTING_DEPTH = 32

/** Returns whether the brackets in this JSON nest deeper than [MAX_NESTING_DEPTH], which no valid entry does. */
private fun String.exceedsMaxNesting(): Boolean {
    var depth = 0
    var inString = false
    var index = 0
    while (index < length && depth <= MAX_NESTING_DEPTH) {
        val char = this[index]
        when {
            char == '"' -> inString = !inString
            inString -> if (char == '\\') index++
            char == '{' || char == '[' -> depth++
            char == '}' || char == ']' -> depth--
        }
        index++
    }
    return depth > MAX_NESTING_DEPTH
}

/**
 * Returns the entry in [payload], or `null` if the record is malformed or its kind is unknown; it never throws.
 *
 * Fields that are unknown to this version are ignored, and fields that were unknown to the writer's version take their
 * default values.
 */
public fun decodeLogEntryOrNull(payload: String): LogEntry? {
    if (payload.exceedsMaxNesting()) return null
    return try {
        logEntryJson.decodeFromString(LogEntry.serializer(), payload).takeIf { it.recordId.isNotEmpty() }
    } catch (_: RuntimeException) {
        null
    }
}
