package org.banyanturn.core.state

import kotlinx.collections.immutable.toPersistentList
import kotlinx.serialization.json.Json
import org.banyanturn.core.AdapterId
import org.banyanturn.core.Incarnation
import org.banyanturn.core.KeyId
import org.banyanturn.core.MemberId
import org.banyanturn.core.ModelId
import org.banyanturn.core.RouteName
import org.banyanturn.core.TargetId
import org.banyanturn.core.VmId

/** A reference implementation of the fold with mutable maps and no indexes: every sum is computed by a full scan. */
internal class NaiveFleet {
    val verdicts = linkedMapOf<String, Verdict>()
    val members = mutableMapOf<MemberId, Member>()
    val keys = mutableMapOf<KeyId, Key>()
    val models = mutableMapOf<ModelId, Model>()
    val adapters = mutableMapOf<AdapterId, Adapter>()
    val targets = mutableMapOf<TargetId, Target>()
    val routes = mutableMapOf<RouteName, Route>()
    val vms = mutableMapOf<VmId, Vm>()
    val routers = mutableMapOf<VmId, Router>()
    val owners = mutableMapOf<TargetId, EngineOwner>()
    val copies = mutableMapOf<CopyKey, Copy>()
    val rateHomes = mutableMapOf<Int, RateHome>()
    var checkpoint: AnnouncedCheckpoint? = null
    var skippedRecords = 0L
    private var offset = 0L

    fun fold(offset: Long, payload: String) {
        this.offset = offset
        val entry = runCatching { lenientJson.decodeFromString(LogEntry.serializer(), payload) }.getOrNull()
        if (entry == null) {
            skippedRecords++
        } else if (entry.recordId !in verdicts) {
            val reason = rejectionOrNull(entry)
            if (reason == null) apply(entry.change)
            if (reason == null) reassignRateHomes((0 until RATE_PARTITIONS).filterNot(::hasLiveRateHome))
            verdicts[entry.recordId] = reason?.let { Verdict.Rejected(offset, it) } ?: Verdict.Accepted(offset)
        }
    }

