package org.banyanturn.daemon.traces

import io.opentelemetry.sdk.common.CompletableResultCode
import io.opentelemetry.sdk.trace.data.SpanData
import io.opentelemetry.sdk.trace.export.SpanExporter
import kotlinx.serialization.json.buildJsonObject
import kotlinx.serialization.json.put
import java.io.IOException
import java.nio.file.Files
import java.nio.file.Path
import java.nio.file.StandardOpenOption

private const val NANOS_PER_MICRO = 1_000

/** Returns an exporter that appends each span to [file] as one line of JSON. */
internal fun spanFileExporter(serviceName: String, file: Path): SpanExporter = SpanFileExporter(serviceName, file)

private class SpanFileExporter(private val serviceName: String, private val file: Path) : SpanExporter {
    override fun export(spans: Collection<SpanData>): CompletableResultCode =
        try {
            val lines = spans.joinToString("") { it.toJsonLine() }
            Files.writeString(file, lines, StandardOpenOption.CREATE, StandardOpenOption.APPEND)
            CompletableResultCode.ofSuccess()
        } catch (_: IOException) {
            CompletableResultCode.ofFailure()
        }

    override fun flush(): CompletableResultCode = CompletableResultCode.ofSuccess()

    override fun shutdown(): CompletableResultCode = CompletableResultCode.ofSuccess()

    private fun SpanData.toJsonLine(): String {
        val line = buildJsonObject {
            put("traceId", traceId)
            put("spanId", spanId)
            put("parentSpanId", parentSpanId)
            put("service", serviceName)
            put("name", name)
            put("startMicros", startEpochNanos / NANOS_PER_MICRO)
            put("durationMicros", (endEpochNanos - startEpochNanos) / NANOS_PER_MICRO)
            put("status", status.statusCode.name)
        }
        return "$line\n"
    }
}
