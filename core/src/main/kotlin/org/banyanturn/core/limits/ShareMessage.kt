package org.banyanturn.core.limits

import org.banyanturn.core.Incarnation
import org.banyanturn.core.MemberId

/**
 * A member's rate and burst.
 *
 * @property ratePerSecond cost units per second, over all VMs together.
 * @property burst cost units that may be used at once, over all VMs together.
 * @property version offset of the record that set the rate and burst.
 */
public data class RatePolicy(val ratePerSecond: Double, val burst: Double, val version: Long)

/** A message between two VMs about a member's share; messages may be lost, delayed, duplicated or reordered. */
public sealed interface ShareMessage {
    /** The member whose rate is shared. */
    public val memberId: MemberId

    /** The sender. */
    public val from: Incarnation

    /** The receiver; any other incarnation ignores the message. */
    public val to: Incarnation

    /** Version of the home that grants the shares, as known to the sender. */
    public val homeVersion: Long
}

/**
 * Requests a share from the home VM, renews it, or releases it.
 *
 * @property number sequence number of the sender's requests; the home ignores one that is not higher than the last.
 * @property appliedGrant number of the last grant of this home that the sender has applied, or 0.
 * @property wantedRate cost units per second that arrive at the sender.
 * @property wantedBurst cost units that the sender wants to be able to use at once.
 * @property averageCost average cost of the sender's requests.
 * @property neededTokens cost units that the sender needs to admit its waiting requests, including the [tokens] that it
 * holds, or 0.
 * @property tokens cost units that the sender holds.
 * @property returnedTokens cost units that the sender has debited from its share and returns.
 * @property givesUpShare whether the sender releases the share of [appliedGrant].
 */
public data class ShareRequest(
    override val memberId: MemberId,
    override val from: Incarnation,
    override val to: Incarnation,
    override val homeVersion: Long,
    val number: Long,
    val appliedGrant: Long,
    val wantedRate: Double,
    val wantedBurst: Double,
    val averageCost: Double,
    val neededTokens: Double,
    val tokens: Double,
    val returnedTokens: Double,
    val givesUpShare: Boolean = false,
) : ShareMessage

/**
 * Replaces the receiver's share.
 *
 * @property number sequence number of the home's grants to the receiver, which ignores a number that is not higher than
 * the last.
 * @property requestNumber number of the request that this grant answers; the lease starts when that request was sent.
 * @property rateFraction fraction of the member's rate, from 0 to 1.
 * @property burstFraction fraction of the member's burst, from 0 to 1.
 * @property tokens cost units that the home has debited from its pool for the receiver.
 * @property leaseMillis how long the share may be used.
 * @property roomAfterMillis time until the pool is expected to have the needed tokens that were not granted, or 0.
 */
public data class ShareGrant(
    override val memberId: MemberId,
    override val from: Incarnation,
    override val to: Incarnation,
    override val homeVersion: Long,
    val number: Long,
    val requestNumber: Long,
    val policy: RatePolicy,
    val rateFraction: Double,
    val burstFraction: Double,
    val tokens: Double,
    val leaseMillis: Long,
    val roomAfterMillis: Long,
) : ShareMessage
