package org.banyanturn.core.state

import kotlinx.collections.immutable.toPersistentHashMap
import kotlinx.collections.immutable.toPersistentList
import kotlinx.serialization.Serializable

/** Represents a remembered verdict in a checkpoint; [reason] is `null` if the record was accepted. */
@Serializable
internal data class RememberedVerdict(val recordId: String, val offset: Long, val reason: RejectionReason? = null)

/** Represents the home of one partition of the members' rates in a checkpoint. */
@Serializable
internal data class PartitionHome(val partition: Int, val home: RateHome)

/** Represents the shared state in a checkpoint: sorted lists without the indexes that are derived from them. */
@Serializable
internal data class FleetSnapshot(
    val nextOffset: Long,
    val members: List<Member> = emptyList(),
    val keys: List<Key> = emptyList(),
    val models: List<Model> = emptyList(),
    val adapters: List<Adapter> = emptyList(),
    val targets: List<Target> = emptyList(),
    val routes: List<Route> = emptyList(),
    val vms: List<Vm> = emptyList(),
    val routers: List<Router> = emptyList(),
    val owners: List<EngineOwner> = emptyList(),
    val copies: List<Copy> = emptyList(),
    val rateHomes: List<PartitionHome> = emptyList(),
    val verdicts: List<RememberedVerdict> = emptyList(),
    val rememberedRecords: Long = 0,
    val skippedRecords: Long = 0,
    val checkpoint: AnnouncedCheckpoint? = null,
)

internal fun FleetState.toSnapshot(): FleetSnapshot =
    FleetSnapshot(
        nextOffset = nextOffset,
        members = members.values.sortedBy { it.memberId.value },
        keys = keys.values.sortedBy { it.keyId.value },
        models = models.values.sortedBy { it.modelId.value },
        adapters = adapters.values.sortedBy { it.adapterId.value },
        targets = targets.values.sortedBy { it.targetId.value },
        routes = routes.values.sortedBy { it.routeName.value },
        vms = vms.values.sortedBy { it.incarnation.vmId.value },
        routers = routers.values.sortedBy { it.incarnation.vmId.value },
        owners = owners.values.sortedBy { it.targetId.value },
        copies = copies.values.sortedWith(copyOrder),
        rateHomes = rateHomes.map { PartitionHome(it.key, it.value) }.sortedBy(PartitionHome::partition),
        verdicts = recentRecordIds.map { recordId ->
            val verdict = verdicts.getValue(recordId)
            RememberedVerdict(recordId, verdict.offset, (verdict as? Verdict.Rejected)?.reason)
        },
        rememberedRecords = rememberedRecords,
        skippedRecords = skippedRecords,
        checkpoint = checkpoint,
    )

private val copyOrder: Comparator<Copy> =
    compareBy({ it.key.targetId.value }, { it.key.modelId.value }, { it.key.adapterId?.value }, { it.key.modelVersion })

internal fun FleetSnapshot.toState(): FleetState {
    val stateWithoutCopies = FleetState(
        nextOffset = nextOffset,
        members = members.associateBy(Member::memberId).toPersistentHashMap(),
        keys = keys.associateBy(Key::keyId).toPersistentHashMap(),
        keyIdsByHash = keys.associate { it.keyHash to it.keyId }.toPersistentHashMap(),
        models = models.associateBy(Model::modelId).toPersistentHashMap(),
        adapters = adapters.associateBy(Adapter::adapterId).toPersistentHashMap(),
        targets = targets.associateBy(Target::targetId).toPersistentHashMap(),
        routes = routes.associateBy(Route::routeName).toPersistentHashMap(),
        vms = vms.associateBy { it.incarnation.vmId }.toPersistentHashMap(),
        routers = routers.associateBy { it.incarnation.vmId }.toPersistentHashMap(),
        owners = owners.associateBy(EngineOwner::targetId).toPersistentHashMap(),
        rateHomes = rateHomes.associate { it.partition to it.home }.toPersistentHashMap(),
        verdicts = verdicts.associate { it.recordId to it.toVerdict() }.toPersistentHashMap(),
        recentRecordIds = verdicts.map(RememberedVerdict::recordId).toPersistentList(),
        rememberedRecords = rememberedRecords,
        skippedRecords = skippedRecords,
        checkpoint = checkpoint,
    )
    return copies.fold(stateWithoutCopies, FleetState::withCopy)
}

private fun RememberedVerdict.toVerdict(): Verdict =
    if (reason == null) Verdict.Accepted(offset) else Verdict.Rejected(offset, reason)
