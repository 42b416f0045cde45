package org.banyanturn.acceptance

import kotlinx.serialization.Serializable
import kotlinx.serialization.json.Json
import java.nio.file.Path
import kotlin.io.path.exists
import kotlin.io.path.readLines

private const val MICROS_PER_MILLI = 1_000.0

@Serializable
private data class SpanLine(
    val traceId: String,
    val spanId: String,
    val parentSpanId: String,
    val service: String,
    val name: String,
    val startMicros: Long,
    val durationMicros: Long,
    val status: String,
)

/** The spans of one request. */
internal class RequestTrace private constructor(private val spans: List<SpanLine>) {
    /** Returns the names of all spans. */
    fun spanNames(): List<String> = spans.map(SpanLine::name)

    /** Returns the spans as an indented list, one a line. */
    fun toText(): String {
        val known = spans.map(SpanLine::spanId).toSet()
        return spans.filter { it.parentSpanId !in known }.joinToString("\n") { text(it, depth = 0) }
    }

    private fun text(span: SpanLine, depth: Int): String {
        val indent = "  ".repeat(depth + 1)
        val millis = "%.1f".format(java.util.Locale.ROOT, span.durationMicros / MICROS_PER_MILLI)
        val line = "$indent${span.name} [${span.service}] $millis ms"
        val children = spans.filter { it.parentSpanId == span.spanId }.sortedBy(SpanLine::startMicros)
        return (listOf(line) + children.map { text(it, depth + 1) }).joinToString("\n")
    }

    companion object {
        /** Returns the trace in [lines] that has a span whose name starts with [prefix], or `null` if none has. */
        fun findOrNull(lines: List<String>, prefix: String): RequestTrace? {
            val spans = lines.map { Json.decodeFromString(SpanLine.serializer(), it) }
            val traceId = spans.firstOrNull { it.name.startsWith(prefix) }?.traceId ?: return null
            return RequestTrace(spans.filter { it.traceId == traceId })
        }
    }
}

/** Returns the trace in [file] that has a span whose name starts with [prefix], or `null` if none has. */
internal fun traceWithSpanOrNull(file: Path, prefix: String): RequestTrace? =
    if (file.exists()) RequestTrace.findOrNull(file.readLines(), prefix) else null
