package org.banyanturn.core.keys

import org.banyanturn.core.KeyId
import org.banyanturn.core.MemberId
import org.banyanturn.core.state.FleetState
import org.banyanturn.core.state.liveKeyOrNull
import java.security.MessageDigest
import java.util.HexFormat

/** The result of verifying a key. */
public sealed interface KeyDecision {
    /** The key [keyId] of [memberId] is valid according to this VM's state. */
    public data class Valid(val keyId: KeyId, val memberId: MemberId) : KeyDecision

    /** The key does not exist or was withdrawn. */
    public data object Invalid : KeyDecision

    /** This VM's state is too old to verify the key; the caller may retry after [retryAfterMillis]. */
    public data class Unverifiable(val retryAfterMillis: Long) : KeyDecision
}

/**
 * Limits of the age of the state with which keys are verified.
 *
 * @property maxKnownLagMillis time for which keys are accepted after a peer has reported newer records that this VM has
 * not read, in milliseconds.
 * @property maxIsolationMillis time for which keys are accepted without contact to the log or to all other zones, in
 * milliseconds, or `null` for no limit.
 * @property retryAfterMillis retry delay for callers whose key cannot be verified, in milliseconds.
 */
public data class KeyStalenessPolicy(
    val maxKnownLagMillis: Long = 5_000,
    val maxIsolationMillis: Long? = 600_000,
    val retryAfterMillis: Long = 2_000,
)

/** Verifies keys with the latest state that this VM has read, within the limits of [KeyStalenessPolicy]. Immutable. */
public interface KeyVerifier {
    /** Verifies the key with the hash [keyHash] at [nowMillis]. */
    public fun check(keyHash: String, nowMillis: Long): KeyDecision

    /** Returns whether running requests with the key [keyId] must be cancelled. */
    public fun mustCancel(keyId: KeyId): Boolean

    /**
     * Returns the verifier after [state] was read to the end of the log; a state older than the current one is ignored.
     *
     * @param confirmedAtMillis time at which the read that showed [state] to be complete was sent to the log.
     */
    public fun afterRead(state: FleetState, confirmedAtMillis: Long): KeyVerifier

    /**
     * Returns the verifier after [state] was received from a peer or a checkpoint; it may be out of date, and a state
     * older than the current one is ignored.
     */
    public fun afterTransfer(state: FleetState, receivedAtMillis: Long): KeyVerifier

    /** Returns the verifier after a peer reported at [reportedAtMillis] that records up to [nextOffset] exist. */
    public fun afterNewerRecordsReported(nextOffset: Long, reportedAtMillis: Long): KeyVerifier

    /**
     * Returns the verifier after a peer in every other availability zone has reported, at [reportedAtMillis] or later,
     * that it knows of no newer record; this confirms the current state as of [reportedAtMillis].
     */
    public fun afterAllZonesReported(reportedAtMillis: Long): KeyVerifier
}

/** Returns a verifier without state, for which every key is [KeyDecision.Unverifiable]. */
public fun KeyVerifier(policy: KeyStalenessPolicy = KeyStalenessPolicy()): KeyVerifier =
    StateKeyVerifier(policy, FleetState(), confirmedAtMillis = null, knownNextOffset = 0, behindSinceMillis = null)

/** Returns the SHA-256 hash of [key] in hexadecimal, as stored in the records. */
public fun keyHashOf(key: String): String =
    HexFormat.of().formatHex(MessageDigest.getInstance("SHA-256").digest(key.encodeToByteArray()))

private data class StateKeyVerifier(
    private val policy: KeyStalenessPolicy,
    private val state: FleetState,
    private val confirmedAtMillis: Long?,
    private val knownNextOffset: Long,
    private val behindSinceMillis: Long?,
) : KeyVerifier {
    override fun check(keyHash: String, nowMillis: Long): KeyDecision {
        val key = state.liveKeyOrNull(keyHash)
        return when {
            isStale(nowMillis) -> KeyDecision.Unverifiable(policy.retryAfterMillis)
            key == null -> KeyDecision.Invalid
            else -> KeyDecision.Valid(key.keyId, key.memberId)
        }
    }

    private fun isStale(nowMillis: Long): Boolean {
        val confirmed = confirmedAtMillis ?: return true
        val isIsolated = policy.maxIsolationMillis != null && nowMillis - confirmed > policy.maxIsolationMillis
        val isBehind = behindSinceMillis != null && nowMillis - behindSinceMillis > policy.maxKnownLagMillis
        return isIsolated || isBehind
    }

    override fun mustCancel(keyId: KeyId): Boolean = state.keys[keyId]?.isWithdrawn ?: true

    override fun afterRead(state: FleetState, confirmedAtMillis: Long): KeyVerifier {
        val confirmed = maxOf(confirmedAtMillis, this.confirmedAtMillis ?: confirmedAtMillis)
        return withState(state, confirmedAtMillis).copy(confirmedAtMillis = confirmed)
    }

    override fun afterTransfer(state: FleetState, receivedAtMillis: Long): KeyVerifier =
        withState(state, receivedAtMillis).copy(confirmedAtMillis = confirmedAtMillis ?: receivedAtMillis)

    override fun afterNewerRecordsReported(nextOffset: Long, reportedAtMillis: Long): KeyVerifier {
        if (nextOffset <= knownNextOffset) return this
        val behindSince = behindSinceMillis ?: reportedAtMillis.takeIf { nextOffset > state.nextOffset }
        return copy(knownNextOffset = nextOffset, behindSinceMillis = behindSince)
    }

    override fun afterAllZonesReported(reportedAtMillis: Long): KeyVerifier =
        if (confirmedAtMillis == null) this else copy(confirmedAtMillis = maxOf(confirmedAtMillis, reportedAtMillis))

    private fun withState(newState: FleetState, atMillis: Long): StateKeyVerifier {
        if (newState.nextOffset < state.nextOffset) return this
        val isBehind = newState.nextOffset < knownNextOffset
        return copy(state = newState, behindSinceMillis = if (isBehind) behindSinceMillis ?: atMillis else null)
    }
}