    private fun versionOf(change: Change): Long? =
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
            is ClaimCopy, is ConfirmCopy, is ReleaseCopy -> keyOf(change)?.let { owners[it.targetId] }?.fencingNumber
            is ReleaseRateHomes -> null
            is AnnounceCheckpoint -> checkpoint?.version
        }

    private fun rejectionOrNull(entry: LogEntry): RejectionReason? {
        val isStale = entry.expectedVersion != null && entry.expectedVersion != (versionOf(entry.change) ?: NO_VERSION)
        return if (isStale) RejectionReason.VERSION_CONFLICT else rejectionOrNull(entry.change, entry.expectedVersion)
    }

    private fun rejectionOrNull(change: Change, expectedVersion: Long?): RejectionReason? =
        when (change) {
            is ReleaseRateHomes -> RejectionReason.NOT_OWNER.takeUnless {
                change.partitions.all { rateHomes[it]?.incarnation == change.incarnation }
            }

            is CreateMember -> alreadyExistsIf(change.memberId in members) ?: invalidIfNegative(change.ratePerSecond)

            is SetRate -> notFoundUnless(change.memberId in members) ?: invalidIfNegative(change.burst)

            is GrantKey ->
                notFoundUnless(change.memberId in members)
                    ?: alreadyExistsIf(keys.values.any { it.keyId == change.keyId || it.keyHash == change.keyHash })

            is WithdrawKey -> notFoundUnless(change.keyId in keys)

            is DeclareModel -> invalidIf(change.memoryMebibytes <= 0 || change.copies < 0)

            is SetCopies -> notFoundUnless(change.modelId in models) ?: invalidIf(change.copies < 0)

            is DeclareAdapter -> notFoundUnless(change.modelId in models) ?: invalidIf(change.memoryMebibytes <= 0)

            is DeclareTarget -> declareTargetRejectionOrNull(change)

            is DrainTarget -> notFoundUnless(change.targetId in targets)

            is RestoreTarget -> notFoundUnless(change.targetId in targets)

            is DeclareRoute ->
                invalidIf(change.targetIds.isEmpty())
                    ?: notFoundUnless(change.targetIds.all { targets[it]?.kind == TargetKind.SERVICE })

            else -> ownershipRejectionOrNull(change, expectedVersion)
        }

    private fun ownershipRejectionOrNull(change: Change, expectedVersion: Long?): RejectionReason? =
        when (change) {
            is DrainVm -> notFoundUnless(change.vmId in vms)

            is JoinRouter ->
                staleUnless(routers[change.incarnation.vmId]?.let { it.incarnation.number < change.incarnation.number })

            is LeaveRouter ->
                notFoundUnless(change.incarnation.vmId in routers)
                    ?: staleUnless(routers.getValue(change.incarnation.vmId).incarnation == change.incarnation)

            is JoinVm ->
                staleUnless(vms[change.incarnation.vmId]?.let { it.incarnation.number < change.incarnation.number })

            is LeaveVm ->
                notFoundUnless(change.incarnation.vmId in vms)
                    ?: staleUnless(vms[change.incarnation.vmId]?.incarnation == change.incarnation)

            is OwnEngine ->
                notFoundUnless(targets[change.targetId]?.kind == TargetKind.ENGINE)
                    ?: staleUnless(isCurrent(change.incarnation))
                    ?: RejectionReason.VERSION_CONFLICT.takeIf { expectedVersion == null }

            is ClaimCopy -> claimRejectionOrNull(change)

            is ConfirmCopy -> notFoundUnless(keyOf(change) in copies)
                ?: notOwnerUnless(change.targetId, change.incarnation)

            is ReleaseCopy -> notFoundUnless(keyOf(change) in copies)
                ?: notOwnerUnless(change.targetId, change.incarnation)

            is AnnounceCheckpoint ->
                invalidIf(change.nextOffset !in 0..offset)
                    ?: alreadyExistsIf(change.nextOffset <= (checkpoint?.nextOffset ?: -1))

            else -> null
        }

    private fun alreadyExistsIf(isTaken: Boolean) = RejectionReason.ALREADY_EXISTS.takeIf { isTaken }

    private fun notFoundUnless(isPresent: Boolean) = RejectionReason.NOT_FOUND.takeUnless { isPresent }

    private fun invalidIf(isInvalid: Boolean) = RejectionReason.INVALID_VALUE.takeIf { isInvalid }

    private fun invalidIfNegative(value: Double) = invalidIf(value < 0)

    private fun staleUnless(isCurrent: Boolean?) = RejectionReason.STALE_INCARNATION.takeIf { isCurrent == false }

    private fun notOwnerUnless(targetId: TargetId, incarnation: Incarnation) =
        RejectionReason.NOT_OWNER.takeUnless { owners[targetId]?.incarnation == incarnation }

    private fun isCurrent(incarnation: Incarnation) =
        vms.values.any { it.incarnation == incarnation && !it.hasLeft }

    private fun reservedOn(targetId: TargetId) =
        copies.values.filter { it.key.targetId == targetId }.sumOf { it.memoryMebibytes }

    private fun declareTargetRejectionOrNull(change: DeclareTarget): RejectionReason? {
        val hasCopies = copies.keys.any { it.targetId == change.targetId }
        val isEngine = change.kind == TargetKind.ENGINE
        return invalidIf(if (isEngine) change.memoryMebibytes <= 0 else hasCopies)
            ?: RejectionReason.NO_MEMORY_LEFT.takeIf { change.memoryMebibytes < reservedOn(change.targetId) }
    }

    private fun claimRejectionOrNull(change: ClaimCopy): RejectionReason? {
        val model = models[change.modelId]
        val adapter = change.adapterId?.let(adapters::get)
        val isDeclared = change.adapterId == null || adapter?.modelId == change.modelId
        val version = if (adapter == null) model?.declaredVersion else adapter.declaredVersion
        return notFoundUnless(change.targetId in targets && model != null && isDeclared)
            ?: notOwnerUnless(change.targetId, change.incarnation)
            ?: staleUnless(isCurrent(change.incarnation))
            ?: alreadyExistsIf(keyOf(change) in copies)
            ?: RejectionReason.VERSION_CONFLICT.takeIf { change.version != version }
            ?: limitRejectionOrNull(change, model!!, adapter)
    }

    private fun limitRejectionOrNull(change: ClaimCopy, model: Model, adapter: Adapter?): RejectionReason? {
        val claimed = copies.keys.count { it.modelId == change.modelId && it.adapterId == null }
        val memoryMebibytes = reservedOn(change.targetId) + (adapter?.memoryMebibytes ?: model.memoryMebibytes)
        return when {
            adapter == null && claimed >= model.copies -> RejectionReason.NO_COPY_LEFT
            memoryMebibytes > targets.getValue(change.targetId).memoryMebibytes -> RejectionReason.NO_MEMORY_LEFT
            else -> null
        }
    }

    private fun apply(change: Change) {
        when (change) {
            is ReleaseRateHomes -> reassignRateHomes(change.partitions)

            is CreateMember ->
                members[change.memberId] = Member(change.memberId, change.ratePerSecond, change.burst, offset)

            is SetRate -> members[change.memberId] = Member(change.memberId, change.ratePerSecond, change.burst, offset)

            is GrantKey -> keys[change.keyId] = Key(change.keyId, change.memberId, change.keyHash, false, offset)

            is WithdrawKey -> keys.computeIfPresent(change.keyId) { _, key ->
                key.copy(isWithdrawn = true, version = offset)
            }

            is DeclareModel -> models[change.modelId] =
                Model(change.modelId, change.version, change.memoryMebibytes, change.copies, offset)

            is SetCopies -> models.computeIfPresent(change.modelId) { _, model ->
                model.copy(copies = change.copies, version = offset)
            }

            is DeclareAdapter -> adapters[change.adapterId] =
                Adapter(change.adapterId, change.modelId, change.version, change.memoryMebibytes, offset)

            is DeclareTarget -> targets[change.targetId] = Target(
                change.targetId,
                change.kind,
                change.address,
                change.zoneId,
                change.memoryMebibytes,
                change.checksFencing,
                targets[change.targetId]?.isDraining == true,
                offset,
            )

            is DrainTarget -> drainTarget(change.targetId, true)

            is RestoreTarget -> drainTarget(change.targetId, false)

            is DeclareRoute -> routes[change.routeName] = Route(
                change.routeName,
                change.targetIds.toPersistentList(),
                change.isOpen,
                change.idempotentMethods.toPersistentList(),
                offset,
            )

            is DrainVm -> vms.computeIfPresent(change.vmId) { _, vm -> vm.copy(isDraining = true, version = offset) }

            is JoinRouter -> routers[change.incarnation.vmId] =
                Router(change.incarnation, change.zoneId, change.peerAddress, hasLeft = false, offset)

            is LeaveRouter -> routers.computeIfPresent(change.incarnation.vmId) { _, router ->
                router.copy(hasLeft = true, version = offset)
            }

            is JoinVm -> vms[change.incarnation.vmId] = Vm(
                change.incarnation,
                change.zoneId,
                change.routerPeerAddress,
                change.placerPeerAddress,
                isDraining = false,
                hasLeft = false,
                version = offset,
            )

            is LeaveVm -> vms.computeIfPresent(change.incarnation.vmId) { _, vm ->
                val leftGracefully = vm.leftGracefully || (!vm.hasLeft && change.isGraceful)
                vm.copy(hasLeft = true, leftGracefully = leftGracefully, version = offset)
            }

            is OwnEngine -> owners[change.targetId] =
                EngineOwner(change.targetId, change.incarnation, offset, mustWaitForOrders(change))

            is ClaimCopy -> {
                val memoryMebibytes = change.adapterId?.let { adapters.getValue(it).memoryMebibytes }
                    ?: models.getValue(change.modelId).memoryMebibytes
                copies[keyOf(change)!!] = Copy(keyOf(change)!!, false, offset, memoryMebibytes)
            }

            is ConfirmCopy -> copies.computeIfPresent(keyOf(change)!!) { _, copy ->
                copy.copy(isReady = true, version = offset)
            }

            is ReleaseCopy -> copies.remove(keyOf(change)!!)

            is AnnounceCheckpoint ->
                checkpoint = AnnouncedCheckpoint(change.nextOffset, change.firstChunkOffset, offset)
        }
    }

    private fun hasLiveRateHome(partition: Int): Boolean =
        routers.values.any { !it.hasLeft && it.incarnation == rateHomes[partition]?.incarnation }

    private fun reassignRateHomes(partitions: List<Int>) {
        val activeRouters = routers.values.filterNot(Router::hasLeft)
        val notDraining = activeRouters.filterNot { vms[it.incarnation.vmId]?.isDraining == true }
        val candidates = notDraining.ifEmpty { activeRouters }.map(Router::incarnation)
        if (candidates.isEmpty()) return
        partitions.forEach { partition ->
            val home = candidates.sortedBy { it.vmId.value }.preferredRateHome(partition)
            rateHomes[partition] = RateHome(home, offset, hasPredecessor = partition in rateHomes)
        }
    }

    private fun mustWaitForOrders(change: OwnEngine): Boolean {
        val previous = owners[change.targetId] ?: return false
        if (previous.incarnation == change.incarnation) return previous.mustWait
        return vms.values.none { it.incarnation == previous.incarnation && it.leftGracefully }
    }

    private fun drainTarget(targetId: TargetId, isDraining: Boolean) {
        targets.computeIfPresent(targetId) { _, target -> target.copy(isDraining = isDraining, version = offset) }
    }

    private fun keyOf(change: Change): CopyKey? =
        when (change) {
            is ClaimCopy -> CopyKey(change.targetId, change.modelId, change.adapterId, change.version)
            is ConfirmCopy -> CopyKey(change.targetId, change.modelId, change.adapterId, change.version)
            is ReleaseCopy -> CopyKey(change.targetId, change.modelId, change.adapterId, change.version)
            else -> null
        }
}

private val lenientJson = Json { ignoreUnknownKeys = true }
