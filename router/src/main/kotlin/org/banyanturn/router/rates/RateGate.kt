package org.banyanturn.router.rates

import com.github.michaelbull.result.Err
import com.github.michaelbull.result.Ok
import com.github.michaelbull.result.Result
import kotlinx.coroutines.CoroutineScope
import kotlinx.coroutines.delay
import kotlinx.coroutines.flow.MutableStateFlow
import kotlinx.coroutines.flow.first
import kotlinx.coroutines.flow.update
import kotlinx.coroutines.isActive
import kotlinx.coroutines.launch
import kotlinx.coroutines.withTimeoutOrNull
import org.banyanturn.core.MemberId
import org.banyanturn.core.limits.RateDecision
import org.banyanturn.core.limits.RateLimiter
import org.banyanturn.core.limits.ShareGrant
import org.banyanturn.core.limits.ShareRequest
import org.banyanturn.core.state.FleetState
import org.banyanturn.daemon.ProcessClock
import org.banyanturn.daemon.state.StateFollower
import org.banyanturn.router.http.Refusal
import org.banyanturn.router.http.RefusalCode

private const val TICK_MILLIS = 20L

/** Decides whether a member may spend on a request now. */
internal interface RateGate {
    /** Returns success if [cost] units of [memberId] are spent, or the refusal that says when to come back. */
    suspend fun spend(memberId: MemberId, cost: Double): Result<Unit, Refusal>
}

/** Sends requests for shares to other routers. */
internal fun interface ShareClient {
    /** Returns the answers to [requests], which all go to one router; none if it does not answer. */
    suspend fun request(requests: List<ShareRequest>): List<ShareGrant>
}

/** Returns a gate over [limiter], which asks other routers through [client] and follows the state in [scope]. */
internal fun sharedRateGate(
    limiter: RateLimiter,
    client: ShareClient,
    follower: StateFollower,
    clock: ProcessClock,
    scope: CoroutineScope,
): RateGate {
    val gate = SharedRateGate(limiter, client, clock, scope)
    scope.launch { follower.states.collect(gate::onState) }
    scope.launch { gate.runTicks() }
    return gate
}

private class SharedRateGate(
    private val limiter: RateLimiter,
    private val client: ShareClient,
    private val clock: ProcessClock,
    private val scope: CoroutineScope,
) : RateGate {
    /** Counts the answers of other routers, so that a request sees one that came before it began to wait. */
    private val answers = MutableStateFlow(0L)

    override suspend fun spend(memberId: MemberId, cost: Double): Result<Unit, Refusal> {
        val arrivedMillis = clock.nowMillis()
        var nowMillis = arrivedMillis
        while (true) {
            val seenAnswers = answers.value
            when (val decision = limiter.tryAcquire(memberId, cost, nowMillis, arrivedMillis)) {
                RateDecision.Admitted -> return Ok(Unit)
                RateDecision.Impossible -> return Err(impossible(memberId))
                is RateDecision.Refused -> return Err(rateLimited(memberId, decision.retryAfterMillis))
                is RateDecision.Pending -> awaitAnswer(seenAnswers, decision.untilMillis)
            }
            nowMillis = clock.nowMillis()
        }
    }

    fun onState(state: FleetState) {
        limiter.onPolicy(state, clock.nowMillis())
    }

    suspend fun runTicks() {
        while (scope.isActive) {
            sendRequests()
            delay(TICK_MILLIS)
        }
    }

    private suspend fun awaitAnswer(seenAnswers: Long, untilMillis: Long) {
        sendRequests()
        val waitMillis = (untilMillis - clock.nowMillis()).coerceAtLeast(1)
        withTimeoutOrNull(waitMillis) { answers.first { it != seenAnswers } }
    }

    private fun sendRequests() {
        limiter.tick(clock.nowMillis()).groupBy { it.to }.values.forEach { requests ->
            scope.launch { send(requests) }
        }
    }

    private suspend fun send(requests: List<ShareRequest>) {
        val grants = client.request(requests)
        grants.forEach { limiter.onGrant(it, clock.nowMillis()) }
        if (grants.isNotEmpty()) answers.update { it + 1 }
    }
}

private fun rateLimited(memberId: MemberId, retryAfterMillis: Long): Refusal =
    Refusal(
        RefusalCode.RATE_LIMITED,
        "member $memberId has used its rate and burst",
        retryAfterMillis = retryAfterMillis,
    )

private fun impossible(memberId: MemberId): Refusal =
    Refusal(RefusalCode.RATE_LIMITED, "the request costs more than the burst of member $memberId")
