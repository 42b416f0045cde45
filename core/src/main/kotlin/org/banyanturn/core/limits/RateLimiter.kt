package org.banyanturn.core.limits

import org.banyanturn.core.Incarnation
import org.banyanturn.core.MemberId
import org.banyanturn.core.state.FleetState

/** Whether a request fits its member's rate and burst. */
public sealed interface RateDecision {
    /** The request's cost is debited; it may run. */
    public data object Admitted : RateDecision

    /**
     * The VM has too small a share and has asked for more: ask again when a grant has arrived and at the latest
     * at [untilMillis], when the answer will be another one.
     */
    public data class Pending(val untilMillis: Long) : RateDecision

    /** The member has no room now; [retryAfterMillis] is when it is expected to have. */
    public data class Refused(val retryAfterMillis: Long) : RateDecision

    /** The cost exceeds the member's burst, or the member does not exist: the request can never be admitted. */
    public data object Impossible : RateDecision
}

/**
 * Lengths of time that all VMs must agree on.
 *
 * @property leaseMillis how long a share may be used without being renewed.
 * @property briefLeaseMillis how long the tokens for one waiting request may be used, on a VM that sees few requests.
 * @property leaseMarginMillis how much later the home takes a share back, for clocks that run at different speeds.
 * @property briefMarginMillis the same for a brief lease.
 * @property renewMillis how often a used share is renewed.
 * @property requestIntervalMillis the shortest time between two requests for more.
 * @property retransmitMillis after what time an unanswered request is taken for lost and sent again.
 * @property answerTimeoutMillis how long a request waits for the home's answer.
 * @property idleMillis how long after the last request a share is given back.
 */
public data class ShareSettings(
    val leaseMillis: Long = 3_000,
    val briefLeaseMillis: Long = 60,
    val leaseMarginMillis: Long = 500,
    val briefMarginMillis: Long = 20,
    val renewMillis: Long = 500,
    val requestIntervalMillis: Long = 20,
    val retransmitMillis: Long = 30,
    val answerTimeoutMillis: Long = 100,
    val idleMillis: Long = 2_000,
) {
    init {
        require(renewMillis * 2 < leaseMillis) { "renewMillis must be less than half of leaseMillis" }
        require(briefLeaseMillis in 1..leaseMillis) { "briefLeaseMillis must be from 1 to leaseMillis" }
        require(leaseMarginMillis > 0 && briefMarginMillis > 0) { "the margins must be positive" }
    }
}

/**
 * Limits every member to its rate and burst, counted over all VMs together; safe for use by several threads.
 *
 * One limiter runs on each VM. The member's home VM owns the token bucket and leases parts of its rate, of its burst
 * and of its tokens to the VMs where the requests arrive. In any interval of length `t` all VMs together admit at most
 * `burst + rate * t`. All times are of a monotonic clock that runs on while the process is paused.
 */
public interface RateLimiter {
    /**
     * Returns whether a request of [memberId] with [cost] may run.
     *
     * @param arrivedAtMillis when the request first asked; the same in every call for it.
     */
    public fun tryAcquire(
        memberId: MemberId,
        cost: Double,
        nowMillis: Long,
        arrivedAtMillis: Long = nowMillis,
    ): RateDecision

    /** Returns the requests to send to other VMs; due every few milliseconds and after [RateDecision.Pending]. */
    public fun tick(nowMillis: Long): List<ShareRequest>

    /** Returns the answer to another VM's [request], or `null` if it is stale or this VM is not the home. */
    public fun answerOrNull(request: ShareRequest, nowMillis: Long): ShareGrant?

    /** Takes in another VM's answer; one that is stale, repeated or meant for another incarnation changes nothing. */
    public fun onGrant(grant: ShareGrant, nowMillis: Long)

    /** Takes over members, rates and homes of [state]; one that is not newer than the last changes nothing. */
    public fun onPolicy(state: FleetState, nowMillis: Long)

    /** Stops granting shares of [partitions] for good, so that a record may release them. */
    public fun stopGranting(partitions: Collection<Int>)
}

/** Returns a limiter for the VM [self], which holds no share yet. */
public fun RateLimiter(self: Incarnation, settings: ShareSettings = ShareSettings()): RateLimiter =
    SharedRateLimiter(self, settings)
