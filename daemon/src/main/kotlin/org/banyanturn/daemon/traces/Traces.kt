package org.banyanturn.daemon.traces

import io.opentelemetry.api.trace.Span
import io.opentelemetry.api.trace.SpanContext
import io.opentelemetry.api.trace.SpanKind
import io.opentelemetry.api.trace.StatusCode
import io.opentelemetry.api.trace.TraceFlags
import io.opentelemetry.api.trace.TraceState
import io.opentelemetry.api.trace.Tracer
import io.opentelemetry.context.Context
import io.opentelemetry.exporter.otlp.trace.OtlpGrpcSpanExporter
import io.opentelemetry.sdk.resources.Resource
import io.opentelemetry.sdk.trace.SdkTracerProvider
import io.opentelemetry.sdk.trace.export.BatchSpanProcessor
import io.opentelemetry.sdk.trace.export.SimpleSpanProcessor
import org.banyanturn.daemon.settings.TraceSettings
import java.nio.file.Path

/** Name of the HTTP header and gRPC metadata entry that propagates the trace context between processes (W3C). */
public const val TRACE_PARENT: String = "traceparent"

/** Returns a tracer for the service [serviceName] that exports spans to the destinations in [settings]. */
public fun startTracer(serviceName: String, settings: TraceSettings): Tracer {
    val resource = Resource.getDefault().toBuilder().put("service.name", serviceName).build()
    val provider = SdkTracerProvider.builder().setResource(resource)
    settings.otlpEndpoint?.let { endpoint ->
        val exporter = OtlpGrpcSpanExporter.builder().setEndpoint(endpoint).build()
        provider.addSpanProcessor(BatchSpanProcessor.builder(exporter).build())
    }
    settings.spanFile?.let { file ->
        provider.addSpanProcessor(SimpleSpanProcessor.create(spanFileExporter(serviceName, Path.of(file))))
    }
    return provider.build().get("org.banyanturn")
}

/**
 * Returns a started span whose parent is the span identified by [traceParent].
 *
 * The span is a root span if [traceParent] is `null` or malformed.
 */
public fun Tracer.startSpan(name: String, kind: SpanKind, traceParent: String?): Span =
    spanBuilder(name).setSpanKind(kind).setParent(contextOf(traceParent)).startSpan()

/** Returns the `traceparent` header value with which another process creates child spans of this span. */
public fun Span.traceParent(): String {
    val context = spanContext
    return "00-${context.traceId}-${context.spanId}-${context.traceFlags.asHex()}"
}

/**
 * Runs [block] in a new span called [name] and returns its result.
 *
 * The span ends when [block] completes. If [block] throws, the span gets an error status and the exception is rethrown.
 */
public suspend fun <T> Tracer.inSpan(
    name: String,
    kind: SpanKind,
    traceParent: String?,
    block: suspend (Span) -> T,
): T {
    val span = startSpan(name, kind, traceParent)
    try {
        return block(span)
    } catch (error: Throwable) {
        span.setStatus(StatusCode.ERROR, error.message.orEmpty())
        throw error
    } finally {
        span.end()
    }
}

private val traceParentPattern = Regex("00-([0-9a-f]{32})-([0-9a-f]{16})-([0-9a-f]{2})")

private fun contextOf(traceParent: String?): Context {
    val match = traceParent?.let(traceParentPattern::matchEntire) ?: return Context.root()
    val (traceId, spanId, flags) = match.destructured
    val parent = SpanContext.createFromRemoteParent(
        traceId,
        spanId,
        TraceFlags.fromHex(flags, 0),
        TraceState.getDefault(),
    )
    return Context.root().with(Span.wrap(parent))
}
