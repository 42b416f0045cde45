package org.banyanturn.core.state

import kotlinx.serialization.Serializable
import kotlinx.serialization.json.Json

/**
 * A change together with what the fold needs to settle repeats and races.
 *
 * @property recordId chosen by the writer; an entry that is appended again with the same id takes effect once.
 * @property author who asked for the change: an operator or a VM.
 * @property expectedVersion the version of the changed item that the writer saw, or `null` to accept any.
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

/** Returns the payload of this entry for the log: one line of JSON. */
public fun LogEntry.encodeToPayload(): String = logEntryJson.encodeToString(LogEntry.serializer(), this)

private const val MAX_NESTING_DEPTH = 32

/** Returns whether brackets outside of strings nest deeper in this JSON than any entry does. */
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
 * Returns the entry in [payload], or `null` if the record is broken or its kind is unknown; it never throws.
 *
 * Fields that this version does not know are ignored, and fields that the writer's version did not know
 * take their defaults.
 */
public fun decodeLogEntryOrNull(payload: String): LogEntry? {
    if (payload.exceedsMaxNesting()) return null
    return try {
        logEntryJson.decodeFromString(LogEntry.serializer(), payload).takeIf { it.recordId.isNotEmpty() }
    } catch (_: RuntimeException) {
        null
    }
}
