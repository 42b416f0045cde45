package org.banyanturn.entry.observe

import io.prometheus.metrics.core.metrics.Counter
import io.prometheus.metrics.core.metrics.Histogram
import io.prometheus.metrics.model.registry.PrometheusRegistry

private const val MILLIS_PER_SECOND = 1_000.0

/** Bucket bounds double from 10 ms to 2.56 s, which covers a round trip and the longest wait but 0.24 s. */
private const val MIN_BOUND_SECONDS = 0.01
private const val BOUND_FACTOR = 2.0
private const val BOUND_COUNT = 9

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
        .classicExponentialUpperBounds(MIN_BOUND_SECONDS, BOUND_FACTOR, BOUND_COUNT)
        .register(registry)

    /** Counts a request of [member] that was refused. */
    fun refused(member: String, refusal: LimitRefusal): Unit = refusals.labelValues(member, refusal.label).inc()

    /** Records that a request waited for [waitMillis] until it was admitted or refused. */
    fun waited(waitMillis: Long): Unit = waits.observe(waitMillis / MILLIS_PER_SECOND)
}
