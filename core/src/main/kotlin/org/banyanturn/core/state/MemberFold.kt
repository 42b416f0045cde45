package org.banyanturn.core.state

import com.github.michaelbull.result.Ok

internal fun FleetState.createMember(change: CreateMember, offset: Long): FoldResult {
    if (change.memberId in members) return reject(RejectionReason.ALREADY_EXISTS)
    if (!isValidRate(change.ratePerSecond, change.burst)) return reject(RejectionReason.INVALID_VALUE)
    val member = Member(change.memberId, change.ratePerSecond, change.burst, offset)
    return Ok(copy(members = members.putting(change.memberId, member)))
}

internal fun FleetState.setRate(change: SetRate, offset: Long): FoldResult {
    val member = members[change.memberId] ?: return reject(RejectionReason.NOT_FOUND)
    if (!isValidRate(change.ratePerSecond, change.burst)) return reject(RejectionReason.INVALID_VALUE)
    val updated = member.copy(ratePerSecond = change.ratePerSecond, burst = change.burst, version = offset)
    return Ok(copy(members = members.putting(change.memberId, updated)))
}

private fun isValidRate(ratePerSecond: Double, burst: Double): Boolean =
    ratePerSecond.isFinite() && ratePerSecond >= 0 && burst.isFinite() && burst >= 0

internal fun FleetState.grantKey(change: GrantKey, offset: Long): FoldResult {
    if (change.memberId !in members) return reject(RejectionReason.NOT_FOUND)
    if (change.keyId in keys || change.keyHash in keyIdsByHash) return reject(RejectionReason.ALREADY_EXISTS)
    val key = Key(change.keyId, change.memberId, change.keyHash, isWithdrawn = false, offset)
    return Ok(
        copy(
            keys = keys.putting(change.keyId, key),
            keyIdsByHash = keyIdsByHash.putting(change.keyHash, change.keyId),
        ),
    )
}

internal fun FleetState.withdrawKey(change: WithdrawKey, offset: Long): FoldResult {
    val key = keys[change.keyId] ?: return reject(RejectionReason.NOT_FOUND)
    return Ok(copy(keys = keys.putting(change.keyId, key.copy(isWithdrawn = true, version = offset))))
}
