package org.banyanturn.core.state

import com.github.michaelbull.result.Err
import com.github.michaelbull.result.Result
import com.github.michaelbull.result.fold

/** The expected version of an item that must not exist yet. */
public const val NO_VERSION: Long = -1

internal typealias FoldResult = Result<FleetState, RejectionReason>

/**
 * Returns the state after the record at [offset] with [payload].
 *
 * The function is deterministic and defined for every input:
 * - A record below [FleetState.nextOffset] changes nothing.
 * - A malformed record or one of an unknown kind is counted in [FleetState.skippedRecords] and otherwise skipped.
 * - A record whose id has a remembered verdict changes only the offset.
 * - An entry whose expected version is not the version of its item is rejected.
 */
public fun FleetState.foldRecord(offset: Long, payload: String): FleetState {
    if (offset < nextOffset) return this
    val advanced = copy(nextOffset = offset + 1)
    val entry = decodeLogEntryOrNull(payload) ?: return advanced.copy(skippedRecords = skippedRecords + 1)
    if (entry.recordId in verdicts) return advanced
    return advanced.applyEntry(entry, offset).fold(
        success = { it.withVerdict(entry.recordId, Verdict.Accepted(offset)) },
        failure = { advanced.withVerdict(entry.recordId, Verdict.Rejected(offset, it)) },
    )
}

/** Returns the state with [verdict] added; beyond [MAX_REMEMBERED_VERDICTS], the oldest verdict is evicted. */
private fun FleetState.withVerdict(recordId: String, verdict: Verdict): FleetState {
    val counted = copy(rememberedRecords = rememberedRecords + 1)
    if (recentRecordIds.size < MAX_REMEMBERED_VERDICTS) {
        return counted.copy(
            verdicts = verdicts.putting(recordId, verdict),
            recentRecordIds = recentRecordIds.adding(recordId),
        )
    }
    val index = (rememberedRecords % MAX_REMEMBERED_VERDICTS).toInt()
    return counted.copy(
        verdicts = verdicts.removing(recentRecordIds[index]).putting(recordId, verdict),
        recentRecordIds = recentRecordIds.replacingAt(index, recordId),
    )
}

private fun FleetState.applyEntry(entry: LogEntry, offset: Long): FoldResult {
    val currentVersion = versionOfItemOrNull(entry.change) ?: NO_VERSION
    if (entry.expectedVersion != null && entry.expectedVersion != currentVersion) {
        return reject(RejectionReason.VERSION_CONFLICT)
    }
    return when (val change = entry.change) {
        is CreateMember -> createMember(change, offset)
        is SetRate -> setRate(change, offset)
        is GrantKey -> grantKey(change, offset)
        is WithdrawKey -> withdrawKey(change, offset)
        is DeclareModel -> declareModel(change, offset)
        is SetCopies -> setCopies(change, offset)
        is DeclareAdapter -> declareAdapter(change, offset)
        is DeclareTarget -> declareTarget(change, offset)
        is DrainTarget -> setTargetDraining(change.targetId, true, offset)
        is RestoreTarget -> setTargetDraining(change.targetId, false, offset)
        is DeclareRoute -> declareRoute(change, offset)
        is DrainVm -> drainVm(change, offset)
        is JoinVm -> joinVm(change, offset)
        is LeaveVm -> leaveVm(change, offset)
        is JoinRouter -> joinRouter(change, offset)
        is LeaveRouter -> leaveRouter(change, offset)
        is OwnEngine -> ownEngine(change, entry.expectedVersion, offset)
        is ReleaseRateHomes -> releaseRateHomes(change, offset)
        is ClaimCopy -> claimCopy(change, offset)
        is ConfirmCopy -> confirmCopy(change, offset)
        is ReleaseCopy -> releaseCopy(change)
        is AnnounceCheckpoint -> announceCheckpoint(change, offset)
    }
}

internal fun reject(reason: RejectionReason): FoldResult = Err(reason)

/**
 * Returns the version of the item that [change] applies to, or `null` if the item does not exist.
 *
 * The version for a change of a copy is the fencing number of the engine's owner, so that a record that an owner wrote
 * during an earlier ownership of the same engine is rejected.
 */
public fun FleetState.versionOfItemOrNull(change: Change): Long? =
    when (change) {
        is CreateMember -> members[change.memberId]?.version
        is SetRate -> members[change.memberId]?.version
        is GrantKey -> keys[change.keyId]?.version
        is WithdrawKey -> keys[change.keyId]?.version
        is DeclareModel -> models[change.modelId]?.version
        is SetCopies -> models[change.modelId]?.version
        is DeclareAdapter -> adapters[change.adapterId]?.version
        is DeclareTarget -> targets[change.targetId]?.version
        is DrainTarget -> targets[change.targetId]?.version
        is RestoreTarget -> targets[change.targetId]?.version
        is DeclareRoute -> routes[change.routeName]?.version
        is DrainVm -> vms[change.vmId]?.version
        is JoinVm -> vms[change.incarnation.vmId]?.version
        is LeaveVm -> vms[change.incarnation.vmId]?.version
        is JoinRouter -> routers[change.incarnation.vmId]?.version
        is LeaveRouter -> routers[change.incarnation.vmId]?.version
        is OwnEngine -> owners[change.targetId]?.fencingNumber
        is ClaimCopy -> owners[change.targetId]?.fencingNumber
        is ConfirmCopy -> owners[change.targetId]?.fencingNumber
        is ReleaseCopy -> owners[change.targetId]?.fencingNumber
        is ReleaseRateHomes -> null
        is AnnounceCheckpoint -> checkpoint?.version
    }
