package org.banyanturn.router

import io.prometheus.metrics.core.metrics.Counter
import io.prometheus.metrics.core.metrics.Gauge
import io.prometheus.metrics.core.metrics.Histogram
import io.prometheus.metrics.model.registry.PrometheusRegistry
import io.prometheus.metrics.model.snapshots.Unit
import org.banyanturn.router.http.RefusalCode

private const val MILLIS_PER_SECOND = 1_000.0

/** The metrics of a router. */
internal class RouterMetrics(val registry: PrometheusRegistry) {
    private val answered: Counter = Counter.builder()
        .name("banyanturn_requests_answered")
        .help("Requests whose whole answer was sent.")
        .labelNames("kind")
        .register(registry)

    private val refused: Counter = Counter.builder()
        .name("banyanturn_requests_refused")
        .help("Requests that were refused, by reason.")
        .labelNames("kind", "code")
        .register(registry)

    private val durations: Histogram = Histogram.builder()
        .name("banyanturn_request_duration_seconds")
        .help("Time from a request's arrival to the end of its answer.")
        .unit(Unit.SECONDS)
        .labelNames("kind")
        .register(registry)

    private val offset: Gauge = Gauge.builder()
        .name("banyanturn_state_next_offset")
        .help("Offset of the first record that is not yet folded.")
        .register(registry)

    fun onAnswered(kind: RequestKind, durationMillis: Long) {
        answered.labelValues(kind.label).inc()
        durations.labelValues(kind.label).observe(durationMillis / MILLIS_PER_SECOND)
    }

    fun onRefused(kind: RequestKind, code: RefusalCode) {
        refused.labelValues(kind.label, code.text).inc()
    }

    fun onState(nextOffset: Long) {
        offset.set(nextOffset.toDouble())
    }
}

/** What a request asks for. */
internal enum class RequestKind(val label: String) {
    /** A generation by a model. */
    GENERATION("generation"),

    /** A call to a plain service. */
    SERVICE("service"),
}
