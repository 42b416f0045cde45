package org.banyanturn.core.keys

import org.banyanturn.core.KeyId
import org.banyanturn.core.MemberId
import org.banyanturn.core.state.FleetState
import org.banyanturn.core.state.liveKeyOrNull
import java.security.MessageDigest
import java.util.HexFormat

/** Whether a key may be used now. */
public sealed interface KeyDecision {
    /** The key is live as far as this VM knows; the request runs for [memberId]. */
    public data class Valid(val keyId: KeyId, val memberId: MemberId) : KeyDecision

    /** There is no such key, or it was withdrawn. */
    public data object Invalid : KeyDecision

    /** This VM's state is too old to tell; come back after [retryAfterMillis]. */
    public data class Unverifiable(val retryAfterMillis: Long) : KeyDecision
}

/**
 * How long keys are accepted on a state that may be out of date.
 *
 * @property maxKnownLagMillis how long keys are accepted after this VM has heard that newer records exist and has not
 * read them.
 * @property maxIsolationMillis how long keys are accepted without a word from the log or from all other zones, or
 * `null` for without end.
 * @property retryAfterMillis when a caller whose key cannot be verified is told to come back.
 */
public data class KeyStalenessPolicy(
    val maxKnownLagMillis: Long = 5_000,
    val maxIsolationMillis: Long? = 600_000,
    val retryAfterMillis: Long = 2_000,
)

/** Decides on keys with the last state that this VM has read, however old; immutable. */
public interface KeyVerifier {
    /** Returns whether the key with [keyHash] may be used at [nowMillis]. */
    public fun check(keyHash: String, nowMillis: Long): KeyDecision

    /** Returns whether a request that runs with [keyId] has to be cancelled. */
    public fun mustCancel(keyId: KeyId): Boolean

    /**
     * Returns the authority that decides with [state]; an older one than before changes nothing.
     *
     * @param confirmedAtMillis when the read that showed [state] to be complete was sent to the log.
     */
    public fun afterRead(state: FleetState, confirmedAtMillis: Long): KeyVerifier

    /**
     * Returns the authority that decides with [state], which came from a peer or a checkpoint and may be out of date.
     *
     * @param receivedAtMillis when it came.
     */
    public fun afterTransfer(state: FleetState, receivedAtMillis: Long): KeyVerifier

    /** Returns the authority that knows that records before [nextOffset] exist, as a peer said at [reportedAtMillis]. */
    public fun afterNewerRecordsReported(nextOffset: Long, reportedAtMillis: Long): KeyVerifier

    /**
     * Returns the authority that counts its state as confirmed at [reportedAtMillis], since when a peer in every other
     * availability zone has said that it knows of no newer record.
     */
    public fun afterAllZonesReported(reportedAtMillis: Long): KeyVerifier
}

/** Returns an authority that has read nothing and so verifies no key. */
public fun KeyVerifier(policy: KeyStalenessPolicy = KeyStalenessPolicy()): KeyVerifier =
    StateKeyVerifier(policy, FleetState(), confirmedAtMillis = null, knownNextOffset = 0, behindSinceMillis = null)

/** Returns the SHA-256 hash of [key] in hexadecimal, as it stands in the records. */
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
