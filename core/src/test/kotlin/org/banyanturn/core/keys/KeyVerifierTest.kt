package org.banyanturn.core.keys

import org.banyanturn.core.KeyId
import org.banyanturn.core.MemberId
import org.banyanturn.core.state.Change
import org.banyanturn.core.state.CreateMember
import org.banyanturn.core.state.FleetState
import org.banyanturn.core.state.GrantKey
import org.banyanturn.core.state.LogEntry
import org.banyanturn.core.state.WithdrawKey
import org.banyanturn.core.state.encodeToPayload
import org.banyanturn.core.state.foldRecord
import org.junit.jupiter.api.Assertions.assertEquals
import org.junit.jupiter.api.Assertions.assertFalse
import org.junit.jupiter.api.Assertions.assertTrue
import org.junit.jupiter.api.Test

class KeyVerifierTest {
    private val member = MemberId("growers")
    private val keyId = KeyId("k1")
    private val hash = keyHashOf("secret")
    private val valid = KeyDecision.Valid(keyId, member)
    private val granted = stateOf(CreateMember(member, 1.0, 1.0), GrantKey(keyId, member, hash))
    private val withdrawn = stateOf(CreateMember(member, 1.0, 1.0), GrantKey(keyId, member, hash), WithdrawKey(keyId))
    private val policy = KeyStalenessPolicy(maxKnownLagMillis = 100, maxIsolationMillis = 1_000)

    private fun stateOf(vararg changes: Change): FleetState =
        changes.foldIndexed(FleetState()) { offset, state, change ->
            state.foldRecord(offset.toLong(), LogEntry("r$offset", "test", change).encodeToPayload())
        }

    @Test
    fun `the hash is SHA-256 in hexadecimal`() {
        assertEquals("2bb80d537b1da3e38bd30361aa855686bde0eacd7162fef6a25fe97bf527a25b", hash)
    }

    @Test
    fun `a VM without state verifies no key`() {
        assertEquals(KeyDecision.Unverifiable(policy.retryAfterMillis), KeyVerifier(policy).check(hash, 0))
    }

    @Test
    fun `a withdrawn key is invalid and its running requests must be cancelled`() {
        val before = KeyVerifier(policy).afterRead(granted, confirmedAtMillis = 0)
        assertEquals(valid, before.check(hash, 10))
        assertFalse(before.mustCancel(keyId))
        val after = before.afterRead(withdrawn, confirmedAtMillis = 10)
        assertEquals(KeyDecision.Invalid, after.check(hash, 10))
        assertTrue(after.mustCancel(keyId))
    }

    @Test
    fun `an older state does not make a withdrawn key valid again`() {
        val verifier = KeyVerifier(policy).afterRead(withdrawn, 0).afterTransfer(granted, 5)
        assertEquals(KeyDecision.Invalid, verifier.check(hash, 5))
    }

    @Test
    fun `an isolated VM accepts known keys until the isolation limit`() {
        val verifier = KeyVerifier(policy).afterRead(granted, confirmedAtMillis = 0)
        assertEquals(valid, verifier.check(hash, 1_000))
        assertEquals(KeyDecision.Unverifiable(policy.retryAfterMillis), verifier.check(hash, 1_001))
        val unlimited = KeyVerifier(policy.copy(maxIsolationMillis = null)).afterRead(granted, 0)
        assertEquals(valid, unlimited.check(hash, Long.MAX_VALUE))
    }

    @Test
    fun `a VM that knows of newer records verifies no key beyond the lag limit until it has read them`() {
        val behind = KeyVerifier(
            policy,
        ).afterRead(granted, 0).afterNewerRecordsReported(withdrawn.nextOffset, reportedAtMillis = 50)
        assertEquals(valid, behind.check(hash, 150))
        assertEquals(KeyDecision.Unverifiable(policy.retryAfterMillis), behind.check(hash, 151))
        val caughtUp = behind.afterTransfer(withdrawn, receivedAtMillis = 160)
        assertEquals(KeyDecision.Invalid, caughtUp.check(hash, 160))
    }

    @Test
    fun `repeated reports of newer records do not extend the lag limit`() {
        val behind = KeyVerifier(policy).afterRead(granted, 0)
            .afterNewerRecordsReported(withdrawn.nextOffset, reportedAtMillis = 50)
            .afterNewerRecordsReported(withdrawn.nextOffset + 1, reportedAtMillis = 140)
        assertEquals(KeyDecision.Unverifiable(policy.retryAfterMillis), behind.check(hash, 151))
    }

    @Test
    fun `an outage of the log does not affect keys while peers in all zones report`() {
        val verifier = KeyVerifier(policy).afterRead(granted, confirmedAtMillis = 0).afterAllZonesReported(5_000)
        assertEquals(valid, verifier.check(hash, 6_000))
        assertEquals(KeyDecision.Unverifiable(policy.retryAfterMillis), verifier.check(hash, 6_001))
        val empty = KeyVerifier(policy).afterAllZonesReported(5_000)
        assertEquals(KeyDecision.Unverifiable(policy.retryAfterMillis), empty.check(hash, 5_000))
    }
}
