package org.banyanturn.entry.observe

import io.prometheus.metrics.core.metrics.Counter
import io.prometheus.metrics.core.metrics.Histogram
import io.prometheus.metrics.model.registry.PrometheusRegistry

private const val MILLIS_PER_SECOND = 1_000.0

/** Upper bounds of the waits for a member's limit, in seconds; a refusal takes 0.2 s or more. */
private val WAIT_BOUNDS_SECONDS = doubleArrayOf(0.01, 0.02, 0.05, 0.1, 0.2, 0.6, 1.0, 3.0)

/** What was known about a member's limit when a request was refused because of it. */
internal enum class LimitRefusal(val label: String) {
    /** All VMs together had used the limit, or held too little of it. */
    USED("used"),

    /** Enough of the limit was unused, but other VMs held it. */
    UNUSED("unused"),

    /** The member's collector did not answer. */
    UNANSWERED("unanswered"),
}

/** Counts the requests that members' rate limits refused or delayed. */
internal class LimitMetrics(registry: PrometheusRegistry) {
    private val refusals: Counter = Counter.builder()
        .name("banyanturn_limit_refusals")
        .help("Requests refused under a member's rate limit, by member and by what was left of the limit")
        .labelNames("member", "limit")
        .register(registry)

    private val waits: Histogram = Histogram.builder()
        .name("banyanturn_limit_wait_seconds")
        .help("Time that requests waited for a part of their member's rate limit")
        .classicOnly()
        .classicUpperBounds(*WAIT_BOUNDS_SECONDS)
        .register(registry)

    /** Counts a request of [member] that was refused. */
    fun refused(member: String, refusal: LimitRefusal): Unit = refusals.labelValues(member, refusal.label).inc()

    /** Records that a request waited for [waitMillis] until it was admitted or refused. */
    fun waited(waitMillis: Long): Unit = waits.observe(waitMillis / MILLIS_PER_SECOND)
}
