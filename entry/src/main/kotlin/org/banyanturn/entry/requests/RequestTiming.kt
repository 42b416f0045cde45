package org.banyanturn.entry.requests

import org.banyanturn.core.queueing.StartTerms
import org.banyanturn.core.routing.PromptUrgency
import org.banyanturn.core.serving.RouteKind
import org.banyanturn.core.serving.ServiceName

/** Decides until when a request may wait, and what counts for its place among the requests that wait. */
internal class RequestTiming(
    private val admission: Admission,
    private val service: ServiceName,
    private val environment: RequestEnvironment,
) {
    private val route = admission.route
    private val arrivedAtMillis = admission.exchange.arrivedAtMillis
    private val isStream = route.kind == RouteKind.STREAM

    /** The times that targets take for requests of the route. */
    val latencies: RouteLatencies = environment.latenciesOf(route.name)

    /** The priority of the request; 0 is the highest. */
    val rank: Int = admission.member?.rank ?: route.rank

    /** The time at which the caller gives up. */
    val deadlineMillis: Long =
        arrivedAtMillis + minOf(admission.call.timeoutMillis ?: route.timeoutMillis, route.timeoutMillis)

    /** Latest time at which a target must start the request for its response to reach the caller in time. */
    val startByMillis: Long = minOf(
        deadlineMillis - latencies.fullResponseMillis(),
        arrivedAtMillis + (route.firstEventTimeoutMillis ?: Long.MAX_VALUE / 2) - latencies.firstPartMillis(),
    )

    /** Returns what decides when the request is started while requests of several ranks wait. */
    fun startTerms(): StartTerms =
        StartTerms(
            admission.member?.memberId ?: RequestEnvironment.PUBLIC_MEMBER,
            rank,
            arrivedAtMillis,
            onTimeByMillis = arrivedAtMillis + route.targetLatencyMillis -
                if (isStream) latencies.firstPartMillis() else latencies.fullResponseMillis(),
            startByMillis,
            workMillis(),
        )

    private fun workMillis(): Double {
        val tokens = admission.call.tokens ?: return latencies.fullResponseMillis().toDouble()
        val prefillMillis = environment.prefillSpeed.millisPerTokenOrNull() ?: RequestTimings.PREFILL_TOKEN_MILLIS
        return tokens.prompt * prefillMillis + tokens.maxGenerated * RequestTimings.OUTPUT_TOKEN_MILLIS
    }

    /** Returns what decides when the prompt has its turn, or `null` if all requests of the service have one rank. */
    fun promptUrgencyOrNull(): PromptUrgency? {
        if (!environment.waitQueue.isRanked(service)) return null
        val terms = startTerms()
        return PromptUrgency(terms.rank, terms.onTimeByMillis, terms.workMillis)
    }

    /** Returns the latest time at which the prompt is sent, with a turn or without. */
    fun sendByMillis(): Long =
        minOf(startByMillis, arrivedAtMillis + route.targetLatencyMillis - latencies.firstPartMillis())
}
