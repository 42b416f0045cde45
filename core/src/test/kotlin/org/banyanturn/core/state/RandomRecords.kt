package org.banyanturn.core.state

import org.banyanturn.core.AdapterId
import org.banyanturn.core.Incarnation
import org.banyanturn.core.KeyId
import org.banyanturn.core.MemberId
import org.banyanturn.core.ModelId
import org.banyanturn.core.RouteName
import org.banyanturn.core.TargetId
import org.banyanturn.core.VmId
import org.banyanturn.core.ZoneId
import kotlin.random.Random

/** Returns [count] payloads, which include duplicates, version conflicts, malformed records and unknown kinds. */
internal fun randomPayloads(random: Random, count: Int): List<String> {
    val payloads = mutableListOf<String>()
    var state = FleetState()
    repeat(count) { index ->
        payloads += when (random.nextInt(20)) {
            0 -> malformedPayloads.random(random)
            1, 2 -> payloads.randomOrNull(random) ?: malformedPayloads.first()
            else -> randomEntry(random, "r$index", state).encodeToPayload()
        }
        state = state.foldRecord(index.toLong(), payloads.last())
    }
    return payloads
}

private val malformedPayloads = listOf(
    "{not json",
    "",
    "null",
    "[]",
    """{"recordId":"x","author":"a","change":{"type":"unknown-kind","field":1}}""",
    """{"recordId":"x","author":"a","change":{"type":"withdraw-key","keyId":"bad id!"}}""",
    """{"recordId":"x","author":"a","change":{"type":"set-copies","modelId":"m1","copies":99999999999}}""",
)

private fun randomEntry(random: Random, recordId: String, state: FleetState): LogEntry {
    val change = randomChange(random, state)
    val expectedVersion = when (random.nextInt(8)) {
        0 -> random.nextLong(-1, state.nextOffset + 1)
        1, 2, 3, 4 -> state.versionOfItemOrNull(change) ?: NO_VERSION
        else -> null
    }
    return LogEntry(recordId, "writer", change, expectedVersion)
}

private fun randomIncarnation(random: Random, state: FleetState, vm: VmId, target: TargetId): Incarnation =
    when (random.nextInt(4)) {
        0, 1 -> state.owners[target]?.incarnation
        2 -> state.vms[vm]?.incarnation
        else -> null
    } ?: Incarnation(vm, random.nextLong(3))

private fun randomChange(random: Random, state: FleetState): Change {
    val copy = state.copies.values.randomOrNull(random)
    val owner = copy?.let { state.owners[it.key.targetId]?.incarnation }
    if (copy != null && owner != null && random.nextInt(10) == 0) {
        val key = copy.key
        return when {
            random.nextBoolean() -> ReleaseCopy(key.targetId, key.modelId, key.adapterId, key.modelVersion, owner)
            else -> ConfirmCopy(key.targetId, key.modelId, key.adapterId, key.modelVersion, owner)
        }
    }
    val member = MemberId("member${random.nextInt(3)}")
    val key = KeyId("key${random.nextInt(6)}")
    val model = ModelId("model${random.nextInt(2)}")
    val adapter = AdapterId("adapter${random.nextInt(2)}")
    val target = TargetId("target${random.nextInt(3)}")
    val vm = VmId("vm${random.nextInt(3)}")
    val incarnation = randomIncarnation(random, state, vm, target)
    val memoryMebibytes = random.nextLong(-1, 8)
    val version = "v${random.nextInt(2)}"
    val zone = ZoneId("zone")
    val claimedAdapter = adapter.takeIf { random.nextBoolean() }
    return when (random.nextInt(29)) {
        0 -> CreateMember(member, random.nextDouble(-1.0, 9.0), 1.0)
        1 -> SetRate(member, 1.0, random.nextDouble(-1.0, 9.0))
        2 -> GrantKey(key, member, "hash${random.nextInt(6)}")
        3 -> WithdrawKey(key)
        4, 5 -> DeclareModel(model, version, memoryMebibytes, random.nextInt(-1, 4))
        6 -> SetCopies(model, random.nextInt(-1, 4))
        7 -> DeclareAdapter(adapter, model, version, memoryMebibytes)
        8, 9 -> DeclareTarget(target, randomKind(random), "http://127.0.0.1", zone, random.nextLong(20))
        10 -> DrainTarget(target)
        11 -> RestoreTarget(target)
        12 -> DeclareRoute(RouteName("route"), List(random.nextInt(2)) { target })
        13 -> DrainVm(vm)
        14, 15 -> JoinVm(incarnation, zone, "127.0.0.1:1", "127.0.0.1:2")
        16 -> LeaveVm(incarnation, random.nextBoolean())
        17, 18 -> OwnEngine(target, incarnation)
        19 -> AnnounceCheckpoint(random.nextLong(99), 0)
        20, 21, 22, 23 -> ClaimCopy(target, model, claimedAdapter, version, incarnation)
        24 -> ConfirmCopy(target, model, claimedAdapter, version, incarnation)
        26 -> JoinRouter(incarnation, zone, "127.0.0.1:1")
        27 -> LeaveRouter(state.routers[vm]?.incarnation ?: incarnation)
        25 -> ReleaseRateHomes(incarnation, randomPartitions(random, state, incarnation))
        else -> ReleaseCopy(target, model, claimedAdapter, version, incarnation)
    }
}

private fun randomKind(random: Random): TargetKind =
    if (random.nextInt(4) == 0) TargetKind.SERVICE else TargetKind.ENGINE

private fun randomPartitions(random: Random, state: FleetState, incarnation: Incarnation): List<Int> {
    val held = state.rateHomes.filterValues { it.incarnation == incarnation }.keys.sorted()
    return if (random.nextInt(4) == 0) listOf(random.nextInt(RATE_PARTITIONS)) else held.shuffled(random).take(3)
}
