package org.banyanturn.core.limits

import org.banyanturn.core.Incarnation
import org.banyanturn.core.MemberId
import org.banyanturn.core.state.FleetState

/** The result of checking a request against its member's rate and burst. */
public sealed interface RateDecision {
    /** The request may run; its cost is debited. */
    public data object Admitted : RateDecision

    /**
     * The VM's share is too small and a larger one is requested from the home VM.
     *
     * The caller retries when a grant arrives, and at the latest at [untilMillis], when the result is final.
     */
    public data class Pending(val untilMillis: Long) : RateDecision

    /** The member is at its limit; capacity is expected after [retryAfterMillis] milliseconds. */
    public data class Refused(val retryAfterMillis: Long) : RateDecision

    /** The request can never be admitted: its cost exceeds the member's burst, or the member does not exist. */
    public data object Impossible : RateDecision
}

/**
 * Times and intervals of share leases; must be the same on all VMs.
 *
 * @property leaseMillis how long a share may be used without renewal.
 * @property briefLeaseMillis how long the tokens for one waiting request may be used, on a VM with few requests.
 * @property leaseMarginMillis how long after the end of a lease the home VM reclaims the share, since clocks may run at
 * different speeds.
 * @property briefMarginMillis the same for a brief lease.
 * @property renewMillis interval between renewals of a share in use.
 * @property requestIntervalMillis shortest time between two share requests.
 * @property retransmitMillis time after which an unanswered share request is considered lost and is sent again.
 * @property answerTimeoutMillis how long a request waits for the home VM's answer.
 * @property idleMillis time after the last request at which a share is released.
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
        require(leaseMarginMillis > 0 && briefMarginMillis > 0) { "the lease margins must be positive" }
    }
}

/**
 * Limits each member to its rate and burst, counted over all VMs together. Implementations are thread-safe.
 *
 * One limiter runs on each VM. The member's home VM owns the token bucket and leases parts of its rate, its burst and
 * its tokens to the VMs where requests arrive. In any interval of length `t` all VMs together admit at most
 * `burst + rate * t`. All times come from a monotonic clock that continues while the process is paused.
 */
public interface RateLimiter {
    /**
     * Returns whether a request of [memberId] with [cost] may run now; if so, debits its cost.
     *
     * @param arrivedAtMillis time of the first call for this request; the same in every call for it.
     */
    public fun tryAcquire(
        memberId: MemberId,
        cost: Double,
        nowMillis: Long,
        arrivedAtMillis: Long = nowMillis,
    ): RateDecision

    /**
     * Returns the share requests to send to other VMs.
     *
     * Must be called every few milliseconds and after each [RateDecision.Pending].
     */
    public fun tick(nowMillis: Long): List<ShareRequest>

    /** Returns the grant for another VM's [request], or `null` if it is stale or this VM is not the home. */
    public fun answerOrNull(request: ShareRequest, nowMillis: Long): ShareGrant?

    /** Applies a [grant] of another VM; a stale or duplicate grant, or one for another incarnation, is ignored. */
    public fun onGrant(grant: ShareGrant, nowMillis: Long)

    /** Applies the members, rates and homes of [state]; a state that is not newer than the last one is ignored. */
    public fun onPolicy(state: FleetState, nowMillis: Long)

    /** Permanently stops granting shares of [partitions], so that a record may release them to another home. */
    public fun stopGranting(partitions: Collection<Int>)
}

/** Creates a limiter for the VM [self]; it holds no shares yet. */
public fun RateLimiter(self: Incarnation, settings: ShareSettings = ShareSettings()): RateLimiter =
    SharedRateLimiter(self, settings)
