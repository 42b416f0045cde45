package org.banyanturn.measure

import kotlinx.collections.immutable.persistentHashMapOf
import kotlinx.collections.immutable.persistentListOf
import org.banyanturn.core.AdapterId
import org.banyanturn.core.Incarnation
import org.banyanturn.core.KeyId
import org.banyanturn.core.MemberId
import org.banyanturn.core.ModelId
import org.banyanturn.core.TargetId
import org.banyanturn.core.VmId
import org.banyanturn.core.ZoneId
import org.banyanturn.core.state.Change
import org.banyanturn.core.state.ClaimCopy
import org.banyanturn.core.state.CreateMember
import org.banyanturn.core.state.DeclareAdapter
import org.banyanturn.core.state.DeclareModel
import org.banyanturn.core.state.DeclareTarget
import org.banyanturn.core.state.FleetState
import org.banyanturn.core.state.GrantKey
import org.banyanturn.core.state.JoinVm
import org.banyanturn.core.state.LogEntry
import org.banyanturn.core.state.NO_VERSION
import org.banyanturn.core.state.OwnEngine
import org.banyanturn.core.state.TargetKind
import org.banyanturn.core.state.encodeToPayload
import org.banyanturn.core.state.foldRecord
import java.security.MessageDigest

private const val ZONES = 16
private const val MODEL_MEBIBYTES = 100L
private const val ADAPTER_MEBIBYTES = 1L
private const val LARGE_ENGINE_MEBIBYTES = 100_000L
private const val START_MILLIS = 1_790_000_000_000L

/**
 * How many items of each kind a fleet has.
 *
 * @property copies claimed copies of models, spread over the engines.
 */
internal data class FleetSize(
    val vms: Int = 0,
    val engines: Int = 0,
    val models: Int = 0,
    val adapters: Int = 0,
    val members: Int = 0,
    val keys: Int = 0,
    val copies: Int = 0,
)

/** The target size; the number of members, keys and copies is not given and is a working figure. */
internal val targetFleetSize: FleetSize = FleetSize(
    vms = 490,
    engines = 1_500,
    models = 600,
    adapters = 10_000,
    members = 1_000,
    keys = 4_000,
    copies = 3_000,
)

internal fun vmIdOf(index: Int): VmId = VmId("vm-10-0-${index / 256}-${index % 256}")

internal fun zoneIdOf(index: Int): ZoneId = ZoneId("region-${index % ZONES % 5}-zone-${index % ZONES}")

internal fun incarnationOf(index: Int): Incarnation = Incarnation(vmIdOf(index), START_MILLIS + index)

internal fun memberIdOf(index: Int): MemberId = MemberId("member-$index")

internal fun modelIdOf(index: Int): ModelId = ModelId("model-$index")

internal fun adapterIdOf(index: Int): AdapterId = AdapterId("adapter-$index")

internal fun targetIdOf(index: Int): TargetId = TargetId("engine-$index")

/** Returns the entry that makes [change], as a VM or operator appends it. */
internal fun entryOf(offset: Long, change: Change): LogEntry {
    val expectedVersion = if (change is OwnEngine) NO_VERSION else null
    return LogEntry("vm-10-0-0-1-$START_MILLIS-$offset", "vm-10-0-0-1", change, expectedVersion)
}

/** Returns the changes that build up a fleet of this size, in order. */
internal fun FleetSize.changes(): Sequence<Change> =
    sequence {
        for (index in 0 until vms) {
            val address = "10.0.${index / 256}.${index % 256}"
            yield(JoinVm(incarnationOf(index), zoneIdOf(index), "$address:7001", "$address:7002"))
        }
        for (index in 0 until engines) yield(engineChange(index))
        if (vms > 0) for (index in 0 until engines) yield(OwnEngine(targetIdOf(index), incarnationOf(index % vms)))
        for (index in 0 until models) yield(DeclareModel(modelIdOf(index), "v1", MODEL_MEBIBYTES, Int.MAX_VALUE))
        for (index in 0 until adapters) yield(adapterChange(index, models))
        for (index in 0 until members) yield(CreateMember(memberIdOf(index), 20.0, 40.0))
        for (index in 0 until keys) yield(GrantKey(KeyId("key-$index"), memberIdOf(index % members), hashOf(index)))
        for (index in 0 until copies) yield(claimChange(index, this@changes))
    }

private fun engineChange(index: Int): Change =
    DeclareTarget(
        targetId = targetIdOf(index),
        kind = TargetKind.ENGINE,
        address = "http://10.1.${index / 256}.${index % 256}:8000",
        zoneId = zoneIdOf(index),
        memoryMebibytes = LARGE_ENGINE_MEBIBYTES,
        checksFencing = index % 2 == 0,
    )

private fun adapterChange(index: Int, models: Int): Change =
    DeclareAdapter(adapterIdOf(index), modelIdOf(index % models), "v1", ADAPTER_MEBIBYTES)

/** Returns the claim of copy number [index] in a fleet of [size]; each number names another engine and model. */
internal fun claimChange(index: Int, size: FleetSize): ClaimCopy {
    val engine = index % size.engines
    val model = (index / size.engines + engine) % size.models
    return ClaimCopy(targetIdOf(engine), modelIdOf(model), null, "v1", incarnationOf(engine % size.vms))
}

private fun hashOf(index: Int): String =
    MessageDigest.getInstance("SHA-256").digest("key-$index".encodeToByteArray()).joinToString("") { "%02x".format(it) }

/** Returns the state of a fleet of this size, folded record by record. */
internal fun FleetSize.fold(): FleetState =
    changes().foldIndexed(FleetState()) { offset, state, change ->
        state.foldRecord(offset.toLong(), entryOf(offset.toLong(), change).encodeToPayload())
    }

/** Returns this state without remembered verdicts. */
internal fun FleetState.withoutVerdicts(): FleetState =
    copy(verdicts = persistentHashMapOf(), recentRecordIds = persistentListOf(), rememberedRecords = 0)
