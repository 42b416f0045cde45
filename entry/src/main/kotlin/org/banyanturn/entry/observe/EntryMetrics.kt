package org.banyanturn.entry.observe

import io.prometheus.metrics.core.metrics.Counter
import io.prometheus.metrics.core.metrics.Gauge
import io.prometheus.metrics.core.metrics.Histogram
import io.prometheus.metrics.model.registry.PrometheusRegistry

/** Counters and latency histograms of this process. */
internal class EntryMetrics(val registry: PrometheusRegistry = PrometheusRegistry()) {
    /** Counts the requests that callers sent. */
    val requests: Counter = counter("banyanturn_requests", "Requests that callers sent")

    /** Counts the log lines that were dropped. */
    val droppedLogLines: Counter = counter("banyanturn_log_lines_dropped", "Log lines beyond the bound a second")

    /** Counts the responses of targets with a notice header that can't be parsed. */
    val unreadableNotices: Counter =
        counter("banyanturn_unreadable_notices", "Answers with a header about further requests that can't be read")

    /** Counts the observed rollbacks of the platform's store. */
    val storeRollbacks: Counter =
        counter("banyanturn_store_rollbacks", "Rises of the epoch in answers of the platform's store")

    /** Counts the responses of the platform's store whose epoch can't be read or is not credible yet. */
    val unreadableStoreEpochs: Counter =
        counter("banyanturn_unreadable_store_epochs", "Answers of the platform's store whose epoch was ignored")

    /** The highest epoch in responses of the platform's store. */
    val storeEpoch: Gauge = Gauge.builder()
        .name("banyanturn_store_epoch")
        .help("Highest epoch in answers of the platform's store")
        .register(registry)

    /** Counts the choices of a target that passed over an engine because its memory can't hold the request. */
    val memoryWithheld: Counter =
        counter("banyanturn_memory_withheld", "Choices that passed over an engine for lack of memory")

    /** The number of targets whose usual speed is at most half of normal. */
    val slowTargets: Gauge = Gauge.builder()
        .name("banyanturn_slow_targets")
        .help("Targets whose usual speed is at most half of normal")
        .register(registry)

    private val unsolicitedBytes: Counter = Counter.builder()
        .name("banyanturn_unsolicited_bytes")
        .help("Bytes that targets sent where no response was due, by place")
        .labelNames("place")
        .register(registry)

    private val refusals: Counter = Counter.builder()
        .name("banyanturn_refusals")
        .help("Final answers of the system's own, by reason")
        .labelNames("reason")
        .register(registry)

    private val coldPermits: Counter = Counter.builder()
        .name("banyanturn_cold_permits")
        .help("Permits for requests to cold targets, by result")
        .labelNames("result")
        .register(registry)

    private val coldTargets: Gauge = gauge("banyanturn_cold_targets", "Targets that are cold")

    private val evacuatedZones: Gauge = gauge("banyanturn_evacuated_zones", "Zones that operators have evacuated")

    private val rankedWaits: Counter = Counter.builder()
        .name("banyanturn_ranked_waits")
        .help("Requests that waited for a target of a service with several ranks, by rank and outcome")
        .labelNames("rank", "outcome")
        .register(registry)

    private val durations: Histogram =
        histogram("banyanturn_request_duration_seconds", "Time from a request's head to the end of its answer")

    private val firstParts: Histogram =
        histogram("banyanturn_target_first_part_seconds", "Time until the first part of a target's answer")

    /** Records that a request was answered by its target after [durationMillis]. */
    fun answered(durationMillis: Long): Unit = durations.observe(durationMillis / MILLIS_PER_SECOND)

    /** Records that the first part of a target's response arrived after [firstPartMillis]. */
    fun firstPart(firstPartMillis: Long): Unit = firstParts.observe(firstPartMillis / MILLIS_PER_SECOND)

    /** Counts a refusal for [reason]. */
    fun refused(reason: String) {
        refusals.labelValues(reason).inc()
    }

    /** Counts [byteCount] bytes that a target sent at [place], where no response was due. */
    fun unsolicited(place: String, byteCount: Int) {
        unsolicitedBytes.labelValues(place).inc(byteCount.toLong())
    }

    /** Counts [count] permits for cold targets with [result]. */
    fun coldPermits(result: String, count: Long) {
        if (count > 0) coldPermits.labelValues(result).inc(count)
    }

    /** Records the current numbers of evacuated zones and of cold targets. */
    fun recordZonesAndColdTargets(zoneCount: Int, coldTargetCount: Int) {
        evacuatedZones.set(zoneCount.toDouble())
        coldTargets.set(coldTargetCount.toDouble())
    }

    /** Counts a request of [rank] with [outcome] in the queue for targets. */
    fun rankedWait(rank: Int, outcome: String) {
        rankedWaits.labelValues(rank.toString(), outcome).inc()
    }

    private fun histogram(name: String, help: String): Histogram =
        Histogram.builder()
            .name(name)
            .help(help)
            .classicOnly()
            .classicExponentialUpperBounds(MIN_BOUND_SECONDS, BOUND_FACTOR, BOUND_COUNT)
            .register(registry)

    private fun gauge(name: String, help: String): Gauge = Gauge.builder().name(name).help(help).register(registry)

    private fun counter(name: String, help: String): Counter =
        Counter.builder().name(name).help(help).register(registry)

    private companion object {
        const val MILLIS_PER_SECOND = 1_000.0

        /** Bucket bounds double from 25 ms to 25.6 s, which covers callers' latency targets and timeouts. */
        const val MIN_BOUND_SECONDS = 0.025
        const val BOUND_FACTOR = 2.0
        const val BOUND_COUNT = 11
    }
}
