package org.banyanturn.daemon.metrics

import io.prometheus.metrics.expositionformats.PrometheusTextFormatWriter
import io.prometheus.metrics.model.registry.PrometheusRegistry
import java.io.ByteArrayOutputStream

/** Returns all metrics of [registry] in the Prometheus text exposition format. */
public fun metricsText(registry: PrometheusRegistry): String {
    val output = ByteArrayOutputStream()
    PrometheusTextFormatWriter.create().write(output, registry.scrape())
    return output.toString(Charsets.UTF_8)
}
