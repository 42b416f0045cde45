package org.banyanturn.entry.observe

import io.prometheus.metrics.core.metrics.Counter
import io.prometheus.metrics.model.registry.PrometheusRegistry

/** Counters of this process. */
internal class EntryMetrics(val registry: PrometheusRegistry = PrometheusRegistry()) {
    /** Requests that callers sent. */
    val requests: Counter = counter("banyanturn_requests", "Requests that callers sent")

    /** Log lines that were dropped. */
    val droppedLogLines: Counter = counter("banyanturn_log_lines_dropped", "Log lines beyond the bound a second")

    private val refusals: Counter = Counter.builder()
        .name("banyanturn_refusals")
        .help("Final answers of the system's own, by reason")
        .labelNames("reason")
        .register(registry)

    /** Counts a refusal for [reason]. */
    fun refused(reason: String) {
        refusals.labelValues(reason).inc()
    }

    private fun counter(name: String, help: String): Counter =
        Counter.builder().name(name).help(help).register(registry)
}
