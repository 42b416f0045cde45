package org.banyanturn.router.access

import com.github.michaelbull.result.Err
import com.github.michaelbull.result.Ok
import com.github.michaelbull.result.Result
import io.ktor.server.application.ApplicationCall
import kotlinx.coroutines.CoroutineScope
import kotlinx.coroutines.launch
import org.banyanturn.core.KeyId
import org.banyanturn.core.MemberId
import org.banyanturn.core.keys.KeyDecision
import org.banyanturn.core.keys.KeyStalenessPolicy
import org.banyanturn.core.keys.KeyVerifier
import org.banyanturn.core.keys.keyHashOf
import org.banyanturn.daemon.ProcessClock
import org.banyanturn.daemon.state.StateFollower
import org.banyanturn.daemon.state.StateRead
import org.banyanturn.router.http.Refusal
import org.banyanturn.router.http.RefusalCode
import org.banyanturn.router.http.bearerKeyOrNull
import java.util.concurrent.atomic.AtomicReference

/** A key that was valid when a request arrived. */
internal data class LiveKey(val keyId: KeyId, val memberId: MemberId)

/** Checks the keys that come with requests. */
internal interface AccessControl {
    /** Returns the key of [call], or the refusal of a missing, unknown, withdrawn or unverifiable one. */
    fun check(call: ApplicationCall): Result<LiveKey, Refusal>
}

/** Returns a control that follows the state in [scope] and accepts keys on an old state as [policy] says. */
internal fun accessControl(
    policy: KeyStalenessPolicy,
    follower: StateFollower,
    clock: ProcessClock,
    scope: CoroutineScope,
): AccessControl {
    val control = FollowingAccessControl(policy, clock)
    scope.launch { follower.reads.collect(control::onRead) }
    return control
}

private class FollowingAccessControl(policy: KeyStalenessPolicy, private val clock: ProcessClock) : AccessControl {
    private val authority = AtomicReference(KeyVerifier(policy))

    override fun check(call: ApplicationCall): Result<LiveKey, Refusal> {
        val bearerKey = call.bearerKeyOrNull()
        if (bearerKey.isNullOrEmpty()) return Err(missingKey)
        return when (val decision = authority.get().check(keyHashOf(bearerKey), clock.nowMillis())) {
            is KeyDecision.Valid -> Ok(LiveKey(decision.keyId, decision.memberId))
            KeyDecision.Invalid -> Err(invalidKey)
            is KeyDecision.Unverifiable -> Err(unverifiableKey.copy(retryAfterMillis = decision.retryAfterMillis))
        }
    }

    fun onRead(read: StateRead) {
        authority.updateAndGet { current ->
            if (read.isAtHead) {
                current.afterRead(read.state, read.requestSentMillis)
            } else {
                current.afterTransfer(read.state, clock.nowMillis())
            }
        }
    }
}

private const val KEY_FIELD = "Authorization"

private val missingKey = Refusal(
    RefusalCode.INVALID_KEY,
    "expected 'Authorization: Bearer KEY'",
    field = KEY_FIELD,
)

private val invalidKey = Refusal(
    RefusalCode.INVALID_KEY,
    "the key is unknown or was withdrawn",
    field = KEY_FIELD,
)

private val unverifiableKey = Refusal(
    RefusalCode.STATE_TOO_OLD,
    "this VM has been cut off from the log too long to check the key",
    field = KEY_FIELD,
)
