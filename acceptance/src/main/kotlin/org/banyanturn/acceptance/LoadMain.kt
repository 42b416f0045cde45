package org.banyanturn.acceptance

import org.HdrHistogram.ConcurrentHistogram
import org.HdrHistogram.Histogram
import org.banyanturn.daemon.CommonArguments
import org.banyanturn.daemon.exitWithError
import org.banyanturn.daemon.parseArguments
import org.kohsuke.args4j.Option
import java.io.IOException
import java.util.UUID
import java.util.concurrent.CountDownLatch
import java.util.concurrent.atomic.AtomicInteger
import kotlin.concurrent.thread

private const val PROGRAM = "load"
private const val HIGHEST_MICROS = 120_000_000L
private const val SIGNIFICANT_DIGITS = 3
private const val NANOS_PER_MICRO = 1_000L
private const val MICROS_PER_MILLI = 1_000.0
private const val NANOS_PER_SECOND = 1e9

private class LoadArguments : CommonArguments() {
    @Option(name = "--url", metaVar = "URL", usage = "base URL of a router, or of an engine with --direct")
    var url: String? = null

    @Option(name = "--key", metaVar = "KEY", usage = "key of the caller")
    var key: String? = null

    @Option(name = "--model", metaVar = "NAME", usage = "model or adapter (default notes)")
    var model: String = "notes"

    @Option(name = "--callers", metaVar = "N", usage = "callers at once (default 64)")
    var callers: Int = 64

    @Option(name = "--requests", metaVar = "N", usage = "requests of each caller (default 50)")
    var requests: Int = 50

    @Option(name = "--direct", usage = "send the form that an engine takes, without a router")
    var isDirect: Boolean = false
}

/** The figures of a load. */
internal class LoadFigures(val latenciesMicros: Histogram, val failures: Int, val seconds: Double)

/** Sends streamed chat requests from many callers at once and prints their latencies. */
public fun main(arguments: Array<String>) {
    val options = parseArguments(PROGRAM, arguments, LoadArguments())
    val url = options.url ?: exitWithError(PROGRAM, "--url URL is required")
    val headers = if (options.isDirect) emptyMap() else options.key?.let { mapOf("Authorization" to "Bearer $it") }
    if (headers == null) exitWithError(PROGRAM, "--key KEY is required without --direct")
    val figures = runLoad(options.callers, options.requests) {
        val attempt = if (options.isDirect) mapOf("X-Attempt-Id" to UUID.randomUUID().toString()) else headers
        CallerClient(url, key = null).chat(options.model, "hello", isStreamed = true, headers = attempt).status == 200
    }
    println("requests,failures,per_second,p50_ms,p99_ms,max_ms")
    println(figures.toCsvLine())
}

/** Returns the figures of [callers] threads that each call [request] as often as [requestsEach] says. */
internal fun runLoad(callers: Int, requestsEach: Int, request: () -> Boolean): LoadFigures {
    val histogram = ConcurrentHistogram(HIGHEST_MICROS, SIGNIFICANT_DIGITS)
    val failures = AtomicInteger()
    val done = CountDownLatch(callers)
    val startNanos = System.nanoTime()
    repeat(callers) {
        thread {
            repeat(requestsEach) { if (!timed(histogram, request)) failures.incrementAndGet() }
            done.countDown()
        }
    }
    done.await()
    return LoadFigures(histogram, failures.get(), (System.nanoTime() - startNanos) / NANOS_PER_SECOND)
}

private fun timed(histogram: Histogram, request: () -> Boolean): Boolean {
    val startNanos = System.nanoTime()
    val hasSucceeded = try {
        request()
    } catch (_: IOException) {
        false
    }
    histogram.recordValue((System.nanoTime() - startNanos) / NANOS_PER_MICRO)
    return hasSucceeded
}

private fun LoadFigures.toCsvLine(): String {
    val count = latenciesMicros.totalCount
    val milliseconds = listOf(
        latenciesMicros.getValueAtPercentile(50.0),
        latenciesMicros.getValueAtPercentile(99.0),
        latenciesMicros.maxValue,
    ).map { formatMillis(it / MICROS_PER_MILLI) }
    return (listOf("$count", "$failures", formatMillis(count / seconds)) + milliseconds).joinToString(",")
}

private fun formatMillis(value: Double): String = "%.1f".format(java.util.Locale.ROOT, value)
